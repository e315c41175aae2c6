//! How a target's load report changes its observed state.

use crate::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};

/// Consecutive reports after which a target that refused work gets some again.
const REPORTS_TO_RESUME: u32 = 2;

/// The state that a target reports, and what decides whether it is adopted.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedState {
    pub(super) state: TargetState,
    /// Consecutive reports of this state.
    pub(super) count: u32,
    /// Consecutive reports that revive a dead target.
    pub(super) reports_to_revive: u32,
    /// Whether the target has been cold for the whole warm-up time.
    pub(super) warmed_up: bool,
}

/// Returns the observed state that follows from a known and a reported one. A state that accepts
/// less work is adopted at once, one that accepts more only after several reports.
pub(super) fn next_state(known: TargetState, reported: ReportedState) -> TargetState {
    let ReportedState { state, count, reports_to_revive, warmed_up } = reported;
    let required = match (known, state) {
        (Dead, _) => reports_to_revive,
        (Draining | Shedding, Serving | Cold) | (Draining, Shedding) => REPORTS_TO_RESUME,
        _ => 1,
    };
    if count < required {
        return known;
    }
    match (known, state) {
        (Dead | Draining, Serving) => Cold,
        (Cold, Serving) if !warmed_up => Cold,
        _ => state,
    }
}
