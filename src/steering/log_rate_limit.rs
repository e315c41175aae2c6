//! Rate limit for log lines about flows.

use std::time::Duration;

/// Maximum rate of log lines about flows; a busy instance opens about 50 flows per second.
const LINES_PER_SECOND: f64 = 100.0;
/// Maximum number of lines in a burst.
const BURST: f64 = 200.0;

/// Token bucket that limits log lines and counts those that are suppressed.
#[derive(Debug)]
pub(super) struct LogRateLimit {
    available: f64,
    last_refill: Duration,
    suppressed: u64,
}

impl LogRateLimit {
    pub(super) fn new(now: Duration) -> Self {
        Self { available: BURST, last_refill: now, suppressed: 0 }
    }

    /// Returns the number of lines suppressed since the last one that was allowed, or `None` if
    /// this line is to be suppressed.
    pub(super) fn try_acquire(&mut self, now: Duration) -> Option<u64> {
        let refill = now.saturating_sub(self.last_refill).as_secs_f64() * LINES_PER_SECOND;
        self.available = (self.available + refill).min(BURST);
        self.last_refill = now;
        if self.available < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}
