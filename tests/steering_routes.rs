//! Routes rise in version only, and what they do not allow is refused at once.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use limpetdeck::steering::{
    RawRoutes, Refusal, RouteTable, Steer, Unforwarded, Verdict, WeightedService,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn never_backwards() {
    let mut table = RouteTable::default();
    assert!(table.adopt(routes(7, &[TILL, SHEETS])).expect("valid"));
    for version in [1, 6, 7] {
        assert!(!table.adopt(routes(version, &[SHEETS])).expect("valid"));
    }
    assert_eq!(table.version(), 7);
    assert_eq!(table.at(address(1)).expect("a route").services[0].service, TILL);
}

#[test]
fn invalid_keeps_old() {
    let mut table = RouteTable::default();
    table.adopt(routes(1, &[TILL])).expect("valid");
    let mut twice = routes(2, &[TILL, SHEETS]);
    twice.routes[1].address = address(1);
    twice.routes[0].services[0].weight = 0;
    let findings = table.adopt(twice).expect_err("two findings");
    assert_eq!(findings.list.len(), 2, "{findings}");
    assert_eq!(table.version(), 1);
}

#[test]
fn refused_at_once() {
    let mut steer = steer(&[TILL], &[target(1, TILL)]);
    assert_eq!(steer.decide(NOW, &opening(1, 9)), Verdict::Reset(Refusal::NoRoute));
    // A flow that others may know is not broken off here.
    let verdict = steer.decide(NOW, &request(1, 9, 5, 0));
    assert_eq!(verdict, Verdict::Drop(Unforwarded::UnknownAddress));
}

#[test]
fn dropped_route() {
    let mut steer = steer(&[TILL, TILL], &[target(1, TILL)]);
    let (_, token) = placed(&mut steer, NOW, &opening(1, 2));
    steer.routes.adopt(routes(2, &[TILL])).expect("valid");
    let verdict = steer.decide(NOW, &request(1, 2, token, 0));
    assert_eq!(verdict, Verdict::Reset(Refusal::RouteDropped));
    assert_eq!(steer.decide(NOW, &opening(2, 2)), Verdict::Reset(Refusal::NoRoute));
}

#[test]
fn no_target() {
    let mut steer = steer(&[TILL], &[target(1, SHEETS)]);
    assert_eq!(steer.decide(NOW, &opening(1, 1)), Verdict::Reset(Refusal::NoTarget));
}

#[test]
fn nothing_known() {
    let mut steer = Steer::new(HOME.to_owned(), KEY, SmallRng::seed_from_u64(1));
    assert_eq!(steer.decide(NOW, &opening(1, 1)), Verdict::Drop(Unforwarded::NotReady));
}

#[test]
fn weights() {
    let mut raw: RawRoutes = routes(2, &[TILL]);
    let share = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    raw.routes[0].services = vec![share(TILL, 90), share(SHEETS, 10)];
    let mut steer = steer(&[TILL], &[target(1, TILL), target(2, SHEETS)]);
    steer.routes.adopt(raw).expect("valid");
    let sheets = (1..=10_000).filter(|&c| placed(&mut steer, NOW, &opening(c, 1)).0 == 2).count();
    assert!((850..1_150).contains(&sheets), "{sheets} of 10000 flows, wanted some 1000");
}
