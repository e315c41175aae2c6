//! Tombstones of recently ended flows.

use std::time::Duration;

use crate::hash::HashSet;
use crate::ids::FlowId;

/// Shortest time for which an ended flow is remembered. It is longer than most network
/// partitions, as an owner on the other side of a partition does not see the end.
const TOMBSTONE_TTL: Duration = Duration::from_secs(300);
/// Maximum number of flows in one generation; further ends are not remembered.
const MAX_PER_GENERATION: usize = 500_000;

/// Set of ended flows in two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct Tombstones {
    current: HashSet<FlowId>,
    previous: HashSet<FlowId>,
    next_rotation: Duration,
}

impl Tombstones {
    /// Adds an ended flow.
    pub fn add(&mut self, flow: FlowId) {
        if self.current.len() < MAX_PER_GENERATION {
            self.current.insert(flow);
        }
    }

    /// Removes a flow whose caller reuses the port for a new one.
    pub fn remove(&mut self, flow: FlowId) {
        self.current.remove(&flow);
        self.previous.remove(&flow);
    }

    /// Returns whether a flow has ended recently.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.current.contains(&flow) || self.previous.contains(&flow)
    }

    /// Drops the older generation once every [`TOMBSTONE_TTL`].
    pub fn rotate(&mut self, now: Duration) {
        if now >= self.next_rotation {
            self.next_rotation = now + TOMBSTONE_TTL;
            self.previous = std::mem::take(&mut self.current);
        }
    }
}
