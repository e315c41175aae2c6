//! Why a target counts as having lost flows.

use std::time::Duration;

use derive_more::Display;

use super::Forwarder;
use crate::steering::token::TargetIncarnation;
use crate::steering::{FlowPacket, Target};

/// Evidence that a target has lost flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LossEvidence {
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
        let (evidence, before) = self.failed_check(now, target)?;
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
}
