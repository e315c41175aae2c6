//! Statistics about a customer that opens more flows than its plan allows.

use std::time::Duration;

use super::run_result::RunResult;
use super::traffic::{FlowKind, FlowOutcome};

/// Open flows that the bursting customer's plan allows at one service.
pub const MAX_OPEN_FLOWS: u32 = 600;
/// New flows per second that the bursting customer's plan allows.
pub const MAX_NEW_FLOWS_PER_S: u32 = 100;
/// Time at the start of a burst in which accumulated allowances may be spent.
const INITIAL_BURST_TIME: Duration = Duration::from_secs(2);

/// Statistics of a burst.
#[derive(Debug, Default)]
pub struct BurstStats {
    started_at: Option<Duration>,
    /// Admitted flows of the bursting customer, by second since the start.
    admitted_per_s: Vec<u32>,
    /// Highest number of open flows of the bursting customer.
    max_open: usize,
    /// Flows of all other customers.
    other_flows: u64,
    /// Refused flows of all other customers.
    other_flows_refused: u64,
}

impl BurstStats {
    /// Records the start of the burst.
    pub fn start(&mut self, now: Duration) {
        self.started_at = Some(now);
    }

    /// Returns whether the burst has started.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Records that a flow was opened (no outcome) or has ended.
    pub fn record_flow(&mut self, now: Duration, kind: FlowKind, outcome: Option<FlowOutcome>) {
        let Some(started_at) = self.started_at else { return };
        let refused = outcome == Some(FlowOutcome::Refused);
        match (kind, outcome) {
            (FlowKind::Burst, None) => {
                let second = now.saturating_sub(started_at).as_secs() as usize;
                self.admitted_per_s.resize(self.admitted_per_s.len().max(second + 1), 0);
                self.admitted_per_s[second] += 1;
            }
            (FlowKind::Burst, Some(_)) => {}
            (_, None) => self.other_flows += 1,
            (_, Some(_)) => {
                self.other_flows += u64::from(refused);
                self.other_flows_refused += u64::from(refused);
            }
        }
    }

    /// Records the number of open flows of the bursting customer.
    pub fn record_open(&mut self, open: usize) {
        self.max_open = self.max_open.max(open);
    }

    /// Writes the statistics to the result of the run.
    pub fn finish(&self, f: &mut RunResult) {
        if self.started_at.is_none() {
            return;
        }
        let steady_state = self.admitted_per_s.iter().skip(INITIAL_BURST_TIME.as_secs() as usize);
        let max_rate = steady_state.max().copied().unwrap_or(0);
        let open = self.max_open as f64 / f64::from(MAX_OPEN_FLOWS) - 1.0;
        let rate = f64::from(max_rate) / f64::from(MAX_NEW_FLOWS_PER_S) - 1.0;
        f.overshoot = Some(open.max(rate).max(0.0));
        f.wrong_refusals = Some(self.other_flows_refused as f64 / self.other_flows.max(1) as f64);
    }
}
