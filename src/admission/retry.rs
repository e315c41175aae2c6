//! Retry delays for refused callers, spread so that the callers do not all retry at once.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::decaying_count::DecayingCount;

/// Lower bound of the interval over which retries are spread.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Upper bound of the earliest retry; leaves an interval below [`MAX_RETRY_AFTER`] over which
/// the retries are spread.
const MAX_EARLIEST: Duration = Duration::from_secs(30);

/// Draws a retry delay.
///
/// The delay is longer than `earliest`. Beyond it, the retries of the `waiting` callers are
/// spread evenly over the time that it takes to serve them at `per_second`.
pub fn draw_retry_after(
    rng: &mut SmallRng,
    earliest: Duration,
    waiting: f64,
    per_second: f64,
) -> Duration {
    let drain_time = Duration::try_from_secs_f64(waiting / per_second).unwrap_or(MAX_RETRY_AFTER);
    let interval = drain_time.clamp(MIN_INTERVAL, MAX_RETRY_AFTER);
    let earliest = earliest.min(MAX_EARLIEST);
    let interval = interval.min(MAX_RETRY_AFTER - earliest);
    // The lower end of the interval is open: a delay of zero means an immediate retry.
    earliest + interval.mul_f64(1.0 - rng.random::<f64>())
}

/// Retry delays for refusals that share one limit.
#[derive(Debug)]
pub struct RetryAfter {
    recent_refusals: DecayingCount,
    rng: SmallRng,
}

impl RetryAfter {
    /// Creates one without recent refusals.
    pub fn new(rng: SmallRng) -> Self {
        Self { recent_refusals: DecayingCount::default(), rng }
    }

    /// Counts a refusal and returns the retry delay of its caller: longer than `earliest`,
    /// and spread over the time that it takes to serve the recently refused callers at
    /// `per_second`.
    pub fn next(&mut self, now: Duration, earliest: Duration, per_second: f64) -> Duration {
        self.recent_refusals.add(now);
        draw_retry_after(&mut self.rng, earliest, self.recent_refusals.count(now), per_second)
    }
}
