//! Order of the instances to ping, and the pings that await an ack.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::ids::InstanceId;

/// Time to wait for the ack of a ping made on behalf of another instance.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of pending pings on behalf of others.
const MAX_RELAYS: usize = 256;

/// The ping of the current probe interval.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) peer: InstanceId,
    pub(super) sequence: u32,
    pub(super) sent_at: Duration,
    pub(super) indirect: bool,
}

/// A ping made on behalf of another instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub(super) origin: InstanceId,
    pub(super) sequence: u32,
    sent_at: Duration,
}

/// The pending pings, and the order of the next ones.
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

    /// Returns the next live instance to ping; each round pings every one of them once, in
    /// random order.
    pub(super) fn next_peer(
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

    /// Inserts a new instance at a random position of the current round.
    pub(super) fn add_to_round(&mut self, id: InstanceId, rng: &mut SmallRng) {
        if !self.round.contains(&id) {
            let at = rng.random_range(0..=self.round.len());
            self.round.insert(at, id);
        }
    }

    /// Records a ping on behalf of another instance and returns the ping's own sequence number.
    pub(super) fn add_relay(&mut self, now: Duration, origin: InstanceId, sequence: u32) -> u32 {
        self.relays.retain(|_, relay| now < relay.sent_at + RELAY_TIMEOUT);
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_first();
        }
        let own = self.next_sequence();
        self.relays.insert(own, Relay { origin, sequence, sent_at: now });
        own
    }

    /// Handles an ack; returns the relayed ping that it answers, if any.
    pub(super) fn on_ack(&mut self, sequence: u32) -> Option<Relay> {
        if self.current.is_some_and(|probe| probe.sequence == sequence) {
            self.current = None;
        }
        self.relays.remove(&sequence)
    }
}
