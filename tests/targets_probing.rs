//! What instances find out about targets by probing them.

#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::time::Duration;

use limpetdeck::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};
use serde_json::json;
use target_fleet::{Fleet, domain};

/// Time in which a killed target is found, at 18 targets and 18 instances.
const FOUND: Duration = Duration::from_secs(6);
/// Time from a target's report until all instances act on it.
const REPORTED: Duration = Duration::from_secs(6);
const MINUTE: Duration = Duration::from_secs(60);

fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, 18, seed);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn deaths(fleet: &Fleet) -> usize {
    (1..=18).flat_map(|target| fleet.states(target)).filter(|state| *state == Dead).count()
}

fn reaches(fleet: &mut Fleet, target: u32, state: TargetState, limit: Duration) -> Duration {
    let took = fleet.until(limit, |fleet| fleet.all_are(target, state));
    took.unwrap_or_else(|| panic!("{state} not in {limit:?}: {:?}", fleet.states(target)))
}

#[test]
fn killed_target() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=20 {
        let mut fleet = settled(seed);
        fleet.loss = 0.1;
        fleet.kill(4);
        slowest = slowest.max(reaches(&mut fleet, 4, Dead, FOUND));
        assert_eq!(deaths(&fleet), 18);
    }
    println!("slowest_ms={}", slowest.as_millis());
}

#[test]
fn coming_back() {
    let mut fleet = settled(1);
    fleet.kill(4);
    reaches(&mut fleet, 4, Dead, FOUND);
    fleet.run(MINUTE);
    fleet.set_state(4, Serving);
    reaches(&mut fleet, 4, Cold, Duration::from_secs(15));
    fleet.run(Duration::from_secs(25));
    assert!(fleet.all_are(4, Cold));
    reaches(&mut fleet, 4, Serving, Duration::from_secs(15));
}

#[test]
fn reported_states() {
    let mut fleet = settled(1);
    for state in [Draining, Cold, Shedding, Draining] {
        fleet.set_state(4, state);
        reaches(&mut fleet, 4, state, REPORTED);
    }
    fleet.set_state(4, Serving);
    reaches(&mut fleet, 4, Cold, REPORTED);
    reaches(&mut fleet, 4, Serving, MINUTE);
    fleet.set_state(4, Shedding);
    reaches(&mut fleet, 4, Shedding, REPORTED);
    fleet.set_state(4, Serving);
    reaches(&mut fleet, 4, Serving, REPORTED);
}

#[test]
fn one_change() {
    // The two probers read a new report at different times, and must not argue meanwhile.
    for seed in 1..=10 {
        let mut fleet = settled(seed);
        for (i, state) in [Draining, Serving, Shedding, Serving].into_iter().enumerate() {
            fleet.set_state(4, state);
            fleet.run(Duration::from_secs(40));
            // A return from draining makes the target cold before it serves.
            let expected = [1, 3, 4, 5][i];
            let changes: Vec<_> = fleet.nodes.iter().map(|node| node.changes).collect();
            assert!(changes.iter().all(|n| *n == expected), "seed {seed}: {state} {changes:?}");
        }
    }
}

#[test]
fn operator_disagrees() {
    let mut fleet = settled(1);
    fleet.operators_say(0, json!([{"id": 4, "state": "draining", "version": 1}]));
    fleet.run(MINUTE);
    assert!(fleet.all_are(4, Draining), "a probe's serving undoes no drain");
    fleet.kill(4);
    reaches(&mut fleet, 4, Dead, FOUND);
    fleet.operators_say(0, json!([{"id": 4, "state": "serving", "version": 2}]));
    fleet.run(MINUTE);
    assert!(fleet.all_are(4, Dead), "an operator's serving raises no dead target");
}

#[test]
fn prober_cut_off() {
    for seed in 1..=20 {
        let mut fleet = settled(seed);
        fleet.regroup(|id| u32::from(id == 5), |_| 0);
        fleet.run(Duration::from_millis(1_000 + 1_300 * seed));
        assert_eq!(deaths(&fleet), 0, "seed {seed}, while cut off");
        fleet.regroup(|_| 0, |_| 0);
        fleet.run(Duration::from_secs(30));
        assert_eq!(deaths(&fleet), 0, "seed {seed}, after it healed");
    }
}

#[test]
fn targets_out_of_reach() {
    // The instance still reaches its peers, but no target.
    let mut fleet = settled(1);
    fleet.blind = Some(4);
    fleet.run(MINUTE);
    for target in 1..=18 {
        assert!(fleet.all_are(target, Serving), "{target}: {:?}", fleet.states(target));
    }
}

#[test]
fn domain_cut() {
    // Cuts of any length: what was found before and after must not be mixed.
    for seed in 1..=20 {
        let mut fleet = settled(seed);
        let apart = |id| u32::from(domain(id) == domain(1));
        fleet.regroup(apart, apart);
        fleet.run(Duration::from_millis(1_000 + 1_300 * seed));
        assert_eq!(deaths(&fleet), 0, "seed {seed}, while cut");
        fleet.regroup(|_| 0, |_| 0);
        fleet.run(Duration::from_secs(30));
        assert_eq!(deaths(&fleet), 0, "seed {seed}, after it healed");
    }
}

fn near(node: usize, target: u32) -> bool {
    domain(node as u32 + 1) == domain(target)
}

#[test]
fn cut_off_side() {
    // A failure domain that is cut off places new flows on its own targets alone.
    let mut fleet = settled(1);
    let apart = |id| u32::from(domain(id) == domain(1));
    fleet.regroup(apart, apart);
    fleet.run(Duration::from_secs(5));
    for (node, target) in (0..18).flat_map(|node| (1..=18).map(move |target| (node, target))) {
        let same_side = apart(node as u32 + 1) == apart(target);
        let expected = if same_side { Serving } else { Shedding };
        assert_eq!(fleet.state(node, target), expected, "node {node}, target {target}");
    }
    fleet.regroup(|_| 0, |_| 0);
    let healed = fleet.until(Duration::from_secs(4), |fleet| {
        (1..=18).all(|target| fleet.all_are(target, Serving))
    });
    let states: Vec<_> = (1..=18).map(|target| fleet.states(target)).collect();
    assert!(healed.is_some(), "{states:?}");
}

#[test]
fn silent_domain() {
    // All instances of a failure domain are gone, but its targets still answer.
    let mut fleet = settled(1);
    fleet.regroup(|id| u32::from(domain(id) == domain(1)), |_| 0);
    fleet.run(Duration::from_secs(10));
    let others: Vec<_> = (0..18).filter(|&node| !near(node, 1)).collect();
    assert_eq!(others.len(), 12);
    for seconds in 0..30 {
        let serving = others.iter().all(|&node| fleet.state(node, 1) == Serving);
        assert!(serving, "after {seconds} s: {:?}", fleet.states(1));
        fleet.run(Duration::from_secs(1));
    }
}

#[test]
fn killed_while_cut() {
    let mut fleet = settled(1);
    let apart = |id| u32::from(domain(id) == domain(1));
    fleet.regroup(apart, apart);
    fleet.run(MINUTE);
    fleet.kill(2);
    fleet.run(MINUTE);
    let dead_in = |fleet: &Fleet, apart: bool| {
        let nodes = (0..18).filter(|&node| (domain(node + 1) == domain(1)) == apart);
        nodes.filter(|&node| fleet.state(node as usize, 2) == Dead).count()
    };
    assert_eq!(dead_in(&fleet, false), 12);
    assert_eq!(dead_in(&fleet, true), 0);
    fleet.regroup(|_| 0, |_| 0);
    reaches(&mut fleet, 2, Dead, Duration::from_secs(10));
}

#[test]
fn several_killed() {
    let mut fleet = settled(1);
    for target in [1, 4, 7, 10] {
        fleet.kill(target);
    }
    let limit = Duration::from_secs(30);
    let took = fleet.until(limit, |fleet| [1, 4, 7, 10].iter().all(|&t| fleet.all_are(t, Dead)));
    assert!(took.is_some());
    assert_eq!(deaths(&fleet), 4 * 18);
}

#[test]
fn whole_domain_killed() {
    // It looks like a cut: nothing is declared dead, but no new flows go there.
    let mut fleet = settled(1);
    let gone: Vec<_> = (1..=18).filter(|&target| domain(target) == domain(1)).collect();
    gone.iter().for_each(|&target| fleet.kill(target));
    let all_are = |fleet: &Fleet, state| gone.iter().all(|&target| fleet.all_are(target, state));
    let avoided = fleet.until(Duration::from_secs(12), |fleet| all_are(fleet, Shedding));
    assert!(avoided.is_some());
    fleet.run(MINUTE);
    assert!(all_are(&fleet, Shedding));
    assert!(fleet.all_are(2, Serving));
    gone.iter().for_each(|&target| fleet.set_state(target, Serving));
    let back = fleet.until(Duration::from_secs(12), |fleet| all_are(fleet, Serving));
    assert!(back.is_some());
}

#[test]
fn flapping_target() {
    let mut fleet = settled(1);
    for _ in 0..30 {
        fleet.kill(4);
        fleet.run(Duration::from_secs(10));
        fleet.set_state(4, Serving);
        fleet.run(Duration::from_secs(10));
    }
    let most = fleet.nodes.iter().map(|node| node.changes).max();
    assert!(most <= Some(8), "{most:?} changes in ten minutes");
}

#[test]
fn two_instances() {
    let mut fleet = Fleet::new(2, 6, 1);
    fleet.run(Duration::from_secs(5));
    fleet.kill(3);
    reaches(&mut fleet, 3, Dead, Duration::from_secs(15));
}
