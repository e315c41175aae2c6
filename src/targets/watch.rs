//! What the probes of one target have shown so far.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ProbeResult, Report};
use crate::ids::{FailureDomain, InstanceId};
use crate::placement::TargetState;
use crate::services::ReportAddress;

/// Probes that fail in a row before a target may be dead.
const FAILURES: u32 = 3;
/// Time from a failed probe to the next.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a probe without a result counts as failed.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Time for which the opinion of another prober counts.
const OPINION_HOLDS: Duration = Duration::from_secs(3);

/// The probes of one target.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) report: ReportAddress,
    pub(super) domain: FailureDomain,
    /// The live instances that probe the target, this one among them or not.
    pub(super) probers: Vec<InstanceId>,
    /// When a target that another instance probes is forgotten here.
    pub(super) until: Option<Duration>,
    pub(super) next: Duration,
    pub(super) next_ask: Duration,
    sent: Option<Duration>,
    ended: Option<Duration>,
    failures: u32,
    /// Failures in a row that are not put down to a broken path.
    confirmed: u32,
    doubted: bool,
    failing_since: Duration,
    /// Reports of the same state in a row, since the last statement about the target.
    agreeing: u32,
    last: Option<Report>,
    opinions: BTreeMap<InstanceId, (Duration, bool)>,
    /// When something new was last stated of the target.
    stated: Duration,
}

impl Watch {
    pub(super) fn new(
        report: ReportAddress,
        domain: FailureDomain,
        probers: Vec<InstanceId>,
        next: Duration,
    ) -> Self {
        Self {
            report,
            domain,
            probers,
            until: None,
            next,
            next_ask: next,
            sent: None,
            ended: None,
            failures: 0,
            confirmed: 0,
            doubted: false,
            failing_since: Duration::ZERO,
            agreeing: 0,
            last: None,
            opinions: BTreeMap::default(),
            stated: Duration::ZERO,
        }
    }

    /// Tells whether a probe is to be sent, and notes that it is.
    pub(super) fn start(&mut self, now: Duration, every: Duration) -> bool {
        if self.sent.is_some_and(|sent| now >= sent + LOST_AFTER) {
            self.failed(now, every);
        }
        if self.sent.is_some() || now < self.next {
            return false;
        }
        self.sent = Some(now);
        true
    }

    /// Takes the result of a probe; the next one is due after `every`, or earlier if the
    /// target has just begun to fail.
    pub(super) fn done(&mut self, now: Duration, result: &ProbeResult, every: Duration) {
        match result {
            Ok(report) if report.state != TargetState::Dead => self.answered(now, *report, every),
            _ => self.failed(now, every),
        }
    }

    fn answered(&mut self, now: Duration, report: Report, every: Duration) {
        let same = self.last.is_some_and(|last| last.state == report.state);
        let outdated = self.sent.is_some_and(|sent| sent < self.stated);
        self.agreeing = match (outdated, same && self.failures == 0) {
            (true, _) => 0,
            (false, true) => self.agreeing + 1,
            (false, false) => 1,
        };
        self.failures = 0;
        self.confirmed = 0;
        self.doubted = false;
        self.last = Some(report);
        self.end(now, every);
    }

    fn failed(&mut self, now: Duration, every: Duration) {
        if self.failures == 0 {
            self.failing_since = now;
        }
        self.failures = self.failures.saturating_add(1);
        self.confirmed = self.confirmed.saturating_add(1);
        self.agreeing = 0;
        let pause = if self.settled() { every } else { RETRY_AFTER };
        self.end(now, pause);
    }

    fn end(&mut self, now: Duration, pause: Duration) {
        self.sent = None;
        self.ended = Some(now);
        self.next = now + pause;
    }

    /// Returns the watch for other probers of the target, this instance among them.
    pub(super) fn assigned(self, probers: Vec<InstanceId>) -> Self {
        Self { probers, until: None, ..self }
    }

    /// Probes as soon as possible, unless the last result is fresh.
    pub(super) fn hurry(&mut self, now: Duration) {
        if !self.fresh(now, RETRY_AFTER) {
            self.next = self.next.min(now);
        }
    }

    /// Notes that another state was stated: what was found before counts no more.
    pub(super) fn stated(&mut self, now: Duration) {
        self.stated = now;
        self.agreeing = 0;
        self.opinions.clear();
    }

    pub(super) fn heard(&mut self, now: Duration, from: InstanceId, reachable: bool) {
        self.opinions.insert(from, (now, reachable));
    }

    /// Tells whether the last result is not older than a time.
    pub(super) fn fresh(&self, now: Duration, age: Duration) -> bool {
        self.ended.is_some_and(|ended| now.saturating_sub(ended) <= age)
    }

    pub(super) fn fails(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn unreachable(&self) -> bool {
        self.confirmed >= FAILURES
    }

    /// Puts the failures so far down to a broken path.
    pub(super) fn doubt(&mut self) {
        self.confirmed = 0;
        self.doubted = true;
        self.opinions.clear();
    }

    /// Begins to count again once the path works: what was cut off a moment ago need not
    /// be dead.
    pub(super) fn trust_path(&mut self, now: Duration) {
        if std::mem::take(&mut self.doubted) {
            self.failures = 1;
            self.next = self.next.min(now);
        }
    }

    /// Returns when the target last answered, if it answers.
    pub(super) fn answered_at(&self) -> Option<Duration> {
        self.ended.filter(|_| self.failures == 0)
    }

    /// Tells whether the last probe ended after another target began to fail.
    pub(super) fn ended_since(&self, other: &Self) -> bool {
        self.ended.is_some_and(|ended| ended >= other.failing_since)
    }

    /// Tells whether the target fails for so long that haste is of no more use.
    pub(super) fn settled(&self) -> bool {
        self.failures > 2 * FAILURES
    }

    /// Returns for how long the target has been failing.
    pub(super) fn failing_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.failing_since)
    }

    /// Returns the state that the target reports, and how many times in a row it did since
    /// the last statement about it.
    pub(super) fn reported(&self) -> Option<(TargetState, u32)> {
        let last = self.last.filter(|_| self.agreeing > 0)?;
        Some((last.state, self.agreeing))
    }

    /// Tells whether all other probers say that the target does not answer them.
    pub(super) fn others_agree(&self, now: Duration, me: InstanceId) -> bool {
        let mut others = self.probers.iter().filter(|&&id| id != me);
        others.all(|id| {
            let opinion = self.opinions.get(id);
            opinion.is_some_and(|&(at, reachable)| {
                !reachable && now.saturating_sub(at) <= OPINION_HOLDS
            })
        })
    }
}
