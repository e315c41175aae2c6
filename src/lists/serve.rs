//! What this instance still owes to others that lack something.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::held::Held;
use super::{ListKind, Message, Piece, Pull};
use crate::budget::Class;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;

/// Bytes of a payload in one message. Such a message fits into what the less urgent classes
/// leave of the budget, so that they cannot starve it.
pub(super) const PIECE_LEN: usize = 200;
/// Pieces up to which a payload is urgent.
pub(super) const URGENT_PIECES: usize = 40;
/// Time between two pieces of a larger payload that go before other control traffic.
const PACE: Duration = Duration::from_millis(200);
/// Requests that are kept while the budget is spent.
const MOST_OWED: usize = 64;
/// Pieces that one request gets at most.
const MOST_AT_ONCE: u32 = 16;
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
    next_paced: Duration,
}

impl Serve {
    /// Takes a request; the oldest one gives way if there are too many.
    pub(super) fn owe(&mut self, to: InstanceId, mut pull: Pull) {
        pull.count = pull.count.min(MOST_AT_ONCE);
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
    pub(super) fn pay(&mut self, now: Duration, lists: [&Held; 3], out: &mut Outbox<'_>) {
        for (to, mut pull) in std::mem::take(&mut self.owed) {
            let held = lists[pull.kind as usize];
            while pull.count > 0 && held.version() > pull.have {
                if !self.pay_piece(now, held, to, &pull, out) {
                    self.owed.push_back((to, pull));
                    break;
                }
                pull.piece = pull.piece.saturating_add(1);
                pull.count -= 1;
            }
        }
    }

    /// Sends one piece, if the budget allows it. Large payloads wait for what others leave,
    /// but for a few pieces, so that they get on also while others take all they may.
    fn pay_piece(
        &mut self,
        now: Duration,
        held: &Held,
        to: InstanceId,
        pull: &Pull,
        out: &mut Outbox<'_>,
    ) -> bool {
        let paced = now >= self.next_paced;
        let kept = self.payload(held, pull);
        let Some(piece) = kept.piece(pull) else { return true };
        let body = Body::Lists(Message::Piece(piece));
        if kept.pieces() <= URGENT_PIECES {
            return out.send(to, Class::Lists, &body);
        }
        if out.send(to, Class::Bulk, &body) {
            return true;
        }
        let sent = paced && out.send(to, Class::Epochs, &body);
        if sent {
            self.next_paced = now + PACE;
        }
        sent
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

    /// Returns a piece; none if there is no such piece.
    fn piece(&self, pull: &Pull) -> Option<Piece> {
        // An instance that has begun another payload starts again with this one.
        let piece = if pull.payload == self.payload { pull.piece } else { 0 };
        let bytes = self.bytes.chunks(PIECE_LEN).nth(piece as usize)?.to_vec();
        let (kind, version, payload) = (self.kind, self.version, self.payload);
        Some(Piece { kind, version, payload, pieces: self.pieces() as u32, piece, bytes })
    }

    fn pieces(&self) -> usize {
        self.bytes.len().div_ceil(PIECE_LEN)
    }
}
