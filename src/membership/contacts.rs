//! Addresses that may belong to an instance: seeds, and entries of the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::peer::MemberInfo;

/// Number of pings after which a listed instance that has not answered is removed.
const MAX_HINT_PINGS: u8 = 3;
/// Maximum number of listed instances that are kept.
const MAX_HINTS: usize = 4_096;

#[derive(Debug)]
struct Hint {
    info: MemberInfo,
    pings_left: u8,
}

/// Addresses to ping; none of them is proof of a live instance.
#[derive(Debug)]
pub(super) struct Contacts {
    seeds: Vec<SocketAddr>,
    seed_index: usize,
    hints: BTreeMap<InstanceId, Hint>,
    last_hint_id: InstanceId,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, seed_index: 0, hints: BTreeMap::new(), last_hint_id: 0 }
    }

    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seed_index = 0;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.seeds.is_empty() && self.hints.is_empty()
    }

    /// Adds an instance from the platform's list, unless the limit is reached.
    pub(super) fn add_hint(&mut self, info: MemberInfo) {
        if self.hints.len() < MAX_HINTS {
            self.hints.insert(info.id, Hint { info, pings_left: MAX_HINT_PINGS });
        }
    }

    /// Removes the hint for an instance that is now known with the same or a higher incarnation.
    pub(super) fn remove_known(&mut self, info: &MemberInfo) {
        if self.hints.get(&info.id).is_some_and(|hint| hint.info.incarnation <= info.incarnation) {
            self.hints.remove(&info.id);
        }
    }

    /// Returns the next seed, in rotation.
    pub(super) fn next_seed(&mut self) -> Option<SocketAddr> {
        let at = self.seed_index.checked_rem(self.seeds.len())?;
        self.seed_index = at + 1;
        Some(self.seeds[at])
    }

    /// Returns the address of the next listed instance, in rotation, and uses up one of its
    /// pings.
    pub(super) fn next_hint(&mut self) -> Option<SocketAddr> {
        let after = self.hints.range(self.last_hint_id.saturating_add(1)..).next();
        let (&id, _) = after.or_else(|| self.hints.iter().next())?;
        self.last_hint_id = id;
        let hint = self.hints.get_mut(&id)?;
        hint.pings_left -= 1;
        let address = hint.info.peer_address;
        if hint.pings_left == 0 {
            self.hints.remove(&id);
        }
        Some(address)
    }
}
