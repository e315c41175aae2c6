//! Gossip of target states among instances.

mod support;
#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::time::Duration;

use limpetdeck::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};
use limpetdeck::targets::{Origin, Registers, StateUpdate};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::json;
use target_fleet::Fleet;

/// Limit on the time until a drain is in force on all reachable instances.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

fn settled_fleet(instances: u32, loss_rate: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(instances, 18, seed);
    fleet.loss_rate = loss_rate;
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Delivers a drain to one instance only; the others do not reach the platform.
fn drain_target(fleet: &mut Fleet) -> Option<Duration> {
    fleet.put_operator_states(0, json!([{"id": 3, "state": "draining", "version": 7}]));
    fleet.run_until(PROPAGATION_LIMIT, |fleet| fleet.all_are(3, Draining))
}

#[test]
fn platform_down() {
    let took = drain_target(&mut settled_fleet(18, 0.0, 1));
    assert!(took.is_some_and(|took| took < Duration::from_millis(100)), "{took:?}");
}

#[test]
fn lost_messages() {
    for seed in 1..=50 {
        let took = drain_target(&mut settled_fleet(18, 0.1, seed));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn large_fleet() {
    for seed in 1..=3 {
        let took = drain_target(&mut settled_fleet(160, 0.1, seed));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn many_drains() {
    let mut fleet = settled_fleet(18, 0.1, 1);
    let all: Vec<_> =
        (1..=18).map(|id| json!({"id": id, "state": "draining", "version": 1})).collect();
    fleet.put_operator_states(0, json!(all));
    let took =
        fleet.run_until(PROPAGATION_LIMIT, |fleet| (1..=18).all(|id| fleet.all_are(id, Draining)));
    assert!(took.is_some());
}

#[test]
fn late_joiner() {
    let mut fleet = Fleet::new(18, 18, 1);
    fleet.partition(|id| u32::from(id == 18), |_| 0);
    fleet.run(Duration::from_secs(5));
    assert!(drain_target(&mut fleet).is_none());
    assert_eq!(fleet.state(17, 3), Serving);
    fleet.partition(|_| 0, |_| 0);
    let healed = fleet.run_until(Duration::from_secs(5), |fleet| fleet.all_are(3, Draining));
    assert!(healed.is_some());
}

#[test]
fn outdated_version() {
    let mut fleet = settled_fleet(18, 0.0, 1);
    assert!(drain_target(&mut fleet).is_some());
    for node in 0..18 {
        fleet.put_operator_states(node, json!([{"id": 3, "state": "serving", "version": 6}]));
    }
    fleet.run(PROPAGATION_LIMIT);
    assert!(fleet.all_are(3, Draining));
    fleet.put_operator_states(5, json!([{"id": 3, "state": "serving", "version": 8}]));
    fleet.run(PROPAGATION_LIMIT);
    assert!(fleet.all_are(3, Serving));
}

#[test]
fn invalid_object() {
    let mut fleet = settled_fleet(2, 0.0, 1);
    for bad in [
        json!([{"id": 3, "state": "draining"}]),
        json!([{"id": 3, "state": "dead", "version": 9}]),
        json!([{"id": 3, "state": "draining", "version": 0}]),
        json!([
            {"id": 3, "state": "draining", "version": 9},
            {"id": 3, "state": "serving", "version": 10},
        ]),
        json!("none"),
    ] {
        fleet.put_operator_states(0, bad);
    }
    fleet.run(PROPAGATION_LIMIT);
    assert!(fleet.all_are(3, Serving));
}

#[test]
fn object_metadata() {
    // The operators' tool records in the object which operation wrote it.
    let mut fleet = settled_fleet(2, 0.0, 1);
    fleet.put_object(
        0,
        json!({
            "targets": [{"id": 3, "state": "draining", "version": 1}],
            "operation": "a1",
            "history": [{"id": "a1", "version": 1, "lines": []}],
        }),
    );
    fleet.run(PROPAGATION_LIMIT);
    assert!(fleet.all_are(3, Draining));
}

#[test]
fn idle_traffic() {
    let mut fleet = settled_fleet(18, 0.0, 1);
    let before: Vec<_> = fleet.nodes.iter().map(|node| node.sent_bytes).collect();
    fleet.run(Duration::from_secs(100));
    let max_rate =
        fleet.nodes.iter().zip(before).map(|(node, before)| node.sent_bytes - before).max();
    let max_rate = max_rate.expect("there are nodes") / 100;
    println!("control_bytes_per_s={max_rate}");
    assert!(max_rate <= 300, "{max_rate} bytes a second");
}

#[derive(Debug, Clone, Copy)]
struct ArbitraryUpdate(StateUpdate);

impl Arbitrary for ArbitraryUpdate {
    fn arbitrary(g: &mut Gen) -> Self {
        let origin = *g.choose(&[Origin::Operator, Origin::Observed]).expect("origins");
        let states: &[TargetState] = match origin {
            Origin::Operator => &[Serving, Draining],
            Origin::Observed => &[Serving, Cold, Shedding, Draining, Dead],
        };
        let state = *g.choose(states).expect("states");
        let target = u32::arbitrary(g) % 40;
        Self(StateUpdate { target, origin, version: u64::arbitrary(g) % 6, state })
    }
}

fn registers_with<'a>(updates: impl IntoIterator<Item = &'a ArbitraryUpdate>) -> Registers {
    let mut registers = Registers::default();
    for update in updates {
        registers.adopt(&update.0);
    }
    registers
}

fn converged(a: &Registers, b: &Registers) -> bool {
    let states_equal = (0..40).all(|target| a.effective(target) == b.effective(target));
    states_equal && a.digest() == b.digest()
}

#[test]
fn order_independence() {
    fn property(updates: Vec<ArbitraryUpdate>, seed: u64) -> bool {
        let mut doubled: Vec<_> = updates.iter().chain(&updates).collect();
        doubled.shuffle(&mut SmallRng::seed_from_u64(seed));
        converged(&registers_with(&updates), &registers_with(doubled))
    }
    support::checker(500).quickcheck(property as fn(Vec<ArbitraryUpdate>, u64) -> bool);
}

#[test]
fn digest_synchronization() {
    fn property(mine: Vec<ArbitraryUpdate>, theirs: Vec<ArbitraryUpdate>) -> bool {
        let (mut a, mut b) = (registers_with(&mine), registers_with(&theirs));
        for update in a.differing(b.digest()) {
            b.adopt(&update);
        }
        for update in b.differing(a.digest()) {
            a.adopt(&update);
        }
        converged(&a, &b)
    }
    support::checker(500)
        .quickcheck(property as fn(Vec<ArbitraryUpdate>, Vec<ArbitraryUpdate>) -> bool);
}
