//! Addresses at which an instance may be: seeds, and what the platform lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::peer::MemberInfo;

/// Pings after which a listed instance that does not answer is forgotten.
const TRIES: u8 = 3;
/// Listed instances that are remembered at most.
const MOST_HINTS: usize = 4_096;

#[derive(Debug)]
struct Hint {
    info: MemberInfo,
    tries_left: u8,
}

/// Addresses to try; none of them proves that anything lives there.
#[derive(Debug)]
pub(super) struct Contacts {
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    hints: BTreeMap<InstanceId, Hint>,
    last_hint: InstanceId,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, next_seed: 0, hints: BTreeMap::new(), last_hint: 0 }
    }

    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.next_seed = 0;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.seeds.is_empty() && self.hints.is_empty()
    }

    /// Adds a listed instance.
    pub(super) fn listed(&mut self, info: MemberInfo) {
        if self.hints.len() < MOST_HINTS {
            self.hints.insert(info.id, Hint { info, tries_left: TRIES });
        }
    }

    /// Drops a hint that has become an instance, or is older than what is known of it.
    pub(super) fn met(&mut self, info: &MemberInfo) {
        if self.hints.get(&info.id).is_some_and(|hint| hint.info.incarnation <= info.incarnation) {
            self.hints.remove(&info.id);
        }
    }

    /// Returns the next seed in turn.
    pub(super) fn seed(&mut self) -> Option<SocketAddr> {
        let at = self.next_seed.checked_rem(self.seeds.len())?;
        self.next_seed = at + 1;
        Some(self.seeds[at])
    }

    /// Returns the next listed instance in turn, which has one try less then.
    pub(super) fn hint(&mut self) -> Option<SocketAddr> {
        let after = self.hints.range(self.last_hint.saturating_add(1)..).next();
        let (&id, _) = after.or_else(|| self.hints.iter().next())?;
        self.last_hint = id;
        let hint = self.hints.get_mut(&id)?;
        hint.tries_left -= 1;
        let address = hint.info.peer_address;
        if hint.tries_left == 0 {
            self.hints.remove(&id);
        }
        Some(address)
    }
}
