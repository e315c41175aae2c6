//! A count of recent events that fades with time.

use std::time::Duration;

/// Time in which the count fades to about a third.
const MEMORY: Duration = Duration::from_secs(10);

/// How often something has happened recently, in two numbers.
#[derive(Debug, Default)]
pub struct Recent {
    count: f64,
    at: Duration,
}

impl Recent {
    /// Notes one event.
    pub fn add(&mut self, now: Duration) {
        self.count = self.count(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns the faded count of events.
    pub fn count(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-passed / MEMORY.as_secs_f64()).exp()
    }

    /// Returns the events a second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.count(now) / MEMORY.as_secs_f64()
    }
}
