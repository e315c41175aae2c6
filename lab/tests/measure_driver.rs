//! The measuring driver itself: runs are reproducible and detect what the naive policy breaks.

mod measuring;

use measuring::measure;

const SEEDS: [u64; 2] = [1, 2];

/// Removes the decision times, which are measured with the wall clock.
fn repeatable(line: &str) -> String {
    line.split(' ').filter(|word| !word.starts_with("decide_ns")).collect::<Vec<_>>().join(" ")
}

#[test]
fn reproducible_line() {
    for policy in ["naive", "epochs"] {
        let run = || repeatable(&measure(policy, "target-leaves+instance-killed", 1).to_string());
        assert_eq!(run(), run());
    }
}

#[test]
fn naive_breaks_flows() {
    for seed in SEEDS {
        for faults in ["target-leaves", "target-returns", "target-leaves+uneven-updates"] {
            assert!(measure("naive", faults, seed).broken_planned > 0);
        }
    }
}

#[test]
fn ideal_keeps_flows() {
    for faults in ["target-leaves", "target-returns+target-leaves", "instance-leaves"] {
        let result = measure("ideal", faults, 1);
        assert_eq!(result.broken_planned + result.refused + result.late_new_work, 0);
    }
}

#[test]
fn unbroken_without_faults() {
    for seed in SEEDS {
        let (naive, epochs) = (measure("naive", "none", seed), measure("epochs", "none", seed));
        assert_eq!(naive.flows, epochs.flows);
        for result in [naive, epochs] {
            assert_eq!(result.broken_planned + result.broken_unplanned + result.refused, 0);
            assert!(result.executions.len() as u64 * 10 > result.flows * 9);
        }
    }
}

#[test]
fn naive_loses_changes() {
    let result = measure("naive", "two-operators+lapsed-lease", 1);
    assert!(result.lost_changes > 0);
    assert!(result.reverts > 0);
}
