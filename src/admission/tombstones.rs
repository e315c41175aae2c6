//! The flows that ended lately.

use std::time::Duration;

use crate::hash::HashSet;
use crate::ids::FlowId;

/// Time for which an ended flow is remembered at least: as long as most cuts, since an owner
/// behind a cut does not see the end.
const KEPT: Duration = Duration::from_secs(300);
/// Ended flows that are remembered at most in one generation.
const CAPACITY: usize = 500_000;

/// Ended flows in two generations.
#[derive(Debug, Default)]
pub struct Tombstones {
    young: HashSet<FlowId>,
    old: HashSet<FlowId>,
    next_age: Duration,
}

impl Tombstones {
    /// Remembers a flow.
    pub fn add(&mut self, flow: FlowId) {
        if self.young.len() < CAPACITY {
            self.young.insert(flow);
        }
    }

    /// Forgets a flow: its port is used anew.
    pub fn remove(&mut self, flow: FlowId) {
        self.young.remove(&flow);
        self.old.remove(&flow);
    }

    /// Tells whether a flow is remembered.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.young.contains(&flow) || self.old.contains(&flow)
    }

    /// Forgets the older generation when it is time.
    pub fn age(&mut self, now: Duration) {
        if now >= self.next_age {
            self.next_age = now + KEPT;
            self.old = std::mem::take(&mut self.young);
        }
    }
}
