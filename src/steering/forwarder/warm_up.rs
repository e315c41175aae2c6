//! Use of the opening budgets of cold targets when targets are selected and callers refused.
//! Services without a limit are not affected.

use std::time::Duration;

use metrics::counter;

use super::{Forwarder, ResetReason};
use crate::ids::{FlowId, InstanceId};
use crate::steering::policy::warm_up::InstanceView;
use crate::steering::{Target, TargetIncarnation, WarmUp, WeightedService};

/// The cold targets of the local failure domain whose services have a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdTargets {
    /// Number of these targets.
    pub targets: usize,
    /// Number of these of which this instance owns a share.
    pub owned: usize,
    /// Openings per second that this instance may send to them.
    pub budget_per_s: f64,
    /// Whether this instance may own shares: it has run for a time and knows the other instances.
    pub is_owner: bool,
    /// Number of flows that this instance has opened to cold targets since its start.
    pub openings: u64,
}

impl Forwarder {
    /// Lets the targets of a failure domain count as cold from now, if their services have a limit:
    /// flows return to it, and the entries of the targets may arrive later.
    pub fn presume_cold(&mut self, now: Duration, domain: &str) {
        self.warm_up.presume_cold(now, domain);
    }

    /// Updates what this instance knows about itself and the other instances.
    pub fn set_instance_view(&mut self, view: InstanceView) {
        self.warm_up.set_view(view);
    }

    /// Records the IDs of the live instances in the local failure domain, this one included.
    pub fn set_local_ids(&mut self, now: Duration, ids: impl Iterator<Item = InstanceId>) {
        self.warm_up.set_instances(now, ids);
    }

    /// Returns the cold targets with the budget of this instance; to be called about once per second.
    pub fn cold_targets(&mut self, now: Duration) -> ColdTargets {
        let mut cold = ColdTargets {
            is_owner: self.warm_up.is_owner(now),
            openings: self.warm_up.openings(),
            ..ColdTargets::default()
        };
        let Some(raw) = self.routes.raw().filter(|raw| !raw.warm_ups.is_empty()) else {
            return cold;
        };
        for service in raw.warm_ups.iter().map(|warm_up| warm_up.service.as_str()) {
            let Some(limit) = self.routes.warm_up(service) else { continue };
            for (target, left) in self.targets.eligible_in(now, service, &self.local_domain) {
                if self.warm_up.cold_left(now, limit, &target.failure_domain, left).is_zero() {
                    continue;
                }
                let incarnation = (target.key, target.incarnation);
                self.warm_up.rank(now, incarnation);
                let share = self.warm_up.share(now, limit, incarnation);
                cold.targets += 1;
                cold.owned += usize::from(share > 0.0);
                cold.budget_per_s += share;
            }
        }
        cold
    }

    /// Returns the limit of a service, and prepares the decisions about its cold targets.
    pub(super) fn prepare_limit(&mut self, now: Duration, service: &str) -> Option<WarmUp> {
        let limit = self.routes.warm_up(service)?;
        for (target, left) in self.targets.eligible_in(now, service, &self.local_domain) {
            if !self.warm_up.cold_left(now, limit, &target.failure_domain, left).is_zero() {
                self.warm_up.rank(now, (target.key, target.incarnation));
            }
        }
        Some(limit)
    }

    /// Returns the remaining time until a target is warm, given that of its record, or `None` if
    /// there is no budget to open a flow to it now. Only targets of the local failure domain have
    /// been ranked, so there is none for cold targets of others.
    pub(super) fn warm_up_left(
        &self,
        now: Duration,
        limit: Option<WarmUp>,
        target: &Target,
        recorded: Duration,
    ) -> Option<Duration> {
        let Some(limit) = limit else { return Some(recorded) };
        let left = self.warm_up.cold_left(now, limit, &target.failure_domain, recorded);
        let incarnation = (target.key, target.incarnation);
        (left.is_zero() || self.warm_up.may_open(now, limit, incarnation)).then_some(left)
    }

    /// Counts the opening of a flow against the budget of its target.
    pub(super) fn count_opening(
        &mut self,
        now: Duration,
        flow: FlowId,
        incarnation: TargetIncarnation,
    ) {
        if let Some((limit, left)) = self.limit_of(now, incarnation)
            && !left.is_zero()
        {
            self.warm_up.record(now, limit, incarnation, flow);
            counter!("limpetdeck_cold_openings_total").increment(1);
        }
    }

    /// Returns whether a copy of an opening packet may go to the target of the earlier one. A cold
    /// target gets it only if the first copy was counted, and one that has restarted does not.
    pub(super) fn may_repeat(
        &self,
        now: Duration,
        flow: FlowId,
        incarnation: TargetIncarnation,
    ) -> bool {
        self.limit_of(now, incarnation).is_none_or(|(_, left)| {
            !self.targets.has_restarted(incarnation)
                && (left.is_zero() || self.warm_up.is_recorded(incarnation, flow))
        })
    }

    /// Returns why a caller gets no target of any of these services.
    pub(super) fn refusal_reason(
        &self,
        now: Duration,
        services: &[WeightedService],
    ) -> ResetReason {
        let has_cold = |service: &WeightedService| {
            let Some(limit) = self.routes.warm_up(&service.service) else { return false };
            let mut targets = self.targets.eligible(now, &service.service);
            targets.any(|(target, left)| {
                !self.warm_up.cold_left(now, limit, &target.failure_domain, left).is_zero()
            })
        };
        if services.iter().any(has_cold) { ResetReason::ColdTargets } else { ResetReason::NoTarget }
    }

    /// Removes expired state of the budgets.
    pub(super) fn expire_warm_up(&mut self, now: Duration) {
        let longest = self.routes.raw().map(|raw| {
            let durations = raw.warm_ups.iter().map(|warm_up| warm_up.duration_ms);
            Duration::from_millis(durations.max().unwrap_or_default())
        });
        self.warm_up.expire(now, longest);
    }

    /// Returns the limit of a target's service and the remaining time until the target is warm, or
    /// `None` if there is no limit.
    fn limit_of(
        &self,
        now: Duration,
        incarnation: TargetIncarnation,
    ) -> Option<(WarmUp, Duration)> {
        // Without any limit, not even the target is looked up.
        self.routes.raw().filter(|raw| !raw.warm_ups.is_empty())?;
        let target = self.targets.get(incarnation)?;
        let limit = self.routes.warm_up(&target.service)?;
        let recorded = self.targets.warm_up_left(now, target.key);
        Some((limit, self.warm_up.cold_left(now, limit, &target.failure_domain, recorded)))
    }
}
