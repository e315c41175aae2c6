//! Serves pieces of payloads to instances that pull them.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::versioned_list::VersionedList;
use super::{ListKind, Message, Piece, Pull};
use crate::budget::Class;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::peer::Body;

/// Bytes of a payload in one message. Such a message fits into the part of the budget that
/// is closed to less urgent classes, so they cannot starve it.
pub(super) const PIECE_LEN: usize = 200;
/// Maximum pieces of an urgent payload; larger ones are sent in the bulk class.
pub(super) const URGENT_PIECES: usize = 40;
/// Minimum time between two pieces of large payloads that are sent in a more urgent class.
const URGENT_LARGE_PIECE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum pulls that wait while the budget is exhausted.
const MAX_PENDING_PULLS: usize = 64;
/// Maximum pieces that are sent for one pull.
const MAX_SENT_PER_PULL: u32 = 16;
/// Maximum encoded payloads that are cached for instances that are fetching them.
const MAX_CACHED_PAYLOADS: usize = 6;

/// An encoded payload in the cache.
#[derive(Debug)]
struct EncodedPayload {
    kind: ListKind,
    base: Version,
    version: Version,
    payload_hash: u64,
    bytes: Vec<u8>,
}

/// Answers the pulls of other instances as the budget allows.
#[derive(Debug, Default)]
pub(super) struct PieceServer {
    pending: VecDeque<(InstanceId, Pull)>,
    cache: VecDeque<EncodedPayload>,
    next_urgent_large: Duration,
}

impl PieceServer {
    /// Queues a pull, and drops the oldest one if there are too many. A repeated pull replaces
    /// the earlier one.
    pub(super) fn enqueue(&mut self, to: InstanceId, mut pull: Pull) {
        pull.count = pull.count.min(MAX_SENT_PER_PULL);
        let same = |(other, queued): &(InstanceId, Pull)| {
            *other == to && queued.kind == pull.kind && queued.first_piece == pull.first_piece
        };
        self.pending.retain(|queued| !same(queued));
        self.pending.push_back((to, pull));
        if self.pending.len() > MAX_PENDING_PULLS {
            self.pending.pop_front();
        }
    }

    /// Answers pending pulls until the budget is exhausted.
    pub(super) fn send_pending(
        &mut self,
        now: Duration,
        lists: [&VersionedList; 3],
        out: &mut Outbox<'_>,
    ) {
        for (to, mut pull) in std::mem::take(&mut self.pending) {
            let list = lists[pull.kind as usize];
            while pull.count > 0 && list.version() > pull.base {
                if !self.send_piece(now, list, to, &pull, out) {
                    self.pending.push_back((to, pull));
                    break;
                }
                pull.first_piece = pull.first_piece.saturating_add(1);
                pull.count -= 1;
            }
        }
    }

    /// Sends one piece if the budget allows it; returns false if it does not. Pieces of large
    /// payloads use the bulk class, except for a few in a more urgent class, so that they make
    /// progress while other traffic uses all of its share.
    fn send_piece(
        &mut self,
        now: Duration,
        list: &VersionedList,
        to: InstanceId,
        pull: &Pull,
        out: &mut Outbox<'_>,
    ) -> bool {
        let urgent_allowed = now >= self.next_urgent_large;
        let encoded = self.encoded_payload(list, pull);
        let Some(piece) = encoded.piece(pull) else { return true };
        let body = Body::Lists(Message::Piece(piece));
        if encoded.piece_count() <= URGENT_PIECES {
            return out.send(to, Class::Lists, &body);
        }
        if out.send(to, Class::Bulk, &body) {
            return true;
        }
        let sent = urgent_allowed && out.send(to, Class::Epochs, &body);
        if sent {
            self.next_urgent_large = now + URGENT_LARGE_PIECE_INTERVAL;
        }
        sent
    }

    /// Returns the payload that the instance is fetching already if it is cached, else the one
    /// for the current version.
    fn encoded_payload(&mut self, list: &VersionedList, pull: &Pull) -> &EncodedPayload {
        let begun = |cached: &EncodedPayload| {
            cached.kind == pull.kind && cached.payload_hash == pull.payload_hash
        };
        let current = |cached: &EncodedPayload| {
            (cached.kind, cached.base, cached.version) == (pull.kind, pull.base, list.version())
        };
        let found =
            self.cache.iter().position(begun).or_else(|| self.cache.iter().position(current));
        let i = found.unwrap_or_else(|| {
            if self.cache.len() == MAX_CACHED_PAYLOADS {
                self.cache.pop_front();
            }
            self.cache.push_back(EncodedPayload::new(list, pull));
            self.cache.len() - 1
        });
        &self.cache[i]
    }
}

impl EncodedPayload {
    fn new(list: &VersionedList, pull: &Pull) -> Self {
        let payload = list.payload_since(pull.base);
        // Payloads hold only strings and numbers, so encoding cannot fail.
        let bytes = postcard::to_stdvec(&payload).unwrap_or_default();
        let (kind, base, version) = (pull.kind, pull.base, payload.version);
        Self { kind, base, version, payload_hash: xxh3_64(&bytes), bytes }
    }

    /// Returns the first piece of a pull; none if the index is out of range.
    fn piece(&self, pull: &Pull) -> Option<Piece> {
        // An instance that was fetching another payload starts over with this one.
        let index = if pull.payload_hash == self.payload_hash { pull.first_piece } else { 0 };
        let bytes = self.bytes.chunks(PIECE_LEN).nth(index as usize)?.to_vec();
        let (kind, version, payload_hash) = (self.kind, self.version, self.payload_hash);
        Some(Piece {
            kind,
            version,
            payload_hash,
            piece_count: self.piece_count() as u32,
            index,
            bytes,
        })
    }

    fn piece_count(&self) -> usize {
        self.bytes.len().div_ceil(PIECE_LEN)
    }
}
