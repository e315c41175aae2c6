//! Detection of time that the steady clock has not counted: it stops while the machine is suspended.

use std::time::{Duration, SystemTime};

/// Difference between the clocks above which time counts as lost.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Compares the steady clock with the time of day, which is set at times. Either may mean that time was
/// lost.
#[derive(Debug)]
pub struct LostTime {
    steady: Duration,
    time_of_day: SystemTime,
}

impl LostTime {
    /// Creates a detector with the times of both clocks.
    pub fn new(steady: Duration, time_of_day: SystemTime) -> Self {
        Self { steady, time_of_day }
    }

    /// Returns whether time may have been lost since the last call.
    pub fn detect(&mut self, steady: Duration, time_of_day: SystemTime) -> bool {
        let counted = steady.saturating_sub(self.steady);
        let difference = match time_of_day.duration_since(self.time_of_day) {
            Ok(passed) => passed.abs_diff(counted),
            Err(e) => e.duration() + counted,
        };
        *self = Self::new(steady, time_of_day);
        difference > TOLERANCE
    }
}
