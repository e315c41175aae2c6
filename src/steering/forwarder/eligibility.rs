//! Which targets may get new flows: not those in drained or unreachable failure domains.

use std::time::Duration;

use super::{DropReason, Forwarder, ResetReason, Verdict};
use crate::steering::token::TargetIncarnation;
use crate::steering::{Target, WeightedService};

impl Forwarder {
    /// Returns whether targets of a failure domain may get new flows.
    pub(super) fn accepts_flows(&self, domain: &str) -> bool {
        if self.drains.is_drained(domain) {
            return domain == self.local_domain && self.last_resort.is_active();
        }
        !self.domain_reach.is_unreachable(domain)
    }

    /// Returns the targets of a service that may get new flows, with the remaining time until each is
    /// warm.
    pub(super) fn eligible<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        self.targets.eligible_outside(now, service, |domain| !self.accepts_flows(domain))
    }

    /// Returns the targets that [`Forwarder::eligible`] returns that are in the local failure domain.
    pub(super) fn eligible_locally<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let local = self.targets.eligible_in(now, service, &self.local_domain);
        let accepts_flows = self.accepts_flows(&self.local_domain);
        local.filter(move |_| accepts_flows)
    }

    /// Returns whether the target that a flow already had may get its opening packet again. One that
    /// has restarted has lost the flow.
    pub(super) fn may_get_flow(&self, previous: TargetIncarnation) -> bool {
        let has_ended = self.targets.is_replaced(previous) || self.targets.has_restarted(previous);
        let target = self.targets.get(previous).filter(|_| !has_ended);
        target.is_some_and(|target| self.accepts_flows(&target.failure_domain))
    }

    /// Returns whether a target is one of the given services, which those of its route may no longer be.
    pub(super) fn is_of_services(
        &self,
        target: TargetIncarnation,
        services: &[WeightedService],
    ) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| services.iter().any(|s| s.service == target.service))
    }

    /// Returns the verdict on a flow for which no target of its route's services is left.
    pub(super) fn no_target(
        &self,
        now: Duration,
        services: &[WeightedService],
    ) -> Verdict<'static> {
        let any = |is_cause: &dyn Fn(&Target) -> bool| {
            services
                .iter()
                .any(|s| self.targets.eligible(now, &s.service).any(|(target, _)| is_cause(target)))
        };
        if any(&|target| self.accepts_flows(&target.failure_domain)) {
            Verdict::Reset(ResetReason::NoTarget)
        } else if any(&|target| self.is_unreachable_target(target)) {
            let is_local = |target: &Target| target.failure_domain == self.local_domain;
            match self.last_resort.is_undecided() && any(&is_local) {
                true => Verdict::Drop(DropReason::Undecided),
                false => Verdict::Reset(ResetReason::DomainsUnreachable),
            }
        } else if any(&|target| self.drains.is_drained(&target.failure_domain)) {
            Verdict::Reset(ResetReason::DomainDrained)
        } else {
            Verdict::Reset(ResetReason::NoTarget)
        }
    }
}
