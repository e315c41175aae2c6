//! Delays between calls that fail.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Doublings after which a delay grows no more; by then it is over any limit in use.
const MOST_DOUBLINGS: u32 = 16;

/// Delays that double from failure to failure, each drawn from a range so that callers spread.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    /// Share of a delay that is drawn.
    share: RangeInclusive<f64>,
    failures: u32,
    next: Duration,
}

impl Backoff {
    /// Makes one that allows a call at once. `first` and `longest` limit the delay after the
    /// first and after any failure, and `share` is the range that is drawn from.
    pub fn new(first: Duration, longest: Duration, share: RangeInclusive<f64>) -> Self {
        Self { first, longest, share, failures: 0, next: Duration::ZERO }
    }

    /// Returns the number of failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time from which on a call is due.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// Notes a failure and draws the delay.
    pub fn failed(&mut self, now: Duration, rng: &mut SmallRng) {
        let longest = self.first * 2u32.saturating_pow(self.failures.min(MOST_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.next = now + longest.min(self.longest).mul_f64(rng.random_range(self.share.clone()));
    }

    /// Notes a success; the next call is due at the given time.
    pub fn succeeded(&mut self, next: Duration) {
        self.failures = 0;
        self.next = next;
    }

    /// Sets when the next call is due.
    pub fn set_next(&mut self, next: Duration) {
        self.next = next;
    }
}
