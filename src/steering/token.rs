//! Tokens, which bind flows to their targets.

use std::net::SocketAddrV4;

use super::{Target, TargetKey};
use crate::hash::HashMap;
use crate::ids::Incarnation;
use crate::peer::{KeyRing, PeerKey};

/// Value carried by each packet of a flow that identifies the flow's target.
pub type Token = u32;

/// Token value of packets without a token.
pub const NO_TOKEN: Token = 0;
/// Maximum number of cached tokens, about 40 bytes each.
const MAX_CACHED: usize = 65_536;

/// One incarnation of a target.
pub type TargetIncarnation = (TargetKey, Incarnation);

/// Derives tokens, and caches the targets of those already seen.
#[derive(Debug)]
pub struct Tokens {
    keys: KeyRing,
    cache: HashMap<(SocketAddrV4, Token), TargetIncarnation>,
}

impl Tokens {
    /// Creates an empty cache. Instances with the same key derive the same tokens; those of the
    /// other accepted keys are recognised.
    pub fn new(keys: impl Into<KeyRing>) -> Self {
        Self { keys: keys.into(), cache: HashMap::default() }
    }

    /// Derives the token of new flows to a target at a service address.
    pub fn mint(&self, service: SocketAddrV4, target: &Target) -> Token {
        derive_token(self.keys.current(), service, target)
    }

    /// Returns whether a token is that of a target, under any of the keys.
    fn names(&self, token: Token, service: SocketAddrV4, target: &Target) -> bool {
        self.keys.all().any(|key| derive_token(key, service, target) == token)
    }

    /// Returns the target of a cached token.
    pub(super) fn lookup(&self, service: SocketAddrV4, token: Token) -> Option<TargetIncarnation> {
        self.cache.get(&(service, token)).copied()
    }

    /// Finds and caches the target of a token among `targets`. If several match, returns the one
    /// with the lowest incarnation, as only that one gets flows.
    pub(super) fn find<'a>(
        &mut self,
        service: SocketAddrV4,
        token: Token,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Option<&'a Target> {
        let matching = targets.filter(|target| self.names(token, service, target));
        let found = matching.min_by_key(|target| (target.incarnation, target.key))?;
        self.cache(service, token, found);
        Some(found)
    }

    /// Caches the target of a token. Returns false if the token already belongs to another target.
    pub(super) fn cache(&mut self, service: SocketAddrV4, token: Token, target: &Target) -> bool {
        if self.cache.len() >= MAX_CACHED {
            // Entries that are still in use are added again by the next lookup.
            self.cache.clear();
        }
        let incarnation = (target.key, target.incarnation);
        *self.cache.entry((service, token)).or_insert(incarnation) == incarnation
    }
}

fn derive_token(key: &PeerKey, service: SocketAddrV4, target: &Target) -> Token {
    let mut input = [0; 22];
    input[..4].copy_from_slice(&service.ip().octets());
    input[4..6].copy_from_slice(&service.port().to_be_bytes());
    input[6..14].copy_from_slice(&target.key.to_be_bytes());
    input[14..].copy_from_slice(&target.incarnation.to_be_bytes());
    let hash = blake3::keyed_hash(key, &input);
    let mut token = [0; 4];
    token.copy_from_slice(&hash.as_bytes()[..4]);
    // 0 is reserved for packets without a token.
    Token::from_be_bytes(token).max(1)
}
