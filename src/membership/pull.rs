//! The exchange of a whole table, piece by piece.

use std::time::Duration;

use super::message::{Message, News};
use super::table::{Table, part};
use crate::ids::InstanceId;

/// Size of a piece in bytes, so that it fits one datagram.
const PIECE_BYTES: usize = 1_000;
/// Time after which a piece that has not come is asked of somebody else.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two pieces.
const PIECE_EVERY: Duration = Duration::from_millis(100);

/// A pull of those parts of others' tables that differ.
#[derive(Debug)]
pub(super) struct Pull {
    number: u32,
    after: Option<InstanceId>,
    digests: Vec<u32>,
    next: Duration,
}

impl Pull {
    /// Makes a pull of everything, or of what differs from the given fingerprints.
    pub(super) fn new(now: Duration, number: u32, digests: Vec<u32>) -> Self {
        Self { number, after: None, digests, next: now }
    }

    /// Returns the request that is due.
    pub(super) fn due(&mut self, now: Duration) -> Option<Message> {
        if now < self.next {
            return None;
        }
        self.next = now + PIECE_TIMEOUT;
        Some(Message::Pull {
            number: self.number,
            after: self.after,
            digests: self.digests.clone(),
        })
    }

    /// Takes the end of a piece; tells whether the pull is complete.
    pub(super) fn received(
        &mut self,
        now: Duration,
        number: u32,
        next: Option<InstanceId>,
    ) -> bool {
        if number != self.number {
            return false;
        }
        // A piece that comes twice must not lead back.
        if next > self.after {
            self.after = next;
            self.next = now + PIECE_EVERY;
        }
        next.is_none()
    }
}

/// Returns the piece that a request asks for, with this instance's own entry in it.
pub(super) fn piece(
    table: &Table,
    me: &News,
    own: &[u32],
    number: u32,
    after: Option<InstanceId>,
    digests: &[u32],
) -> Message {
    let differs = |id: InstanceId| digests.get(part(id)) != own.get(part(id));
    let mut all: Vec<_> = table.live().map(super::table::Member::alive).collect();
    all.push(me.clone());
    all.retain(|news| after.is_none_or(|after| news.about() > after) && differs(news.about()));
    all.sort_unstable_by_key(News::about);
    let mut room = PIECE_BYTES;
    let mut news = Vec::new();
    for entry in all {
        // Writing to memory fails for no type that a message has.
        let bytes = postcard::to_stdvec(&entry).unwrap_or_default().len();
        if bytes > room {
            let next = news.last().map(News::about);
            return Message::Piece { number, news, next };
        }
        room -= bytes;
        news.push(entry);
    }
    Message::Piece { number, news, next: None }
}
