//! Tests of target selection in the load situations that its rules handle.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use limpetdeck::steering::{Candidate, Target, select_target};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

const NOW: Duration = Duration::from_secs(1);

fn candidate(local: bool) -> Candidate {
    Candidate { local, slots: 3, flows: 0, waiting: 0, warm_up_left: Duration::ZERO }
}

#[test]
fn local_domain() {
    let targets = [
        target(1, STATION),
        target(2, STATION),
        remote_target(3, STATION),
        remote_target(4, STATION),
    ];
    let mut forwarder = forwarder(&[STATION], &targets);
    for caller in 1..100 {
        let (key, token) = place(&mut forwarder, NOW, &opening(caller, 1));
        assert!(key <= 2, "target {key} is not in the local domain");
        forwarder.decide(NOW, &request(caller, 1, token, 0));
        forwarder.decide(NOW, &acknowledgement(caller, 1, token, 0));
    }
}

/// All callers reconnect at once and the local domain has one target: targets of other domains
/// must share the load.
#[test]
fn reconnects_spill_over() {
    let targets = [
        target(1, FARES),
        remote_target(2, FARES),
        remote_target(3, FARES),
        remote_target(4, FARES),
    ];
    let mut forwarder = forwarder(&[FARES], &targets);
    let mut flows_by_target: BTreeMap<_, u32> = BTreeMap::new();
    for caller in 1..=160 {
        let (key, token) = place(&mut forwarder, NOW, &opening(caller, 1));
        forwarder.decide(NOW, &request(caller, 1, token, 0));
        *flows_by_target.entry(key).or_default() += 1;
    }
    println!("placed={flows_by_target:?}");
    let most = flows_by_target.values().max().expect("some");
    assert!(*most <= 44, "one target got {most} of 160 flows, a fair share is 40");
}

/// Long-lived flows are never moved, so flows that are opened at once must be spread evenly.
#[test]
fn reconnects_even() {
    let targets: Vec<_> = (1..=5).map(|key| target(key, STATION)).collect();
    let mut forwarder = forwarder(&[STATION], &targets);
    let mut flows_by_target: BTreeMap<_, u32> = BTreeMap::new();
    for caller in 1..=100 {
        let (key, token) = place(&mut forwarder, NOW, &opening(caller, 1));
        forwarder.decide(NOW, &request(caller, 1, token, 0));
        *flows_by_target.entry(key).or_default() += 1;
    }
    assert!(flows_by_target.values().all(|&flows| flows == 20), "{flows_by_target:?}");
}

#[test]
fn busy_target() {
    let busy = Candidate { waiting: 2, flows: 2, ..candidate(true) };
    let many_flows = Candidate { flows: 8, ..candidate(true) };
    let mut rng = SmallRng::seed_from_u64(3);
    assert_eq!(select_target(&[busy, many_flows], 0.0, &mut rng), Some(1));
}

#[test]
fn more_slots() {
    let small = Candidate { slots: 1, waiting: 1, flows: 1, ..candidate(true) };
    let large = Candidate { slots: 4, waiting: 2, flows: 2, ..candidate(true) };
    let mut rng = SmallRng::seed_from_u64(3);
    assert_eq!(select_target(&[small, large], 0.0, &mut rng), Some(1));
}

#[test]
fn cold_target() {
    let cold = Target { warm_up_left: ms(2_000), ..target(1, STATION) };
    let mut forwarder = forwarder(&[STATION], &[cold, target(2, STATION)]);
    let mut placed_cold = |now: Duration, callers: std::ops::Range<u16>| {
        callers.filter(|&c| place(&mut forwarder, now, &opening(c, 1)).0 == 1).count()
    };
    let while_cold = placed_cold(ms(100), 1..160);
    assert!(while_cold < 70, "{while_cold} of 160 flows at the cold target");
}

#[test]
fn no_candidates() {
    assert_eq!(select_target(&[], 0.0, &mut SmallRng::seed_from_u64(3)), None);
}

/// A target of another domain is used if there is no local one.
#[test]
fn only_remote() {
    let mut forwarder = forwarder(&[STATION], &[remote_target(3, STATION)]);
    assert_eq!(place(&mut forwarder, NOW, &opening(1, 1)).0, 3);
}
