//! The choice of a target for a new flow, apart from all input and output.
//!
//! - *A failure domain is cut off*: flows that stay in their domain do not notice, so targets
//!   of the own one come first.
//! - *A domain has too few targets for its callers*: once more requests wait there than it has
//!   slots, by estimate, the others count too.
//! - *All callers come back at once* after a restart, and find few targets in their domain:
//!   once even the least busy target there has requests waiting for most of its slots, the
//!   others count too.
//! - *Long flows stay where they are put*: of equally busy targets, the one with the fewest
//!   flows per slot comes first.
//! - *Cold targets* work more slowly at first: they count as having fewer slots.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Share of a slot's work that a cold target gets done.
const COLD_SHARE: f64 = 0.6;
/// Slots that an open flow takes up, next to one for a request that waits for its answer.
const FLOW_SHARE: f64 = 0.15;
/// Requests waiting for each slot, as one instance sees them, from which on targets of other
/// failure domains count too. An instance sees a part of a target's requests alone.
const SPILL_FROM: f64 = 0.66;

/// Requests waiting for each slot of the own domain, by estimate, from which on targets of
/// other failure domains count too: all slots are taken, and as many requests as half of them
/// wait for one. From 1.2 on, the crowd after a restart sent flows away that a cut then held up.
const CROWDED_FROM: f64 = 1.6;

/// A target that may get a new flow, with what decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target stands in the instance's own failure domain.
    pub home: bool,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Flows to the target that pass this instance.
    pub flows: u32,
    /// Requests among them that wait for an answer.
    pub waiting: u32,
    /// Time for which the target is still cold.
    pub cold: Duration,
}

impl Candidate {
    /// Work for each slot, counting the new flow.
    fn crowding(&self) -> f64 {
        let work = f64::from(self.waiting) + FLOW_SHARE * f64::from(self.flows + 1);
        work / self.capacity()
    }

    fn is_busy(&self) -> bool {
        f64::from(self.waiting) / self.capacity() >= SPILL_FROM
    }

    fn capacity(&self) -> f64 {
        let share = if self.cold > Duration::ZERO { COLD_SHARE } else { 1.0 };
        f64::from(self.slots) * share
    }
}

/// Chooses among candidates; none if there are none. `crowding` estimates the requests that
/// wait for each slot of the own failure domain.
pub fn choose(candidates: &[Candidate], crowding: f64, rng: &mut SmallRng) -> Option<usize> {
    let room = candidates.iter().any(|candidate| candidate.home && !candidate.is_busy());
    let stay = room && crowding < CROWDED_FROM;
    let near = candidates.iter().enumerate().filter(|(_, candidate)| candidate.home || !stay);
    let ranked = near.map(|(i, candidate)| (i, candidate.crowding(), rng.random::<u32>()));
    ranked.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2))).map(|(i, ..)| i)
}
