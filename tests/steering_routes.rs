//! Tests of route versions, and of packets without a route or target.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use limpetdeck::steering::{
    DropReason, Forwarder, RawRoute, RawRoutes, RequestClass, ResetReason, RouteTable,
    ServiceWarmUp, Verdict, WeightedService,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn increasing_versions() {
    let mut table = RouteTable::default();
    assert!(table.adopt(routes(7, &[STATION, FARES])).expect("valid"));
    for version in [1, 6, 7] {
        assert!(!table.adopt(routes(version, &[FARES])).expect("valid"));
    }
    assert_eq!(table.version(), 7);
    assert_eq!(table.get(address(1)).expect("a route").services[0].service, STATION);
}

#[test]
fn invalid_rejected() {
    let mut table = RouteTable::default();
    table.adopt(routes(1, &[STATION])).expect("valid");
    let mut invalid = routes(2, &[STATION, FARES]);
    invalid.routes[1].address = address(1);
    invalid.routes[0].services[0].weight = 0;
    let findings = table.adopt(invalid).expect_err("two findings");
    assert_eq!(findings.list.len(), 2, "{findings}");
    assert_eq!(table.version(), 1);
}

#[test]
fn no_route() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION)]);
    assert_eq!(forwarder.decide(NOW, &opening(1, 9)), Verdict::Reset(ResetReason::NoRoute));
    // A flow that other instances may have a route for is not reset.
    let verdict = forwarder.decide(NOW, &request(1, 9, 5, 0));
    assert_eq!(verdict, Verdict::Drop(DropReason::UnknownAddress));
}

#[test]
fn removed_route() {
    let mut forwarder = forwarder(&[STATION, STATION], &[target(1, STATION)]);
    let (_, token) = place(&mut forwarder, NOW, &opening(1, 2));
    forwarder.decide(NOW, &request(1, 2, token, 0));
    let (_, half_open) = place(&mut forwarder, NOW, &opening(3, 2));
    forwarder.routes.adopt(routes(2, &[STATION])).expect("valid");
    let verdict = forwarder.decide(NOW, &request(1, 2, token, 1));
    assert_eq!(verdict, Verdict::Reset(ResetReason::RouteDropped));
    // Another copy may have opened the flow once the route was back elsewhere.
    let verdict = forwarder.decide(NOW, &request(3, 2, half_open, 0));
    assert_eq!(verdict, Verdict::Drop(DropReason::UnknownAddress));
    assert_eq!(forwarder.decide(NOW, &opening(2, 2)), Verdict::Reset(ResetReason::NoRoute));
}

/// The first copy of an opening packet went to a target of the service that the route had before.
#[test]
fn copy_after_move() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION), target(2, FARES)]);
    assert_eq!(place(&mut forwarder, NOW, &opening(1, 1)).0, 1);
    forwarder.routes.adopt(routes(2, &[FARES])).expect("valid");
    let copy = retransmitted_opening(1, 1, 1);
    assert_eq!(place(&mut forwarder, NOW + Duration::from_millis(200), &copy).0, 2);
}

#[test]
fn no_target() {
    let mut forwarder = forwarder(&[STATION], &[target(1, FARES)]);
    assert_eq!(forwarder.decide(NOW, &opening(1, 1)), Verdict::Reset(ResetReason::NoTarget));
}

#[test]
fn not_ready() {
    let mut forwarder = Forwarder::new(LOCAL.to_owned(), KEY, SmallRng::seed_from_u64(1));
    assert_eq!(forwarder.decide(NOW, &opening(1, 1)), Verdict::Drop(DropReason::NotReady));
}

#[test]
fn weights() {
    let mut raw: RawRoutes = routes(2, &[STATION]);
    let share = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    raw.routes[0].services = vec![share(STATION, 90), share(FARES, 10)];
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION), target(2, FARES)]);
    forwarder.routes.adopt(raw).expect("valid");
    let fares = (1..=10_000).filter(|&c| place(&mut forwarder, NOW, &opening(c, 1)).0 == 2).count();
    assert!((850..1_150).contains(&fares), "{fares} of 10000 flows, expected about 1000");
}

/// Releases with and without latency targets or request classes understand each other's routes.
#[test]
fn other_release() {
    let mut newer = routes(4, &[STATION, FARES]);
    newer.classes = vec![RequestClass { timeout_ms: 2_500, priority: 1, repeatable: true }; 2];
    newer.warm_ups =
        vec![ServiceWarmUp { service: FARES.into(), duration_ms: 2_000, flows_per_1000_s: 500 }];
    let bytes = postcard::to_stdvec(&newer).expect("plain data");
    assert_eq!(RawRoutes::decode(&bytes), Ok(newer.clone()));
    let earlier = (newer.version, newer.routes.clone(), newer.idle_timeout_ms);
    let bytes_of_earlier = postcard::to_stdvec(&earlier).expect("plain data");
    let decoded = RawRoutes::decode(&bytes_of_earlier).expect("routes");
    let unclassified = RawRoutes { classes: Vec::new(), warm_ups: Vec::new(), ..newer.clone() };
    assert_eq!(decoded, RawRoutes { latency_targets_ms: Vec::new(), ..unclassified.clone() });
    let earlier_with_latency =
        (newer.version, &newer.routes, newer.idle_timeout_ms, &newer.latency_targets_ms);
    let bytes_with_latency = postcard::to_stdvec(&earlier_with_latency).expect("plain data");
    assert_eq!(RawRoutes::decode(&bytes_with_latency), Ok(unclassified));
    // An earlier release reads its own fields and ignores the rest.
    let read: (u64, Vec<RawRoute>, u64) = postcard::from_bytes(&bytes).expect("routes");
    assert_eq!(read, earlier);
    assert!(RawRoutes::decode(&bytes_of_earlier[..4]).is_err());
}
