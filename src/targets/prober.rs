//! Probing of the targets assigned to this instance, and the states that follow from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::assignment::Members;
use super::path::{self, MIN_SAMPLE, PathStatus};
use super::probe_state::ProbeState;
use super::state_transition::{ReportedState, next_state};
use super::{FlapDamping, Message, Origin, ProbeResult, Registers};
use crate::budget::Class;
use crate::ids::{FailureDomain, InstanceId, TargetId};
use crate::instance::Action;
use crate::link::Outbox;
use crate::peer::Body;
use crate::placement::TargetState;
use crate::services::{Services, Target};

/// Lower bound of the time between two probes of a target that answers.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two probes by this instance while the targets answer; with many targets it
/// lengthens the probe interval.
const PROBE_SPACING: Duration = Duration::from_millis(700);
/// Bytes that an instance sends for one probe: a TCP connection and a short request.
const PROBE_BYTES: usize = 400;
/// Time between two requests for the other probers' opinions about a target that does not
/// answer.
const OPINION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The same once the target has been failing for long.
const SLOW_OPINION_REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a target of other probers is probed here too.
const EXTRA_PROBE_TIME: Duration = Duration::from_secs(10);
/// Targets of other probers to probe while a target fails, for comparison.
const EXTRA_TARGETS: usize = 3;
/// Consecutive reports that revive a target after its first death.
const REPORTS_TO_REVIVE: u32 = 3;
/// Time for which a revived target counts as cold.
const WARM_UP: Duration = Duration::from_secs(30);

/// Probes the targets assigned to this instance.
#[derive(Debug)]
pub(super) struct Prober {
    instance_id: InstanceId,
    services: Arc<Services>,
    members: Members,
    probes: BTreeMap<TargetId, ProbeState>,
    /// Failure domains to which the path seems broken.
    broken_paths: BTreeSet<FailureDomain>,
    probe_interval: Duration,
    assignment_stale: bool,
    rng: SmallRng,
}

impl Prober {
    pub(super) fn new(instance_id: InstanceId, rng: SmallRng) -> Self {
        Self {
            instance_id,
            services: Arc::default(),
            members: Members::default(),
            probes: BTreeMap::default(),
            broken_paths: BTreeSet::default(),
            probe_interval: MIN_PROBE_INTERVAL,
            assignment_stale: false,
            rng,
        }
    }

    pub(super) fn set_services(&mut self, services: Arc<Services>) {
        self.services = services;
        self.assignment_stale = true;
    }

    pub(super) fn set_members(&mut self, members: Members) {
        self.members = members;
        self.assignment_stale = true;
    }

    /// Sends the probes and the requests for opinions that are due.
    pub(super) fn tick(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        if std::mem::take(&mut self.assignment_stale) {
            self.update_assignment(now);
        }
        self.probes.retain(|_, probe| probe.expires_at.is_none_or(|expires_at| now < expires_at));
        self.update_paths(now, registers);
        for (&target, probe) in &mut self.probes {
            if probe.try_start(now) {
                out.charge(PROBE_BYTES);
                out.push(Action::Probe(target, probe.report.clone()));
            }
        }
        self.request_opinions(now, registers, out);
    }

    /// Requests the other probers' opinions about targets that do not answer.
    fn request_opinions(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        let due = |target: TargetId, probe: &ProbeState| {
            probe.expires_at.is_none()
                && probe.is_failing()
                && now >= probe.next_opinion_request
                && !is_known_dead(registers, target)
                && self.path_status(now, probe, registers) == PathStatus::Works
        };
        let due: Vec<_> = self
            .probes
            .iter()
            .filter(|(target, probe)| due(**target, probe))
            .map(|(&target, _)| target)
            .collect();
        for target in due {
            let Some(probe) = self.probes.get_mut(&target) else { continue };
            probe.next_opinion_request = now
                + if probe.is_failing_long() {
                    SLOW_OPINION_REQUEST_INTERVAL
                } else {
                    OPINION_REQUEST_INTERVAL
                };
            send_suspect(self.instance_id, target, probe, out);
        }
    }

    /// Returns when a target of each failure domain last answered.
    pub(super) fn last_answers(&self) -> BTreeMap<&FailureDomain, Duration> {
        let mut last_answers = BTreeMap::default();
        for probe in self.probes.values() {
            if let Some(at) = probe.last_answer() {
                let last = last_answers.entry(&probe.domain).or_insert(at);
                *last = at.max(*last);
            }
        }
        last_answers
    }

    /// Returns the failure domains to which the path seems broken.
    pub(super) fn broken_paths(&self) -> &BTreeSet<FailureDomain> {
        &self.broken_paths
    }

    /// Returns whether this instance is the highest-ranked prober of a target.
    pub(super) fn is_first_prober(&self, target: TargetId) -> bool {
        let probe = self.probes.get(&target).filter(|probe| probe.expires_at.is_none());
        probe.is_some_and(|probe| probe.probers.first() == Some(&self.instance_id))
    }

    /// Records the result of a probe.
    pub(super) fn record_result(&mut self, now: Duration, target: TargetId, result: &ProbeResult) {
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.record_result(now, result, self.probe_interval);
        }
    }

    /// Probes a target that another prober suspects, and replies if its state is known.
    pub(super) fn on_suspect(
        &mut self,
        now: Duration,
        from: InstanceId,
        target: TargetId,
        registers: &Registers,
        out: &mut Outbox<'_>,
    ) {
        self.add_extra_target(now, target);
        let Some(probe) = self.probes.get_mut(&target) else { return };
        probe.probe_soon(now);
        let probe = &self.probes[&target];
        let answers = !probe.is_failing() && probe.finished_within(now, self.probe_interval * 2);
        let unreachable =
            probe.is_unreachable() && self.path_status(now, probe, registers) == PathStatus::Works;
        if answers || unreachable {
            let message = Message::Opinion { target, reachable: answers };
            out.send(from, Class::Epochs, &Body::Targets(message));
        }
    }

    /// Records the opinion of another prober.
    pub(super) fn on_opinion(
        &mut self,
        now: Duration,
        from: InstanceId,
        target: TargetId,
        reachable: bool,
    ) {
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.record_opinion(now, from, reachable);
        }
    }

    /// Records that the observed state of a target was updated.
    pub(super) fn on_state_update(&mut self, now: Duration, target: TargetId) {
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.record_state_update(now);
        }
    }

    /// Returns the observed states that differ from the registers.
    pub(super) fn observed_changes(
        &mut self,
        now: Duration,
        registers: &Registers,
        flap_damping: &FlapDamping,
    ) -> Vec<(TargetId, TargetState)> {
        let mut changes = Vec::new();
        for (&target, probe) in self.probes.iter().filter(|(_, probe)| probe.expires_at.is_none()) {
            let known = registers.get(target, Origin::Observed).state;
            let state = match probe.reported() {
                Some((state, count)) => {
                    let reports_to_revive =
                        REPORTS_TO_REVIVE * flap_damping.revival_factor(now, target);
                    let warmed_up = flap_damping.cold_for(now, target) >= WARM_UP;
                    next_state(known, ReportedState { state, count, reports_to_revive, warmed_up })
                }
                None if self.is_dead(now, probe, registers) => TargetState::Dead,
                None => known,
            };
            if state != known {
                changes.push((target, state));
            }
        }
        changes
    }

    fn is_dead(&self, now: Duration, probe: &ProbeState, registers: &Registers) -> bool {
        probe.is_unreachable()
            && probe.confirmed_by_others(now, self.instance_id)
            && !probe.answers_others(now)
            && self.path_status(now, probe, registers) == PathStatus::Works
    }

    fn path_status(&self, now: Duration, probe: &ProbeState, registers: &Registers) -> PathStatus {
        let max_age = self.probe_interval * 2;
        let alive = |id| !is_known_dead(registers, id);
        let comparable = self.probes.iter().filter(|(id, other)| {
            other.finished_within(now, max_age)
                && other.finished_since_failure_of(probe)
                && alive(**id)
        });
        let comparable: Vec<_> = comparable.map(|(_, other)| other).collect();
        path::path_status(now, probe, &comparable, || {
            let same_domain = probed_targets(&self.services)
                .filter(|target| target.failure_domain == probe.domain && alive(target.id));
            same_domain.count()
        })
    }

    /// Determines for the targets that do not answer whether the path is broken.
    fn update_paths(&mut self, now: Duration, registers: &Registers) {
        let failing: Vec<_> = self
            .probes
            .iter()
            .filter(|(id, probe)| probe.is_failing() && !is_known_dead(registers, **id))
            .map(|(&id, probe)| (id, self.path_status(now, probe, registers)))
            .collect();
        self.broken_paths.clear();
        let mut domains = BTreeSet::default();
        for (target, status) in failing {
            let Some(probe) = self.probes.get_mut(&target) else { continue };
            match status {
                PathStatus::Works => probe.resume_counting(now),
                PathStatus::Broken => probe.discount_failures(),
                PathStatus::Unknown => {}
            }
            let domain = probe.domain.clone();
            if status == PathStatus::Broken {
                self.broken_paths.insert(domain.clone());
            }
            self.refresh_neighbors(now, target);
            domains.insert(domain);
        }
        for domain in domains {
            self.add_extra_targets(now, &domain, registers);
        }
    }

    /// Probes some answering targets of the same failure domain again if their last result is
    /// older than the failure.
    fn refresh_neighbors(&mut self, now: Duration, target: TargetId) {
        let Some(failing) = self.probes.get(&target) else { return };
        let same_domain = self.probes.iter().filter(|(_, other)| other.domain == failing.domain);
        let old = same_domain.filter(|(_, other)| !other.is_failing()).take(MIN_SAMPLE);
        let old: Vec<_> = old
            .filter(|(_, other)| !other.finished_since_failure_of(failing))
            .map(|(&id, _)| id)
            .collect();
        for id in old {
            if let Some(probe) = self.probes.get_mut(&id) {
                probe.probe_soon(now);
            }
        }
    }

    /// Probes some targets of other probers too, so that there are enough results to compare
    /// with.
    fn add_extra_targets(&mut self, now: Duration, domain: &FailureDomain, registers: &Registers) {
        let extra = self.probes.values().filter(|probe| probe.expires_at.is_some());
        if extra.filter(|probe| probe.domain == *domain).count() >= EXTRA_TARGETS {
            return;
        }
        let services = Arc::clone(&self.services);
        let unknown = probed_targets(&services).filter(|target| {
            !self.probes.contains_key(&target.id) && !is_known_dead(registers, target.id)
        });
        let (same_domain, other_domains): (Vec<_>, Vec<_>) =
            unknown.partition(|target| target.failure_domain == *domain);
        let any_domain = same_domain.is_empty();
        let is_counted = |probe: &&ProbeState| {
            probe.expires_at.is_some() && (any_domain || probe.domain == *domain)
        };
        let missing = EXTRA_TARGETS.saturating_sub(self.probes.values().filter(is_counted).count());
        let candidates = if any_domain { other_domains } else { same_domain };
        let chosen = candidates.into_iter().choose_multiple(&mut self.rng, missing);
        for target in chosen {
            self.add_extra_target(now, target.id);
        }
    }

    fn add_extra_target(&mut self, now: Duration, target: TargetId) {
        let services = Arc::clone(&self.services);
        let Some((_, target)) = services.target(target) else { return };
        if let Some(probe) = self.probes.get_mut(&target.id) {
            if probe.expires_at.is_some() {
                probe.expires_at = Some(now + EXTRA_PROBE_TIME);
            }
            return;
        }
        let Some(report) = target.report.clone() else { return };
        let probers = self.members.probers(target);
        let mut probe = ProbeState::new(report, target.failure_domain.clone(), probers, now);
        probe.expires_at = Some(now + EXTRA_PROBE_TIME);
        self.probes.insert(target.id, probe);
    }

    /// Determines the targets that this instance has to probe.
    fn update_assignment(&mut self, now: Duration) {
        let services = Arc::clone(&self.services);
        let mut old = std::mem::take(&mut self.probes);
        for target in probed_targets(&services) {
            if !self.members.may_probe(self.instance_id, target) {
                continue;
            }
            let probers = self.members.probers(target);
            if probers.contains(&self.instance_id) {
                self.assign_target(now, target, probers, old.remove(&target.id));
            }
        }
        let own = u32::try_from(self.probes.len()).unwrap_or(u32::MAX);
        self.probe_interval = MIN_PROBE_INTERVAL.max(PROBE_SPACING * own);
        let extra = old.into_iter().filter(|(_, probe)| probe.expires_at.is_some());
        self.probes.extend(extra);
    }

    /// Continues to probe a target, or starts after a random delay so that the probes are
    /// spread over time.
    fn assign_target(
        &mut self,
        now: Duration,
        target: &Target,
        probers: Vec<InstanceId>,
        old: Option<ProbeState>,
    ) {
        let Some(report) = target.report.clone() else { return };
        let witnesses = self.members.witnesses(target, &probers);
        let probe = match old.filter(|probe| probe.report == report) {
            Some(probe) => probe,
            None => {
                let next = now + MIN_PROBE_INTERVAL.mul_f64(self.rng.random());
                ProbeState::new(report, target.failure_domain.clone(), Vec::new(), next)
            }
        };
        self.probes.insert(target.id, probe.with_probers(probers, witnesses));
    }
}

fn is_known_dead(registers: &Registers, target: TargetId) -> bool {
    registers.get(target, Origin::Observed).state == TargetState::Dead
}

/// Returns the targets that have a report address.
fn probed_targets(services: &Services) -> impl Iterator<Item = &Target> {
    let all = services.list().iter().flat_map(|service| &service.targets);
    all.filter(|target| target.report.is_some())
}

fn send_suspect(
    instance_id: InstanceId,
    target: TargetId,
    probe: &ProbeState,
    out: &mut Outbox<'_>,
) {
    let body = Body::Targets(Message::Suspect { target });
    let asked = probe.probers.iter().chain(&probe.witnesses);
    for &other in asked.filter(|&&id| id != instance_id) {
        out.send(other, Class::Epochs, &body);
    }
}
