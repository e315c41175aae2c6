//! Log lines about flows, at a bounded rate.

use std::time::Duration;

/// Lines about flows that are written in a second at most: a busy instance opens some 50
/// flows a second.
const LINES_PER_SECOND: f64 = 100.0;
/// Lines that may come at once.
const BURST: f64 = 200.0;

/// Lets so many lines through, and counts the others.
#[derive(Debug)]
pub(super) struct DecisionLog {
    left: f64,
    refilled: Duration,
    unlogged: u64,
}

impl DecisionLog {
    pub(super) fn new(now: Duration) -> Self {
        Self { left: BURST, refilled: now, unlogged: 0 }
    }

    /// Tells whether a line may be written; if so, it gives the number of lines that were
    /// left out since the last one.
    pub(super) fn line(&mut self, now: Duration) -> Option<u64> {
        let gained = now.saturating_sub(self.refilled).as_secs_f64() * LINES_PER_SECOND;
        self.left = (self.left + gained).min(BURST);
        self.refilled = now;
        if self.left < 1.0 {
            self.unlogged += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.unlogged))
    }
}
