//! Log lines about the number of live peers.

use std::time::Duration;

use crate::steering::gossip::Peers;

/// Minimum time between two lines. When all instances start at once, each learns of the others one
/// by one, which would be a line for each pair of instances.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Writes a line when the numbers of peers have changed, but not more often than each interval.
#[derive(Debug, Default)]
pub(super) struct MembersLog {
    logged: (usize, usize),
    next: Duration,
}

impl MembersLog {
    /// Writes a line if one is due; to be called on each tick.
    pub(super) fn write(&mut self, now: Duration, peers: &Peers) {
        if self.is_due(now, peers) {
            log::info!(home = peers.local.len(), away = peers.remote.len(); "members");
        }
    }

    fn is_due(&mut self, now: Duration, peers: &Peers) -> bool {
        let counts = (peers.local.len(), peers.remote.len());
        if counts == self.logged || now < self.next {
            return false;
        }
        self.logged = counts;
        self.next = now + MIN_INTERVAL;
        true
    }
}
