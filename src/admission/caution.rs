//! The share of the allowances that is used while many instances are missing.
//!
//! Instances that vanish together are likely on the other side of a cut, where another
//! placer admits flows for the same customers.

use std::time::Duration;

/// Time for which the missing instances are taken to be behind a cut.
const CAUTIOUS_FOR: Duration = Duration::from_secs(60);
/// Instances that may vanish together without suspicion of a cut.
const UNSUSPICIOUS: usize = 1;

/// How many instances there were, and how many are left.
#[derive(Debug, Default)]
pub struct Caution {
    before: usize,
    live: usize,
    until: Duration,
}

impl Caution {
    /// Takes the number of live instances; answers whether caution begins.
    pub fn set_live(&mut self, now: Duration, live: usize) -> bool {
        let cautious = self.cautious(now);
        if now >= self.until || live >= self.before {
            self.before = self.live.max(live);
        }
        if live < self.live && !cautious {
            self.until = now + CAUTIOUS_FOR;
        }
        self.live = live;
        !cautious && self.cautious(now)
    }

    /// Returns the part of what is left of an allowance that this side of a cut may use.
    pub fn share(&self, now: Duration) -> f64 {
        if self.cautious(now) { self.live as f64 / self.before as f64 } else { 1.0 }
    }

    /// Tells whether more instances are missing than by an ordinary failure.
    pub fn cautious(&self, now: Duration) -> bool {
        now < self.until && self.before > self.live + UNSUSPICIOUS
    }
}
