//! Selects the target of a new flow, without I/O.
//!
//! - *A failure domain is partitioned off*: flows within one domain are not affected, so
//!   targets of the local domain are preferred.
//! - *A domain has too few targets for its callers*: once the estimated number of requests
//!   waiting there clearly exceeds its slots, targets of other domains are eligible too.
//! - *All callers reconnect at once* after a restart and find few targets in their domain:
//!   once even the least busy local target has requests waiting for most of its slots, targets
//!   of other domains are eligible too.
//! - *Long-lived flows are never moved*: among equally busy targets, the one with the fewest
//!   flows per slot is chosen.
//! - *Cold targets* are slower at first: they count as having fewer slots.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Capacity of a cold target, as a fraction of its slots.
const COLD_CAPACITY: f64 = 0.6;
/// Load of an open flow in slots; each request that waits for a response adds one slot.
const FLOW_LOAD: f64 = 0.15;
/// Waiting requests per slot of a target, as seen by one instance, at which the target counts as
/// busy. Each instance sees only some of a target's requests, so this is below 1.
const BUSY_THRESHOLD: f64 = 0.66;

/// Estimated waiting requests per slot of the local domain at which targets of other domains
/// become eligible: all slots are in use, and half as many requests are queued. At 1.2, the
/// reconnects after a restart placed flows in other domains, and a partition then stalled them.
const DOMAIN_OVERLOAD_THRESHOLD: f64 = 1.6;

/// A target that may get a new flow, with the inputs of the selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target is in the instance's local failure domain.
    pub local: bool,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Flows to the target through this instance.
    pub flows: u32,
    /// Flows among them that wait for a response.
    pub waiting: u32,
    /// Remaining time until the target is warm.
    pub warm_up_left: Duration,
}

impl Candidate {
    /// Returns the load per slot, the new flow included.
    fn load_per_slot(&self) -> f64 {
        let load = f64::from(self.waiting) + FLOW_LOAD * f64::from(self.flows + 1);
        load / self.capacity()
    }

    /// Returns whether requests are known to wait for most of the target's slots.
    pub fn is_busy(&self) -> bool {
        f64::from(self.waiting) / self.capacity() >= BUSY_THRESHOLD
    }

    fn capacity(&self) -> f64 {
        let fraction = if self.warm_up_left > Duration::ZERO { COLD_CAPACITY } else { 1.0 };
        f64::from(self.slots) * fraction
    }
}

/// Returns whether the local ones among the candidates suffice, so that those of other failure
/// domains need not be looked at. `domain_load` is the estimated number of waiting requests per slot
/// of the local failure domain.
pub fn local_targets_suffice(candidates: &[Candidate], domain_load: f64) -> bool {
    let has_capacity = candidates.iter().any(|candidate| candidate.local && !candidate.is_busy());
    has_capacity && domain_load < DOMAIN_OVERLOAD_THRESHOLD
}

/// Returns the index of the least loaded eligible candidate, at random among equals, or `None`
/// if there are no candidates. `domain_load` is the estimated number of waiting requests per
/// slot of the local failure domain.
pub fn select_target(
    candidates: &[Candidate],
    domain_load: f64,
    rng: &mut SmallRng,
) -> Option<usize> {
    let local_only = local_targets_suffice(candidates, domain_load);
    let eligible =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.local || !local_only);
    let ranked = eligible.map(|(i, candidate)| (i, candidate.load_per_slot(), rng.random::<u32>()));
    ranked.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2))).map(|(i, ..)| i)
}
