//! Decides which opening packets are admitted, held back or refused under overload, without I/O.
//!
//! Load pattern: for some seconds callers send three or four times the normal load. All slots are
//! in use, the queues of the targets fill, and the targets then refuse requests of any priority;
//! callers that were refused retry twice, at once. Openings above a limit of requests in flight per
//! slot are therefore held back, urgent ones above a higher limit, and are released in the order of
//! their priority. What cannot be served in time is refused before a target has seen it.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::late_openings::MAX_AGE;
use super::response_times::ResponseTimes;
use crate::hash::HashMap;
use crate::ids::InstanceId;

/// Requests in flight per slot up to which the most urgent openings are admitted.
const URGENT_LIMIT: f64 = 3.0;
/// Requests in flight per slot up to which other openings are admitted: all slots are in use, and
/// as many requests wait.
const LIMIT: f64 = 2.0;
/// Requests in flight per slot up to which callers that have missed their latency target are
/// admitted.
const LATE_LIMIT: f64 = 1.5;
/// Requests in flight per slot at which a service no longer counts as full. Admission keeps it near
/// [`LIMIT`] during overload, so that without this distance it would alternate.
const FULL_UNTIL: f64 = 1.5;
/// Requests in flight per slot at which a service counts as full while its usual response time is not
/// known.
const LIMIT_ALONE: f64 = 3.0;
/// Time constant of the moving average: long compared to a request, and short compared to the
/// 600 ms in which targets fill their queues at four times the load.
const AVERAGING_TIME: Duration = Duration::from_millis(250);
/// Time constant at instances whose share of the slots is below [`SMALL_SHARE`]. Several requests in
/// flight at once by chance made them full at 250 ms: 2 of 4,044 openings were held at normal load
/// at 300 instances.
const LONG_AVERAGING_TIME: Duration = Duration::from_millis(400);
/// Slots for each instance below which a single request weighs much.
const SMALL_SHARE: f64 = 2.0;
/// Longest time for which one sample stands, so that none counts alone after a start or a pause.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(100);
/// Part of the latency target within which an opening has to be released to be answered in time; a
/// request waits at a target behind up to four others per slot. At 0.5, twice as many answers came
/// late as at 0.3 (399 and 194 of 16,500 at four times the load and 24 instances).
const RELEASE_FRACTION: f64 = 0.3;
/// Time constant of release rates, and time for which a service has to be full before release rates
/// are meaningful.
const RATE_TIME: Duration = Duration::from_millis(500);
/// Of this many urgent openings that are admitted while others are held, the last is followed by one
/// of the others, which makes one in eight.
pub(in crate::steering) const URGENT_IN_A_ROW: u32 = 7;
/// Time without other openings after which urgent ones may be refused. An instance whose share is
/// below one slot admits few openings; at 500 ms, 25 urgent ones of 5,300 were refused at 300
/// instances.
const OTHERS_PAUSE: Duration = Duration::from_secs(2);
/// Age up to which the report of a peer counts.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Number of peers that have to report that they are full before openings are refused.
const FULL_PEERS: usize = 2;
/// Time for which the first attempt of a refused caller is remembered.
const REFUSED_TIME: Duration = Duration::from_secs(3);
/// Maximum number of refused callers that are remembered, 40 bytes each; the oldest go first.
const MAX_REFUSED: usize = 1_024;

/// Load of a service, as one of several instances sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests in flight through this instance; not counted while the service is not full.
    pub in_flight: u32,
    /// Slots of all targets.
    pub slots: u32,
    /// Number of instances that share the targets.
    pub instances: usize,
    /// Whether the average of the requests in flight per slot is high.
    pub full: bool,
}

impl ServiceLoad {
    /// Returns this instance's share of the slots.
    fn share(&self) -> f64 {
        f64::from(self.slots.max(1)) / self.instances.max(1) as f64
    }

    /// Estimates the requests in flight per slot through all instances.
    pub fn per_slot(&self) -> f64 {
        f64::from(self.in_flight) / self.share()
    }

    /// Returns whether a slot is free, as far as this instance knows.
    pub fn has_free_slot(&self) -> bool {
        !self.full || self.per_slot() < 1.0
    }
}

/// Moving average of the requests in flight per slot of a service.
#[derive(Debug, Default)]
pub struct LoadMeter {
    last_sample: Duration,
    average: f64,
    full_since: Option<Duration>,
    response_times: ResponseTimes,
}

impl LoadMeter {
    /// Records the time from a request on an open flow to its first response.
    pub fn record_response(&mut self, domain: &str, waited: Duration) {
        let is_normal_load = !self.is_full() && self.average < LIMIT;
        self.response_times.record(domain, waited, is_normal_load);
    }

    /// Sets the failure domains that have targets.
    pub fn set_domains<'a>(&mut self, domains: impl Iterator<Item = &'a str>) {
        self.response_times.set_domains(domains);
    }

    /// Returns the usual response time, if it is known.
    pub fn usual_response_time(&self) -> Option<Duration> {
        self.response_times.usual()
    }

    /// Records the load now. Returns whether the service has become full or is full no more.
    pub fn sample(&mut self, now: Duration, load: ServiceLoad) -> bool {
        let elapsed = now.saturating_sub(self.last_sample).min(MAX_SAMPLE_TIME);
        self.last_sample = now;
        let is_small = load.share() < SMALL_SHARE;
        let decay = decay(elapsed, if is_small { LONG_AVERAGING_TIME } else { AVERAGING_TIME });
        self.average = self.average * decay + load.per_slot() * (1.0 - decay);
        let was_full = self.is_full();
        let is_full = match self.response_times.is_queueing(was_full) {
            Some(is_queueing) => {
                is_queueing && self.average >= if was_full { FULL_UNTIL } else { LIMIT }
            }
            None => self.average >= if was_full { FULL_UNTIL } else { LIMIT_ALONE },
        };
        self.full_since = self.full_since.filter(|_| is_full).or_else(|| is_full.then_some(now));
        was_full != is_full
    }

    /// Returns the average.
    pub fn average(&self) -> f64 {
        self.average
    }

    /// Returns whether the service is full.
    pub fn is_full(&self) -> bool {
        self.full_since.is_some()
    }

    /// Returns whether the service has been full for long enough to know release rates.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.full_since.is_some_and(|since| now >= since + RATE_TIME)
    }
}

/// What the decision about an opening packet depends on, apart from the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpeningClass {
    /// Whether no route that shares targets with this one has a more urgent priority.
    pub urgent: bool,
    /// Time within which the caller expects a response.
    pub latency_target: Duration,
    /// Time after which the caller gives up, if it is known.
    pub timeout: Option<Duration>,
    /// When the caller sent its first attempt, before any refusal.
    pub first_attempt: Duration,
}

/// Place of an opening in the order of release, lower ones first.
pub type Rank = u8;

impl OpeningClass {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.first_attempt)
    }

    /// Returns whether the answer will be in time if the opening is released now.
    pub fn is_in_time(&self, now: Duration) -> bool {
        self.age(now) <= self.latency_target.mul_f64(RELEASE_FRACTION)
    }

    /// Returns the time for which the answer will still be in time.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.latency_target.mul_f64(RELEASE_FRACTION).saturating_sub(self.age(now))
    }

    /// Returns the rank: urgent openings go first, and within a class those in time.
    pub fn rank(&self, now: Duration) -> Rank {
        2 * Rank::from(!self.urgent) + Rank::from(!self.is_in_time(now))
    }

    /// Returns whether there is room for the opening. `waited` is the age of this attempt; none
    /// waits longer than its packet would be repeated.
    pub fn has_room(&self, now: Duration, waited: Duration, load: ServiceLoad) -> bool {
        if has_to_go(waited) {
            return true;
        }
        if self.is_late(now) {
            // A single request of one's own is always let through, as on routes without classes.
            return load.in_flight < 1 || load.per_slot() < LATE_LIMIT;
        }
        !load.full || load.per_slot() < if self.urgent { URGENT_LIMIT } else { LIMIT }
    }

    /// Returns whether the caller has missed its latency target.
    pub fn is_late(&self, now: Duration) -> bool {
        self.age(now) > self.latency_target
    }

    /// Returns the time for which the caller will still wait to be released.
    pub fn patience(&self, now: Duration, waited: Duration) -> Duration {
        let until_timeout = self.timeout.map(|timeout| timeout.saturating_sub(self.age(now)));
        MAX_AGE.saturating_sub(waited).min(until_timeout.unwrap_or(MAX_AGE))
    }
}

/// Returns whether an opening is forwarded whatever the load, given the age of its first copy.
pub fn has_to_go(waited: Duration) -> bool {
    waited >= MAX_AGE
}

/// Number of openings that would be released before another one, how fast, and how long it can wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Queueing {
    /// Openings of the same rank that are held ahead of it.
    pub ahead: usize,
    /// Openings of that rank released per second.
    pub release_rate: f64,
    /// Time for which it has the rank and its caller waits.
    pub time: Duration,
}

impl Queueing {
    fn is_too_long(&self) -> bool {
        (self.ahead + 1) as f64 > self.release_rate * self.time.as_secs_f64()
    }
}

/// The wait that an opening has to expect. If it cannot be released while it is in time, it goes
/// behind all that are.
///
/// A caller that is refused retries through another instance, which cannot know that. Refused at
/// once, its retry may still be answered in time; refused after a wait, it takes the slot of a caller
/// that comes for the first time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedWait {
    /// While it is in time.
    pub in_time: Queueing,
    /// Afterwards.
    pub late: Queueing,
}

impl ExpectedWait {
    /// Returns whether the opening would be released too late.
    pub fn is_too_long(&self) -> bool {
        self.in_time.is_too_long() && self.late.is_too_long()
    }
}

/// Returns whether urgent openings may be refused: no other ones were admitted lately, except in
/// their turn. `other_admitted` is when the last one was.
pub fn may_refuse_urgent(now: Duration, other_admitted: Option<Duration>) -> bool {
    other_admitted.is_none_or(|at| now >= at + OTHERS_PAUSE)
}

/// Rate at which openings of one rank and address are released.
#[derive(Debug, Clone, Copy, Default)]
struct ReleaseRate {
    last: Duration,
    count: f64,
}

impl ReleaseRate {
    fn decayed(&self, now: Duration) -> f64 {
        self.count * decay(now.saturating_sub(self.last), RATE_TIME)
    }
}

/// Recent rates of release, by address and rank.
#[derive(Debug, Default)]
pub struct ReleaseRates(HashMap<(SocketAddrV4, Rank), ReleaseRate>);

impl ReleaseRates {
    /// Records that an opening was released or admitted at once.
    pub fn record(&mut self, now: Duration, service: SocketAddrV4, rank: Rank) {
        let rate = self.0.entry((service, rank)).or_default();
        *rate = ReleaseRate { last: now, count: rate.decayed(now) + 1.0 };
    }

    /// Returns the openings released per second.
    pub fn per_second(&self, now: Duration, service: SocketAddrV4, rank: Rank) -> f64 {
        let rate = self.0.get(&(service, rank)).copied().unwrap_or_default();
        rate.decayed(now) / RATE_TIME.as_secs_f64()
    }

    /// Forgets all rates.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// Reports of peers that they are full, by service.
#[derive(Debug, Default)]
pub struct FullPeers(HashMap<(u32, InstanceId), Duration>);

impl FullPeers {
    /// Records that a peer is full at a service, given by its fingerprint.
    pub fn record(&mut self, now: Duration, service: u32, peer: InstanceId) {
        self.0.retain(|_, at| now < *at + REPORT_AGE);
        self.0.insert((service, peer), now);
    }

    /// Returns the number of peers that have reported lately that they are full at a service.
    pub fn count(&self, now: Duration, service: u32) -> usize {
        let recent = self.0.iter().filter(|&(_, at)| now < *at + REPORT_AGE);
        recent.filter(|((reported, _), _)| *reported == service).count()
    }

    /// Returns whether enough of the peers of the failure domain are full too.
    pub fn agree(&self, now: Duration, service: u32, local_peers: usize) -> bool {
        self.count(now, service) >= local_peers.min(FULL_PEERS)
    }
}

/// Callers that were refused lately, with the time of their first attempt. Each entry counts for
/// one more attempt, as callers may share an address.
#[derive(Debug, Default)]
pub struct RefusedCallers(VecDeque<RefusedCaller>);

#[derive(Debug)]
struct RefusedCaller {
    refused: Duration,
    caller: Ipv4Addr,
    service: SocketAddrV4,
    first_attempt: Duration,
}

impl RefusedCallers {
    /// Records that a caller was refused. A retry uses another port.
    pub fn record(
        &mut self,
        now: Duration,
        caller: Ipv4Addr,
        service: SocketAddrV4,
        first_attempt: Duration,
    ) {
        if self.0.len() >= MAX_REFUSED {
            self.0.pop_front();
        }
        self.0.push_back(RefusedCaller { refused: now, caller, service, first_attempt });
    }

    /// Returns the time of the first attempt if the caller was refused lately, and forgets it.
    pub fn take(
        &mut self,
        now: Duration,
        caller: Ipv4Addr,
        service: SocketAddrV4,
    ) -> Option<Duration> {
        while self.0.front().is_some_and(|entry| now >= entry.refused + REFUSED_TIME) {
            self.0.pop_front();
        }
        let is_caller = |entry: &RefusedCaller| entry.caller == caller && entry.service == service;
        let entry = self.0.iter().position(is_caller).and_then(|at| self.0.remove(at))?;
        Some(entry.first_attempt)
    }
}

fn decay(elapsed: Duration, time: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time.as_secs_f64()).exp()
}
