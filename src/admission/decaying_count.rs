//! Event count with exponential decay.

use std::time::Duration;

/// Time in which the count decays to 1/e, about 37%.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Count of events that decays exponentially with time; a rate estimate in constant space.
#[derive(Debug, Default)]
pub struct DecayingCount {
    count: f64,
    updated_at: Duration,
}

impl DecayingCount {
    /// Adds one event.
    pub fn add(&mut self, now: Duration) {
        self.count = self.count(now) + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the count, decayed to `now`.
    pub fn count(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the estimated rate, in events per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.count(now) / TIME_CONSTANT.as_secs_f64()
    }
}
