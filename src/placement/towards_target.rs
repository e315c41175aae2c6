//! The decisions about packets from callers.

use std::time::Duration;

use super::core::Packet;
use super::lookup::Search;
use super::{
    Binding, DropReason, Placement, Policy, RefuseReason, Role, Route, Stage, TargetState, Verdict,
    choose,
};
use crate::ids::{FlowId, InstanceId, TargetId};

/// Time after which a caller that was refused may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Placement {
    pub(super) fn towards_target(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match packet.route.stage {
            Stage::Entry => self.enter(now, packet),
            Stage::Placer => self.advise(now, packet),
            Stage::Owner => {
                let verdict = self.decide_as_owner(now, packet);
                self.recount(packet, verdict)
            }
            Stage::Previous => {
                let verdict = self.decide_as_previous(now, packet);
                self.recount(packet, verdict)
            }
            Stage::Recount => self.count_as_told(now, packet),
            Stage::Replica | Stage::LastResort => self.look_up(now, packet),
        }
    }

    fn enter(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let flags = packet.segment.flags;
        if flags.ends() {
            self.learned_ends(packet.flow);
        }
        if flags.opens() || flags.ends() {
            return self.pass_to_placer(now, packet);
        }
        let direct = self.policy == Policy::Epochs;
        if let (true, Some(binding)) = (direct, self.flows.get_mut(packet.flow)) {
            if !binding.needs_touch(now) {
                if binding.role != Role::Learned {
                    binding.confirm(now);
                }
                let target = binding.target;
                return self.to_target(target);
            }
            binding.touch(now);
        }
        self.pass_to_owner(now, packet)
    }

    /// Lets a learned binding go soon after its flow has begun to end.
    pub(super) fn learned_ends(&mut self, flow: FlowId) {
        if let Some(binding) = self.flows.get_mut(flow)
            && binding.role == Role::Learned
        {
            binding.mark_closing();
        }
    }

    fn pass_to_placer(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.me => {
                Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
            }
            _ => self.advise(now, packet),
        }
    }

    /// Counts the opening or the end of a flow, and advises the owner of a new one.
    fn advise(&mut self, now: Duration, mut packet: Packet<'_>) -> Verdict {
        if packet.segment.flags.opens() {
            packet.route.advice = self.advice(now, packet);
        } else {
            self.loads.closed(now, packet.flow);
        }
        self.pass_to_owner(now, packet)
    }

    fn advice(&mut self, now: Duration, packet: Packet<'_>) -> Option<TargetId> {
        if let Some(target) = self.loads.counted_on(packet.flow)
            && self.takes_new(target)
        {
            return Some(target);
        }
        let target = choose(now, packet.service, packet.flow, &self.views, &self.loads)?;
        self.loads.opened(now, packet.flow, packet.service.id, target);
        Some(target)
    }

    fn pass_to_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.of(packet.flow, 0) {
            Some(owner) if owner != self.me => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            Some(_) => self.decide_as_owner(now, packet),
            None => Verdict::Drop(DropReason::NoOwner),
        }
    }

    fn decide_as_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.known(now, packet) {
            return verdict;
        }
        let owner = self.ranks.of(packet.flow, 0);
        if owner.is_some_and(|owner| owner != self.me) {
            return self.pass_to_owner(now, packet);
        }
        if let Some(previous) = self.previous_owner(packet.flow) {
            return Verdict::ToInstance(previous, packet.route.next(Stage::Previous));
        }
        self.bind_or_search(now, packet)
    }

    fn decide_as_previous(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.known(now, packet) {
            Some(verdict) => verdict,
            None => self.bind_or_search(now, packet),
        }
    }

    fn bind_or_search(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if packet.segment.flags.opens() {
            return self.bind(now, packet);
        }
        let mut ranked = (0..2).filter_map(|rank| self.ranks.of(packet.flow, rank));
        match ranked.find(|&instance| instance != self.me) {
            Some(holder) => Verdict::ToInstance(holder, packet.route.next(Stage::Replica)),
            None => self.search(now, packet),
        }
    }

    /// Looks for a record that the owner lacks: as its replica holder, then as the placer.
    fn look_up(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.known(now, packet) {
            return verdict;
        }
        if let Some(target) = self.loads.counted_on(packet.flow)
            && self.lookups.may_try(now, packet.flow)
        {
            return self.to_target(target);
        }
        if packet.route.stage == Stage::LastResort {
            return self.search(now, packet);
        }
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.me => {
                Verdict::ToInstance(placer, packet.route.next(Stage::LastResort))
            }
            _ => self.search(now, packet),
        }
    }

    /// Asks all live instances for a flow; the caller sends the packet again meanwhile. If
    /// nobody has a record, the flow is most likely on its choice in the oldest open epoch.
    fn search(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let unknown = Verdict::Drop(DropReason::UnknownFlow);
        match self.lookups.search(now, packet.flow) {
            Search::Asking | Search::Full => unknown,
            Search::Try => {
                let choice = self.epochs.fallback(packet.service.id, packet.flow);
                choice.map_or(unknown, |target| self.to_target(target))
            }
            Search::Lost => Verdict::Reset,
        }
    }

    /// Lets the placer know when a new flow goes to another target than it has advised.
    fn recount(&self, packet: Packet<'_>, verdict: Verdict) -> Verdict {
        let Verdict::ToTarget(target) = verdict else { return verdict };
        let advised = packet.route.advice;
        let placer = self.ranks.placer(packet.service.id);
        if advised.is_none_or(|advised| advised == target) {
            return verdict;
        }
        match placer {
            Some(placer) if placer != self.me => {
                let route = Route { advice: Some(target), ..packet.route.next(Stage::Recount) };
                Verdict::ToInstance(placer, route)
            }
            _ => verdict,
        }
    }

    fn count_as_told(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let Some(target) = packet.route.advice else {
            return Verdict::Drop(DropReason::UnknownFlow);
        };
        self.loads.opened(now, packet.flow, packet.service.id, target);
        self.to_target(target)
    }

    /// The live instance that owned a flow before the last change of membership.
    fn previous_owner(&self, flow: FlowId) -> Option<InstanceId> {
        let owner = self.previous.as_ref()?.ranks.of(flow, 0)?;
        (owner != self.me && self.live.contains(&owner)).then_some(owner)
    }

    /// Decides by the binding of a flow, if there is one.
    fn known(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let segment = packet.segment;
        let binding = self.flows.get_mut(packet.flow)?;
        if segment.flags.opens() && binding.opening != segment.sequence {
            return self.reopen(now, packet);
        }
        binding.confirm(now);
        binding.show_caller(packet.caller);
        let target = binding.target;
        if segment.flags.ends() {
            binding.mark_closing();
            self.end_replica(packet.flow);
        }
        Some(self.to_target(target))
    }

    /// Decides about a new flow that uses the port of an older one.
    ///
    /// Other instances may have learned the older binding, so the new flow keeps to its
    /// target, or is refused if that target takes no new flows.
    fn reopen(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let binding = *self.flows.get(packet.flow)?;
        if self.views.get(binding.target).state == TargetState::Dead {
            self.flows.remove(packet.flow);
            return None;
        }
        if !self.takes_new(binding.target) {
            return Some(Verdict::Refuse(RefuseReason::TargetLeaving, RETRY_AFTER));
        }
        self.record(now, packet, binding.target);
        Some(Verdict::ToTarget(binding.target))
    }

    /// Binds a new flow to a target.
    fn bind(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if self.stale {
            return Verdict::Refuse(RefuseReason::Stale, RETRY_AFTER);
        }
        let advised = packet.route.advice.filter(|&target| self.takes_new(target));
        let chosen =
            advised.or_else(|| choose(now, packet.service, packet.flow, &self.views, &self.loads));
        let Some(target) = chosen else {
            return Verdict::Refuse(RefuseReason::NoTarget, RETRY_AFTER);
        };
        if !self.record(now, packet, target) {
            return Verdict::Refuse(RefuseReason::TableFull, RETRY_AFTER);
        }
        Verdict::ToTarget(target)
    }

    fn record(&mut self, now: Duration, packet: Packet<'_>, target: TargetId) -> bool {
        let binding = Binding::new(now, target, Role::Owner, Some(packet.caller))
            .opened_with(packet.segment.sequence);
        self.replicator.opened(now, packet.flow);
        self.flows.insert(packet.flow, binding)
    }

    fn takes_new(&self, target: TargetId) -> bool {
        let state = self.views.get(target).state;
        let former = self.services.target(target).is_none_or(|(_, target)| target.former);
        !former && matches!(state, TargetState::Serving | TargetState::Cold)
    }

    fn to_target(&self, target: TargetId) -> Verdict {
        if self.views.get(target).state == TargetState::Dead {
            return Verdict::Reset;
        }
        Verdict::ToTarget(target)
    }
}
