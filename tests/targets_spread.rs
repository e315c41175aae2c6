//! Spread of target states among instances.

mod support;
#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::time::Duration;

use limpetdeck::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};
use limpetdeck::targets::{Origin, Registers, Statement};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::json;
use target_fleet::Fleet;

/// Time in which a planned leaving reaches all reachable instances.
const SPREAD: Duration = Duration::from_secs(3);

fn settled(instances: u32, loss: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(instances, 18, seed);
    fleet.loss = loss;
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Tells one instance alone of a drain; the platform reaches nobody else.
fn drain(fleet: &mut Fleet) -> Option<Duration> {
    fleet.operators_say(0, json!([{"id": 3, "state": "draining", "version": 7}]));
    fleet.until(SPREAD, |fleet| fleet.all_are(3, Draining))
}

#[test]
fn platform_down() {
    let took = drain(&mut settled(18, 0.0, 1));
    assert!(took.is_some_and(|took| took < Duration::from_millis(100)), "{took:?}");
}

#[test]
fn lost_messages() {
    for seed in 1..=50 {
        let took = drain(&mut settled(18, 0.1, seed));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn large_fleet() {
    for seed in 1..=3 {
        let took = drain(&mut settled(160, 0.1, seed));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn many_drains() {
    let mut fleet = settled(18, 0.1, 1);
    let all: Vec<_> =
        (1..=18).map(|id| json!({"id": id, "state": "draining", "version": 1})).collect();
    fleet.operators_say(0, json!(all));
    let took = fleet.until(SPREAD, |fleet| (1..=18).all(|id| fleet.all_are(id, Draining)));
    assert!(took.is_some());
}

#[test]
fn late_joiner() {
    let mut fleet = Fleet::new(18, 18, 1);
    fleet.regroup(|id| u32::from(id == 18), |_| 0);
    fleet.run(Duration::from_secs(5));
    assert!(drain(&mut fleet).is_none());
    assert_eq!(fleet.state(17, 3), Serving);
    fleet.regroup(|_| 0, |_| 0);
    let healed = fleet.until(Duration::from_secs(5), |fleet| fleet.all_are(3, Draining));
    assert!(healed.is_some());
}

#[test]
fn old_version() {
    let mut fleet = settled(18, 0.0, 1);
    assert!(drain(&mut fleet).is_some());
    for node in 0..18 {
        fleet.operators_say(node, json!([{"id": 3, "state": "serving", "version": 6}]));
    }
    fleet.run(SPREAD);
    assert!(fleet.all_are(3, Draining));
    fleet.operators_say(5, json!([{"id": 3, "state": "serving", "version": 8}]));
    fleet.run(SPREAD);
    assert!(fleet.all_are(3, Serving));
}

#[test]
fn bad_object() {
    let mut fleet = settled(2, 0.0, 1);
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
        fleet.operators_say(0, bad);
    }
    fleet.run(SPREAD);
    assert!(fleet.all_are(3, Serving));
}

#[test]
fn stamped_object() {
    // The operators' command notes in the object which operation wrote it.
    let mut fleet = settled(2, 0.0, 1);
    fleet.platform_says(
        0,
        json!({
            "targets": [{"id": 3, "state": "draining", "version": 1}],
            "operation": "a1",
            "history": [{"id": "a1", "version": 1, "lines": []}],
        }),
    );
    fleet.run(SPREAD);
    assert!(fleet.all_are(3, Draining));
}

#[test]
fn quiet_cost() {
    let mut fleet = settled(18, 0.0, 1);
    let before: Vec<_> = fleet.nodes.iter().map(|node| node.sent).collect();
    fleet.run(Duration::from_secs(100));
    let most = fleet.nodes.iter().zip(before).map(|(node, before)| node.sent - before).max();
    let most = most.expect("there are nodes") / 100;
    println!("control_bytes_per_s={most}");
    assert!(most <= 300, "{most} bytes a second");
}

#[derive(Debug, Clone, Copy)]
struct Said(Statement);

impl Arbitrary for Said {
    fn arbitrary(g: &mut Gen) -> Self {
        let origin = *g.choose(&[Origin::Operator, Origin::Observed]).expect("origins");
        let states: &[TargetState] = match origin {
            Origin::Operator => &[Serving, Draining],
            Origin::Observed => &[Serving, Cold, Shedding, Draining, Dead],
        };
        let state = *g.choose(states).expect("states");
        let target = u32::arbitrary(g) % 40;
        Self(Statement { target, origin, version: u64::arbitrary(g) % 6, state })
    }
}

fn adopted<'a>(said: impl IntoIterator<Item = &'a Said>) -> Registers {
    let mut registers = Registers::default();
    for said in said {
        registers.adopt(&said.0);
    }
    registers
}

fn same(a: &Registers, b: &Registers) -> bool {
    let states_are = (0..40).all(|target| a.effective(target) == b.effective(target));
    states_are && a.digest() == b.digest()
}

#[test]
fn any_order() {
    fn property(said: Vec<Said>, seed: u64) -> bool {
        let mut doubled: Vec<_> = said.iter().chain(&said).collect();
        doubled.shuffle(&mut SmallRng::seed_from_u64(seed));
        same(&adopted(&said), &adopted(doubled))
    }
    support::checker(500).quickcheck(property as fn(Vec<Said>, u64) -> bool);
}

#[test]
fn digest_repair() {
    fn property(mine: Vec<Said>, theirs: Vec<Said>) -> bool {
        let (mut a, mut b) = (adopted(&mine), adopted(&theirs));
        for statement in a.differing(b.digest()) {
            b.adopt(&statement);
        }
        for statement in b.differing(a.digest()) {
            a.adopt(&statement);
        }
        same(&a, &b)
    }
    support::checker(500).quickcheck(property as fn(Vec<Said>, Vec<Said>) -> bool);
}
