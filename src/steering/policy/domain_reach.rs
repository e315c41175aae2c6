//! Detects that no target of another failure domain can be reached, without I/O.
//!
//! Load pattern: a failure domain whose own targets are drained is partitioned off, so that all of
//! its callers are sent to targets that do not answer. Judged one by one, each of a hundred targets
//! costs several callers their connection before it is avoided, and is tried again seconds later.
//! Here, the first target that leaves a packet unanswered has some others of its domain probed at
//! random. If all of them fail and none has responded meanwhile, the domain as a whole is
//! unreachable: it gets no new flows, and one probe per second detects its return.
//!
//! A release or a crash that takes a fifth of a domain's targets away does not look like that: of
//! three targets that are drawn at random, one responds.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::FailureDomain;
use crate::steering::TargetKey;

/// Number of targets that are probed, and have to fail, for their domain to count as unreachable;
/// all of them if it has fewer.
const PROBED_TARGETS: usize = 3;
/// Time after which a probe counts as failed. A running target accepts within a millisecond, and a
/// lost packet is sent again after 120 ms. An answer that comes later refutes the failure.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a failure counts: several times as long as that of all probes of a round.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Time after a response within which reports of peers are not credible, as they take as long to
/// come about.
const RECENT_RESPONSE: Duration = Duration::from_millis(300);
/// Time within which a repeated report is not passed on, so that its spread ends.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two rounds of probes of a domain.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of a failure domain.
#[derive(Debug, Default)]
struct Reach {
    last_response: Option<Duration>,
    /// When a target last left a packet unanswered, if none has responded since.
    last_silence: Option<Duration>,
    /// Targets whose probes have failed since the last response, each with the time of it.
    failed_probes: Vec<(TargetKey, Duration)>,
    /// Since when the domain has been unreachable, if it is.
    unreachable_since: Option<Duration>,
    /// When a peer last reported it as unreachable.
    last_report: Option<Duration>,
    next_probe: Duration,
}

impl Reach {
    fn is_doubtful(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at + FAILURE_WINDOW;
        self.unreachable_since.is_some()
            || self.last_silence.is_some_and(is_recent)
            || self.failed_probes.iter().any(|&(_, at)| is_recent(at))
    }
}

/// A probe in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Failure domain of the target.
    pub domain: FailureDomain,
    /// The target.
    pub target: TargetKey,
    /// When the probe started.
    pub started: Duration,
}

/// Probes of a failure domain that are due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueProbes {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Number of targets to be probed, or that of all targets if there are fewer.
    pub count: usize,
}

/// A change in the reachability of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachChange {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether it can be reached now.
    pub reachable: bool,
    /// Time for which it was unreachable, or the time since its last response if it is now.
    pub age: Option<Duration>,
}

/// Reachability of the other failure domains.
#[derive(Debug, Default)]
pub struct DomainReach {
    domains: HashMap<FailureDomain, Reach>,
    /// Probes in flight, and whether each has timed out.
    probes: HashMap<SocketAddr, (Probe, bool)>,
    changes: Vec<ReachChange>,
}

impl DomainReach {
    /// Records a response of any target of a domain.
    pub fn record_response(&mut self, now: Duration, domain: &str) {
        let Some(reach) = self.domains.get_mut(domain) else {
            let reach = Reach { last_response: Some(now), ..Reach::default() };
            self.domains.insert(domain.to_owned(), reach);
            return;
        };
        reach.last_response = Some(now);
        reach.last_silence = None;
        reach.failed_probes.clear();
        if let Some(since) = reach.unreachable_since.take() {
            let age = Some(now.saturating_sub(since));
            self.changes.push(ReachChange { domain: domain.to_owned(), reachable: true, age });
        }
    }

    /// Records that a target of a domain has not answered a packet sent at `sent`.
    pub fn record_silence(&mut self, now: Duration, domain: &str, sent: Duration) {
        let reach = self.domains.entry(domain.to_owned()).or_default();
        if reach.last_response.is_none_or(|response| response < sent) {
            reach.last_silence = Some(now);
        }
    }

    /// Records that a probe has failed. `targets` is the number of targets in its domain. Returns
    /// whether this makes the domain unreachable.
    pub fn record_failed_probe(&mut self, now: Duration, probe: &Probe, targets: usize) -> bool {
        let Probe { domain, target, started } = probe;
        let reach = self.domains.entry(domain.clone()).or_default();
        let is_refuted = reach.last_response.is_some_and(|response| response >= *started);
        if is_refuted || reach.unreachable_since.is_some() {
            return false;
        }
        reach.failed_probes.retain(|(key, at)| key != target && now < *at + FAILURE_WINDOW);
        reach.failed_probes.push((*target, now));
        reach.failed_probes.len() >= PROBED_TARGETS.min(targets) && self.close(now, domain)
    }

    /// Records that a peer has found a domain unreachable. Returns whether this is news, to be passed
    /// on. If a target has responded here just now, the domain is only in doubt.
    pub fn record_report(&mut self, now: Duration, domain: &str) -> bool {
        let reach = self.domains.entry(domain.to_owned()).or_default();
        let is_repeated = reach.last_report.is_some_and(|at| now < at + REPORT_INTERVAL);
        if is_repeated || reach.unreachable_since.is_some() {
            return false;
        }
        reach.last_report = Some(now);
        let responded_recently =
            reach.last_response.is_some_and(|response| now < response + RECENT_RESPONSE);
        if responded_recently {
            reach.last_silence = Some(now);
        } else {
            self.close(now, domain);
        }
        true
    }

    fn close(&mut self, now: Duration, domain: &str) -> bool {
        let Some(reach) = self.domains.get_mut(domain) else { return false };
        reach.unreachable_since = Some(now);
        // An answer would refute a wrong report at once.
        reach.next_probe = now;
        let age = reach.last_response.map(|response| now.saturating_sub(response));
        self.changes.push(ReachChange { domain: domain.to_owned(), reachable: false, age });
        true
    }

    /// Returns whether no target of a domain can be reached.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|reach| reach.unreachable_since.is_some())
    }

    /// Returns whether a domain is unreachable, or a target of it has failed recently and none has
    /// responded since.
    pub fn is_doubtful(&self, now: Duration, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|reach| reach.is_doubtful(now))
    }

    /// Returns the number of unreachable domains.
    pub fn unreachable(&self) -> usize {
        self.domains.values().filter(|reach| reach.unreachable_since.is_some()).count()
    }

    /// Returns the probes that are due.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<DueProbes> {
        let mut due = Vec::new();
        for (domain, reach) in &mut self.domains {
            if now >= reach.next_probe && reach.is_doubtful(now) {
                reach.next_probe = now + PROBE_INTERVAL;
                let count = if reach.unreachable_since.is_some() { 1 } else { PROBED_TARGETS };
                due.push(DueProbes { domain: domain.clone(), count });
            }
        }
        due
    }

    /// Records that a probe of an address has started.
    pub fn start_probe(&mut self, address: SocketAddr, probe: Probe) {
        self.probes.insert(address, (probe, false));
    }

    /// Returns the probes that have timed out since the last call.
    pub fn take_timed_out(&mut self, now: Duration) -> Vec<Probe> {
        let in_flight = self.probes.values_mut().filter(|(_, timed_out)| !timed_out);
        let late = in_flight.filter(|(probe, _)| now >= probe.started + PROBE_TIMEOUT);
        let take = |(probe, timed_out): &mut (Probe, bool)| {
            *timed_out = true;
            probe.clone()
        };
        late.map(take).collect()
    }

    /// Ends a probe, and returns it if one of the address is in flight.
    pub fn end_probe(&mut self, address: SocketAddr) -> Option<Probe> {
        self.probes.remove(&address).map(|(probe, _)| probe)
    }

    /// Returns whether anything has changed since [`DomainReach::take_changes`].
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ReachChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets the domains that have no targets.
    pub fn retain(&mut self, mut has_targets: impl FnMut(&str) -> bool) {
        self.domains.retain(|domain, _| has_targets(domain));
    }

    /// Forgets all failures, after a pause of the process: the time without responses was its own.
    pub fn reset(&mut self) {
        self.domains.clear();
        self.probes.clear();
    }
}
