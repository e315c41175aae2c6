//! One limit over all control bytes that an instance sends.
//!
//! It holds for every second: a bucket that lets unused budget be saved up would let one
//! second carry several times the limit after a quiet one.

use std::time::Duration;

/// Length of the time in which bytes are counted together.
const SLOT: Duration = Duration::from_millis(100);
/// Times that make up any second: ten whole ones and the parts at both ends.
const SLOTS: usize = 11;

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

    /// Part of the limit, in percent, that is kept for more urgent classes.
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

/// A limit in bytes a second whose less urgent classes leave a reserve.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    /// Bytes spent in the last slots of time; the current one is `slot % SLOTS`.
    spent: [usize; SLOTS],
    slot: u128,
}

impl Budget {
    /// Makes a budget of which nothing is spent, in bytes a second.
    pub fn new(limit: u32, now: Duration) -> Self {
        Self { limit: limit as usize, spent: [0; SLOTS], slot: slot_of(now) }
    }

    /// Takes the bytes if the class may spend them now.
    ///
    /// Liveness is never held back: it takes what it needs, and the other classes wait
    /// until a second has passed.
    pub fn spend(&mut self, now: Duration, class: Class, bytes: usize) -> bool {
        if class != Class::Liveness && bytes > self.available(now, class) {
            return false;
        }
        self.advance(now);
        self.spent[index(self.slot)] += bytes;
        true
    }

    /// Returns the bytes that a class may spend now.
    pub fn available(&mut self, now: Duration, class: Class) -> usize {
        self.advance(now);
        let open = self.limit * (100 - class.reserve_percent()) / 100;
        open.saturating_sub(self.spent.iter().sum())
    }

    fn advance(&mut self, now: Duration) {
        let slot = slot_of(now);
        if slot >= self.slot + SLOTS as u128 {
            self.spent = [0; SLOTS];
            self.slot = slot;
        }
        while self.slot < slot {
            self.slot += 1;
            self.spent[index(self.slot)] = 0;
        }
    }
}

fn slot_of(now: Duration) -> u128 {
    now.as_millis() / SLOT.as_millis()
}

fn index(slot: u128) -> usize {
    (slot % SLOTS as u128) as usize
}
