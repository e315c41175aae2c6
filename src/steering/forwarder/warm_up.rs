//! Use of the opening budgets of cold targets when targets are selected and callers refused.
//! Services without a limit are not affected.

use std::time::Duration;

use metrics::counter;

use super::{DropReason, Forwarder, ResetReason, Verdict};
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
    /// Whether this instance may own shares: its view of the others has been complete for a time.
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

    /// Lets the targets of failure domains whose order to drain was withdrawn count as cold from then.
    pub(in crate::steering) fn start_warm_ups(&mut self) {
        for (domain, at) in self.drains.withdrawn() {
            self.warm_up.presume_cold(at, domain);
        }
    }

    /// Updates what this instance knows about itself and the other instances.
    pub fn set_instance_view(&mut self, now: Duration, view: InstanceView) {
        self.warm_up.set_view(now, view);
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
        let services: Vec<_> = raw.warm_ups.iter().map(|limit| limit.service.clone()).collect();
        for service in &services {
            let Some(limit) = self.prepare_limit(now, service) else { continue };
            let presumed = self.warm_up.presumed_left(now, limit, &self.local_domain);
            for (target, left) in self.targets.eligible_in(now, service, &self.local_domain) {
                if left.max(presumed).is_zero() {
                    continue;
                }
                let incarnation = (target.key, target.incarnation);
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
        let presumed = self.warm_up.presumed_left(now, limit, &self.local_domain);
        let may_be_cold = !presumed.is_zero() || self.targets.may_be_cold(now);
        if may_be_cold && self.warm_up.is_owner(now) {
            for (target, left) in self.targets.eligible_in(now, service, &self.local_domain) {
                if !left.max(presumed).is_zero() {
                    let since = self.targets.cold_again_at(target.key);
                    self.warm_up.rank(now, limit, (target.key, target.incarnation), since);
                }
            }
        }
        Some(limit)
    }

    /// Returns the remaining time until a target is warm, given that of its record, or `None` if
    /// there is no budget to open a flow to it now. Only targets of the local failure domain have
    /// been ranked, so there is none for cold targets of others. While routes arrive in parts, limits
    /// are unknown, and there is no budget for any cold target.
    pub(super) fn warm_up_left(
        &self,
        now: Duration,
        limit: Option<WarmUp>,
        target: &Target,
        recorded: Duration,
    ) -> Option<Duration> {
        let Some(limit) = limit else {
            let is_usable = self.routes.is_complete() || !self.is_recorded_cold(target, recorded);
            return is_usable.then_some(recorded);
        };
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
        if !self.routes.is_complete() {
            let left = self.targets.warm_up_left(now, incarnation.0);
            return self
                .targets
                .get(incarnation)
                .is_some_and(|target| !self.is_recorded_cold(target, left));
        }
        self.limit_of(now, incarnation).is_none_or(|(_, left)| {
            !self.targets.has_restarted(incarnation)
                && (left.is_zero() || self.warm_up.is_recorded(incarnation, flow))
        })
    }

    /// Returns the verdict about a caller that gets no target of a route's services. Until limits are
    /// known, it waits if there are cold targets: they may turn out to have no limit.
    pub(super) fn refusal(&self, now: Duration, services: &[WeightedService]) -> Verdict<'static> {
        let limits = services.iter().map(|s| (s.service.as_str(), self.routes.warm_up(&s.service)));
        let with_cold: Vec<_> =
            limits.filter(|&(service, limit)| self.has_cold(now, service, limit)).collect();
        if with_cold.is_empty() {
            return self.no_target(now, services);
        }
        match with_cold.iter().all(|(_, limit)| limit.is_some()) {
            true => Verdict::Reset(ResetReason::ColdTargets),
            false => Verdict::Drop(DropReason::NotReady),
        }
    }

    /// Returns whether a service has eligible targets that are cold.
    fn has_cold(&self, now: Duration, service: &str, limit: Option<WarmUp>) -> bool {
        self.eligible(now, service).any(|(target, left)| match limit {
            Some(limit) => {
                !self.warm_up.cold_left(now, limit, &target.failure_domain, left).is_zero()
            }
            None => !self.routes.is_complete() && self.is_recorded_cold(target, left),
        })
    }

    /// Returns whether a target is cold as far as can be told without a limit.
    fn is_recorded_cold(&self, target: &Target, recorded: Duration) -> bool {
        !recorded.is_zero() || self.warm_up.is_presumed_cold(&target.failure_domain)
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
