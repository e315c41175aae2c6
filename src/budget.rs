//! Rate limit on all control bytes that an instance sends.
//!
//! The limit holds for any period of one second. A token bucket would not do: the unused
//! budget of quiet seconds would allow several times the limit in a later one.

use std::time::Duration;

/// Length of a slot, the interval by which bytes are counted.
const SLOT_DURATION: Duration = Duration::from_millis(100);
/// Number of slots that are counted together: a second that is not aligned to slots touches 11 of
/// them.
const SLOT_COUNT: usize = 11;

/// Classes of control traffic, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Pings, acks and other small messages that must not wait.
    Liveness,
    /// Versions and contents of the operators' lists.
    Lists,
    /// Epochs and states of targets.
    Epochs,
    /// Replicas of flow records.
    Replicas,
    /// Handover and other traffic that can wait.
    Bulk,
}

impl Class {
    /// Returns the value of the `class` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Liveness => "liveness",
            Self::Lists => "lists",
            Self::Epochs => "epochs",
            Self::Replicas => "replicas",
            Self::Bulk => "bulk",
        }
    }

    /// Returns the part of the limit, in percent, that is reserved for more urgent classes.
    fn reserve_percent(self) -> usize {
        match self {
            Self::Liveness => 0,
            Self::Lists => 5,
            Self::Epochs => 15,
            Self::Replicas => 35,
            Self::Bulk => 40,
        }
    }
}

/// A limit in bytes per second, part of which is reserved for urgent classes.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    /// Bytes spent in each of the last slots; the current one is at `slot % SLOT_COUNT`.
    spent: [usize; SLOT_COUNT],
    slot: u128,
}

impl Budget {
    /// Creates an unspent budget with a limit in bytes per second.
    pub fn new(limit: u32, now: Duration) -> Self {
        Self { limit: limit as usize, spent: [0; SLOT_COUNT], slot: slot_at(now) }
    }

    /// Spends the bytes if the class may do so now, and returns whether it did.
    ///
    /// [`Class::Liveness`] is never held back, even above the limit; the other classes then
    /// wait until a second has passed.
    pub fn spend(&mut self, now: Duration, class: Class, bytes: usize) -> bool {
        if class != Class::Liveness && bytes > self.available(now, class) {
            return false;
        }
        self.advance(now);
        self.spent[slot_index(self.slot)] += bytes;
        true
    }

    /// Returns the number of bytes that a class may spend now.
    pub fn available(&mut self, now: Duration, class: Class) -> usize {
        self.advance(now);
        let class_limit = self.limit * (100 - class.reserve_percent()) / 100;
        class_limit.saturating_sub(self.spent.iter().sum())
    }

    fn advance(&mut self, now: Duration) {
        let slot = slot_at(now);
        if slot >= self.slot + SLOT_COUNT as u128 {
            self.spent = [0; SLOT_COUNT];
            self.slot = slot;
        }
        while self.slot < slot {
            self.slot += 1;
            self.spent[slot_index(self.slot)] = 0;
        }
    }
}

fn slot_at(now: Duration) -> u128 {
    now.as_millis() / SLOT_DURATION.as_millis()
}

fn slot_index(slot: u128) -> usize {
    (slot % SLOT_COUNT as u128) as usize
}
