//! The warm-up of a target, as its records tell of it.

use std::time::Duration;

/// Time by which a record has to make the warm-up longer for the target to count as cold again: the
/// records of one warm-up arrive with different delays.
const TOLERANCE: Duration = Duration::from_millis(500);

/// The warm-up of a target.
#[derive(Debug)]
pub(super) struct ColdTime {
    /// End of the warm-up.
    pub until: Duration,
    /// End of the warm-up that was last spread to other instances.
    spread_until: Duration,
    /// When the target, which was known before, restarted or became cold again.
    pub again_at: Option<Duration>,
}

impl ColdTime {
    /// Returns the warm-up of a target whose record is spread now.
    pub fn new(now: Duration, left: Duration) -> Self {
        let until = now + left;
        Self { until, spread_until: until, again_at: None }
    }

    /// Records the warm-up of the target's earlier record.
    pub fn follow(&mut self, now: Duration, previous: &Self, has_restarted: bool) {
        let is_cold_again = has_restarted || self.until > previous.spread_until + TOLERANCE;
        self.again_at = if is_cold_again { Some(now) } else { previous.again_at };
    }

    /// Makes the warm-up longer if a record says so. Returns whether the target is cold again, which
    /// has to be spread. Extensions below the tolerance are compared with the end that was last
    /// spread: otherwise their sum would never be spread.
    pub fn extend(&mut self, now: Duration, left: Duration) -> bool {
        self.until = self.until.max(now + left);
        let is_cold_again = self.until > self.spread_until + TOLERANCE;
        if is_cold_again {
            self.spread_until = self.until;
            self.again_at = Some(now);
        }
        is_cold_again
    }
}
