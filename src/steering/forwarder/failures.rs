//! Failures of targets as this instance learns of them, and the choice of services and targets
//! that follows from them.

use std::cell::OnceCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use metrics::{counter, histogram};

use super::{CandidateList, Forwarder, HealthChange};
use crate::steering::policy::service_choice::{FULL, ServiceState, pick_service};
use crate::steering::policy::steadiness::Steadiness;
use crate::steering::token::TargetIncarnation;
use crate::steering::{FlowPacket, Target, TargetState, WeightedService};

/// Time within which another target must have responded for a failed connection check to count
/// against its target. Shorter than the time from the first unanswered packet to the end of a check
/// that is not answered, so that an instance that is cut off blames no target.
const RECENT_RESPONSE: Duration = Duration::from_millis(300);

/// A target that gets no new flows for a time, as it has failed repeatedly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnsteadyTarget {
    /// The target as it was before its last failure.
    pub target: Target,
    /// Number of recent failures.
    pub failures: usize,
}

impl Forwarder {
    /// Lets unsteady targets get new flows like others, to compare the outcomes.
    pub fn disable_outlier_ejection(&mut self) {
        self.failures.disable();
    }

    /// Returns the targets that have become unsteady since the last call.
    pub fn take_unsteady(&mut self) -> Vec<UnsteadyTarget> {
        std::mem::take(&mut self.unsteady)
    }

    /// Returns the number of targets that get no new flows for now, as they have failed repeatedly.
    pub fn unsteady_targets(&self, now: Duration) -> usize {
        self.failures.unsteady(now)
    }

    /// Picks the service of a new flow among those of its route.
    pub(super) fn pick_service<'a>(
        &mut self,
        now: Duration,
        services: &'a [WeightedService],
    ) -> Option<&'a str> {
        let mut rng = self.rng.clone();
        // The first service whose state is needed is the one that the weights give.
        let by_weight = OnceCell::new();
        let state = |service| {
            let _ = by_weight.set(service);
            self.service_state(now, service)
        };
        let picked = pick_service(services, state, &mut rng);
        if by_weight.get().is_some_and(|&service| Some(service) != picked) {
            counter!("limpetdeck_flows_diverted_total").increment(1);
        }
        self.rng = rng;
        picked
    }

    /// Returns whether a service of a route with several can take new flows. It is full only if no
    /// free target of another failure domain is known either.
    fn service_state(&self, now: Duration, service: &str) -> ServiceState {
        let mut targets = self.eligible(now, service);
        let responds =
            |target: &Target| !self.health.is_unresponsive(now, (target.key, target.incarnation));
        if !targets.any(|(target, _)| responds(target)) {
            return ServiceState::Down;
        }
        // Without local slots, the load of the local targets says nothing about the service.
        let Some(&slots) = self.local_slots.get(service).filter(|&&slots| slots > 0) else {
            return ServiceState::Up(0.0);
        };
        let load = self.domain_load.waiting_per_slot(service, self.local_instances, slots);
        if load >= FULL && self.has_free_elsewhere(now, service) {
            return ServiceState::Up(0.0);
        }
        ServiceState::Up(load)
    }

    /// Returns whether a responsive target of another failure domain may get new flows and is not
    /// known to be busy.
    fn has_free_elsewhere(&self, now: Duration, service: &str) -> bool {
        let is_excluded = |domain: &str| domain == self.local_domain || !self.accepts_flows(domain);
        let limit = self.routes.warm_up(service);
        self.targets.eligible_outside(now, service, is_excluded).any(|(target, recorded)| {
            let candidate = self.candidate(now, limit, target, recorded);
            candidate.is_some_and(|(incarnation, candidate)| {
                !candidate.is_busy() && !self.health.is_unresponsive(now, incarnation)
            })
        })
    }

    /// Counts the local slots of the services that share a route; to be called about once per
    /// second, as that looks at all of their targets.
    pub(super) fn count_local_slots(&mut self, now: Duration) {
        self.local_slots.clear();
        let raw = self.routes.raw().map(|raw| raw.routes.as_slice()).unwrap_or_default();
        for shared in raw.iter().filter(|route| route.services.len() > 1) {
            for service in shared.services.iter().map(|service| &service.service) {
                if !self.local_slots.contains_key(service) {
                    let targets = self.eligible_locally(now, service);
                    let slots = targets.map(|(target, _)| target.slots).sum();
                    self.local_slots.insert(service.clone(), slots);
                }
            }
        }
    }

    /// Returns the responsive targets that should get new flows: the steady ones if they have three
    /// quarters of the slots, also those that have failed once if they have half of them together,
    /// and all of them otherwise.
    pub(super) fn steady(
        &self,
        now: Duration,
        address: SocketAddrV4,
        responsive: CandidateList,
        unresponsive: &CandidateList,
    ) -> CandidateList {
        if self.failures.is_empty() {
            return responsive;
        }
        let slots = |list: &CandidateList| -> u32 {
            list.iter().map(|(_, candidate)| candidate.slots).sum()
        };
        let repeatable = self.routes.get(address).is_some_and(|route| route.repeatable);
        let steadiness = |incarnation| {
            let target = self.targets.get(incarnation);
            target.map(|target| self.failures.steadiness(now, target, repeatable))
        };
        let all_slots = slots(&responsive) + slots(unresponsive);
        let rated: Vec<_> = responsive.iter().map(|entry| (steadiness(entry.0), *entry)).collect();
        let up_to = |worst: Steadiness| -> CandidateList {
            let usable = rated.iter().filter(|(rating, _)| rating.is_some_and(|r| r <= worst));
            usable.map(|(_, entry)| *entry).collect()
        };
        let steady = up_to(Steadiness::Steady);
        if slots(&steady) * 4 >= all_slots * 3 {
            return steady;
        }
        let not_repeated = up_to(Steadiness::Crashed);
        if slots(&not_repeated) * 2 >= all_slots { not_repeated } else { responsive }
    }

    /// Handles a report by another instance that a target is dead. It gets no new flows for a time,
    /// and its connection is checked if it has open flows here.
    pub fn doubt_target(&mut self, now: Duration, incarnation: TargetIncarnation) {
        if self.health.doubt(now, incarnation) {
            self.record_failure(now, incarnation);
        }
        if self.flows.load(incarnation).flows > 0 {
            self.suspect_target(now, incarnation);
        }
    }

    pub(super) fn record_response(
        &mut self,
        now: Duration,
        target: TargetIncarnation,
        waited: Option<Duration>,
    ) {
        if let Some(waited) = waited {
            histogram!("limpetdeck_answer_seconds").record(waited);
        }
        self.record_return(now, target);
        self.record_reached(now, target);
        if self.health.record_response(now, target) {
            self.health_changes.push(HealthChange::Recovered(target.0));
        }
    }

    pub(super) fn record_unanswered(
        &mut self,
        now: Duration,
        target: TargetIncarnation,
        packet: &FlowPacket,
        waited: Duration,
    ) {
        self.record_unreached(now, target, now.saturating_sub(waited));
        if self.health.record_unanswered(now, target, packet.flow.id(), waited) {
            self.record_silence(now, target, now.saturating_sub(waited));
            self.health_changes.push(HealthChange::Unresponsive(target.0));
        }
        if self.health.has_unanswered(target) {
            self.suspect_target(now, target);
        }
    }

    /// Records the targets that have started again without having drained.
    pub(super) fn record_restarts(&mut self, now: Duration) {
        for target in self.targets.take_restarts() {
            if self.failures.record_restart(now, &target) {
                self.add_unsteady(now, target);
            }
        }
    }

    /// Records that a target has fallen silent here. That counts only if another one has responded
    /// since `since`.
    fn record_silence(&mut self, now: Duration, incarnation: TargetIncarnation, since: Duration) {
        if self.failures.heard_others(since, incarnation) {
            self.record_failure(now, incarnation);
        }
    }

    /// Records the result of a connection check, and the targets that count as dead because of it.
    pub(super) fn record_check(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
        dead: &[TargetIncarnation],
    ) {
        if accepted {
            self.failures.record_accepted(now, address);
        }
        for &incarnation in dead {
            self.record_unreached(now, incarnation, now.saturating_sub(RECENT_RESPONSE));
            self.record_silence(now, incarnation, now.saturating_sub(RECENT_RESPONSE));
        }
    }

    /// Records that a target has fallen silent here or at another instance.
    fn record_failure(&mut self, now: Duration, incarnation: TargetIncarnation) {
        // The start of the next incarnation is recorded by itself.
        if self.targets.has_restarted(incarnation) || self.targets.is_replaced(incarnation) {
            return;
        }
        let Some(target) = self.targets.get(incarnation).cloned() else { return };
        // A partition between failure domains looks the same as targets of others that fail.
        if target.failure_domain != self.local_domain || target.state != TargetState::Ready {
            return;
        }
        let local = self.targets.eligible_in(now, &target.service, &self.local_domain).count();
        if self.failures.record_silence(now, &target, local) {
            self.add_unsteady(now, target);
        }
    }

    /// Records a response of a target.
    fn record_return(&mut self, now: Duration, incarnation: TargetIncarnation) {
        self.failures.record_response(now, incarnation);
        if !self.failures.is_empty()
            && let Some(target) = self.targets.get(incarnation)
        {
            self.failures.record_return(now, &target.service, target.address);
        }
    }

    fn add_unsteady(&mut self, now: Duration, target: Target) {
        let failures = self.failures.count(now, &target);
        self.unsteady.push(UnsteadyTarget { target, failures });
    }
}
