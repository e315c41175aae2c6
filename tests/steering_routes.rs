//! Tests of route versions, and of packets without a route or target.

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
fn increasing_versions() {
    let mut table = RouteTable::default();
    assert!(table.adopt(routes(7, &[TILL, SHEETS])).expect("valid"));
    for version in [1, 6, 7] {
        assert!(!table.adopt(routes(version, &[SHEETS])).expect("valid"));
    }
    assert_eq!(table.version(), 7);
    assert_eq!(table.get(address(1)).expect("a route").services[0].service, TILL);
}

#[test]
fn invalid_rejected() {
    let mut table = RouteTable::default();
    table.adopt(routes(1, &[TILL])).expect("valid");
    let mut invalid = routes(2, &[TILL, SHEETS]);
    invalid.routes[1].address = address(1);
    invalid.routes[0].services[0].weight = 0;
    let findings = table.adopt(invalid).expect_err("two findings");
    assert_eq!(findings.list.len(), 2, "{findings}");
    assert_eq!(table.version(), 1);
}

#[test]
fn no_route() {
    let mut steer = steer(&[TILL], &[target(1, TILL)]);
    assert_eq!(steer.decide(NOW, &opening(1, 9)), Verdict::Reset(Refusal::NoRoute));
    // A flow that other instances may have a route for is not reset.
    let verdict = steer.decide(NOW, &request(1, 9, 5, 0));
    assert_eq!(verdict, Verdict::Drop(Unforwarded::UnknownAddress));
}

#[test]
fn removed_route() {
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
fn not_ready() {
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
    assert!((850..1_150).contains(&sheets), "{sheets} of 10000 flows, expected about 1000");
}
