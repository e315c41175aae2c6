//! Rules of admission by priority, without instances: who waits, and when an opening is refused.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::net::Ipv4Addr;
use std::time::Duration;

use limpetdeck::steering::{
    ExpectedWait, FullPeers, LoadMeter, Message, OpeningClass, Queueing, RefusedCallers,
    ServiceLoad,
};
use support::*;

fn class(urgent: bool) -> OpeningClass {
    OpeningClass { urgent, latency_target: ms(500), timeout: Some(ms(2_500)), first_attempt: ms(0) }
}

/// Load of 24 instances with 240 slots, as one of them sees it.
fn load(in_flight: u32) -> ServiceLoad {
    ServiceLoad { in_flight, slots: 240, instances: 24, full: true }
}

/// The limits of the three kinds of openings: 3.0, 2.0 and 1.5 requests in flight per slot.
#[test]
fn limits() {
    let highest = |urgent, age: u64| {
        (0..100).take_while(|&n| class(urgent).has_room(ms(age), ms(10), load(n))).count()
    };
    assert_eq!([highest(true, 0), highest(false, 0)], [30, 20]);
    assert_eq!([highest(true, 501), highest(false, 501)], [15, 15]);
    assert!(class(false).has_room(ms(1_200), ms(1_200), load(99)), "held for too long");
    assert!(class(false).has_room(ms(0), ms(0), ServiceLoad { full: false, ..load(99) }));
    // Refused three times over, it is late, but its new packet has not waited.
    assert!(!class(false).has_room(ms(2_000), ms(10), load(99)));
    assert!(!load(10).has_free_slot() && load(9).has_free_slot());
}

/// Urgent openings go first, and within a class those that can still be answered in time.
#[test]
fn order() {
    let ranks = [(true, 0), (true, 400), (false, 0), (false, 400)];
    let ranks = ranks.map(|(urgent, now)| class(urgent).rank(ms(now)));
    assert!(ranks.is_sorted_by(|a, b| a < b));
}

/// At an instance with less than one slot, several requests at once by chance make no overload; a
/// lasting load does, and its end is seen.
#[test]
fn single_samples() {
    let mut meter = LoadMeter::default();
    let sample = |meter: &mut LoadMeter, now, in_flight| {
        meter.sample(now, ServiceLoad { instances: 300, full: false, ..load(in_flight) });
        meter.is_full()
    };
    assert!(!sample(&mut meter, ms(10_000), 5), "the first sample counts alone");
    for n in 1..100 {
        assert!(!sample(&mut meter, ms(10_000 + 100 * n), if n % 10 == 0 { 5 } else { 0 }));
    }
    let full_after = (1..10).find(|n| sample(&mut meter, ms(20_000 + 100 * n), 4));
    assert!(full_after.is_some_and(|n| n <= 4), "{full_after:?}");
    let free_after = (1..10).find(|n| !sample(&mut meter, ms(21_000 + 100 * n), 0));
    assert!(free_after.is_some_and(|n| n <= 5), "{free_after:?}");
}

/// Many requests in flight make no overload while responses take as long as usual, as with one busy
/// failure domain and free slots elsewhere.
#[test]
fn queueing_evidence() {
    let mut meter = LoadMeter::default();
    meter.set_domains(["a", "b"].into_iter());
    let mut now = ms(0);
    let mut sample = |meter: &mut LoadMeter, in_flight| {
        now += ms(100);
        meter.sample(now, ServiceLoad { full: false, ..load(in_flight) });
        meter.is_full()
    };
    (0..30).for_each(|_| meter.record_response("a", ms(60)));
    assert!((0..20).all(|_| !sample(&mut meter, 40)), "full without queueing");
    // The busy domain alone, and quick refusals by targets with full queues.
    (0..50).for_each(|_| meter.record_response("a", ms(100)));
    (0..50).for_each(|_| meter.record_response("b", ms(60)));
    (0..50).for_each(|_| meter.record_response("a", ms(1)));
    assert!(!sample(&mut meter, 40), "full while slots are free elsewhere");
    (0..10).for_each(|_| meter.record_response("b", ms(120)));
    assert!(sample(&mut meter, 40));
    assert_eq!(meter.usual_response_time(), Some(ms(60)), "learned under load");
}

/// Lost or old reports, and reports about other services, allow no refusals.
#[test]
fn lost_reports() {
    let mut peers = FullPeers::default();
    assert!(!peers.agree(ms(0), 1, 7));
    peers.record(ms(0), 1, 2);
    peers.record(ms(400), 1, 2);
    assert!(!peers.agree(ms(500), 1, 7), "one peer that reports twice");
    peers.record(ms(500), 1, 3);
    assert!(peers.agree(ms(600), 1, 7) && !peers.agree(ms(600), 2, 7));
    assert!(!peers.agree(ms(1_400), 1, 7), "the first report is old");
    assert!(peers.agree(ms(1_400), 1, 1), "the only peer is full");
}

/// The longest report stays within its 40 bytes, and a release without it reads all other messages.
#[test]
fn report_size() {
    let bytes = postcard::to_stdvec(&Message::Full(vec![u32::MAX; 6])).expect("plain data");
    assert!(bytes.len() <= 40, "{} bytes", bytes.len());
    let earlier = postcard::to_stdvec(&Message::PullChanges { since: at(1) }).expect("plain data");
    assert!(bytes[0] > earlier[0], "not the last variant");
}

/// An opening is refused only if it is not released while it is in time, nor afterwards.
#[test]
fn expected_waits() {
    let queueing = |ahead, release_rate| Queueing { ahead, release_rate, time: ms(250) };
    let is_refused = |in_time, late| ExpectedWait { in_time, late }.is_too_long();
    assert!(!is_refused(queueing(23, 100.0), queueing(0, 0.0)));
    assert!(is_refused(queueing(25, 100.0), queueing(0, 0.0)));
    assert!(!is_refused(queueing(25, 100.0), queueing(0, 10.0)));
    assert_eq!(class(false).patience(ms(2_400), ms(100)), ms(100), "its time-out ends the wait");
    assert_eq!(class(false).patience(ms(100), ms(100)), ms(1_100));
}

/// A retry keeps the age of the first attempt for 3 s, and only as many as were refused.
#[test]
fn refused_callers() {
    let mut refused = RefusedCallers::default();
    let (caller, service) = (Ipv4Addr::new(100, 64, 0, 7), address(1));
    refused.record(ms(300), caller, service, ms(50));
    assert_eq!(refused.take(ms(301), caller, address(2)), None);
    assert_eq!(refused.take(ms(301), caller, service), Some(ms(50)));
    assert_eq!(refused.take(ms(301), caller, service), None);
    refused.record(ms(300), caller, service, ms(50));
    assert_eq!(refused.take(ms(300) + Duration::from_secs(3), caller, service), None);
    for n in 0..2_000 {
        refused.record(ms(400 + n), caller, service, ms(n));
    }
    assert_eq!(refused.take(ms(2_400), caller, service), Some(ms(976)), "the oldest are evicted");
}
