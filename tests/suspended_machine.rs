//! Detection of time that the steady clock has not counted, without which packets that waited look fresh.

use std::time::{Duration, SystemTime};

use limpetdeck::daemon::LostTime;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn detector() -> (LostTime, SystemTime) {
    let noon = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    (LostTime::new(ms(500), noon), noon)
}

#[test]
fn suspended() {
    let (mut lost, noon) = detector();
    assert!(lost.detect(ms(510), noon + ms(2_010)));
    assert!(!lost.detect(ms(610), noon + ms(2_110)), "reported once");
}

#[test]
fn stands_still() {
    let (mut lost, noon) = detector();
    assert!(!lost.detect(ms(5_500), noon + ms(5_000)), "the steady clock has counted it");
}

/// A clock that is set hides a suspension, or looks like one.
#[test]
fn clock_set() {
    for after in [noon_after(3_000), noon_before(3_000)] {
        let (mut lost, _) = detector();
        assert!(lost.detect(ms(600), after));
    }
}

#[test]
fn small_differences() {
    let (mut lost, noon) = detector();
    let mut at = noon;
    for n in 1..1_000_u64 {
        at = at + ms(100) + Duration::from_micros(50);
        assert!(!lost.detect(ms(500 + n * 100), at));
    }
    let (mut lost, _) = detector();
    assert!(!lost.detect(ms(501), noon_before(1)));
}

fn noon_after(after: u64) -> SystemTime {
    detector().1 + ms(after)
}

fn noon_before(before: u64) -> SystemTime {
    detector().1 - ms(before)
}
