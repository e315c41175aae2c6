//! Keeps new flows away from targets that fail repeatedly (outlier ejection).
//!
//! Load pattern: a tenth of the targets go down and up in turn. Each is healthy when it gets a flow
//! and gone when the next request arrives on it, so a request that may not run twice fails with each
//! turn. After its second failure, a target gets no new flows for a time that doubles with each
//! further one. After a first crash it gets none for 2 s, but only if targets with three quarters of
//! the slots are steady: a quarter to a third of the requests that failed in replays were on flows
//! opened after it.
//!
//! The record is kept by service and address, because a target that starts again mostly has a new
//! key. A failure counts once, however it is noticed: by its silence, by reports of other instances,
//! and by the entry of its next start.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::Target;
use crate::steering::target::ServiceName;
use crate::steering::token::TargetIncarnation;

/// Time for which a failure counts.
const RETENTION: Duration = Duration::from_secs(30);
/// Minimum time between two failures of a target; reports that arrive sooner are of the same one.
const MIN_FAILURE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a failure within which a restart of the incarnation is that failure. The entry of the
/// next process arrives 1 s or more after the crash, and its address accepts connections before.
const RESTART_TIME: Duration = Duration::from_secs(5);
/// Time without new flows after the first and the second failure; doubles with each further one.
const FIRST_AVOID_TIME: Duration = Duration::from_secs(2);
/// Number of failures from which on that time no longer grows; it is 16 s then.
const MAX_FAILURES: usize = 5;
/// Maximum number of targets with a record, about 150 bytes each.
const MAX_RECORDS: usize = 1_024;
/// Time within which the silence of several targets may have one cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(1_500);
/// If more than one in this many targets fall silent within that time, the network is the cause.
/// Up to a fifth of the targets have been seen to fail independently.
const COMMON_CAUSE_FRACTION: usize = 3;
/// Number of targets up to which silence is never taken for a common cause.
const INDEPENDENT_FAILURES: usize = 2;

/// Whether a target should get new flows, from better to worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Steadiness {
    /// It has not failed recently, or has been back for long enough.
    Steady,
    /// It has just come back from a crash.
    Crashed,
    /// It has failed repeatedly.
    Unsteady,
}

/// Failures of the target at an address.
#[derive(Debug)]
struct Record {
    /// Times of the last failures, at most [`MAX_FAILURES`], with whether each showed in silence.
    failures: Vec<(Duration, bool)>,
    /// Incarnation that failed last, unless that failure had a common cause.
    failed: Option<TargetIncarnation>,
    /// When the target last fell silent, whether or not that counts, unless it has restarted since.
    silent_at: Option<Duration>,
    /// Whether the target has not returned since its last failure.
    down: bool,
    /// When the target returned from its last failure, or failed if its return is not known.
    since: Duration,
}

impl Record {
    fn recent_failures(&self, now: Duration) -> usize {
        self.failures.iter().filter(|(at, _)| now < *at + RETENTION).count()
    }

    fn steadiness(&self, now: Duration, repeatable: bool) -> Steadiness {
        let failures = self.recent_failures(now);
        let time = FIRST_AVOID_TIME * (1 << failures.saturating_sub(2));
        let is_over = now >= self.since + if repeatable { time / 2 } else { time };
        // The first silence may be that of the network, and passes with the next response.
        let is_crash = self.failures.last().is_some_and(|(_, silent)| !silent);
        match failures {
            _ if is_over => Steadiness::Steady,
            2.. => Steadiness::Unsteady,
            1 if is_crash => Steadiness::Crashed,
            _ => Steadiness::Steady,
        }
    }

    /// Returns whether this failure of an incarnation, by its silence or else its restart, is not
    /// known yet.
    fn is_new(&self, now: Duration, failed: TargetIncarnation, silent: bool) -> bool {
        let Some(&(at, _)) = self.failures.last() else { return true };
        let is_known =
            Some(failed) == self.failed && (self.down || !silent && now < at + RESTART_TIME);
        !is_known && now >= at + MIN_FAILURE_INTERVAL
    }

    fn add(&mut self, now: Duration, failed: TargetIncarnation, silent: bool) {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push((now, silent));
        (self.failed, self.since, self.down) = (Some(failed), now, true);
        if silent {
            self.silent_at = Some(now);
        }
    }

    fn fell_silent_since(&self, since: Duration) -> bool {
        self.silent_at.is_some_and(|at| at >= since)
    }

    /// Removes the silence since a time, which has a common cause. What follows is a new failure.
    fn remove_silence(&mut self, since: Duration) {
        self.failures.retain(|&(at, silent)| !silent || at < since);
        (self.failed, self.down) = (None, false);
    }
}

/// Failures of the targets of a service.
#[derive(Debug, Default)]
struct ServiceRecords {
    targets: HashMap<SocketAddrV4, Record>,
    /// End of the time in which silence has a common cause and does not count.
    common_cause_until: Duration,
}

/// Recent failures of targets.
#[derive(Debug, Default)]
pub struct FailureRecords {
    services: HashMap<ServiceName, ServiceRecords>,
    /// The targets that responded last, at most two different ones.
    responders: [Option<(TargetIncarnation, Duration)>; 2],
    /// Whether no target is ever avoided.
    disabled: bool,
}

impl FailureRecords {
    /// Lets unsteady targets get new flows like others, to compare the outcomes.
    pub fn disable(&mut self) {
        self.disabled = true;
    }

    /// Returns the number of targets with a record.
    pub fn len(&self) -> usize {
        self.services.values().map(|records| records.targets.len()).sum()
    }

    /// Returns whether no target is to be avoided, as none has a record.
    pub fn is_empty(&self) -> bool {
        self.disabled || self.services.is_empty()
    }

    /// Records a response of a target.
    pub fn record_response(&mut self, now: Duration, target: TargetIncarnation) {
        if self.responders[0].is_none_or(|(last, _)| last != target) {
            self.responders.swap(0, 1);
        }
        self.responders[0] = Some((target, now));
    }

    /// Returns whether another target has responded since a time. If none has, silence is no sign
    /// of a failed target: this instance may be cut off.
    pub fn heard_others(&self, since: Duration, target: TargetIncarnation) -> bool {
        let is_other =
            |&(other, at): &(TargetIncarnation, Duration)| other != target && at >= since;
        self.responders.iter().flatten().any(is_other)
    }

    /// Records that a target has fallen silent or was found dead; the failure domain has `targets`
    /// of its service. Returns whether the target gets no new flows for a time because of that.
    pub fn record_silence(&mut self, now: Duration, target: &Target, targets: usize) -> bool {
        let failed = (target.key, target.incarnation);
        let is_unsteady = self.record(now, &target.service, target.address, failed, true);
        let Some(records) = self.services.get_mut(&target.service) else { return false };
        let since = now.saturating_sub(COMMON_CAUSE_WINDOW);
        let is_silent = |record: &&mut Record| record.fell_silent_since(since);
        let silent = records.targets.values_mut().filter(is_silent).count();
        let is_common = silent > INDEPENDENT_FAILURES && silent * COMMON_CAUSE_FRACTION > targets;
        if !is_common && now >= records.common_cause_until {
            return is_unsteady;
        }
        if is_common {
            records.common_cause_until = now + COMMON_CAUSE_WINDOW;
        }
        records.targets.values_mut().filter(is_silent).for_each(|r| r.remove_silence(since));
        false
    }

    /// Records that a target has started again without having drained. Returns whether it gets no
    /// new flows for a time because of that.
    pub fn record_restart(&mut self, now: Duration, previous: &Target) -> bool {
        let failed = (previous.key, previous.incarnation);
        let is_unsteady = self.record(now, &previous.service, previous.address, failed, false);
        let records = self.services.get_mut(&previous.service);
        let record = records.and_then(|records| records.targets.get_mut(&previous.address));
        if let Some(record) = record {
            if let Some((_, silent)) = record.failures.last_mut() {
                *silent = false;
            }
            (record.down, record.since, record.silent_at) = (false, now, None);
        }
        is_unsteady
    }

    /// Records that the target at an address responds.
    pub fn record_return(&mut self, now: Duration, service: &str, address: SocketAddrV4) {
        let records = self.services.get_mut(service);
        let record = records.and_then(|records| records.targets.get_mut(&address));
        if let Some(record) = record.filter(|record| record.down) {
            (record.down, record.since) = (false, now);
        }
    }

    /// Records that a connection to an address was accepted.
    pub fn record_accepted(&mut self, now: Duration, address: SocketAddr) {
        let SocketAddr::V4(address) = address else { return };
        for records in self.services.values_mut() {
            if let Some(record) = records.targets.get_mut(&address).filter(|record| record.down) {
                (record.down, record.since) = (false, now);
            }
        }
    }

    /// Returns whether a target should get new flows now, of routes whose requests are repeatable or
    /// not.
    pub fn steadiness(&self, now: Duration, target: &Target, repeatable: bool) -> Steadiness {
        let record = self.get(target).filter(|_| !self.disabled);
        record.map_or(Steadiness::Steady, |record| record.steadiness(now, repeatable))
    }

    /// Returns the number of recent failures of a target.
    pub fn count(&self, now: Duration, target: &Target) -> usize {
        self.get(target).map_or(0, |record| record.recent_failures(now))
    }

    /// Returns the number of targets that are unsteady now.
    pub fn unsteady(&self, now: Duration) -> usize {
        let records = self.services.values().flat_map(|records| records.targets.values());
        records.filter(|record| record.steadiness(now, false) == Steadiness::Unsteady).count()
    }

    /// Removes the records of targets without a recent failure.
    pub fn expire(&mut self, now: Duration) {
        for records in self.services.values_mut() {
            let since = now.saturating_sub(COMMON_CAUSE_WINDOW);
            let is_needed = |record: &Record| {
                record.recent_failures(now) > 0 || record.fell_silent_since(since)
            };
            records.targets.retain(|_, record| is_needed(record));
        }
        self.services.retain(|_, records| !records.targets.is_empty());
    }

    fn get(&self, target: &Target) -> Option<&Record> {
        self.services.get(&target.service)?.targets.get(&target.address)
    }

    fn record(
        &mut self,
        now: Duration,
        service: &str,
        address: SocketAddrV4,
        failed: TargetIncarnation,
        silent: bool,
    ) -> bool {
        let is_full = self.len() >= MAX_RECORDS;
        let records = match self.services.get_mut(service) {
            Some(records) => records,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        if is_full && !records.targets.contains_key(&address) {
            return false;
        }
        let record = records.targets.entry(address).or_insert_with(|| Record {
            failures: Vec::new(),
            failed: None,
            silent_at: None,
            down: false,
            since: now,
        });
        if !record.is_new(now, failed, silent) {
            return false;
        }
        record.add(now, failed, silent);
        record.recent_failures(now) > 1
    }
}
