//! What the opening budgets of cold targets need to know about the instances, and their metrics
//! and log lines.

use std::time::Duration;

use metrics::gauge;

use super::Node;
use crate::steering::{ColdTargets, InstanceView, ResetReason};

/// Minimum time between two lines: with many targets, some of them are always cold.
const MIN_INTERVAL: Duration = Duration::from_secs(2);

/// Writes a line while flows are opened to cold targets or callers refused because of them.
#[derive(Debug, Default)]
pub(super) struct ColdTargetsLog {
    /// Openings to cold targets and refused callers up to the last line.
    logged: (u64, u64),
    next: Duration,
}

impl ColdTargetsLog {
    /// Writes a line if one is due; `refused` is the number of callers refused so far.
    fn write(&mut self, now: Duration, cold: ColdTargets, refused: u64) {
        let (openings_before, refused_before) = self.logged;
        if self.logged == (cold.openings, refused) || now < self.next {
            return;
        }
        self.logged = (cold.openings, refused);
        self.next = now + MIN_INTERVAL;
        log::info!(
            targets = cold.targets,
            owned = cold.owned,
            owner = cold.is_owner,
            budget_per_s = format!("{:.1}", cold.budget_per_s).as_str(),
            openings = cold.openings - openings_before,
            refused = refused - refused_before;
            "cold_targets"
        );
    }
}

impl Node {
    /// Updates what the budgets need to know about the membership; to be called on each tick.
    pub(super) fn update_instance_view(&mut self, now: Duration) {
        let membership = &self.membership;
        let is_complete = membership.has_joined()
            && !membership.is_refreshing(now)
            && !membership.is_isolated(now);
        let view = InstanceView { me: membership.me().id, is_complete };
        self.forwarder.set_instance_view(now, view);
    }

    /// Updates the metrics and the log; to be called about once per second.
    pub(super) fn report_cold_targets(&mut self, now: Duration) {
        let cold = self.forwarder.cold_targets(now);
        gauge!("limpetdeck_cold_targets").set(cold.targets as f64);
        gauge!("limpetdeck_cold_openings_budget_per_second").set(cold.budget_per_s);
        let refused = self.refusals.get(&ResetReason::ColdTargets.to_string());
        self.cold_targets_log.write(now, cold, refused.copied().unwrap_or_default());
    }
}
