//! Why a target counts as having lost flows.

use std::time::Duration;

use derive_more::Display;

use super::Forwarder;
use crate::steering::FlowPacket;
use crate::steering::token::TargetIncarnation;

/// Evidence that a target has lost flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LossEvidence {
    /// The target has started again as one of another service.
    #[display("service_changed")]
    ServiceChanged,
    /// A later target of the service runs at its address.
    #[display("replaced")]
    Replaced,
    /// The platform has removed the target, and another one runs at its address.
    #[display("address_reused")]
    AddressReused,
    /// A connection check of the target failed.
    #[display("check_failed")]
    CheckFailed,
}

/// A target that has lost flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// The target.
    pub target: TargetIncarnation,
    /// Why it counts as having lost them.
    pub evidence: LossEvidence,
    /// The flows that were known by then are lost.
    pub before: Duration,
}

impl Forwarder {
    /// Returns the loss of the flows of a target, if there is evidence of one.
    pub fn loss(&self, now: Duration, target: TargetIncarnation) -> Option<Loss> {
        let (evidence, before) = match () {
            () if self.changed_service(target) => (LossEvidence::ServiceChanged, now),
            () if self.targets.is_replaced(target) => (LossEvidence::Replaced, now),
            () if self.is_removed_and_reused(now, target) => (LossEvidence::AddressReused, now),
            () => (LossEvidence::CheckFailed, self.health.dead_since(now, target)?),
        };
        Some(Loss { target, evidence, before })
    }

    /// Returns whether a target may still hold the flows that it was given.
    pub(super) fn may_hold_flows(&self, now: Duration, target: TargetIncarnation) -> bool {
        !self.targets.has_restarted(target) && self.loss(now, target).is_none()
    }

    /// Returns the loss that concerns the flow of a packet, if there is evidence of one.
    pub fn loss_of_flow(&self, now: Duration, packet: &FlowPacket) -> Option<Loss> {
        let by_token = self.tokens.lookup(packet.flow.service, packet.token);
        let target = by_token.or_else(|| self.flows.target(packet.flow.id()))?;
        self.loss(now, target)
    }

    /// Returns whether the platform has removed a target whose address another one uses now.
    pub(super) fn is_removed_and_reused(&self, now: Duration, target: TargetIncarnation) -> bool {
        let removed = self.targets.get(target).filter(|_| self.targets.is_removed(now, target));
        removed.is_some_and(|target| self.targets.is_address_reused(target))
    }
}
