//! Target states that instances derive from probes.

#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::time::Duration;

use limpetdeck::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};
use serde_json::json;
use target_fleet::{Fleet, domain};

/// Limit on the time until all 18 instances know that one of 18 targets is dead.
const DETECTION_LIMIT: Duration = Duration::from_secs(6);
/// Limit on the time from a target's report until it is in force on all instances.
const REPORT_LIMIT: Duration = Duration::from_secs(6);
const MINUTE: Duration = Duration::from_secs(60);

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, 18, seed);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn count_dead(fleet: &Fleet) -> usize {
    (1..=18).flat_map(|target| fleet.states(target)).filter(|state| *state == Dead).count()
}

fn wait_for_state(fleet: &mut Fleet, target: u32, state: TargetState, limit: Duration) -> Duration {
    let took = fleet.run_until(limit, |fleet| fleet.all_are(target, state));
    took.unwrap_or_else(|| {
        panic!("target {target} not {state} within {limit:?}: {:?}", fleet.states(target))
    })
}

#[test]
fn killed_target() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=20 {
        let mut fleet = settled_fleet(seed);
        fleet.loss_rate = 0.1;
        fleet.kill(4);
        slowest = slowest.max(wait_for_state(&mut fleet, 4, Dead, DETECTION_LIMIT));
        assert_eq!(count_dead(&fleet), 18);
    }
    println!("slowest_ms={}", slowest.as_millis());
}

#[test]
fn recovering_target() {
    let mut fleet = settled_fleet(1);
    fleet.kill(4);
    wait_for_state(&mut fleet, 4, Dead, DETECTION_LIMIT);
    fleet.run(MINUTE);
    fleet.set_state(4, Serving);
    wait_for_state(&mut fleet, 4, Cold, Duration::from_secs(15));
    fleet.run(Duration::from_secs(25));
    assert!(fleet.all_are(4, Cold));
    wait_for_state(&mut fleet, 4, Serving, Duration::from_secs(15));
}

#[test]
fn reported_states() {
    let mut fleet = settled_fleet(1);
    for state in [Draining, Cold, Shedding, Draining] {
        fleet.set_state(4, state);
        wait_for_state(&mut fleet, 4, state, REPORT_LIMIT);
    }
    fleet.set_state(4, Serving);
    wait_for_state(&mut fleet, 4, Cold, REPORT_LIMIT);
    wait_for_state(&mut fleet, 4, Serving, MINUTE);
    fleet.set_state(4, Shedding);
    wait_for_state(&mut fleet, 4, Shedding, REPORT_LIMIT);
    fleet.set_state(4, Serving);
    wait_for_state(&mut fleet, 4, Serving, REPORT_LIMIT);
}

#[test]
fn no_reverted_updates() {
    // The two probers read a new report at different times; neither may revert the other's
    // update.
    for seed in 1..=10 {
        let mut fleet = settled_fleet(seed);
        for (i, state) in [Draining, Serving, Shedding, Serving].into_iter().enumerate() {
            fleet.set_state(4, state);
            fleet.run(Duration::from_secs(40));
            // After draining, a target is cold before it serves.
            let expected = [1, 3, 4, 5][i];
            let state_changes: Vec<_> = fleet.nodes.iter().map(|node| node.state_changes).collect();
            assert!(
                state_changes.iter().all(|n| *n == expected),
                "seed {seed}: {state} {state_changes:?}"
            );
        }
    }
}

#[test]
fn operator_and_probes() {
    let mut fleet = settled_fleet(1);
    fleet.put_operator_states(0, json!([{"id": 4, "state": "draining", "version": 1}]));
    fleet.run(MINUTE);
    assert!(fleet.all_are(4, Draining), "a serving report must not undo a drain");
    fleet.kill(4);
    wait_for_state(&mut fleet, 4, Dead, DETECTION_LIMIT);
    fleet.put_operator_states(0, json!([{"id": 4, "state": "serving", "version": 2}]));
    fleet.run(MINUTE);
    assert!(fleet.all_are(4, Dead), "operators must not revive a dead target");
}

#[test]
fn partitioned_prober() {
    for seed in 1..=20 {
        let mut fleet = settled_fleet(seed);
        fleet.partition(|id| u32::from(id == 5), |_| 0);
        fleet.run(Duration::from_millis(1_000 + 1_300 * seed));
        assert_eq!(count_dead(&fleet), 0, "seed {seed}, during the partition");
        fleet.partition(|_| 0, |_| 0);
        fleet.run(Duration::from_secs(30));
        assert_eq!(count_dead(&fleet), 0, "seed {seed}, after healing");
    }
}

#[test]
fn unreachable_targets() {
    // The instance still reaches its peers, but no target.
    let mut fleet = settled_fleet(1);
    fleet.failing_prober = Some(4);
    fleet.run(MINUTE);
    for target in 1..=18 {
        assert!(fleet.all_are(target, Serving), "{target}: {:?}", fleet.states(target));
    }
}

#[test]
fn domain_partition() {
    // Partitions of any length: results of probes from before and after healing must not be
    // combined.
    for seed in 1..=20 {
        let mut fleet = settled_fleet(seed);
        let isolated = |id| u32::from(domain(id) == domain(1));
        fleet.partition(isolated, isolated);
        fleet.run(Duration::from_millis(1_000 + 1_300 * seed));
        assert_eq!(count_dead(&fleet), 0, "seed {seed}, during the partition");
        fleet.partition(|_| 0, |_| 0);
        fleet.run(Duration::from_secs(30));
        assert_eq!(count_dead(&fleet), 0, "seed {seed}, after healing");
    }
}

fn same_domain(node: usize, target: u32) -> bool {
    domain(node as u32 + 1) == domain(target)
}

#[test]
fn partition_placement() {
    // Instances in a partitioned failure domain place new flows only on targets there.
    let mut fleet = settled_fleet(1);
    let isolated = |id| u32::from(domain(id) == domain(1));
    fleet.partition(isolated, isolated);
    fleet.run(Duration::from_secs(5));
    for (node, target) in (0..18).flat_map(|node| (1..=18).map(move |target| (node, target))) {
        let same_partition = isolated(node as u32 + 1) == isolated(target);
        let expected = if same_partition { Serving } else { Shedding };
        assert_eq!(fleet.state(node, target), expected, "node {node}, target {target}");
    }
    fleet.partition(|_| 0, |_| 0);
    let healed = fleet.run_until(Duration::from_secs(4), |fleet| {
        (1..=18).all(|target| fleet.all_are(target, Serving))
    });
    let states: Vec<_> = (1..=18).map(|target| fleet.states(target)).collect();
    assert!(healed.is_some(), "{states:?}");
}

#[test]
fn domain_without_instances() {
    // All instances of a failure domain are unreachable, but its targets still answer.
    let mut fleet = settled_fleet(1);
    fleet.partition(|id| u32::from(domain(id) == domain(1)), |_| 0);
    fleet.run(Duration::from_secs(10));
    let remote: Vec<_> = (0..18).filter(|&node| !same_domain(node, 1)).collect();
    assert_eq!(remote.len(), 12);
    for seconds in 0..30 {
        let serving = remote.iter().all(|&node| fleet.state(node, 1) == Serving);
        assert!(serving, "after {seconds} s: {:?}", fleet.states(1));
        fleet.run(Duration::from_secs(1));
    }
}

#[test]
fn killed_during_partition() {
    let mut fleet = settled_fleet(1);
    let isolated = |id| u32::from(domain(id) == domain(1));
    fleet.partition(isolated, isolated);
    fleet.run(MINUTE);
    fleet.kill(2);
    fleet.run(MINUTE);
    let dead_in = |fleet: &Fleet, isolated: bool| {
        let nodes = (0..18).filter(|&node| (domain(node + 1) == domain(1)) == isolated);
        nodes.filter(|&node| fleet.state(node as usize, 2) == Dead).count()
    };
    assert_eq!(dead_in(&fleet, false), 12);
    assert_eq!(dead_in(&fleet, true), 0);
    fleet.partition(|_| 0, |_| 0);
    wait_for_state(&mut fleet, 2, Dead, Duration::from_secs(10));
}

#[test]
fn several_killed() {
    let mut fleet = settled_fleet(1);
    for target in [1, 4, 7, 10] {
        fleet.kill(target);
    }
    let limit = Duration::from_secs(30);
    let took =
        fleet.run_until(limit, |fleet| [1, 4, 7, 10].iter().all(|&t| fleet.all_are(t, Dead)));
    assert!(took.is_some());
    assert_eq!(count_dead(&fleet), 4 * 18);
}

#[test]
fn whole_domain_killed() {
    // This looks like a partition: no target is declared dead, but they get no new flows.
    let mut fleet = settled_fleet(1);
    let killed: Vec<_> = (1..=18).filter(|&target| domain(target) == domain(1)).collect();
    killed.iter().for_each(|&target| fleet.kill(target));
    let all_are = |fleet: &Fleet, state| killed.iter().all(|&target| fleet.all_are(target, state));
    let avoided = fleet.run_until(Duration::from_secs(12), |fleet| all_are(fleet, Shedding));
    assert!(avoided.is_some());
    fleet.run(MINUTE);
    assert!(all_are(&fleet, Shedding));
    assert!(fleet.all_are(2, Serving));
    killed.iter().for_each(|&target| fleet.set_state(target, Serving));
    let recovered = fleet.run_until(Duration::from_secs(12), |fleet| all_are(fleet, Serving));
    assert!(recovered.is_some());
}

#[test]
fn flapping_target() {
    let mut fleet = settled_fleet(1);
    for _ in 0..30 {
        fleet.kill(4);
        fleet.run(Duration::from_secs(10));
        fleet.set_state(4, Serving);
        fleet.run(Duration::from_secs(10));
    }
    let max = fleet.nodes.iter().map(|node| node.state_changes).max();
    assert!(max <= Some(8), "{max:?} changes in ten minutes");
}

#[test]
fn two_instances() {
    let mut fleet = Fleet::new(2, 6, 1);
    fleet.run(Duration::from_secs(5));
    fleet.kill(3);
    wait_for_state(&mut fleet, 3, Dead, Duration::from_secs(15));
}
