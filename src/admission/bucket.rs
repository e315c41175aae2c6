//! The token bucket that limits new flows a second.

use std::time::Duration;

/// Tokens of one customer and service. The rate and the burst are given with each call, so
/// that a change of the rules is in force at once.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens taken since the bucket was last full.
    taken: f64,
    filled: Duration,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(now: Duration) -> Self {
        Self { taken: 0.0, filled: now }
    }

    /// Takes a token if one of `burst` tokens is left.
    pub fn take(&mut self, now: Duration, per_second: f64, burst: f64) -> bool {
        self.fill(now, per_second);
        if self.taken + 1.0 > burst {
            return false;
        }
        self.taken += 1.0;
        true
    }

    /// Returns the time until one of `burst` tokens is there; none if that never happens.
    pub fn wait(&self, per_second: f64, burst: f64) -> Option<Duration> {
        let missing = (self.taken + 1.0 - burst).max(0.0);
        Duration::try_from_secs_f64(missing / per_second).ok()
    }

    fn fill(&mut self, now: Duration, per_second: f64) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.taken = (self.taken - passed * per_second).max(0.0);
    }
}
