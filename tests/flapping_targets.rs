//! Requests that may not run twice, while a part of the targets goes down and up.

#[path = "support/flapping.rs"]
#[allow(dead_code)]
mod flapping;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use flapping::*;

/// Returns the sum of the outcomes with several seeds.
fn replay(comeback: Comeback, flapping: usize, ejection: bool, once: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=5 {
        let replay = Replay { comeback, flapping, ejection, once, seed };
        let outcome = replay.run();
        sum.requests += outcome.requests;
        sum.failed += outcome.failed;
        sum.late_openings += outcome.late_openings;
        sum.peak_load = sum.peak_load.max(outcome.peak_load);
    }
    println!("{comeback:?} flapping={flapping} ejection={ejection} once={once} {sum:?}");
    sum
}

/// Load pattern: a tenth or a fifth of the targets restart every 1.1 to 1.7 s for 7 s, and get new
/// flows each time. Ejection cannot prevent the failures of each target's first crash. Of the
/// others at most a fifth may remain: 60 of 305 requests is what the design page asks for.
#[test]
fn repeated_restarts() {
    for comeback in [Comeback::NewKey, Comeback::SameKey] {
        for flapping in [4, 8] {
            let first_crashes = replay(comeback, flapping, true, true).failed;
            let without = replay(comeback, flapping, false, false);
            let with = replay(comeback, flapping, true, false);
            let avoidable = without.failed - first_crashes;
            let remaining = with.failed.saturating_sub(first_crashes);
            println!("first_crashes={first_crashes} avoidable={avoidable} remaining={remaining}");
            assert!(remaining * 5 <= avoidable, "{remaining} of {avoidable} failures remain");
            assert!(with.late_openings <= without.late_openings);
            assert!(with.peak_load <= without.peak_load * 5 / 4, "the others are overloaded");
        }
    }
}

/// Targets that lose packets keep their flows: most of these targets are avoided already because
/// they are silent. Ejection must not make that worse.
#[test]
fn repeated_silence() {
    let without = replay(Comeback::SameProcess, 8, false, false);
    let with = replay(Comeback::SameProcess, 8, true, false);
    assert!(with.failed <= without.failed + without.failed / 10);
}

/// A single crash of each of some targets costs no more requests than without the rule.
#[test]
fn single_crashes() {
    let without = replay(Comeback::NewKey, 8, false, true);
    let with = replay(Comeback::NewKey, 8, true, true);
    assert!(with.failed <= without.failed + without.failed / 10);
    assert!(with.peak_load <= without.peak_load * 5 / 4);
}
