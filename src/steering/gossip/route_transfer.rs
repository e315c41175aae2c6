//! Routes that travel between instances in pieces.
//!
//! An instance that the platform does not answer fetches newer routes from the peer that told
//! of them, one piece after the other.

use std::time::Duration;

use super::send;
use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::steering::message::{Message, Piece};
use crate::steering::{RawRoutes, Steer};

/// Time after which a piece of routes is asked for again.
const PIECE_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of routes in one piece: with its header it fits a datagram of 1,200.
const PIECE_BYTES: usize = 1_000;

/// Routes that are being fetched.
#[derive(Debug)]
struct Fetch {
    version: Version,
    pieces: u32,
    bytes: Vec<u8>,
    /// Number of the next piece.
    next: u32,
    from: InstanceId,
    asked: Duration,
}

/// Gives and takes pieces of routes.
#[derive(Debug, Default)]
pub(super) struct RouteExchange {
    /// The highest version that a peer has told of, and the peer.
    heard: Option<(Version, InstanceId)>,
    fetch: Option<Fetch>,
    /// The routes in force in their encoded form.
    encoded: Option<(Version, Vec<u8>)>,
}

impl RouteExchange {
    /// Notes the version that a peer has.
    pub(super) fn hear(&mut self, from: InstanceId, version: Version, steer: &Steer) {
        let newest = self.heard.is_none_or(|(heard, _)| version >= heard);
        if version > steer.routes.version() && newest {
            self.heard = Some((version, from));
        }
    }

    /// Tells whether a peer has told of newer routes.
    pub(super) fn behind(&self, steer: &Steer) -> bool {
        self.heard.is_some_and(|(version, _)| version > steer.routes.version())
    }

    /// Asks for the next piece of newer routes, if one is due.
    pub(super) fn fetch(&mut self, now: Duration, steer: &Steer, out: &mut Outbox<'_>) {
        let Some((version, from)) = self.heard.filter(|_| self.behind(steer)) else {
            self.fetch = None;
            return;
        };
        let stale = |fetch: &Fetch| fetch.version != 0 && fetch.version < version;
        if self.fetch.as_ref().is_none_or(stale) {
            let asked = now.saturating_sub(PIECE_TIMEOUT);
            self.fetch =
                Some(Fetch { version: 0, pieces: 1, bytes: Vec::new(), next: 0, from, asked });
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|f| now >= f.asked + PIECE_TIMEOUT) {
            fetch.asked = now;
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.from, pull, out);
        }
    }

    /// Sends a piece of the routes in force. A peer that has begun an older version gets
    /// their first piece.
    pub(super) fn answer(
        &mut self,
        to: InstanceId,
        version: Version,
        piece: u32,
        steer: &Steer,
        out: &mut Outbox<'_>,
    ) {
        let Some(raw) = steer.routes.raw() else { return };
        let Some(encoded) = self.encode(raw) else { return };
        let piece = if version == 0 || version == raw.version { piece } else { 0 };
        let chunks = encoded.chunks(PIECE_BYTES);
        let pieces = chunks.len() as u32;
        let Some(bytes) = encoded.chunks(PIECE_BYTES).nth(piece as usize) else { return };
        let message = Piece { version: raw.version, pieces, piece, bytes: bytes.to_vec() };
        send(to, Message::Routes(message), out);
    }

    /// Takes a piece. Answers true if it completes newer routes, which are then in force.
    pub(super) fn take(
        &mut self,
        now: Duration,
        from: InstanceId,
        piece: Piece,
        steer: &mut Steer,
        out: &mut Outbox<'_>,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let begins = piece.piece == 0 && fetch.version != piece.version;
        if begins {
            fetch.version = piece.version;
            fetch.pieces = piece.pieces;
            fetch.bytes.clear();
            fetch.next = 0;
            fetch.from = from;
        }
        if piece.version != fetch.version || piece.piece != fetch.next {
            return false;
        }
        fetch.bytes.extend_from_slice(&piece.bytes);
        fetch.next += 1;
        fetch.asked = now;
        if fetch.next < fetch.pieces {
            let pull = Message::PullRoutes { version: fetch.version, piece: fetch.next };
            send(fetch.from, pull, out);
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        self.fetch = None;
        adopt(&bytes, from, steer)
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

fn adopt(bytes: &[u8], from: InstanceId, steer: &mut Steer) -> bool {
    let raw: RawRoutes = match postcard::from_bytes(bytes) {
        Ok(raw) => raw,
        Err(e) => {
            // The peer may be of another release.
            log::warn!(from = from, problem = e.to_string().as_str(); "routes_unusable");
            return false;
        }
    };
    let version = raw.version;
    match steer.routes.adopt(raw) {
        Ok(news) => {
            if news {
                log::info!(version = version, source = "peer", from = from; "routes_adopted");
            }
            news
        }
        Err(findings) => {
            log::warn!(version = version, from = from, findings = findings.to_string().as_str(); "routes_refused");
            false
        }
    }
}
