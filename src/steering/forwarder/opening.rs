//! Selection of the target of a new flow.

use std::iter;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::{CandidateList, DropReason, Forwarder, ResetReason, Verdict};
use crate::flow::FlowKey;
use crate::steering::token::TargetIncarnation;
use crate::steering::{
    Candidate, FlowPacket, Load, Target, WarmUp, WeightedService, local_targets_suffice,
    select_target,
};

impl Forwarder {
    pub(super) fn open(&mut self, now: Duration, packet: &FlowPacket, repeats: u32) -> Verdict<'_> {
        let service = packet.flow.service;
        if self.flows.open_at(packet).is_some() {
            return Verdict::Drop(DropReason::LateCopy);
        }
        let previous = self.flows.half_open(packet).filter(|_| repeats > 0);
        if let Some((previous, since)) = previous {
            let waited = now.saturating_sub(since);
            self.record_unanswered(now, previous, packet, waited);
        }
        let previous = previous.map(|(previous, _)| previous);
        let Some(route) = self.routes.get(service) else {
            return Verdict::Reset(ResetReason::NoRoute);
        };
        let services = Arc::clone(&route.services);
        let reused = previous.filter(|&previous| !self.health.is_unresponsive(now, previous));
        let reused = reused.filter(|&previous| self.may_get_flow(previous));
        let reused = reused.filter(|&previous| self.is_of_services(previous, &services));
        let reused = reused.filter(|&previous| self.may_repeat(now, packet.flow.id(), previous));
        let chosen = match reused {
            Some(reused) => reused,
            None => match self.select_for_flow(now, &packet.flow, &services) {
                Ok(chosen) => chosen,
                Err(Verdict::Reset(_)) if previous.is_some() => {
                    return Verdict::Drop(DropReason::AlreadyPlaced);
                }
                Err(refusal) => return refusal,
            },
        };
        self.flows.record(now, packet, chosen);
        match self.targets.get(chosen) {
            Some(target) => Verdict::Forward(target, Some(self.tokens.mint(service, target))),
            None => Verdict::Reset(ResetReason::NoTarget),
        }
    }

    /// Selects the target of a new flow, or returns the verdict if there is none. If the service that
    /// was picked has none, the other services of the route are tried.
    fn select_for_flow(
        &mut self,
        now: Duration,
        flow: &FlowKey,
        services: &[WeightedService],
    ) -> Result<TargetIncarnation, Verdict<'static>> {
        let state = (self.targets.change_count(), self.routes.version());
        let of_route = services.iter().flat_map(|s| self.targets.of_service(&s.service));
        self.tokens.survey(flow.service, state, of_route);
        let Some(picked) = self.pick_service(now, services) else {
            return Err(Verdict::Reset(ResetReason::NoTarget));
        };
        let others = services.iter().map(|s| s.service.as_str()).filter(|&other| other != picked);
        for service in iter::once(picked).chain(others) {
            if let Some(chosen) = self.select_usable(now, flow, service) {
                self.count_opening(now, flow.id(), chosen);
                return Ok(chosen);
            }
        }
        Err(self.refusal(now, services))
    }

    /// Selects a target of a service. Of two targets with equal tokens, the later one gets no flow.
    fn select_usable(
        &mut self,
        now: Duration,
        flow: &FlowKey,
        service: &str,
    ) -> Option<TargetIncarnation> {
        let mut excluded = Vec::new();
        loop {
            let chosen = self.select_of_service(now, flow.service, service, &excluded)?;
            if self.tokens.is_usable(flow.service, chosen) {
                return Some(chosen);
            }
            excluded.push(chosen);
        }
    }

    /// Selects a target of a service that is not excluded. Targets of other failure domains are
    /// looked at only if the local ones do not suffice: most of a large fleet's are elsewhere.
    fn select_of_service(
        &mut self,
        now: Duration,
        address: SocketAddrV4,
        service: &str,
        excluded: &[TargetIncarnation],
    ) -> Option<TargetIncarnation> {
        let limit = self.prepare_limit(now, service);
        let local = self.eligible_locally(now, service);
        let (responsive, unresponsive) = self.candidates(now, limit, local, excluded);
        let mut list = self.steady(now, address, responsive, &unresponsive);
        let slots = list.iter().map(|(_, candidate)| candidate.slots).sum();
        let domain_load = self.domain_load.waiting_per_slot(service, self.local_instances, slots);
        let candidates = |list: &[(_, Candidate)]| -> Vec<_> {
            list.iter().map(|(_, candidate)| *candidate).collect()
        };
        if !local_targets_suffice(&candidates(&list), domain_load) {
            let all = self.eligible(now, service);
            let (responsive, unresponsive) = self.candidates(now, limit, all, excluded);
            let responsive = self.steady(now, address, responsive, &unresponsive);
            // If all seem unresponsive, the cause may be the network rather than the targets.
            list = if responsive.is_empty() { unresponsive } else { responsive };
        }
        select_target(&candidates(&list), domain_load, &mut self.rng).map(|i| list[i].0)
    }

    /// Returns the responsive and the unresponsive ones of some targets, without those that are cold
    /// and have no opening budget left within the limit.
    fn candidates<'a>(
        &self,
        now: Duration,
        limit: Option<WarmUp>,
        targets: impl Iterator<Item = (&'a Target, Duration)>,
        excluded: &[TargetIncarnation],
    ) -> (CandidateList, CandidateList) {
        let candidates =
            targets.filter_map(|(target, recorded)| self.candidate(now, limit, target, recorded));
        let candidates = candidates.filter(|(incarnation, _)| !excluded.contains(incarnation));
        candidates.partition(|&(incarnation, _)| !self.health.is_unresponsive(now, incarnation))
    }

    /// Returns a target with the inputs of the selection, or `None` if it is cold and has no opening
    /// budget left within the limit.
    pub(super) fn candidate(
        &self,
        now: Duration,
        limit: Option<WarmUp>,
        target: &Target,
        recorded: Duration,
    ) -> Option<(TargetIncarnation, Candidate)> {
        let warm_up_left = self.warm_up_left(now, limit, target, recorded)?;
        let incarnation = (target.key, target.incarnation);
        let Load { flows, waiting, .. } = self.flows.load(incarnation);
        let waiting = waiting + self.overdue.count(incarnation);
        let local = target.failure_domain == self.local_domain;
        let slots = target.slots;
        Some((incarnation, Candidate { local, slots, flows, waiting, warm_up_left }))
    }
}
