//! Targets that keep callers waiting.
//!
//! Answers load pattern "targets take requests and leave them unanswered": once its callers
//! have given up, such a target has nothing to do, and would get the flows that they open next.
//! For a time each of them counts as a request that still waits. Other instances count what
//! they are told, as each of them sees few of a target's callers.

use std::collections::VecDeque;
use std::time::Duration;

use super::token::TargetStart;
use crate::hash::HashMap;

/// Time for which an overdue answer counts: a target that is well again is tried soon.
const COUNTS_FOR: Duration = Duration::from_secs(6);
/// Marks that are kept at most, 40 bytes each; the oldest ones go first.
const MOST_MARKS: usize = 4_096;

/// The answers that were overdue lately, by target.
#[derive(Debug, Default)]
pub struct Overdue {
    marks: VecDeque<(Duration, TargetStart)>,
    counts: HashMap<TargetStart, u32>,
}

impl Overdue {
    /// Notes that an answer of a target is overdue.
    pub fn note(&mut self, now: Duration, target: TargetStart) {
        if self.marks.len() >= MOST_MARKS {
            self.forget_first();
        }
        self.marks.push_back((now, target));
        *self.counts.entry(target).or_default() += 1;
    }

    /// Returns the answers of a target that were overdue lately.
    pub fn count(&self, target: TargetStart) -> u32 {
        self.counts.get(&target).copied().unwrap_or_default()
    }

    /// Forgets what counts no more.
    pub fn forget(&mut self, now: Duration) {
        while self.marks.front().is_some_and(|(at, _)| now >= *at + COUNTS_FOR) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((_, target)) = self.marks.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&target) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&target);
            }
        }
    }
}
