//! Which targets may get new flows: not those in drained failure domains.

use std::borrow::Cow;
use std::time::Duration;

use super::{Forwarder, ResetReason};
use crate::steering::token::TargetIncarnation;
use crate::steering::{Target, WeightedService};

impl Forwarder {
    /// Returns the targets of a service that may get new flows, with the remaining time until each is
    /// warm.
    pub(super) fn eligible<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        self.targets.eligible_outside(now, service, |domain| self.drains.is_drained(domain))
    }

    /// Returns the targets that [`Forwarder::eligible`] returns that are in the local failure domain.
    pub(super) fn eligible_locally<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let local = self.targets.eligible_in(now, service, &self.local_domain);
        let is_drained = self.drains.is_drained(&self.local_domain);
        local.filter(move |_| !is_drained)
    }

    /// Returns whether the target that a flow already had may get its opening packet again.
    pub(super) fn may_get_flow(&self, previous: TargetIncarnation) -> bool {
        let target = self.targets.get(previous);
        target.is_some_and(|target| !self.drains.is_drained(&target.failure_domain))
    }

    /// Returns the services that have targets outside drained failure domains, so that a route with
    /// several of them uses the others. Without drained failure domains, these are all services.
    pub(super) fn undrained_services<'s>(
        &self,
        now: Duration,
        services: &'s [WeightedService],
    ) -> Cow<'s, [WeightedService]> {
        if !self.drains.any() || services.len() == 1 {
            return Cow::Borrowed(services);
        }
        let has_targets = |s: &&WeightedService| self.eligible(now, &s.service).next().is_some();
        services.iter().filter(has_targets).cloned().collect()
    }

    /// Returns why no target of a route's services can get a flow.
    pub(super) fn no_target_reason(
        &self,
        now: Duration,
        services: &[WeightedService],
    ) -> ResetReason {
        let has_eligible = |s: &WeightedService| self.eligible(now, &s.service).next().is_some();
        let has_drained =
            |s: &WeightedService| self.targets.eligible(now, &s.service).next().is_some();
        if self.drains.any()
            && !services.iter().any(has_eligible)
            && services.iter().any(has_drained)
        {
            ResetReason::DomainDrained
        } else {
            ResetReason::NoTarget
        }
    }
}
