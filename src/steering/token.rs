//! The token that binds a flow to its target.

use std::net::SocketAddrV4;

use super::{Target, TargetKey};
use crate::hash::HashMap;
use crate::ids::Incarnation;

/// Value that travels with each packet of a flow and names its target.
pub type Token = u32;

/// What a packet carries that was given no token.
pub const NO_TOKEN: Token = 0;
/// Tokens that are remembered at most, some 40 bytes each.
const MOST_KNOWN: usize = 65_536;

/// A target in one of its starts.
pub type TargetStart = (TargetKey, Incarnation);

/// Makes tokens, and remembers which ones it has matched.
#[derive(Debug)]
pub struct Tokens {
    key: [u8; 32],
    known: HashMap<(SocketAddrV4, Token), TargetStart>,
}

impl Tokens {
    /// Makes a source of tokens; all instances that share the key make the same ones.
    pub fn new(key: [u8; 32]) -> Self {
        Self { key, known: HashMap::default() }
    }

    /// Returns the token of flows to a target that were opened at a service address.
    pub fn mint(&self, service: SocketAddrV4, target: &Target) -> Token {
        let mut input = [0; 22];
        input[..4].copy_from_slice(&service.ip().octets());
        input[4..6].copy_from_slice(&service.port().to_be_bytes());
        input[6..14].copy_from_slice(&target.key.to_be_bytes());
        input[14..].copy_from_slice(&target.start.to_be_bytes());
        let hash = blake3::keyed_hash(&self.key, &input);
        let mut token = [0; 4];
        token.copy_from_slice(&hash.as_bytes()[..4]);
        // A token of 0 would look like none at all.
        Token::from_be_bytes(token).max(1)
    }

    /// Returns the target of a token that was met before.
    pub(super) fn known(&self, service: SocketAddrV4, token: Token) -> Option<TargetStart> {
        self.known.get(&(service, token)).copied()
    }

    /// Finds the target of a token among some, the earliest start first: of two targets with
    /// equal tokens only the one that started earlier is given flows.
    pub(super) fn find<'a>(
        &mut self,
        service: SocketAddrV4,
        token: Token,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Option<&'a Target> {
        let matching = targets.filter(|target| self.mint(service, target) == token);
        let found = matching.min_by_key(|target| (target.start, target.key))?;
        self.remember(service, token, found);
        Some(found)
    }

    /// Remembers a token; answers false if it stands for another target already.
    pub(super) fn remember(
        &mut self,
        service: SocketAddrV4,
        token: Token,
        target: &Target,
    ) -> bool {
        if self.known.len() >= MOST_KNOWN {
            // What is needed again is found again.
            self.known.clear();
        }
        let start = (target.key, target.start);
        *self.known.entry((service, token)).or_insert(start) == start
    }
}
