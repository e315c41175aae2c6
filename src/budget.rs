//! One token bucket over all control bytes that an instance sends.

use std::time::Duration;

/// Time for which unused budget is kept.
const BURST: Duration = Duration::from_secs(2);

/// Classes of control traffic, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Heartbeats and what they carry.
    Liveness,
    /// Versions and contents of the operators' lists.
    Lists,
    /// Epochs and states of targets.
    Epochs,
    /// Replicas of flow records.
    Replicas,
    /// Hand-over and everything else that can wait.
    Bulk,
}

impl Class {
    /// Returns the name under which metrics show the class.
    pub fn name(self) -> &'static str {
        match self {
            Self::Liveness => "liveness",
            Self::Lists => "lists",
            Self::Epochs => "epochs",
            Self::Replicas => "replicas",
            Self::Bulk => "bulk",
        }
    }

    /// Part of the bucket, in percent, that is kept for more urgent classes.
    fn reserve_percent(self) -> u64 {
        match self {
            Self::Liveness => 0,
            Self::Lists => 5,
            Self::Epochs => 10,
            Self::Replicas => 15,
            Self::Bulk => 25,
        }
    }
}

/// A token bucket in bytes whose less urgent classes leave a reserve.
#[derive(Debug)]
pub struct Budget {
    rate: u64,
    /// Tokens in byte-nanoseconds, so that no rounding is lost between refills.
    tokens: u128,
    filled: Duration,
}

impl Budget {
    /// Makes a full bucket for a rate in bytes a second.
    pub fn new(rate: u32, now: Duration) -> Self {
        let mut budget = Self { rate: u64::from(rate), tokens: 0, filled: now };
        budget.tokens = budget.capacity();
        budget
    }

    /// Takes the bytes if the class may spend them now.
    ///
    /// Liveness is never held back: it takes what it needs, and the other classes wait
    /// until the bucket has recovered.
    pub fn spend(&mut self, now: Duration, class: Class, bytes: usize) -> bool {
        self.refill(now);
        let cost = bytes as u128 * NANOS;
        let reserve = self.capacity() * u128::from(class.reserve_percent()) / 100;
        if class != Class::Liveness && self.tokens < cost + reserve {
            return false;
        }
        self.tokens = self.tokens.saturating_sub(cost);
        true
    }

    /// Returns the bytes that a class may spend now.
    pub fn available(&mut self, now: Duration, class: Class) -> usize {
        self.refill(now);
        let reserve = self.capacity() * u128::from(class.reserve_percent()) / 100;
        usize::try_from(self.tokens.saturating_sub(reserve) / NANOS).unwrap_or(usize::MAX)
    }

    fn capacity(&self) -> u128 {
        u128::from(self.rate) * BURST.as_nanos()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled);
        self.filled = self.filled.max(now);
        let gained = u128::from(self.rate) * elapsed.as_nanos();
        self.tokens = (self.tokens + gained).min(self.capacity());
    }
}

/// Nanoseconds in a second.
const NANOS: u128 = 1_000_000_000;
