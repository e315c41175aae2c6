//! What this instance still owes to others that lack something.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use super::held::Held;
use super::{ListKind, Message, Piece, Pull};
use crate::budget::Class;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;

/// Bytes of a payload in one message; a datagram then fits into any path.
const PIECE_LEN: usize = 1_024;
/// Pieces up to which a payload is urgent. Larger ones must not starve other control
/// traffic, so they wait.
const URGENT_PIECES: usize = 8;
/// Requests that are kept while the budget is spent.
const MOST_OWED: usize = 64;
/// Payloads that are kept for instances that are in the middle of fetching them.
const MOST_KEPT: usize = 6;

#[derive(Debug)]
struct Kept {
    kind: ListKind,
    have: Version,
    version: Version,
    payload: u64,
    bytes: Vec<u8>,
}

/// Requests of others, answered as the budget allows.
#[derive(Debug, Default)]
pub(super) struct Serve {
    owed: VecDeque<(InstanceId, Pull)>,
    kept: VecDeque<Kept>,
}

impl Serve {
    /// Takes a request; the oldest one gives way if there are too many.
    pub(super) fn owe(&mut self, to: InstanceId, pull: Pull) {
        let same = |(other, known): &(InstanceId, Pull)| {
            *other == to && known.kind == pull.kind && known.piece == pull.piece
        };
        self.owed.retain(|known| !same(known));
        self.owed.push_back((to, pull));
        if self.owed.len() > MOST_OWED {
            self.owed.pop_front();
        }
    }

    /// Answers requests until the budget is spent.
    pub(super) fn pay(&mut self, lists: [&Held; 3], out: &mut Outbox<'_>) {
        for (to, pull) in std::mem::take(&mut self.owed) {
            let held = lists[pull.kind as usize];
            if held.version() <= pull.have {
                continue;
            }
            let kept = self.payload(held, &pull);
            let body = Body::Lists(Message::Piece(kept.piece(&pull)));
            if !out.send(to, kept.class(), &body) {
                self.owed.push_back((to, pull));
            }
        }
    }

    fn payload(&mut self, held: &Held, pull: &Pull) -> &Kept {
        let begun = |kept: &Kept| kept.kind == pull.kind && kept.payload == pull.payload;
        let current = |kept: &Kept| {
            (kept.kind, kept.have, kept.version) == (pull.kind, pull.have, held.version())
        };
        let found = self.kept.iter().position(begun).or_else(|| self.kept.iter().position(current));
        let i = found.unwrap_or_else(|| {
            if self.kept.len() == MOST_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back(Kept::new(held, pull));
            self.kept.len() - 1
        });
        &self.kept[i]
    }
}

impl Kept {
    fn new(held: &Held, pull: &Pull) -> Self {
        let payload = held.since(pull.have);
        // Payloads hold strings and numbers alone, which can always be written.
        let bytes = postcard::to_stdvec(&payload).unwrap_or_default();
        let (kind, have, version) = (pull.kind, pull.have, payload.version);
        Self { kind, have, version, payload: xxh3_64(&bytes), bytes }
    }

    fn piece(&self, pull: &Pull) -> Piece {
        // An instance that has begun another payload starts again with this one.
        let piece = if pull.payload == self.payload { pull.piece } else { 0 };
        let from = (piece as usize).saturating_mul(PIECE_LEN).min(self.bytes.len());
        let to = (from + PIECE_LEN).min(self.bytes.len());
        Piece {
            kind: self.kind,
            version: self.version,
            payload: self.payload,
            pieces: self.pieces() as u32,
            piece,
            bytes: self.bytes[from..to].to_vec(),
        }
    }

    fn pieces(&self) -> usize {
        self.bytes.len().div_ceil(PIECE_LEN)
    }

    fn class(&self) -> Class {
        if self.pieces() <= URGENT_PIECES { Class::Lists } else { Class::Bulk }
    }
}
