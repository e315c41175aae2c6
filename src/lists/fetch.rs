//! Fetches a payload in pieces from several instances at once.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::piece_server::{PIECE_LEN, URGENT_PIECES};
use super::versioned_list::Payload;
use super::{ListKind, Piece, Pull};
use crate::ids::{InstanceId, Version};

/// Maximum pieces of a payload; a piece that states more is ignored as invalid.
const MAX_PIECES: u32 = 10_000;
/// Maximum pieces in flight from all instances.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum pieces that one pull requests.
const MAX_PULL_PIECES: u32 = 8;
/// Time after which a piece is requested again.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a piece of a large payload, which waits for the sender's budget.
const LARGE_PIECE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a new piece after which another payload may replace this one.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum providers that are kept, the most recent ones.
const MAX_PROVIDERS: usize = 8;

/// A payload with the pieces that have arrived.
#[derive(Debug)]
struct PartialPayload {
    payload_hash: u64,
    version: Version,
    pieces: Vec<Option<Vec<u8>>>,
}

/// The fetch of one list's update.
#[derive(Debug)]
pub(super) struct Fetch {
    kind: ListKind,
    base: Version,
    last_progress: Duration,
    partial: Option<PartialPayload>,
    /// Requested pieces, each with the time of its request.
    in_flight: Vec<(u32, Duration)>,
    /// Instances that have a newer version, the most recent last.
    providers: Vec<InstanceId>,
}

impl Fetch {
    pub(super) fn new(now: Duration, kind: ListKind, base: Version) -> Self {
        let (in_flight, providers) = (Vec::new(), Vec::new());
        Self { kind, base, last_progress: now, partial: None, in_flight, providers }
    }

    /// Adds an instance that has a newer version.
    pub(super) fn add_provider(&mut self, id: InstanceId) {
        self.providers.retain(|&known| known != id);
        self.providers.push(id);
        let excess = self.providers.len().saturating_sub(MAX_PROVIDERS);
        self.providers.drain(..excess);
    }

    /// Returns the live providers, or all of them if none is known to be live.
    pub(super) fn providers(&self, live: &[InstanceId]) -> Vec<InstanceId> {
        let known = self.providers.iter().copied();
        let live: Vec<_> = known.filter(|id| live.contains(id)).collect();
        if live.is_empty() { self.providers.clone() } else { live }
    }

    /// Returns the pulls that are due. Until the payload is known, only its first piece is
    /// requested.
    pub(super) fn due_pulls(&mut self, now: Duration) -> Vec<Pull> {
        let timeout = self.piece_timeout();
        self.in_flight.retain(|&(_, at)| now < at + timeout);
        let missing: Vec<u32> = match &self.partial {
            None => vec![0],
            Some(partial) => {
                let missing = partial.pieces.iter().zip(0..).filter(|(bytes, _)| bytes.is_none());
                missing.map(|(_, piece)| piece).collect()
            }
        };
        let in_flight = |piece: &u32| self.in_flight.iter().any(|(other, _)| other == piece);
        let free = MAX_IN_FLIGHT.saturating_sub(self.in_flight.len());
        let due: Vec<_> =
            missing.into_iter().filter(|piece| !in_flight(piece)).take(free).collect();
        self.in_flight.extend(due.iter().map(|&piece| (piece, now)));
        self.group_into_pulls(&due)
    }

    /// Groups consecutive pieces into pulls.
    fn group_into_pulls(&self, due: &[u32]) -> Vec<Pull> {
        let payload_hash = self.partial.as_ref().map_or(0, |partial| partial.payload_hash);
        let mut pulls: Vec<Pull> = Vec::new();
        for &piece in due {
            match pulls.last_mut() {
                Some(last)
                    if last.count < MAX_PULL_PIECES && last.first_piece + last.count == piece =>
                {
                    last.count += 1;
                }
                _ => {
                    let (kind, base) = (self.kind, self.base);
                    pulls.push(Pull { kind, base, payload_hash, first_piece: piece, count: 1 });
                }
            }
        }
        pulls
    }

    fn piece_timeout(&self) -> Duration {
        let large =
            self.partial.as_ref().is_some_and(|partial| partial.pieces.len() > URGENT_PIECES);
        if large { LARGE_PIECE_TIMEOUT } else { PIECE_TIMEOUT }
    }

    /// Returns whether no new piece has arrived within the stall time-out.
    pub(super) fn stalled(&self, now: Duration) -> bool {
        now >= self.last_progress + STALL_TIMEOUT
    }

    /// Stores a piece, and returns the payload once it is complete and valid.
    pub(super) fn on_piece(&mut self, now: Duration, piece: Piece) -> Option<Payload> {
        let i = piece.index as usize;
        let fits = piece.piece_count <= MAX_PIECES && piece.bytes.len() <= PIECE_LEN;
        if !fits || piece.index >= piece.piece_count {
            return None;
        }
        let current = self.partial.as_ref().map(|partial| partial.payload_hash);
        if current != Some(piece.payload_hash) {
            let may_switch = self.partial.is_none() || self.stalled(now);
            if !may_switch || piece.version <= self.base {
                return None;
            }
            let pieces = vec![None; piece.piece_count as usize];
            self.in_flight.clear();
            let (payload_hash, version) = (piece.payload_hash, piece.version);
            self.partial = Some(PartialPayload { payload_hash, version, pieces });
        }
        let partial = self.partial.as_mut()?;
        let slot = partial.pieces.get_mut(i)?;
        if slot.is_none() {
            *slot = Some(piece.bytes);
            self.last_progress = now;
        }
        self.in_flight.retain(|&(other, _)| other as usize != i);
        partial.assemble()
    }

    /// Returns whether the full list is fetched rather than a delta.
    pub(super) fn is_full(&self) -> bool {
        self.base == 0
    }

    /// Returns whether no piece has arrived, so that dropping the fetch loses nothing.
    pub(super) fn has_no_pieces(&self) -> bool {
        self.partial.is_none()
    }

    /// Returns whether all pieces have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.partial.as_ref().is_some_and(|partial| partial.pieces.iter().all(Option::is_some))
    }
}

impl PartialPayload {
    /// Returns the payload; none if a piece is missing, or the hash or version does not match.
    fn assemble(&self) -> Option<Payload> {
        let parts: Option<Vec<_>> = self.pieces.iter().map(Option::as_deref).collect();
        let bytes = parts?.concat();
        if xxh3_64(&bytes) != self.payload_hash {
            return None;
        }
        let payload: Payload = postcard::from_bytes(&bytes).ok()?;
        (payload.version == self.version).then_some(payload)
    }
}
