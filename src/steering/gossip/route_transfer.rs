//! Transfer of routes between instances, in pieces.
//!
//! An instance that cannot read newer routes from the platform, or has not done so for a time,
//! fetches them from the peer that announced them, one piece after the other.

use std::time::Duration;

use super::send;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::steering::message::{Message, Piece};
use crate::steering::{Forwarder, RawRoutes};

/// Time without a response after which a piece is requested again.
const PIECE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which newer routes are awaited from the platform before they are fetched from a peer.
/// A watch whose connection is stalled ends only after seconds.
const MAX_BEHIND: Duration = Duration::from_millis(700);
/// Requests for a piece after which its source counts as lost: another peer that has announced the
/// routes is asked instead. More than one, so that a lost message does not make a transfer begin anew.
const MAX_REQUESTS: u32 = 3;
/// Maximum size of a piece in bytes: with headers, the message fits a datagram of 1,200 bytes.
const PIECE_BYTES: usize = 1_000;

/// A transfer in progress.
#[derive(Debug)]
struct Fetch {
    /// Version of the routes; 0 until the first piece has arrived.
    version: Version,
    pieces: u32,
    bytes: Vec<u8>,
    /// Index of the next piece.
    next: u32,
    source: InstanceId,
    requested_at: Duration,
    /// Requests for the next piece so far.
    requests: u32,
}

impl Fetch {
    fn new(now: Duration, source: InstanceId) -> Self {
        let requested_at = now.saturating_sub(PIECE_TIMEOUT);
        let bytes = Vec::new();
        Self { version: 0, pieces: 1, bytes, next: 0, source, requested_at, requests: 0 }
    }

    /// Returns whether its source has not responded for so long that it may be lost.
    fn is_stalled(&self, now: Duration) -> bool {
        self.requests >= MAX_REQUESTS && now >= self.requested_at + PIECE_TIMEOUT
    }
}

/// Sends and receives routes in pieces.
#[derive(Debug, Default)]
pub(super) struct RouteTransfer {
    /// The highest version that a peer has announced, and the peer.
    announced: Option<(Version, InstanceId)>,
    /// Since when a peer has had newer routes.
    behind_since: Option<Duration>,
    fetch: Option<Fetch>,
    /// The active routes, encoded, with their version.
    encoded: Option<(Version, Vec<u8>)>,
}

impl RouteTransfer {
    /// Records the version that a peer has announced.
    pub(super) fn note_version(
        &mut self,
        from: InstanceId,
        version: Version,
        forwarder: &Forwarder,
    ) {
        let newest = self.announced.is_none_or(|(announced, _)| version >= announced);
        if version > forwarder.routes.version() && newest {
            self.announced = Some((version, from));
        }
    }

    /// Returns whether a peer has announced newer routes.
    pub(super) fn is_behind(&self, forwarder: &Forwarder) -> bool {
        self.announced.is_some_and(|(version, _)| version > forwarder.routes.version())
    }

    /// Requests the next piece of newer routes if a request is due. `platform_failing` is set
    /// while reads of the routes from the platform fail.
    pub(super) fn fetch(
        &mut self,
        now: Duration,
        platform_failing: bool,
        forwarder: &Forwarder,
        out: &mut Outbox<'_>,
    ) {
        let Some((version, source)) = self.announced.filter(|_| self.is_behind(forwarder)) else {
            self.behind_since = None;
            self.fetch = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if !platform_failing && now < since + MAX_BEHIND {
            return;
        }
        let replaced = |fetch: &Fetch| {
            let is_outdated = fetch.version != 0 && fetch.version < version;
            is_outdated || (fetch.source != source && fetch.is_stalled(now))
        };
        if self.fetch.as_ref().is_none_or(replaced) {
            self.fetch = Some(Fetch::new(now, source));
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|f| now >= f.requested_at + PIECE_TIMEOUT) {
            fetch.requested_at = now;
            fetch.requests += 1;
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.source, pull, out);
        }
    }

    /// Sends a piece of the active routes. A peer that has begun to fetch another version gets
    /// the first piece.
    pub(super) fn send_piece(
        &mut self,
        to: InstanceId,
        version: Version,
        piece: u32,
        forwarder: &Forwarder,
        out: &mut Outbox<'_>,
    ) {
        let Some(raw) = forwarder.routes.raw() else { return };
        let Some(encoded) = self.encode(raw) else { return };
        let piece = if version == 0 || version == raw.version { piece } else { 0 };
        let chunks = encoded.chunks(PIECE_BYTES);
        let pieces = chunks.len() as u32;
        let Some(bytes) = encoded.chunks(PIECE_BYTES).nth(piece as usize) else { return };
        let message = Piece { version: raw.version, pieces, piece, bytes: bytes.to_vec() };
        send(to, Message::Routes(message), out);
    }

    /// Handles a piece. Returns whether it completed newer routes, which are then active.
    pub(super) fn on_piece(
        &mut self,
        now: Duration,
        from: InstanceId,
        piece: Piece,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let starts_version = piece.piece == 0 && fetch.version != piece.version;
        if starts_version {
            fetch.version = piece.version;
            fetch.pieces = piece.pieces;
            fetch.bytes.clear();
            fetch.next = 0;
            fetch.source = from;
        }
        if piece.version != fetch.version || piece.piece != fetch.next {
            return false;
        }
        fetch.bytes.extend_from_slice(&piece.bytes);
        fetch.next += 1;
        fetch.requested_at = now;
        fetch.requests = 1;
        if fetch.next < fetch.pieces {
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.source, pull, out);
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        self.fetch = None;
        adopt(&bytes, from, forwarder)
    }

    fn encode(&mut self, raw: &RawRoutes) -> Option<&[u8]> {
        if self.encoded.as_ref().is_none_or(|(version, _)| *version != raw.version) {
            self.encoded = match postcard::to_stdvec(raw) {
                Ok(bytes) => Some((raw.version, bytes)),
                Err(e) => {
                    log::error!(version = raw.version, problem = e.to_string().as_str(); "routes_unwritable");
                    None
                }
            };
        }
        self.encoded.as_ref().map(|(_, bytes)| bytes.as_slice())
    }
}

fn adopt(bytes: &[u8], from: InstanceId, forwarder: &mut Forwarder) -> bool {
    let raw = match RawRoutes::decode(bytes) {
        Ok(raw) => raw,
        Err(e) => {
            // The peer may run another release.
            log::warn!(from = from, problem = e.to_string().as_str(); "routes_unusable");
            return false;
        }
    };
    let version = raw.version;
    match forwarder.routes.adopt(raw) {
        Ok(adopted) => {
            if adopted {
                log::info!(version = version, source = "peer", from = from; "routes_adopted");
            }
            adopted
        }
        Err(findings) => {
            log::warn!(version = version, from = from, findings = findings.to_string().as_str(); "routes_refused");
            false
        }
    }
}
