//! Detection of pauses: a process that was stopped or suspended has missed changes by others.

use std::time::Duration;

/// Gap between two ticks above which the process counts as paused; ticks come ten times a second.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Detects pauses of the process by the gaps between ticks.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Duration,
}

impl PauseDetector {
    /// Creates a detector; `now` counts as the first tick.
    pub fn new(now: Duration) -> Self {
        Self { last_tick: now }
    }

    /// Returns whether the process was paused since the last tick, and logs it. Each pause is
    /// reported once.
    pub fn detect(&mut self, now: Duration) -> bool {
        let gap = now.saturating_sub(self.last_tick);
        let paused = gap > PAUSE_THRESHOLD;
        if paused {
            log::warn!(gap_ms = gap.as_millis() as u64; "paused");
            self.last_tick = now;
        }
        paused
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Duration) {
        self.last_tick = now;
    }
}
