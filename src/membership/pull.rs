//! Transfer of the parts of a table that differ, piece by piece.

use std::time::Duration;

use super::message::{MemberUpdate, Message};
use super::table::{Table, part_of};
use crate::ids::InstanceId;

/// Largest size of the updates in a piece, so that it fits into one datagram.
const PIECE_BYTES: usize = 1_000;
/// Time after which a missing piece is requested again, from a random peer.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between a piece and the request for the next one.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// A pull of the parts of peers' tables that differ from this instance's.
#[derive(Debug)]
pub(super) struct Pull {
    number: u32,
    after: Option<InstanceId>,
    digests: Vec<u32>,
    next_request_at: Duration,
}

impl Pull {
    /// Creates a pull of the parts that differ from the given digests, or of the whole table if
    /// there are none.
    pub(super) fn new(now: Duration, number: u32, digests: Vec<u32>) -> Self {
        Self { number, after: None, digests, next_request_at: now }
    }

    /// Returns the next request if it is due.
    pub(super) fn next_request(&mut self, now: Duration) -> Option<Message> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + PIECE_TIMEOUT;
        Some(Message::Pull {
            number: self.number,
            after: self.after,
            digests: self.digests.clone(),
        })
    }

    /// Handles the number and the end of a received piece; returns whether the pull is complete.
    pub(super) fn on_piece(
        &mut self,
        now: Duration,
        number: u32,
        next: Option<InstanceId>,
    ) -> bool {
        if number != self.number {
            return false;
        }
        // A duplicate of an earlier piece must not move the position back.
        if next > self.after {
            self.after = next;
            self.next_request_at = now + PIECE_INTERVAL;
        }
        next.is_none()
    }
}

/// Builds the piece that a request asks for; this instance's own entry is part of the table.
pub(super) fn build_piece(
    table: &Table,
    me: &MemberUpdate,
    own: &[u32],
    number: u32,
    after: Option<InstanceId>,
    digests: &[u32],
) -> Message {
    let differs = |id: InstanceId| digests.get(part_of(id)) != own.get(part_of(id));
    let mut all: Vec<_> = table.live().map(super::table::Member::to_update).collect();
    all.push(me.clone());
    all.retain(|update| {
        after.is_none_or(|after| update.instance() > after) && differs(update.instance())
    });
    all.sort_unstable_by_key(MemberUpdate::instance);
    let mut remaining = PIECE_BYTES;
    let mut updates = Vec::new();
    for entry in all {
        // Cannot fail: serialization to memory supports every type of a message.
        let bytes = postcard::to_stdvec(&entry).unwrap_or_default().len();
        if bytes > remaining {
            let next = updates.last().map(MemberUpdate::instance);
            return Message::Piece { number, updates, next };
        }
        remaining -= bytes;
        updates.push(entry);
    }
    Message::Piece { number, updates, next: None }
}
