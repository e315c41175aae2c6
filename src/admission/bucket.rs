//! Token bucket that limits the rate of new flows.

use std::time::Duration;

/// Token bucket of one customer and service. The rate and the burst size are passed with each
/// call, so that a change of the rules takes effect at once.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens taken since the bucket was last full.
    taken: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Duration) -> Self {
        Self { taken: 0.0, refilled_at: now }
    }

    /// Takes a token; returns false if all `burst` tokens are taken.
    pub fn take(&mut self, now: Duration, per_second: f64, burst: f64) -> bool {
        self.refill(now, per_second);
        if self.taken + 1.0 > burst {
            return false;
        }
        self.taken += 1.0;
        true
    }

    /// Returns the time until a token is available, or `None` if the rate is zero.
    pub fn time_to_token(&self, per_second: f64, burst: f64) -> Option<Duration> {
        let missing = (self.taken + 1.0 - burst).max(0.0);
        Duration::try_from_secs_f64(missing / per_second).ok()
    }

    fn refill(&mut self, now: Duration, per_second: f64) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.taken = (self.taken - passed * per_second).max(0.0);
    }
}
