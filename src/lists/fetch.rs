//! A payload that is being fetched, piece by piece and from several instances at once.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::held::Payload;
use super::serve::{PIECE_LEN, URGENT_PIECES};
use super::{ListKind, Piece, Pull};
use crate::ids::{InstanceId, Version};

/// Pieces that a payload has at most; more are taken for a mistake.
const MOST_PIECES: u32 = 10_000;
/// Pieces that are asked for at once, of all instances.
const WINDOW: usize = 64;
/// Pieces that one instance is asked for at once.
const RUN: u32 = 8;
/// Time after which a piece is asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(400);
/// The same for a piece of a large payload, which has to wait for others' budgets.
const ASK_LARGE_AGAIN: Duration = Duration::from_secs(3);
/// Time without a new piece after which another payload may take this one's place.
const STALLED: Duration = Duration::from_secs(20);
/// Instances that are remembered as able to help.
const MOST_PROVIDERS: usize = 8;

/// Which pieces of one payload have come.
#[derive(Debug)]
struct Pieces {
    payload: u64,
    version: Version,
    list: Vec<Option<Vec<u8>>>,
}

/// The fetch of one list.
#[derive(Debug)]
pub(super) struct Fetch {
    kind: ListKind,
    have: Version,
    progress: Duration,
    pieces: Option<Pieces>,
    /// Pieces that were asked for, and when.
    asked: Vec<(u32, Duration)>,
    /// Instances that have what is fetched, the last heard of last.
    providers: Vec<InstanceId>,
}

impl Fetch {
    pub(super) fn new(now: Duration, kind: ListKind, have: Version) -> Self {
        let (asked, providers) = (Vec::new(), Vec::new());
        Self { kind, have, progress: now, pieces: None, asked, providers }
    }

    /// Notes an instance that has what is fetched.
    pub(super) fn add_provider(&mut self, id: InstanceId) {
        self.providers.retain(|&known| known != id);
        self.providers.push(id);
        let excess = self.providers.len().saturating_sub(MOST_PROVIDERS);
        self.providers.drain(..excess);
    }

    /// Returns the instances that can be asked: the live ones, if any is known to be live.
    pub(super) fn providers(&self, live: &[InstanceId]) -> Vec<InstanceId> {
        let known = self.providers.iter().copied();
        let up: Vec<_> = known.filter(|id| live.contains(id)).collect();
        if up.is_empty() { self.providers.clone() } else { up }
    }

    /// Returns the requests that are due; the first finds out what there is to fetch.
    pub(super) fn due(&mut self, now: Duration) -> Vec<Pull> {
        let again = self.ask_again();
        self.asked.retain(|&(_, at)| now < at + again);
        let missing: Vec<u32> = match &self.pieces {
            None => vec![0],
            Some(pieces) => {
                let missing = pieces.list.iter().zip(0..).filter(|(bytes, _)| bytes.is_none());
                missing.map(|(_, piece)| piece).collect()
            }
        };
        let asked = |piece: &u32| self.asked.iter().any(|(other, _)| other == piece);
        let free = WINDOW.saturating_sub(self.asked.len());
        let due: Vec<_> = missing.into_iter().filter(|piece| !asked(piece)).take(free).collect();
        self.asked.extend(due.iter().map(|&piece| (piece, now)));
        self.pulls(&due)
    }

    /// Joins pieces that follow each other into requests.
    fn pulls(&self, due: &[u32]) -> Vec<Pull> {
        let payload = self.pieces.as_ref().map_or(0, |pieces| pieces.payload);
        let mut pulls: Vec<Pull> = Vec::new();
        for &piece in due {
            match pulls.last_mut() {
                Some(last) if last.count < RUN && last.piece + last.count == piece => {
                    last.count += 1;
                }
                _ => {
                    let (kind, have) = (self.kind, self.have);
                    pulls.push(Pull { kind, have, payload, piece, count: 1 });
                }
            }
        }
        pulls
    }

    fn ask_again(&self) -> Duration {
        let large = self.pieces.as_ref().is_some_and(|pieces| pieces.list.len() > URGENT_PIECES);
        if large { ASK_LARGE_AGAIN } else { ASK_AGAIN }
    }

    /// Tells whether nothing has come for long.
    pub(super) fn stalled(&self, now: Duration) -> bool {
        now >= self.progress + STALLED
    }

    /// Takes a piece, and returns the payload once it is whole.
    pub(super) fn take(&mut self, now: Duration, piece: Piece) -> Option<Payload> {
        let i = piece.piece as usize;
        let fits = piece.pieces <= MOST_PIECES && piece.bytes.len() <= PIECE_LEN;
        if !fits || piece.piece >= piece.pieces {
            return None;
        }
        let known = self.pieces.as_ref().map(|pieces| pieces.payload);
        if known != Some(piece.payload) {
            let other_wanted = self.pieces.is_none() || self.stalled(now);
            if !other_wanted || piece.version <= self.have {
                return None;
            }
            let list = vec![None; piece.pieces as usize];
            self.asked.clear();
            let (payload, version) = (piece.payload, piece.version);
            self.pieces = Some(Pieces { payload, version, list });
        }
        let pieces = self.pieces.as_mut()?;
        let place = pieces.list.get_mut(i)?;
        if place.is_none() {
            *place = Some(piece.bytes);
            self.progress = now;
        }
        self.asked.retain(|&(other, _)| other as usize != i);
        pieces.whole()
    }

    /// Tells whether the whole list is fetched rather than a delta.
    pub(super) fn is_whole(&self) -> bool {
        self.have == 0
    }

    /// Tells whether there is nothing here that would be lost.
    pub(super) fn is_empty(&self) -> bool {
        self.pieces.is_none()
    }

    /// Tells whether all pieces have come.
    pub(super) fn is_complete(&self) -> bool {
        self.pieces.as_ref().is_some_and(|pieces| pieces.list.iter().all(Option::is_some))
    }
}

impl Pieces {
    fn whole(&self) -> Option<Payload> {
        let parts: Option<Vec<_>> = self.list.iter().map(Option::as_deref).collect();
        let bytes = parts?.concat();
        if xxh3_64(&bytes) != self.payload {
            return None;
        }
        let payload: Payload = postcard::from_bytes(&bytes).ok()?;
        (payload.version == self.version).then_some(payload)
    }
}
