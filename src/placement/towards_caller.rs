//! The decisions about answers: they prove a flow's target to every instance they pass.

use std::time::Duration;

use super::core::Packet;
use super::{Binding, DropReason, Placement, Policy, Role, Stage, Verdict};
use crate::ids::TargetId;

impl Placement {
    pub(super) fn towards_caller(
        &mut self,
        now: Duration,
        packet: Packet<'_>,
        from: TargetId,
    ) -> Verdict {
        match packet.route.stage {
            Stage::Entry => self.answer_enters(now, packet, from),
            Stage::Placer => self.answer_at_placer(now, packet, from),
            _ => self.answer_at_owner(now, packet, from),
        }
    }

    fn answer_enters(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        let flags = packet.segment.flags;
        if flags.ends() {
            self.learned_ends(packet.flow);
            return self.answer_to_placer(now, packet, from);
        }
        if flags.syn || self.policy == Policy::Owner {
            if !self.flows.contains(packet.flow) {
                // If the owner dies now, this instance still knows the flow.
                self.learn(now, packet, from);
            }
            return self.answer_to_owner(now, packet, from);
        }
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.prove(now);
                binding.show_caller(packet.caller);
                if !binding.needs_touch(now) {
                    return Verdict::ToCaller;
                }
                binding.touch(now);
                self.answer_to_owner(now, packet, from)
            }
            Some(binding) => {
                // What was learned here may be of an older flow with the same port.
                if binding.role == Role::Learned {
                    self.flows.remove(packet.flow);
                }
                self.answer_to_owner(now, packet, from)
            }
            None => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    fn answer_to_placer(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.me => {
                Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
            }
            _ => self.answer_at_placer(now, packet, from),
        }
    }

    fn answer_at_placer(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        let flags = packet.segment.flags;
        if flags.rst && !flags.ack && self.lookups.refute(packet.flow) {
            // The target was only tried, and a reset without an acknowledgment means that
            // it has no such connection: that is no end of the flow.
            return Verdict::Drop(DropReason::WrongTarget);
        }
        if self.loads.counted_on(packet.flow) == Some(from) {
            self.loads.closed(now, packet.flow);
        }
        self.answer_to_owner(now, packet, from)
    }

    fn answer_to_owner(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        match self.ranks.of(packet.flow, 0) {
            Some(owner) if owner != self.me => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            _ => self.answer_at_owner(now, packet, from),
        }
    }

    /// Lets an answer pass only if the flow is bound to the target that it comes from.
    fn answer_at_owner(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        if self.never_began(packet, from) {
            self.flows.remove(packet.flow);
            return Verdict::Drop(DropReason::WrongTarget);
        }
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.prove(now);
                binding.show_caller(packet.caller);
                if packet.segment.flags.rst {
                    binding.mark_closing();
                    self.end_replica(packet.flow);
                }
                Verdict::ToCaller
            }
            Some(binding) if !binding.yields_to(packet.segment.flags) => {
                Verdict::Drop(DropReason::WrongTarget)
            }
            _ => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    /// Tells whether a target says that it has no such connection, and never had: then the
    /// flow's caller has its connection elsewhere, as another side of a cut has placed it.
    fn never_began(&self, packet: Packet<'_>, from: TargetId) -> bool {
        let flags = packet.segment.flags;
        let unanswered = |binding: &Binding| binding.target == from && !binding.answered();
        flags.rst && !flags.ack && self.flows.get(packet.flow).is_some_and(unanswered)
    }

    fn learn(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) {
        if packet.segment.flags.rst {
            return;
        }
        let mine = self.ranks.of(packet.flow, 0) == Some(self.me);
        let role = if mine { Role::Owner } else { Role::Learned };
        let mut binding = Binding::new(now, from, role, Some(packet.caller));
        binding.mark_answered();
        self.lookups.found(packet.flow);
        // A full table is no fault here: the owner still knows the flow.
        if self.flows.insert(packet.flow, binding) && role == Role::Owner {
            self.replicator.opened(now, packet.flow);
        }
        self.count_found(packet.flow, from);
    }
}
