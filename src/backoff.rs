//! Exponential backoff with jitter.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Number of doublings after which the delay no longer grows; by then it exceeds every maximum in
/// use.
const MAX_DOUBLINGS: u32 = 16;

/// Delay that doubles with each consecutive failure, multiplied by a random factor so that
/// callers do not retry at the same time.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    /// Range of the random factor of a delay.
    jitter: RangeInclusive<f64>,
    failures: u32,
    due: Duration,
}

impl Backoff {
    /// Creates a backoff that allows a call at once. `initial` and `max` are the upper bounds of
    /// the delay after the first and after any failure; `jitter` is the range of the random
    /// factor.
    pub fn new(initial: Duration, max: Duration, jitter: RangeInclusive<f64>) -> Self {
        Self { initial, max, jitter, failures: 0, due: Duration::ZERO }
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time from which the next call is due.
    pub fn due(&self) -> Duration {
        self.due
    }

    /// Records a failure and draws the delay until the next call.
    pub fn record_failure(&mut self, now: Duration, rng: &mut SmallRng) {
        let delay = self.initial * 2u32.saturating_pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.due = now + delay.min(self.max).mul_f64(rng.random_range(self.jitter.clone()));
    }

    /// Lengthens the delay until the next call, for callers that share their calls with others.
    pub fn stretch(&mut self, now: Duration, factor: u32) {
        self.due = now + self.due.saturating_sub(now) * factor;
    }

    /// Records a success; the next call is due at `due`.
    pub fn record_success(&mut self, due: Duration) {
        self.failures = 0;
        self.due = due;
    }

    /// Sets the time from which the next call is due.
    pub fn set_due(&mut self, due: Duration) {
        self.due = due;
    }
}
