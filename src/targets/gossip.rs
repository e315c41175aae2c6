//! Gossip of state updates: immediate pushes, repeated rounds and digests.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Message, Origin, Registers, StateUpdate};
use crate::budget::Class;
use crate::ids::{InstanceId, TargetId};
use crate::link::Outbox;
use crate::peer::Body;

/// Maximum number of peers at which a new update is pushed to all of them at once.
const MAX_PEERS_FULL_FANOUT: usize = 20;
/// Number of random peers that an update is pushed to if there are more, and in later rounds.
const FANOUT: usize = 4;
/// Number of rounds in which a new update is pushed.
const ROUNDS: u8 = 3;
/// Duplicates from peers after which an update is no longer pushed.
const MAX_DUPLICATES: u8 = 4;
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two digests, each to a random peer.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Peers that get a digest as soon as the first peers are known.
const INITIAL_DIGESTS: usize = 3;
/// Maximum number of updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 64;

/// Where this instance got an update from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// From its own probes or from the platform; perhaps no other instance knows it yet.
    Local,
    /// From a peer, which pushes it to others too.
    Peer,
}

/// An update that is still being pushed.
#[derive(Debug)]
struct PendingUpdate {
    rounds: u8,
    /// How many times peers have sent the same update.
    duplicates: u8,
    due: Duration,
}

/// Decides when to send which updates and digests.
#[derive(Debug)]
pub(super) struct Gossip {
    instance_id: InstanceId,
    pending: BTreeMap<(TargetId, Origin), PendingUpdate>,
    peers: Vec<InstanceId>,
    next_digest: Duration,
    rng: SmallRng,
}

impl Gossip {
    pub(super) fn new(instance_id: InstanceId, rng: SmallRng) -> Self {
        Self {
            instance_id,
            pending: BTreeMap::default(),
            peers: Vec::new(),
            next_digest: Duration::ZERO,
            rng,
        }
    }

    /// Sets the live instances; sends digests to some of the first peers, to learn what they
    /// know.
    pub(super) fn set_live(
        &mut self,
        live: &[InstanceId],
        registers: &Registers,
        out: &mut Outbox<'_>,
    ) {
        let had_no_peers = self.peers.is_empty();
        self.peers = live.iter().copied().filter(|&id| id != self.instance_id).collect();
        self.peers.sort_unstable();
        if had_no_peers {
            let chosen = self.peers.iter().copied().choose_multiple(&mut self.rng, INITIAL_DIGESTS);
            for peer in chosen {
                send_digest(peer, registers, false, out);
            }
        }
    }

    /// Schedules the pushes of a new update.
    pub(super) fn enqueue(&mut self, now: Duration, update: &StateUpdate, source: Source) {
        let rounds = match source {
            Source::Local => ROUNDS,
            Source::Peer => ROUNDS - 1,
        };
        let entry = PendingUpdate { rounds, duplicates: 0, due: now };
        self.pending.insert((update.target, update.origin), entry);
    }

    /// Records that a peer has sent an update that this instance is pushing.
    pub(super) fn record_duplicate(&mut self, update: &StateUpdate) {
        let key = (update.target, update.origin);
        let Some(entry) = self.pending.get_mut(&key) else { return };
        entry.duplicates += 1;
        if entry.duplicates >= MAX_DUPLICATES {
            self.pending.remove(&key);
        }
    }

    /// Pushes the updates that are due.
    pub(super) fn push(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        let (new, repeated) = self.due_updates(now, registers);
        let all_sent = [(new, self.recipients()), (repeated, self.random_peers())]
            .iter()
            .flat_map(|(updates, to)| to.iter().map(move |&peer| (peer, updates)))
            .all(|(peer, updates)| send_updates(peer, updates, out));
        if all_sent {
            self.end_round(now);
        }
    }

    /// Returns the peers for an urgent message: all if they are few, else some at random.
    pub(super) fn recipients(&mut self) -> Vec<InstanceId> {
        if self.peers.len() <= MAX_PEERS_FULL_FANOUT {
            self.shuffled_peers()
        } else {
            self.random_peers()
        }
    }

    /// Sends a digest to a random peer if one is due.
    pub(super) fn send_digest_if_due(
        &mut self,
        now: Duration,
        registers: &Registers,
        out: &mut Outbox<'_>,
    ) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_INTERVAL;
        if let Some(peer) = self.peers.iter().copied().choose(&mut self.rng) {
            send_digest(peer, registers, false, out);
        }
    }

    fn due_updates(
        &self,
        now: Duration,
        registers: &Registers,
    ) -> (Vec<StateUpdate>, Vec<StateUpdate>) {
        let due = self.pending.iter().filter(|(_, entry)| entry.due <= now);
        let (new, repeated): (Vec<_>, Vec<_>) = due.partition(|(_, entry)| entry.rounds == ROUNDS);
        let updates = |pending: Vec<(&(TargetId, Origin), &PendingUpdate)>| {
            let keys = pending.into_iter().map(|(key, _)| *key);
            keys.filter_map(|(target, origin)| registers.state_update(target, origin)).collect()
        };
        (updates(new), updates(repeated))
    }

    fn end_round(&mut self, now: Duration) {
        self.pending.retain(|_, entry| {
            if entry.due <= now {
                entry.rounds -= 1;
                entry.due = now + ROUND_INTERVAL;
            }
            entry.rounds > 0
        });
    }

    /// Returns all peers in random order, as the control budget may run out before the last
    /// one.
    fn shuffled_peers(&mut self) -> Vec<InstanceId> {
        let mut peers = self.peers.clone();
        peers.shuffle(&mut self.rng);
        peers
    }

    fn random_peers(&mut self) -> Vec<InstanceId> {
        self.peers.iter().copied().choose_multiple(&mut self.rng, FANOUT)
    }
}

/// Sends updates; returns false if the control budget did not allow all of them.
pub(super) fn send_updates(to: InstanceId, updates: &[StateUpdate], out: &mut Outbox<'_>) -> bool {
    updates.chunks(MAX_UPDATES_PER_MESSAGE).all(|chunk| {
        let message = Message::Updates(chunk.to_vec());
        out.send(to, Class::Epochs, &Body::Targets(message))
    })
}

/// Sends the digest of the registers.
pub(super) fn send_digest(
    to: InstanceId,
    registers: &Registers,
    is_reply: bool,
    out: &mut Outbox<'_>,
) {
    let message = Message::Digest { digest: registers.digest().clone(), is_reply };
    out.send(to, Class::Epochs, &Body::Targets(message));
}
