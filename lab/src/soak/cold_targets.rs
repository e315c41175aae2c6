//! Check of the limit on new flows to cold servers.

use std::collections::VecDeque;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::steering::TargetKey;

/// Time for which a server is cold.
pub const COLD_START: Duration = Duration::from_secs(4);
/// Tolerance of the rule: multiple of the announced limit.
const OVERRUN: f64 = 1.5;
/// Tolerance of the rule: openings above that.
const SLACK: f64 = 5.0;
/// Length of the sliding window in which openings are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The openings of cold servers.
#[derive(Debug, Default)]
pub struct ColdTargets {
    /// New flows per second that a cold server bears; 0 if no limit is announced.
    flows_per_s: f64,
    openings: HashMap<(TargetKey, u64), VecDeque<Duration>>,
    /// Largest number of openings in a window.
    pub most: usize,
}

impl ColdTargets {
    /// Creates a check of a limit; 0 stands for none.
    pub fn new(flows_per_s: f64) -> Self {
        Self { flows_per_s, ..Self::default() }
    }

    /// Counts an opening packet that a cold server accepted. Returns the number of openings in the
    /// window if it exceeds the limit.
    pub fn record_opening(&mut self, now: Duration, server: (TargetKey, u64)) -> Option<usize> {
        if self.flows_per_s == 0.0 {
            return None;
        }
        let openings = self.openings.entry(server).or_default();
        openings.push_back(now);
        openings.retain(|&at| now < at + WINDOW);
        let count = openings.len();
        self.most = self.most.max(count);
        (count as f64 > self.flows_per_s * OVERRUN + SLACK).then_some(count)
    }
}
