//! Why a target counts as having lost flows.

use std::time::Duration;

use derive_more::Display;

use super::Forwarder;
use crate::steering::token::TargetIncarnation;
use crate::steering::{FlowPacket, Target};

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
    /// The target refuses connections, and another one of its failure domain answers if there is one.
    #[display("refused")]
    Refused,
    /// The target has answered neither a packet of an open flow nor two connection checks, and another one
    /// of its failure domain answers.
    #[display("no_answer")]
    NoAnswer,
    /// The target has answered neither a packet of an open flow nor two connection checks, its whole
    /// failure domain cannot be reached, and targets elsewhere answer.
    #[display("domain_unreachable")]
    DomainUnreachable,
}

impl LossEvidence {
    /// Returns whether it comes from a connection check, which has to be repeated.
    pub(super) fn needs_check(self) -> bool {
        matches!(self, Self::Refused | Self::NoAnswer | Self::DomainUnreachable)
    }
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
            () => self.failed_check(now, target)?,
        };
        Some(Loss { target, evidence, before })
    }

    /// Returns whether a target may still hold the flows that it was given.
    pub(super) fn may_hold_flows(&self, now: Duration, target: TargetIncarnation) -> bool {
        !self.targets.has_restarted(target) && self.loss(now, target).is_none()
    }

    /// Returns what a failed connection check of a target is evidence of, and when the check began. The
    /// check alone is evidence of nothing.
    fn failed_check(
        &self,
        now: Duration,
        target: TargetIncarnation,
    ) -> Option<(LossEvidence, Duration)> {
        let check = self.health.failed_check(now, target)?;
        let (began, silent) = (check.began, check.open_flow_silent && check.repeated);
        let domain = &self.targets.get(target)?.failure_domain;
        let path_works = self.domain_answers.has_answered_since(began, domain);
        let is_lone = || self.other_in_domain(now, target, domain).is_none();
        let is_cut_off = self.domain_reach.is_unreachable(domain)
            && self.domain_answers.has_other_answered_since(began, domain);
        let evidence = match () {
            () if check.refused && (path_works || is_lone()) => LossEvidence::Refused,
            () if silent && path_works => LossEvidence::NoAnswer,
            () if silent && is_cut_off => LossEvidence::DomainUnreachable,
            () => return None,
        };
        Some((evidence, began))
    }

    /// Returns a target of a failure domain, besides the given one, that new flows could get.
    fn other_in_domain(
        &self,
        now: Duration,
        target: TargetIncarnation,
        domain: &str,
    ) -> Option<&Target> {
        let mut targets = self.targets.eligible_in_domain(now, domain);
        targets.find(|other| other.key != target.0)
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
