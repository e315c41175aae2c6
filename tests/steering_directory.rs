//! What is known of targets, whatever order it comes in.

#[path = "support/mod.rs"]
mod checks;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use checks::checker;
use limpetdeck::steering::{Directory, Target, TargetRecord, TargetState};
use support::*;

fn usable(directory: &Directory, now: Duration) -> Vec<u64> {
    let mut keys: Vec<_> = directory.usable(now, TILL).map(|(target, _)| target.key).collect();
    keys.sort_unstable();
    keys
}

/// Records end in the same state in any order and number.
#[test]
fn any_order() {
    fn property(changes: Vec<(u8, bool)>, order: Vec<usize>) -> bool {
        let records: Vec<TargetRecord> = changes
            .iter()
            .enumerate()
            .map(|(i, &(key, lives))| {
                let (key, revision) = (u64::from(key % 5) + 1, i as u64 + 1);
                let version = Target { start: revision, ..target(key, TILL) };
                if lives { record(revision, version) } else { gone(revision, key) }
            })
            .collect();
        let (mut straight, mut mixed) = (Directory::default(), Directory::default());
        for record in &records {
            straight.merge(Duration::ZERO, record.clone());
        }
        for i in order.iter().filter(|_| !records.is_empty()) {
            mixed.merge(Duration::ZERO, records[i % records.len()].clone());
        }
        // Ends of targets count only once they are known, so all come twice.
        for record in records.iter().rev().chain(&records) {
            mixed.merge(Duration::ZERO, record.clone());
        }
        usable(&straight, ms(1)) == usable(&mixed, ms(1))
    }
    checker(200).quickcheck(property as fn(Vec<(u8, bool)>, Vec<usize>) -> bool);
}

#[test]
fn draining() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 5, vec![record(3, target(1, TILL)), record(4, target(2, TILL))]);
    let drains = Target { state: TargetState::Draining, ..target(1, TILL) };
    assert!(directory.merge(ms(10), record(6, drains)));
    assert_eq!(usable(&directory, ms(10)), [2]);
    // What was said before does not come back.
    assert!(!directory.merge(ms(20), record(3, target(1, TILL))));
    assert_eq!(usable(&directory, ms(20)), [2]);
}

#[test]
fn warming_up() {
    let mut directory = Directory::default();
    let cold = |cold| Target { cold: ms(cold), ..target(1, TILL) };
    assert!(directory.merge(ms(0), record(3, cold(2_000))));
    assert!(!directory.merge(ms(700), record(4, cold(1_300))));
    let (_, left) = directory.usable(ms(700), TILL).next().expect("a target");
    assert_eq!(left, ms(1_300));
}

#[test]
fn gone_remembered() {
    let mut directory = Directory::default();
    directory.merge(ms(0), record(3, target(1, TILL)));
    directory.merge(ms(0), gone(4, 1));
    assert!(usable(&directory, ms(1)).is_empty());
    directory.forget(Duration::from_secs(59));
    assert!(directory.get((1, 1_000)).is_some());
    directory.forget(Duration::from_secs(61));
    assert!(directory.get((1, 1_000)).is_none());
}

/// Entries that lapsed while the platform was away are used until they are back, or must be
/// taken for gone.
#[test]
fn lapsed() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 5, vec![record(3, target(1, TILL)), record(4, target(2, TILL))]);
    directory.platform_regained(ms(10_000));
    directory.replace_all(ms(10_010), 9, vec![]);
    assert_eq!(usable(&directory, ms(10_020)), [1, 2]);
    directory.merge(ms(11_000), record(10, target(1, TILL)));
    assert_eq!(usable(&directory, ms(12_400)), [1]);
}

/// Without an outage before, a target that is gone is gone.
#[test]
fn left() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 5, vec![record(3, target(1, TILL))]);
    directory.merge(ms(10), gone(6, 1));
    assert!(usable(&directory, ms(10)).is_empty());
}

#[test]
fn since() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 5, vec![record(3, target(1, TILL)), record(5, target(2, TILL))]);
    directory.merge(ms(1), gone(8, 1));
    let changes: Vec<_> = directory.since(3).into_iter().map(|r| (r.key, r.revision)).collect();
    assert_eq!(changes, [(2, 5), (1, 8)]);
}

#[test]
fn late_record() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 20, vec![]);
    // The list at revision 20 does not have it, so it was gone by then.
    assert!(!directory.merge(ms(1), record(12, target(1, TILL))));
}

/// A target that others remember is known, but never used, also right after an outage.
#[test]
fn remembered_by_others() {
    let mut directory = Directory::default();
    directory.replace_all(ms(0), 20, vec![record(3, target(2, TILL))]);
    directory.platform_regained(ms(0));
    directory.remember_gone(ms(1), target(1, TILL));
    directory.remember_gone(ms(1), target(2, TILL));
    assert_eq!(usable(&directory, ms(2)), [2]);
    assert!(directory.is_gone(ms(2), (1, 1_000)));
    // Should it be back, the platform says so later.
    assert!(!directory.merge(ms(3), record(20, target(1, TILL))));
    assert!(directory.merge(ms(3), record(21, target(1, TILL))));
    assert_eq!(usable(&directory, ms(4)), [1, 2]);
}
