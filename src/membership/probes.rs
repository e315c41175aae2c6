//! Whom to ping next, and the pings that are under way.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::ids::InstanceId;

/// Time after which a ping that was passed on for another instance is forgotten.
const RELAY_KEPT: Duration = Duration::from_secs(2);
/// Pings that are passed on for others at the same time.
const MOST_RELAYS: usize = 256;

/// The ping of this period.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: InstanceId,
    pub(super) sequence: u32,
    pub(super) sent: Duration,
    pub(super) indirect: bool,
}

/// A ping on behalf of another instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub(super) origin: InstanceId,
    pub(super) sequence: u32,
    since: Duration,
}

/// The pings that are under way, and the order of those to come.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u32,
    round: Vec<InstanceId>,
    pub(super) current: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
}

impl Probes {
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Returns the next of the live instances; each has its turn once in a round.
    pub(super) fn next_target(
        &mut self,
        live: &[InstanceId],
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        while let Some(id) = self.round.pop() {
            if live.binary_search(&id).is_ok() {
                return Some(id);
            }
        }
        self.round = live.to_vec();
        self.round.shuffle(rng);
        self.round.pop()
    }

    /// Gives a newly met instance a turn in the current round.
    pub(super) fn met(&mut self, id: InstanceId, rng: &mut SmallRng) {
        if !self.round.contains(&id) {
            let at = rng.random_range(0..=self.round.len());
            self.round.insert(at, id);
        }
    }

    /// Notes a ping on behalf of another instance and returns its own number.
    pub(super) fn relay(&mut self, now: Duration, origin: InstanceId, sequence: u32) -> u32 {
        self.relays.retain(|_, relay| now < relay.since + RELAY_KEPT);
        if self.relays.len() >= MOST_RELAYS {
            self.relays.pop_first();
        }
        let own = self.next_sequence();
        self.relays.insert(own, Relay { origin, sequence, since: now });
        own
    }

    /// Takes an answer; returns for whom it has to be passed on.
    pub(super) fn acked(&mut self, sequence: u32) -> Option<Relay> {
        if self.current.is_some_and(|probe| probe.sequence == sequence) {
            self.current = None;
        }
        self.relays.remove(&sequence)
    }
}
