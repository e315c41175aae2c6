//! Reports of contact with the platform, and polls without one, as decided by a single instance.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use limpetdeck::platform::Position;
use limpetdeck::steering::{ContactReport, Gossip, PlatformContact, PollRole};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

const TICK: Duration = Duration::from_millis(100);

/// Returns the polls in each second of instances that share them and have had no contact since the
/// start. Polls get no answer for a time.
fn polls_per_second(sharers: usize, answer_after: Duration, seconds: u64) -> Vec<usize> {
    let contact = |i| PlatformContact::new(ms(0), SmallRng::seed_from_u64(i as u64));
    let mut instances: Vec<_> = (0..sharers).map(|i| (contact(i), None::<Duration>)).collect();
    let mut polls = vec![0; seconds as usize];
    let mut now = ms(0);
    while now + TICK < Duration::from_secs(seconds) {
        now += TICK;
        for (contact, poll) in &mut instances {
            if poll.take_if(|began| now >= *began + answer_after).is_some() {
                contact.end_poll();
            }
            if contact.starts_poll(now, PollRole { watches: false, sharers }) {
                *poll = Some(now);
                polls[now.as_secs() as usize] += 1;
            }
        }
    }
    polls
}

/// Without contact, a failure domain polls as often whatever its size, and less as time passes.
#[test]
fn shared_rate() {
    for sharers in [20, 160] {
        for answer_after in [ms(0), ms(1_200)] {
            let polls = polls_per_second(sharers, answer_after, 30);
            println!("sharers={sharers} answer_after={answer_after:?} polls={polls:?}");
            assert_eq!(polls[0], 0);
            assert!(polls[1..3].iter().sum::<usize>() <= 30, "polls of the first two seconds");
            assert!(polls[4..].iter().all(|&polls| polls <= 5));
        }
    }
}

/// Reports that come in time keep all instances from polling.
#[test]
fn no_poll_in_contact() {
    let mut contact = PlatformContact::new(ms(0), SmallRng::seed_from_u64(1));
    for tick in 1..600 {
        let now = TICK * tick;
        if tick % 14 == 0 {
            contact.record(now);
        }
        assert!(!contact.starts_poll(now, PollRole { watches: false, sharers: 1 }));
    }
}

/// A report is passed on once, and not if it is hardly newer than the last one.
#[test]
fn passed_on_once() {
    let mut contact = PlatformContact::new(ms(0), SmallRng::seed_from_u64(1));
    assert!(contact.record(ms(1_000)));
    assert!(!contact.record(ms(1_000)) && !contact.record(ms(1_200)) && !contact.record(ms(300)));
    assert_eq!(contact.age(ms(2_000)), ms(800));
    assert!(contact.record(ms(1_500)));
}

/// An instance that was paused passes on old reports: they would hide that contact is lost.
#[test]
fn late_copies() {
    let mut gossip = Gossip::new(SmallRng::seed_from_u64(1));
    let report = |incarnation, sequence| ContactReport {
        origin: 7,
        incarnation,
        sequence,
        age_ms: 5,
        routes: 1,
        routes_read: Position::default(),
    };
    assert!(gossip.is_new_contact(ms(0), &report(10, 4)));
    assert!(gossip.is_new_contact(ms(900), &report(10, 6)));
    for late in [report(10, 4), report(10, 6), report(9, 8)] {
        assert!(!gossip.is_new_contact(ms(6_000), &late), "{late:?}");
    }
    assert!(gossip.is_new_contact(ms(7_000), &report(11, 1)), "a later start counts anew");
}

/// Entries of living targets are missing after an outage that the whole failure domain had, for as long
/// as they take to be written again. Losses of some instances, and short ones of all, are none.
#[test]
fn outage_of_some() {
    let mut contact = PlatformContact::new(ms(0), SmallRng::seed_from_u64(1));
    assert!(contact.may_lack_entries(ms(500)), "no contact since the start");
    for at in [1_000, 2_600, 4_200] {
        contact.record(ms(at));
    }
    assert!(!contact.may_lack_entries(ms(4_300)));
    assert!(!contact.may_lack_entries(ms(6_100)), "too short for entries to expire");
    assert!(contact.may_lack_entries(ms(6_300)));
    contact.record(ms(7_000));
    assert!(contact.may_lack_entries(ms(7_100)), "nobody had contact for 2.8 s");
    contact.record(ms(8_600));
    assert!(contact.may_lack_entries(ms(9_200)));
    assert!(!contact.may_lack_entries(ms(9_400)), "all entries are back");
}
