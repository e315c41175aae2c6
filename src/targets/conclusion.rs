//! What follows from a target's report.

use crate::placement::TargetState::{self, Cold, Dead, Draining, Serving, Shedding};

/// Reports in a row before a target that refused work may take some again.
const AGREEING: u32 = 2;

/// How sure it is that a target reports a state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reported {
    /// The state that the target reports.
    pub(super) state: TargetState,
    /// How many times in a row it did.
    pub(super) times: u32,
    /// How many times a dead target has to.
    pub(super) needed: u32,
    /// Whether a cold target has been cold for long enough.
    pub(super) warm: bool,
}

/// Joins what is known of a target with what it reports. Less work is believed at once,
/// more work only after some reports.
pub(super) fn next_state(known: TargetState, reported: Reported) -> TargetState {
    let Reported { state, times, needed, warm } = reported;
    let times_needed = match (known, state) {
        (Dead, _) => needed,
        (Draining | Shedding, Serving | Cold) | (Draining, Shedding) => AGREEING,
        _ => 1,
    };
    if times < times_needed {
        return known;
    }
    match (known, state) {
        (Dead | Draining, Serving) => Cold,
        (Cold, Serving) if !warm => Cold,
        _ => state,
    }
}
