//! When which statement is told to which instance.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Message, Origin, Registers, Statement};
use crate::budget::Class;
use crate::ids::{InstanceId, TargetId};
use crate::link::Outbox;
use crate::peer::Body;

/// Most peers that are all told of a new statement at once.
const FEW_PEERS: usize = 20;
/// Peers that are told in a round when not all are.
const FANOUT: usize = 4;
/// Rounds in which a new statement is told.
const ROUNDS: u8 = 3;
/// Peers that have told a statement too when it need not be told any more.
const WELL_KNOWN: u8 = 4;
/// Time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// Time between two digests to a random peer.
const DIGEST_EVERY: Duration = Duration::from_secs(1);
/// Peers that are asked what they know as soon as the first are found.
const FIRST_DIGESTS: usize = 3;
/// Statements in one message.
const CHUNK: usize = 64;

/// Where an instance has a statement from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// It has found it by itself or read it from the platform: perhaps nobody else knows
    /// it yet.
    First,
    /// A peer has told it, and tells others.
    Peer,
}

/// A statement that is still being told.
#[derive(Debug)]
struct Rumor {
    rounds: u8,
    /// How many times peers have told it too.
    heard: u8,
    due: Duration,
}

/// Decides when to tell what.
#[derive(Debug)]
pub(super) struct Spread {
    me: InstanceId,
    rumors: BTreeMap<(TargetId, Origin), Rumor>,
    peers: Vec<InstanceId>,
    next_digest: Duration,
    rng: SmallRng,
}

impl Spread {
    pub(super) fn new(me: InstanceId, rng: SmallRng) -> Self {
        Self {
            me,
            rumors: BTreeMap::default(),
            peers: Vec::new(),
            next_digest: Duration::ZERO,
            rng,
        }
    }

    /// Takes the live instances; the first peers are asked for what they know.
    pub(super) fn set_live(
        &mut self,
        live: &[InstanceId],
        registers: &Registers,
        out: &mut Outbox<'_>,
    ) {
        let alone = self.peers.is_empty();
        self.peers = live.iter().copied().filter(|&id| id != self.me).collect();
        self.peers.sort_unstable();
        if alone {
            let asked = self.peers.iter().copied().choose_multiple(&mut self.rng, FIRST_DIGESTS);
            for peer in asked {
                send_digest(peer, registers, false, out);
            }
        }
    }

    /// Begins to tell a new statement.
    pub(super) fn begin(&mut self, now: Duration, statement: &Statement, source: Source) {
        let rounds = match source {
            Source::First => ROUNDS,
            Source::Peer => ROUNDS - 1,
        };
        let rumor = Rumor { rounds, heard: 0, due: now };
        self.rumors.insert((statement.target, statement.origin), rumor);
    }

    /// Notes that a peer has told what this instance is telling.
    pub(super) fn heard_again(&mut self, statement: &Statement) {
        let key = (statement.target, statement.origin);
        let Some(rumor) = self.rumors.get_mut(&key) else { return };
        rumor.heard += 1;
        if rumor.heard >= WELL_KNOWN {
            self.rumors.remove(&key);
        }
    }

    /// Tells what is due.
    pub(super) fn tell(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        let (first, later) = self.due(now, registers);
        let told = [(first, self.audience()), (later, self.some_peers())]
            .iter()
            .flat_map(|(statements, to)| to.iter().map(move |&peer| (peer, statements)))
            .all(|(peer, statements)| send_states(peer, statements, out));
        if told {
            self.end_round(now);
        }
    }

    /// Returns the peers that are told what has to be known at once: all if they are few.
    pub(super) fn audience(&mut self) -> Vec<InstanceId> {
        if self.peers.len() <= FEW_PEERS { self.shuffled() } else { self.some_peers() }
    }

    /// Sends a digest to a random peer from time to time.
    pub(super) fn compare(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_EVERY;
        if let Some(peer) = self.peers.iter().copied().choose(&mut self.rng) {
            send_digest(peer, registers, false, out);
        }
    }

    fn due(&self, now: Duration, registers: &Registers) -> (Vec<Statement>, Vec<Statement>) {
        let due = self.rumors.iter().filter(|(_, rumor)| rumor.due <= now);
        let (first, later): (Vec<_>, Vec<_>) = due.partition(|(_, rumor)| rumor.rounds == ROUNDS);
        let statements = |rumors: Vec<(&(TargetId, Origin), &Rumor)>| {
            let keys = rumors.into_iter().map(|(key, _)| *key);
            keys.filter_map(|(target, origin)| registers.statement(target, origin)).collect()
        };
        (statements(first), statements(later))
    }

    fn end_round(&mut self, now: Duration) {
        self.rumors.retain(|_, rumor| {
            if rumor.due <= now {
                rumor.rounds -= 1;
                rumor.due = now + ROUND_PAUSE;
            }
            rumor.rounds > 0
        });
    }

    /// In another order each time, as the budget may end before the last peer.
    fn shuffled(&mut self) -> Vec<InstanceId> {
        let mut peers = self.peers.clone();
        peers.shuffle(&mut self.rng);
        peers
    }

    fn some_peers(&mut self) -> Vec<InstanceId> {
        self.peers.iter().copied().choose_multiple(&mut self.rng, FANOUT)
    }
}

/// Sends statements; answers false if not all could be sent now.
pub(super) fn send_states(to: InstanceId, states: &[Statement], out: &mut Outbox<'_>) -> bool {
    states.chunks(CHUNK).all(|chunk| {
        let message = Message::States(chunk.to_vec());
        out.send(to, Class::Epochs, &Body::Targets(message))
    })
}

/// Sends what this instance knows, in short.
pub(super) fn send_digest(
    to: InstanceId,
    registers: &Registers,
    answer: bool,
    out: &mut Outbox<'_>,
) {
    let message = Message::Digest { digest: registers.digest().clone(), answer };
    out.send(to, Class::Epochs, &Body::Targets(message));
}
