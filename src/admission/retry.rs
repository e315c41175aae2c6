//! When refused callers may come back: spread, so that they do not come back together.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::recent::Recent;

/// Least interval over which callers are spread.
const LEAST_SPREAD: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Longest time before which nobody is asked back, so that room is left to spread callers.
const LONGEST_EARLIEST: Duration = Duration::from_secs(30);

/// Draws a time to come back.
///
/// Nobody is asked back before `earliest`. From there on the `waiting` callers are spread
/// evenly over the time that it takes to serve them at `per_second`.
pub fn spread(rng: &mut SmallRng, earliest: Duration, waiting: f64, per_second: f64) -> Duration {
    let serving = Duration::try_from_secs_f64(waiting / per_second).unwrap_or(LONGEST_WAIT);
    let interval = serving.clamp(LEAST_SPREAD, LONGEST_WAIT);
    let earliest = earliest.min(LONGEST_EARLIEST);
    let interval = interval.min(LONGEST_WAIT - earliest);
    // Zero would ask the caller back at once, so the open end of the interval is the lower.
    earliest + interval.mul_f64(1.0 - rng.random::<f64>())
}

/// The times to come back for refusals that have one cause.
#[derive(Debug)]
pub struct RetryAfter {
    refused: Recent,
    rng: SmallRng,
}

impl RetryAfter {
    /// Makes a helper that has refused nobody yet.
    pub fn new(rng: SmallRng) -> Self {
        Self { refused: Recent::default(), rng }
    }

    /// Notes a refusal and returns when its caller may come back: not before `earliest`,
    /// and spread over the time in which the callers refused recently can be served.
    pub fn next(&mut self, now: Duration, earliest: Duration, per_second: f64) -> Duration {
        self.refused.add(now);
        spread(&mut self.rng, earliest, self.refused.count(now), per_second)
    }
}
