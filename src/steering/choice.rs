//! The choice of a target for a new flow, apart from all input and output.
//!
//! - *A failure domain is cut off*: flows that stay in their domain do not notice, so targets
//!   of the own one come first.
//! - *All callers come back at once* after a restart, and long flows stay where they are put:
//!   the target with the fewest flows per slot comes first, so a herd is spread evenly.
//! - *Cold targets* work more slowly at first: they count as having fewer slots.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Share of a slot's work that a cold target gets done.
const COLD_SHARE: f64 = 0.6;

/// A target that may get a new flow, with what decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target stands in the instance's own failure domain.
    pub home: bool,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Flows to the target that pass this instance.
    pub flows: u32,
    /// Time for which the target is still cold.
    pub cold: Duration,
}

impl Candidate {
    /// Flows for each slot, counting the new one.
    fn crowding(&self) -> f64 {
        let share = if self.cold > Duration::ZERO { COLD_SHARE } else { 1.0 };
        f64::from(self.flows + 1) / (f64::from(self.slots) * share)
    }
}

/// Chooses among candidates; none if there are none.
pub fn choose(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    let home = candidates.iter().any(|candidate| candidate.home);
    let near = candidates.iter().enumerate().filter(|(_, candidate)| candidate.home || !home);
    let ranked = near.map(|(i, candidate)| (i, candidate.crowding(), rng.random::<u32>()));
    ranked.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2))).map(|(i, ..)| i)
}
