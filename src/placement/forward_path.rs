//! Decisions on packets from callers to targets.

use std::time::Duration;

use super::core::Packet;
use super::lookup::LookupStatus;
use super::{
    Binding, DropReason, Placement, Policy, RefuseReason, Role, Route, Stage, TargetState, Verdict,
    select_target,
};
use crate::ids::{FlowId, InstanceId, TargetId};

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Placement {
    pub(super) fn decide_forward(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match packet.route.stage {
            Stage::Entry => self.forward_at_entry(now, packet),
            Stage::Placer => self.decide_as_placer(now, packet),
            Stage::Owner => {
                let verdict = self.decide_as_owner(now, packet);
                self.report_recount(packet, verdict)
            }
            Stage::PreviousOwner => {
                let verdict = self.decide_as_previous(now, packet);
                self.report_recount(packet, verdict)
            }
            Stage::Recount => self.recount_as_placer(now, packet),
            Stage::ReplicaLookup | Stage::PlacerLookup => self.look_up_record(now, packet),
        }
    }

    fn forward_at_entry(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let flags = packet.segment.flags;
        if flags.ends_flow() {
            self.close_learned(packet.flow);
        }
        if flags.opens_flow() || flags.ends_flow() {
            return self.pass_to_placer(now, packet);
        }
        let direct = self.policy == Policy::Epochs;
        if let (true, Some(binding)) = (direct, self.flows.get_mut(packet.flow)) {
            if !binding.needs_refresh(now) {
                if binding.role != Role::Learned {
                    binding.confirm(now);
                }
                let target = binding.target;
                return Verdict::ToTarget(target);
            }
            binding.mark_refreshed(now);
        }
        self.pass_to_owner(now, packet)
    }

    /// Marks a learned binding as closing, so that it expires soon.
    pub(super) fn close_learned(&mut self, flow: FlowId) {
        if let Some(binding) = self.flows.get_mut(flow)
            && binding.role == Role::Learned
        {
            binding.mark_closing();
        }
    }

    fn pass_to_placer(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.instance_id => {
                Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
            }
            _ => self.decide_as_placer(now, packet),
        }
    }

    /// Counts the start or the end of a flow, and suggests a target for a new flow to its owner.
    fn decide_as_placer(&mut self, now: Duration, mut packet: Packet<'_>) -> Verdict {
        if packet.segment.flags.opens_flow() {
            packet.route.suggested_target = self.suggest_target(now, packet);
        } else {
            self.loads.closed(now, packet.flow);
        }
        self.pass_to_owner(now, packet)
    }

    fn suggest_target(&mut self, now: Duration, packet: Packet<'_>) -> Option<TargetId> {
        if let Some(target) = self.loads.counted_on(packet.flow)
            && self.accepts_new_flows(target)
        {
            return Some(target);
        }
        let target = select_target(now, packet.service, packet.flow, &self.views, &self.loads)?;
        self.loads.opened(now, packet.flow, packet.service.id, target);
        Some(target)
    }

    fn pass_to_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.at_rank(packet.flow, 0) {
            Some(owner) if owner != self.instance_id => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            Some(_) => self.decide_as_owner(now, packet),
            None => Verdict::Drop(DropReason::NoOwner),
        }
    }

    fn decide_as_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.decide_by_binding(now, packet) {
            return verdict;
        }
        let owner = self.ranks.at_rank(packet.flow, 0);
        if owner.is_some_and(|owner| owner != self.instance_id) {
            return self.pass_to_owner(now, packet);
        }
        if let Some(previous) = self.previous_owner(packet.flow) {
            return Verdict::ToInstance(previous, packet.route.next(Stage::PreviousOwner));
        }
        self.bind_or_look_up(now, packet)
    }

    fn decide_as_previous(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.decide_by_binding(now, packet) {
            Some(verdict) => verdict,
            None => self.bind_or_look_up(now, packet),
        }
    }

    fn bind_or_look_up(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if packet.segment.flags.opens_flow() {
            return self.bind(now, packet);
        }
        let mut ranked = (0..2).filter_map(|rank| self.ranks.at_rank(packet.flow, rank));
        match ranked.find(|&instance| instance != self.instance_id) {
            Some(holder) => Verdict::ToInstance(holder, packet.route.next(Stage::ReplicaLookup)),
            None => self.query_peers(now, packet),
        }
    }

    /// Looks up a record that the owner lacks: as the replica holder, then as the placer.
    fn look_up_record(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.decide_by_binding(now, packet) {
            return verdict;
        }
        if let Some(target) = self.loads.counted_on(packet.flow)
            && self.lookups.may_try_target(now, packet.flow)
        {
            return Verdict::ToTarget(target);
        }
        if packet.route.stage == Stage::PlacerLookup {
            return self.query_peers(now, packet);
        }
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.instance_id => {
                Verdict::ToInstance(placer, packet.route.next(Stage::PlacerLookup))
            }
            _ => self.query_peers(now, packet),
        }
    }

    /// Queries all live instances for a flow and drops the packet, which the caller retransmits.
    /// If no instance has a record, the flow is most likely bound to its target in the oldest
    /// open epoch.
    fn query_peers(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let unknown = Verdict::Drop(DropReason::UnknownFlow);
        match self.lookups.search(now, packet.flow) {
            LookupStatus::Pending | LookupStatus::Full => unknown,
            LookupStatus::TryFallback => {
                let choice = self.epochs.fallback(packet.service.id, packet.flow);
                choice.map_or(unknown, Verdict::ToTarget)
            }
        }
    }

    /// Redirects the packet to the placer if the flow is bound to another target than the
    /// suggested one, so that the placer counts the flow there.
    fn report_recount(&self, packet: Packet<'_>, verdict: Verdict) -> Verdict {
        let Verdict::ToTarget(target) = verdict else { return verdict };
        let suggested = packet.route.suggested_target;
        let placer = self.ranks.placer(packet.service.id);
        if suggested.is_none_or(|suggested| suggested == target) {
            return verdict;
        }
        match placer {
            Some(placer) if placer != self.instance_id => {
                let route =
                    Route { suggested_target: Some(target), ..packet.route.next(Stage::Recount) };
                Verdict::ToInstance(placer, route)
            }
            _ => verdict,
        }
    }

    fn recount_as_placer(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let Some(target) = packet.route.suggested_target else {
            return Verdict::Drop(DropReason::UnknownFlow);
        };
        self.loads.opened(now, packet.flow, packet.service.id, target);
        Verdict::ToTarget(target)
    }

    /// Returns the live instance that owned a flow before the last membership change.
    fn previous_owner(&self, flow: FlowId) -> Option<InstanceId> {
        let owner = self.previous.as_ref()?.ranks.at_rank(flow, 0)?;
        (owner != self.instance_id && self.live.contains(&owner)).then_some(owner)
    }

    /// Decides by the binding of a flow; none if there is no usable binding.
    fn decide_by_binding(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let segment = packet.segment;
        let binding = self.flows.get_mut(packet.flow)?;
        if segment.flags.opens_flow() && binding.initial_sequence != segment.sequence {
            return self.decide_port_reuse(now, packet);
        }
        binding.confirm(now);
        binding.set_caller_if_unknown(packet.caller);
        let target = binding.target;
        if segment.flags.ends_flow() {
            binding.mark_closing();
            self.end_replica(packet.flow);
        }
        Some(Verdict::ToTarget(target))
    }

    /// Decides on an opening packet that is not known to be the one of the flow's binding: a late
    /// copy of it, or of an earlier one, or the first packet of a new flow from the same port.
    ///
    /// Other instances may have learned the binding, so a new flow goes to the same target, too. If
    /// that target takes no new flows, it is still the one to decide about a flow that it may hold.
    /// Only once the flow has begun to close does its port wait for the record to expire, and only a
    /// flow whose opening packet is known and whose target is dead gives way to a new one.
    fn decide_port_reuse(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let accepted = self.accepts_new_flows(self.flows.get(packet.flow)?.target);
        let binding = self.flows.get_mut(packet.flow)?;
        let target = binding.target;
        let is_known = binding.initial_sequence != 0;
        if is_known && self.views.get(target).state == TargetState::Dead {
            self.flows.remove(packet.flow);
            return None;
        }
        if accepted && (is_known || binding.closing()) {
            self.insert_owned(now, packet, target);
        } else if !accepted && binding.closing() {
            return Some(Verdict::Drop(DropReason::MayBeOpen));
        } else if !is_known {
            binding.initial_sequence = packet.segment.sequence;
        }
        Some(Verdict::ToTarget(target))
    }

    /// Binds a new flow to a target.
    fn bind(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if self.stale {
            return Verdict::Drop(DropReason::Stale);
        }
        let suggested =
            packet.route.suggested_target.filter(|&target| self.accepts_new_flows(target));
        let chosen = suggested
            .or_else(|| select_target(now, packet.service, packet.flow, &self.views, &self.loads));
        let Some(target) = chosen else {
            return Verdict::Refuse(RefuseReason::NoTarget, RETRY_AFTER);
        };
        if !self.insert_owned(now, packet, target) {
            return Verdict::Refuse(RefuseReason::TableFull, RETRY_AFTER);
        }
        Verdict::ToTarget(target)
    }

    fn insert_owned(&mut self, now: Duration, packet: Packet<'_>, target: TargetId) -> bool {
        let binding = Binding::new(now, target, Role::Owner, Some(packet.caller))
            .with_initial_sequence(packet.segment.sequence);
        self.replicator.schedule_replication(now, packet.flow);
        self.flows.insert(packet.flow, binding)
    }

    fn accepts_new_flows(&self, target: TargetId) -> bool {
        let state = self.views.get(target).state;
        let removed = self.services.target(target).is_none_or(|(_, target)| target.removed);
        !removed && matches!(state, TargetState::Serving | TargetState::Cold)
    }
}
