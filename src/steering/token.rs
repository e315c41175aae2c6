//! Tokens, which bind flows to their targets.

use std::net::SocketAddrV4;

use super::{Target, TargetKey};
use crate::hash::HashMap;
use crate::ids::{Incarnation, Version};
use crate::peer::{KeyRing, PeerKey};

/// Value carried by each packet of a flow that identifies the flow's target.
pub type Token = u32;

/// Token value of packets without a token.
pub const NO_TOKEN: Token = 0;
/// Maximum number of known tokens, about 80 bytes each.
const MAX_TOKENS: usize = 65_536;

/// One incarnation of a target.
pub type TargetIncarnation = (TargetKey, Incarnation);

/// Number of changes of the directory, and version of the routes.
pub(super) type TargetsState = (u64, Version);

/// Derives tokens, and keeps those of the known targets.
///
/// Load pattern: after a restart, the packets of all open flows and the openings of all callers come
/// at once. Deriving the tokens of all targets for each of them would take most of the processor
/// time, so they are derived once for each service address, and again only for new targets.
#[derive(Debug)]
pub struct Tokens {
    keys: KeyRing,
    targets: HashMap<(SocketAddrV4, Token), TargetIncarnation>,
    /// Tokens of new flows to each target at each service address.
    derived: HashMap<(SocketAddrV4, TargetIncarnation), Token>,
    /// State of the directory and the routes for which the tokens at each service address are derived.
    surveyed: HashMap<SocketAddrV4, TargetsState>,
}

impl Tokens {
    /// Creates an empty table. Instances with the same key derive the same tokens; those of the
    /// other accepted keys are recognised.
    pub fn new(keys: impl Into<KeyRing>) -> Self {
        Self {
            keys: keys.into(),
            targets: HashMap::default(),
            derived: HashMap::default(),
            surveyed: HashMap::default(),
        }
    }

    /// Derives the tokens of the targets that may get flows at a service address, unless that has
    /// been done in this state.
    pub(super) fn survey<'a>(
        &mut self,
        service: SocketAddrV4,
        state: TargetsState,
        targets: impl Iterator<Item = &'a Target>,
    ) {
        if self.surveyed.get(&service) == Some(&state) {
            return;
        }
        self.limit_size();
        for target in targets {
            let incarnation = (target.key, target.incarnation);
            if !self.derived.contains_key(&(service, incarnation)) {
                let token = self.mint(service, target);
                self.derived.insert((service, incarnation), token);
                self.record(service, token, incarnation);
            }
        }
        self.surveyed.insert(service, state);
    }

    /// Returns whether a target may get new flows at a service address: of several with equal tokens
    /// only the one with the lowest incarnation does, as on all other instances.
    pub(super) fn is_usable(&self, service: SocketAddrV4, target: TargetIncarnation) -> bool {
        let token = self.derived.get(&(service, target));
        token.is_some_and(|&token| self.targets.get(&(service, token)) == Some(&target))
    }

    /// Derives the token of new flows to a target at a service address.
    pub fn mint(&self, service: SocketAddrV4, target: &Target) -> Token {
        derive_token(self.keys.current(), service, target)
    }

    /// Returns whether a token is that of a target, under any of the keys.
    fn names(&self, token: Token, service: SocketAddrV4, target: &Target) -> bool {
        self.keys.all().any(|key| derive_token(key, service, target) == token)
    }

    /// Returns the target of a token, if it is known.
    pub(super) fn lookup(&self, service: SocketAddrV4, token: Token) -> Option<TargetIncarnation> {
        self.targets.get(&(service, token)).copied()
    }

    /// Finds the target of a token that is not known yet among `targets`. If several match, returns
    /// the one with the lowest incarnation, as only that one gets flows.
    pub(super) fn find<'a>(
        &mut self,
        service: SocketAddrV4,
        token: Token,
        targets: impl Iterator<Item = &'a Target>,
    ) -> Option<TargetIncarnation> {
        let matching = targets.filter(|target| self.names(token, service, target));
        let found = matching.min_by_key(|target| (target.incarnation, target.key))?;
        self.limit_size();
        self.record(service, token, (found.key, found.incarnation));
        self.lookup(service, token)
    }

    fn record(&mut self, service: SocketAddrV4, token: Token, target: TargetIncarnation) {
        let order = |(key, incarnation): TargetIncarnation| (incarnation, key);
        let known = self.targets.entry((service, token)).or_insert(target);
        if order(target) < order(*known) {
            *known = target;
        }
    }

    /// Forgets all tokens if there are too many. Those in use are derived again.
    fn limit_size(&mut self) {
        if self.targets.len() >= MAX_TOKENS {
            self.targets.clear();
            self.derived.clear();
            self.surveyed.clear();
        }
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
