//! Detection of pauses: a process that is stopped or suspended misses what others do meanwhile.

use std::time::Duration;

/// Gap between two ticks after which the process was paused; ticks come ten times a second.
const PAUSED_AFTER: Duration = Duration::from_secs(1);

/// Watches the gaps between ticks.
#[derive(Debug)]
pub struct PauseWatch {
    last_tick: Duration,
}

impl PauseWatch {
    /// Makes a watch that starts now.
    pub fn new(now: Duration) -> Self {
        Self { last_tick: now }
    }

    /// Tells whether the process was paused since the last tick. Each pause is told once.
    pub fn paused(&mut self, now: Duration) -> bool {
        let gap = now.saturating_sub(self.last_tick);
        let paused = gap > PAUSED_AFTER;
        if paused {
            log::warn!(gap_ms = gap.as_millis() as u64; "paused");
            self.last_tick = now;
        }
        paused
    }

    /// Notes a tick.
    pub fn tick(&mut self, now: Duration) {
        self.last_tick = now;
    }
}
