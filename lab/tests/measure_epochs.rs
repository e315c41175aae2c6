//! Invariants of the daemon's policy, checked with the measuring driver.

mod measuring;

use measuring::measure;

/// Faults under which no work may be duplicated, misrouted or late, with the seed of each run.
const CASES: &[(&str, u64)] = &[
    ("none", 1),
    ("target-leaves", 2),
    ("target-returns+target-leaves", 3),
    ("target-leaves+uneven-updates", 4),
    ("target-leaves+platform-down", 5),
    ("instance-leaves", 6),
    ("instance-joins+instance-leaves", 7),
    ("instance-killed+instance-killed", 8),
    ("instance-paused+target-killed", 9),
    ("target-sheds+port-reused", 10),
    ("domain-and-platform-cut", 11),
    ("answer-lost+instance-joins", 12),
];

#[test]
fn work_executed_once() {
    for &(faults, seed) in CASES {
        let result = measure("epochs", faults, seed);
        assert_eq!(result.executed_twice(), 0);
        assert_eq!(result.refused_but_ran(), 0);
        assert_eq!(result.wrong_service, 0);
        assert_eq!(result.late_new_work, 0);
    }
}

#[test]
fn planned_changes_keep_flows() {
    let planned = ["target-leaves", "target-returns", "target-cold", "instance-leaves"];
    for (faults, seed) in planned.into_iter().zip(1..) {
        assert_eq!(measure("epochs", faults, seed).broken_planned, 0);
    }
}

#[test]
fn no_lost_changes() {
    let faults = ["two-operators", "lapsed-lease", "list-change+platform-slow"];
    for (faults, seed) in faults.into_iter().zip(1..) {
        let result = measure("epochs", faults, seed);
        assert_eq!((result.reverts, result.lost_changes), (0, 0));
    }
}

#[test]
fn burst_is_limited() {
    let result = measure("epochs", "burst", 1);
    assert!(result.overshoot.is_some_and(|overshoot| overshoot <= 0.05));
    assert!(result.wrong_refusals.is_some_and(|wrong| wrong <= 0.01));
    let naive = measure("naive", "burst", 1);
    assert!(naive.overshoot.is_some_and(|overshoot| overshoot > 0.05));
}
