//! Results of the probes of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ProbeError, ProbeResult, Report};
use crate::ids::{FailureDomain, InstanceId};
use crate::placement::TargetState;
use crate::services::ReportAddress;

/// Consecutive failed probes from which a target may be dead.
const FAILURE_THRESHOLD: u32 = 3;
/// Time from a failed probe to the next.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a failed probe does not count: the result was read too late.
const LATE_RESULT: Duration = Duration::from_secs(3);
/// Time after which the result of a probe is no longer waited for.
const LOST_RESULT: Duration = Duration::from_secs(30);
/// Time for which the opinion of another prober counts.
const OPINION_TTL: Duration = Duration::from_secs(3);
/// Time for which an answer to another instance rules out that the target is dead: longer than the
/// time between two slow requests for opinions.
const ANSWER_TTL: Duration = Duration::from_secs(12);

/// State of the probes of one target.
#[derive(Debug)]
pub(super) struct ProbeState {
    pub(super) report: ReportAddress,
    pub(super) domain: FailureDomain,
    /// The live instances assigned to probe the target; may not include this one.
    pub(super) probers: Vec<InstanceId>,
    /// Live instances in other failure domains that are asked whether the target answers them.
    pub(super) witnesses: Vec<InstanceId>,
    /// When to stop probing a target that is not assigned to this instance; `None` if it is.
    pub(super) expires_at: Option<Duration>,
    pub(super) next_probe: Duration,
    pub(super) next_opinion_request: Duration,
    in_flight_since: Option<Duration>,
    last_finished: Option<Duration>,
    failures: u32,
    /// Consecutive answers without a valid report.
    errors: u32,
    /// Consecutive failures that are not attributed to a broken path.
    confirmed_failures: u32,
    path_suspect: bool,
    failing_since: Duration,
    /// Consecutive reports of the same state since the last update of the target.
    consistent_reports: u32,
    last_report: Option<Report>,
    opinions: BTreeMap<InstanceId, (Duration, bool)>,
    /// Time of the last update of the target's observed state.
    last_update: Duration,
}

impl ProbeState {
    pub(super) fn new(
        report: ReportAddress,
        domain: FailureDomain,
        probers: Vec<InstanceId>,
        next_probe: Duration,
    ) -> Self {
        Self {
            report,
            domain,
            probers,
            witnesses: Vec::new(),
            expires_at: None,
            next_probe,
            next_opinion_request: next_probe,
            in_flight_since: None,
            last_finished: None,
            failures: 0,
            errors: 0,
            confirmed_failures: 0,
            path_suspect: false,
            failing_since: Duration::ZERO,
            consistent_reports: 0,
            last_report: None,
            opinions: BTreeMap::default(),
            last_update: Duration::ZERO,
        }
    }

    /// Returns whether a probe is to be sent now, and if so marks it as in flight.
    pub(super) fn try_start(&mut self, now: Duration) -> bool {
        if self.in_flight_since.is_some_and(|sent| now >= sent + LOST_RESULT) {
            self.in_flight_since = None;
        }
        if self.in_flight_since.is_some() || now < self.next_probe {
            return false;
        }
        self.in_flight_since = Some(now);
        true
    }

    /// Records the result of a probe. The next one is due after `interval`, or earlier if the
    /// target has just begun to fail.
    pub(super) fn record_result(
        &mut self,
        now: Duration,
        result: &ProbeResult,
        interval: Duration,
    ) {
        let late = self.in_flight_since.is_none_or(|sent| now >= sent + LATE_RESULT);
        match result {
            Ok(report) if report.state != TargetState::Dead => {
                self.errors = 0;
                self.succeed(now, *report, interval);
            }
            Err(ProbeError::Status(_) | ProbeError::InvalidReport(_)) => {
                self.answer_with_error(now, interval);
            }
            _ if late => self.finish(now, RETRY_INTERVAL),
            _ => self.fail(now, interval),
        }
    }

    /// Records an answer without a valid report: the target lives, and after several of them it
    /// counts as one that takes no new work for now.
    fn answer_with_error(&mut self, now: Duration, interval: Duration) {
        self.errors = self.errors.saturating_add(1);
        if self.errors >= FAILURE_THRESHOLD {
            let report = Report { state: TargetState::Shedding, ..Report::default() };
            return self.succeed(now, report, interval);
        }
        self.failures = 0;
        self.confirmed_failures = 0;
        self.path_suspect = false;
        self.consistent_reports = 0;
        self.finish(now, RETRY_INTERVAL);
    }

    fn succeed(&mut self, now: Duration, report: Report, interval: Duration) {
        let same_state = self.last_report.is_some_and(|last| last.state == report.state);
        let outdated = self.in_flight_since.is_some_and(|sent| sent < self.last_update);
        self.consistent_reports = match (outdated, same_state && self.failures == 0) {
            (true, _) => 0,
            (false, true) => self.consistent_reports + 1,
            (false, false) => 1,
        };
        self.failures = 0;
        self.confirmed_failures = 0;
        self.path_suspect = false;
        self.last_report = Some(report);
        self.finish(now, interval);
    }

    fn fail(&mut self, now: Duration, interval: Duration) {
        if self.failures == 0 {
            self.failing_since = now;
        }
        self.failures = self.failures.saturating_add(1);
        self.confirmed_failures = self.confirmed_failures.saturating_add(1);
        self.consistent_reports = 0;
        let pause = if self.is_failing_long() { interval } else { RETRY_INTERVAL };
        self.finish(now, pause);
    }

    fn finish(&mut self, now: Duration, pause: Duration) {
        self.in_flight_since = None;
        self.last_finished = Some(now);
        self.next_probe = now + pause;
    }

    /// Replaces the probers of the target, of which this instance is now one, and the witnesses.
    pub(super) fn with_probers(self, probers: Vec<InstanceId>, witnesses: Vec<InstanceId>) -> Self {
        Self { probers, witnesses, expires_at: None, ..self }
    }

    /// Makes the next probe due now, unless the last result is recent.
    pub(super) fn probe_soon(&mut self, now: Duration) {
        if !self.finished_within(now, RETRY_INTERVAL) {
            self.next_probe = self.next_probe.min(now);
        }
    }

    /// Records an update of the observed state, which makes the reports and opinions so far
    /// obsolete.
    pub(super) fn record_state_update(&mut self, now: Duration) {
        self.last_update = now;
        self.consistent_reports = 0;
        self.opinions.clear();
    }

    pub(super) fn record_opinion(&mut self, now: Duration, from: InstanceId, reachable: bool) {
        self.opinions.insert(from, (now, reachable));
    }

    /// Returns whether the last probe finished at most `age` ago.
    pub(super) fn finished_within(&self, now: Duration, age: Duration) -> bool {
        self.last_finished.is_some_and(|finished| now.saturating_sub(finished) <= age)
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.confirmed_failures >= FAILURE_THRESHOLD
    }

    /// Attributes the failures so far to a broken path.
    pub(super) fn discount_failures(&mut self) {
        self.confirmed_failures = 0;
        self.path_suspect = true;
        self.opinions.clear();
    }

    /// Starts to count failures again once the path works: a target that was partitioned a
    /// moment ago need not be dead.
    pub(super) fn resume_counting(&mut self, now: Duration) {
        if std::mem::take(&mut self.path_suspect) {
            self.failures = 1;
            self.next_probe = self.next_probe.min(now);
        }
    }

    /// Returns when the target last answered, unless it has failed since.
    pub(super) fn last_answer(&self) -> Option<Duration> {
        self.last_finished.filter(|_| self.failures == 0)
    }

    /// Returns whether the last probe finished after another target began to fail.
    pub(super) fn finished_since_failure_of(&self, other: &Self) -> bool {
        self.last_finished.is_some_and(|finished| finished >= other.failing_since)
    }

    /// Returns whether the target has failed so often that quick retries are no longer useful.
    pub(super) fn is_failing_long(&self) -> bool {
        self.failures > 2 * FAILURE_THRESHOLD
    }

    pub(super) fn failing_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.failing_since)
    }

    /// Returns the state that the target reports, and the number of consecutive reports of it
    /// since the last update.
    pub(super) fn reported(&self) -> Option<(TargetState, u32)> {
        let last = self.last_report.filter(|_| self.consistent_reports > 0)?;
        Some((last.state, self.consistent_reports))
    }

    /// Returns whether the target answers another instance.
    pub(super) fn answers_others(&self, now: Duration) -> bool {
        let fresh = |at: Duration| now.saturating_sub(at) <= ANSWER_TTL;
        self.opinions.values().any(|&(at, reachable)| reachable && fresh(at))
    }

    /// Returns whether all other probers report that the target does not answer them.
    pub(super) fn confirmed_by_others(&self, now: Duration, instance_id: InstanceId) -> bool {
        let mut others = self.probers.iter().filter(|&&id| id != instance_id);
        others.all(|id| {
            let opinion = self.opinions.get(id);
            opinion
                .is_some_and(|&(at, reachable)| !reachable && now.saturating_sub(at) <= OPINION_TTL)
        })
    }
}
