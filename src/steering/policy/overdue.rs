//! Counts overdue responses by target.
//!
//! A target that accepts requests without responding looks idle once its callers have given up,
//! and would get the flows that they open next. Each overdue response therefore counts as a
//! waiting request for a time. Instances report overdue responses to each other, as each sees
//! only a few of a target's callers.

use std::collections::VecDeque;
use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::token::TargetIncarnation;

/// Time for which an overdue response counts; short, so that a target that has recovered soon gets
/// new flows.
const RETENTION: Duration = Duration::from_secs(6);
/// Maximum number of entries, 40 bytes each; the oldest ones are evicted first.
const MAX_ENTRIES: usize = 4_096;

/// Recent overdue responses.
#[derive(Debug, Default)]
pub struct OverdueResponses {
    entries: VecDeque<(Duration, TargetIncarnation)>,
    counts: HashMap<TargetIncarnation, u32>,
}

impl OverdueResponses {
    /// Records an overdue response of a target.
    pub fn record(&mut self, now: Duration, target: TargetIncarnation) {
        if self.entries.len() >= MAX_ENTRIES {
            self.pop_oldest();
        }
        self.entries.push_back((now, target));
        *self.counts.entry(target).or_default() += 1;
    }

    /// Returns the number of recent overdue responses of a target.
    pub fn count(&self, target: TargetIncarnation) -> u32 {
        self.counts.get(&target).copied().unwrap_or_default()
    }

    /// Removes the entries that no longer count.
    pub fn expire(&mut self, now: Duration) {
        while self.entries.front().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.pop_oldest();
        }
    }

    fn pop_oldest(&mut self) {
        let Some((_, target)) = self.entries.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&target) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&target);
            }
        }
    }
}
