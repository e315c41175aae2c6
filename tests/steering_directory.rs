//! Tests of the target directory with records in any order.

#[path = "support/mod.rs"]
mod checks;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use checks::checker;
use limpetdeck::platform::Position;
use limpetdeck::steering::{Target, TargetDirectory, TargetRecord, TargetState};
use support::*;

fn eligible(targets: &TargetDirectory, now: Duration) -> Vec<u64> {
    let mut keys: Vec<_> = targets.eligible(now, STATION).map(|(target, _)| target.key).collect();
    keys.sort_unstable();
    keys
}

/// Records lead to the same state in any order, also if some are repeated.
#[test]
fn any_order() {
    fn property(changes: Vec<(u8, bool)>, order: Vec<usize>) -> bool {
        let records: Vec<TargetRecord> = changes
            .iter()
            .enumerate()
            .map(|(i, &(key, present))| {
                let (key, revision) = (u64::from(key % 5) + 1, i as u64 + 1);
                let target = Target { incarnation: revision, ..target(key, STATION) };
                if present { record(revision, target) } else { removal(revision, key) }
            })
            .collect();
        let (mut ordered, mut shuffled) = (TargetDirectory::default(), TargetDirectory::default());
        for record in &records {
            ordered.merge(Duration::ZERO, record.clone());
        }
        for i in order.iter().filter(|_| !records.is_empty()) {
            shuffled.merge(Duration::ZERO, records[i % records.len()].clone());
        }
        // A removal is ignored while the target is unknown, so all records are merged twice.
        for record in records.iter().rev().chain(&records) {
            shuffled.merge(Duration::ZERO, record.clone());
        }
        eligible(&ordered, ms(1)) == eligible(&shuffled, ms(1))
    }
    checker(200).quickcheck(property as fn(Vec<(u8, bool)>, Vec<usize>) -> bool);
}

#[test]
fn draining() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(
        ms(0),
        at(5),
        vec![record(3, target(1, STATION)), record(4, target(2, STATION))],
    );
    let draining = Target { state: TargetState::Draining, ..target(1, STATION) };
    assert!(targets.merge(ms(10), record(6, draining)));
    assert_eq!(eligible(&targets, ms(10)), [2]);
    // An older record must not undo the change.
    assert!(!targets.merge(ms(20), record(3, target(1, STATION))));
    assert_eq!(eligible(&targets, ms(20)), [2]);
}

#[test]
fn warming_up() {
    let mut targets = TargetDirectory::default();
    let cold = |cold| Target { warm_up_left: ms(cold), ..target(1, STATION) };
    assert!(targets.merge(ms(0), record(3, cold(2_000))));
    assert!(!targets.merge(ms(700), record(4, cold(1_300))));
    let (_, left) = targets.eligible(ms(700), STATION).next().expect("a target");
    assert_eq!(left, ms(1_300));
}

fn warm_up_left(targets: &TargetDirectory, now: Duration) -> Duration {
    targets.eligible(now, STATION).next().expect("a target").1
}

/// A target becomes cold again without a restart: instances that ignore that send it more flows than
/// it accepts. The countdown, with delays of its records, is no change that has to be spread.
#[test]
fn cold_again() {
    let mut targets = TargetDirectory::default();
    let cold = |cold| Target { warm_up_left: ms(cold), ..target(1, STATION) };
    assert!(targets.merge(ms(0), record(3, cold(2_000))));
    for nth in 1..=20 {
        let delay = nth % 3 * 150;
        assert!(!targets.merge(ms(nth * 100 + delay), record(3 + nth, cold(2_000 - nth * 100))));
    }
    assert!(targets.merge(ms(2_400), record(30, cold(1_500))));
    assert_eq!(warm_up_left(&targets, ms(2_500)), ms(1_400));
    // A peer sends the record once more, and another one sends an older one.
    assert!(!targets.merge(ms(2_600), record(30, cold(1_500))));
    assert!(!targets.merge(ms(2_600), record(20, cold(2_000))));
    assert_eq!(warm_up_left(&targets, ms(3_900)), ms(0));
}

/// Each record makes the warm-up a little longer: if it were compared with the one before, instances
/// that get no further records would take the target for warm too early.
#[test]
fn small_extensions() {
    let mut targets = TargetDirectory::default();
    let cold = Target { warm_up_left: ms(2_000), ..target(1, STATION) };
    let changes = (0..7).map(|nth| targets.merge(ms(nth * 300), record(3 + nth, cold.clone())));
    assert_eq!(changes.collect::<Vec<_>>(), [true, false, true, false, true, false, true]);
}

/// A copy of the platform's data holds the start of a warm-up that is over: callers would be refused
/// while all targets seem cold.
#[test]
fn warm_up_in_copy() {
    let mut targets = TargetDirectory::default();
    let cold = |cold| Target { warm_up_left: ms(cold), ..target(1, STATION) };
    targets.replace_all(ms(0), at(5), vec![record(3, cold(2_000))]);
    let restored = |revision, target| TargetRecord {
        position: Position::new(1, revision),
        ..record(revision, target)
    };
    targets.replace_all(ms(9_000), Position::new(1, 4), vec![restored(3, cold(2_000))]);
    assert_eq!(warm_up_left(&targets, ms(9_000)), ms(0));
    assert!(targets.merge(ms(9_100), restored(6, cold(2_000))));
    assert_eq!(warm_up_left(&targets, ms(9_100)), ms(2_000));
}

/// The entry of a target expires during an outage long after its warm-up: it does not look cold in the
/// grace period.
#[test]
fn warm_in_grace() {
    let mut targets = TargetDirectory::default();
    let cold = Target { warm_up_left: ms(2_000), ..target(1, STATION) };
    targets.replace_all(ms(0), at(5), vec![record(3, cold)]);
    targets.start_removal_grace(ms(10_000));
    targets.replace_all(ms(10_010), at(9), vec![]);
    assert_eq!(warm_up_left(&targets, ms(10_020)), ms(0));
}

#[test]
fn removed_kept() {
    let mut targets = TargetDirectory::default();
    targets.merge(ms(0), record(3, target(1, STATION)));
    targets.merge(ms(0), removal(4, 1));
    assert!(eligible(&targets, ms(1)).is_empty());
    targets.expire(Duration::from_secs(59));
    assert!(targets.get((1, 1_000)).is_some());
    targets.expire(Duration::from_secs(61));
    assert!(targets.get((1, 1_000)).is_none());
}

/// Targets whose entries expired during a platform outage stay in use until they are registered
/// again or the grace period ends.
#[test]
fn grace_after_outage() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(
        ms(0),
        at(5),
        vec![record(3, target(1, STATION)), record(4, target(2, STATION))],
    );
    targets.start_removal_grace(ms(10_000));
    targets.replace_all(ms(10_010), at(9), vec![]);
    assert_eq!(eligible(&targets, ms(10_020)), [1, 2]);
    targets.merge(ms(11_000), record(10, target(1, STATION)));
    assert_eq!(eligible(&targets, ms(12_400)), [1]);
}

/// Without an earlier outage, a removed target is out of use at once.
#[test]
fn removed_without_outage() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(ms(0), at(5), vec![record(3, target(1, STATION))]);
    targets.merge(ms(10), removal(6, 1));
    assert!(eligible(&targets, ms(10)).is_empty());
}

/// A target lapsed and came back unchanged while this instance saw neither: a peer that is behind
/// and still reports the removal does not remove it.
#[test]
fn removal_before_return() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(ms(0), at(5), vec![record(3, target(1, STATION))]);
    assert!(!targets.merge(ms(10), record(8, target(1, STATION))));
    targets.advance_complete_up_to(at(8));
    assert!(!targets.merge(ms(20), removal(6, 1)));
    assert_eq!(eligible(&targets, ms(20)), [1]);
}

#[test]
fn changes_since() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(
        ms(0),
        at(5),
        vec![record(3, target(1, STATION)), record(5, target(2, STATION))],
    );
    targets.merge(ms(1), removal(8, 1));
    let changes: Vec<_> =
        targets.since(at(3)).into_iter().map(|r| (r.key, r.position.revision)).collect();
    assert_eq!(changes, [(2, 5), (1, 8)]);
}

#[test]
fn outdated_record() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(ms(0), at(20), vec![]);
    // It is not in the list at revision 20, so it had been removed by then.
    assert!(!targets.merge(ms(1), record(12, target(1, STATION))));
}

/// A removed target that is learnt from a peer gets no new flows, not even right after an outage.
#[test]
fn removed_from_peer() {
    let mut targets = TargetDirectory::default();
    targets.replace_all(ms(0), at(20), vec![record(3, target(2, STATION))]);
    targets.start_removal_grace(ms(0));
    targets.insert_removed(ms(1), target(1, STATION));
    targets.insert_removed(ms(1), target(2, STATION));
    assert_eq!(eligible(&targets, ms(2)), [2]);
    assert!(targets.is_removed(ms(2), (1, 1_000)));
    // A new registration has a higher revision.
    assert!(!targets.merge(ms(3), record(20, target(1, STATION))));
    assert!(targets.merge(ms(3), record(21, target(1, STATION))));
    assert_eq!(eligible(&targets, ms(4)), [1, 2]);
}
