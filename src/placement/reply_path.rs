//! Decisions on reply packets, from targets to callers. A reply packet confirms the flow's
//! target on every instance that it passes.

use std::time::Duration;

use super::core::Packet;
use super::{Binding, DropReason, Placement, Policy, Role, Stage, Verdict};
use crate::ids::{FlowId, TargetId};

impl Placement {
    pub(super) fn decide_reply(
        &mut self,
        now: Duration,
        mut packet: Packet<'_>,
        from: TargetId,
    ) -> Verdict {
        let known = self.flows.get(packet.flow).filter(|binding| binding.target == from);
        let sequence = packet.segment.sequence;
        if packet.segment.flags.rst && known.is_some_and(|known| known.is_own_reset(sequence)) {
            packet.route.suggested_target = Some(from);
        }
        match packet.route.stage {
            Stage::Entry => self.reply_at_entry(now, packet, from),
            Stage::Placer => self.reply_at_placer(now, packet, from),
            _ => self.reply_at_owner(now, packet, from),
        }
    }

    fn reply_at_entry(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        let flags = packet.segment.flags;
        if flags.ends_flow() {
            if self.flows.get(packet.flow).is_some_and(|binding| binding.target == from) {
                self.close_learned(packet.flow);
            }
            return self.pass_reply_to_placer(now, packet, from);
        }
        if flags.syn || self.policy == Policy::Owner {
            if !self.flows.contains(packet.flow) {
                // If the owner crashes now, this instance still has the binding.
                self.learn(now, packet, from);
            }
            return self.pass_reply_to_owner(now, packet, from);
        }
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.confirm_by_reply(now);
                binding.set_reply_sequence(packet.segment);
                binding.set_caller_if_unknown(packet.caller);
                if !binding.needs_refresh(now) {
                    return Verdict::ToCaller;
                }
                binding.mark_refreshed(now);
                self.pass_reply_to_owner(now, packet, from)
            }
            Some(binding) => {
                // The learned binding may be of an older flow with the same port.
                if binding.role == Role::Learned {
                    self.flows.remove(packet.flow);
                }
                self.pass_reply_to_owner(now, packet, from)
            }
            None => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    fn pass_reply_to_placer(
        &mut self,
        now: Duration,
        packet: Packet<'_>,
        from: TargetId,
    ) -> Verdict {
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.instance_id => {
                Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
            }
            _ => self.reply_at_placer(now, packet, from),
        }
    }

    fn reply_at_placer(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        if is_unvouched(packet, from) && self.lookups.reject_target(packet.flow) {
            // The target was only tried, and has no such connection: this does not end the flow.
            return Verdict::Drop(DropReason::WrongTarget);
        }
        if self.loads.counted_on(packet.flow) == Some(from) {
            self.loads.closed(now, packet.flow);
        }
        self.pass_reply_to_owner(now, packet, from)
    }

    fn pass_reply_to_owner(
        &mut self,
        now: Duration,
        packet: Packet<'_>,
        from: TargetId,
    ) -> Verdict {
        match self.ranks.at_rank(packet.flow, 0) {
            Some(owner) if owner != self.instance_id => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            _ => self.reply_at_owner(now, packet, from),
        }
    }

    /// Forwards a reply packet unless the flow is bound to another target.
    fn reply_at_owner(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        if is_unvouched(packet, from) {
            self.doubt_binding(now, packet.flow, from);
            return Verdict::Drop(DropReason::WrongTarget);
        }
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.confirm_by_reply(now);
                binding.set_caller_if_unknown(packet.caller);
                if !packet.segment.flags.rst {
                    binding.set_reply_sequence(packet.segment);
                } else {
                    binding.mark_closing();
                    self.end_replica(packet.flow);
                }
                Verdict::ToCaller
            }
            Some(binding) if !binding.is_superseded_by(packet.segment.flags) => {
                Verdict::Drop(DropReason::WrongTarget)
            }
            _ => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    /// Handles the reset of a target that no instance on the route knows to have held the flow. The
    /// caller may be connected to another target, which an earlier owner has selected, or instances
    /// on the other side of a network partition: the peers are queried for it.
    fn doubt_binding(&mut self, now: Duration, flow: FlowId, from: TargetId) {
        if let Some(binding) = self.flows.get_mut(flow)
            && binding.target == from
        {
            if binding.reply_seen() {
                binding.mark_provisional();
            } else {
                self.flows.remove(flow);
            }
        }
        self.lookups.search(now, flow);
    }

    fn learn(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) {
        if packet.segment.flags.rst {
            return;
        }
        let mine = self.ranks.at_rank(packet.flow, 0) == Some(self.instance_id);
        let role = if mine { Role::Owner } else { Role::Learned };
        let mut binding = Binding::new(now, from, role, Some(packet.caller));
        binding.mark_reply_seen();
        binding.set_reply_sequence(packet.segment);
        self.lookups.resolve(packet.flow);
        // A full table is no error here: the owner still has the record.
        if self.flows.insert(packet.flow, binding) && role == Role::Owner {
            self.replicator.schedule_replication(now, packet.flow);
        }
        self.count_existing(packet.flow, from);
    }
}

/// Returns whether a packet is the reset of a target without such a connection, and no instance on
/// the route knows its sequence number as one of that target.
fn is_unvouched(packet: Packet<'_>, from: TargetId) -> bool {
    let flags = packet.segment.flags;
    flags.rst && !flags.ack && packet.route.suggested_target != Some(from)
}
