//! Targets that start again at the address of an earlier one, before the platform has removed it.

use std::net::SocketAddrV4;

use super::{Entry, TargetDirectory};
use crate::hash::HashMap;
use crate::platform::Position;
use crate::steering::token::TargetIncarnation;
use crate::steering::{Target, TargetKey, TargetState};

/// Maximum number of restarts that wait to be taken; the caller takes them ten times per second.
const MAX_RESTARTS: usize = 1_024;

/// Keys of the targets at each address, and the restarts among them.
#[derive(Debug, Default)]
pub(super) struct Takeovers {
    by_address: HashMap<SocketAddrV4, Vec<TargetKey>>,
    /// Incarnations that started again without having drained, as they were before.
    restarts: Vec<Target>,
}

impl Takeovers {
    pub(super) fn insert(&mut self, target: &Target) {
        self.by_address.entry(target.address).or_default().push(target.key);
    }

    pub(super) fn remove(&mut self, target: &Target) {
        let Some(keys) = self.by_address.get_mut(&target.address) else { return };
        keys.retain(|&key| key != target.key);
        if keys.is_empty() {
            self.by_address.remove(&target.address);
        }
    }

    /// Records that another target of the service runs at the address of a target now, if the
    /// target had not drained.
    pub(super) fn record_restart(&mut self, previous: &Target) {
        if previous.state == TargetState::Ready && self.restarts.len() < MAX_RESTARTS {
            self.restarts.push(previous.clone());
        }
    }
}

impl TargetDirectory {
    /// Removes and returns the targets that have started again without having drained, as they were
    /// before, in the order of their restarts.
    pub fn take_restarts(&mut self) -> Vec<Target> {
        std::mem::take(&mut self.takeovers.restarts)
    }

    /// Returns the latest other target, of any service, whose record has a target's address. It may
    /// have ended before: records may be late.
    pub fn other_at_address(&self, target: &Target) -> Option<&Target> {
        let keys = self.takeovers.by_address.get(&target.address)?;
        let others = keys.iter().filter(|&&key| key != target.key);
        let others = others.filter_map(|key| self.entries.get(key)).filter(|entry| !entry.removed);
        others.max_by_key(|entry| entry.appeared).map(|entry| &entry.target)
    }

    /// Returns whether a later target of the same service runs at this target's address. The
    /// platform takes seconds to remove the entry of a target that has failed.
    pub fn is_replaced(&self, (key, incarnation): TargetIncarnation) -> bool {
        let entry = self.entries.get(&key).filter(|entry| entry.target.incarnation == incarnation);
        entry.is_some_and(|entry| entry.replaced)
    }

    /// Returns whether a later target of the service is at the address of a target whose record has
    /// arrived: records may arrive in any order. As in [`TargetDirectory::mark_replaced`], one that
    /// `appeared` earlier is none.
    pub(super) fn has_successor(
        &self,
        position: Position,
        appeared: Position,
        target: &Target,
    ) -> bool {
        let keys = self.takeovers.by_address.get(&target.address).into_iter().flatten();
        let is_successor = |entry: &Entry| {
            !entry.removed
                && entry.target.service == target.service
                && entry.target.incarnation > target.incarnation
                && entry.position > position.max(self.copied_up_to)
                && (entry.appeared.era != appeared.era || entry.appeared > appeared)
        };
        keys.filter_map(|key| self.entries.get(key)).any(is_successor)
    }

    /// Marks the earlier targets of the service at the address of a target whose record has arrived.
    /// Returns the last one, which has restarted, unless one of another service had the address
    /// meanwhile. A record from a copy of the platform's data marks none: its position says nothing
    /// about entries of earlier eras.
    ///
    /// A target whose incarnation `appeared` before another one did is not its successor, even if
    /// its clock says so: the platform may execute a write of a target that has ended.
    pub(super) fn mark_replaced(
        &mut self,
        position: Position,
        appeared: Position,
        target: &Target,
    ) -> Option<Target> {
        if position <= self.copied_up_to {
            return None;
        }
        let keys = self.takeovers.by_address.get(&target.address)?;
        let (mut last, mut restarted) = (0, None);
        for key in keys {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            // An entry that has been written since then is of a target that still runs.
            let has_appeared_since =
                entry.appeared.era == appeared.era && entry.appeared > appeared;
            let is_earlier = entry.target.incarnation < target.incarnation
                && entry.position < position
                && !has_appeared_since;
            if !is_earlier {
                continue;
            }
            let is_same_service = entry.target.service == target.service;
            if entry.target.incarnation >= last {
                last = entry.target.incarnation;
                restarted = (is_same_service && !entry.replaced).then(|| entry.target.clone());
            }
            entry.replaced |= is_same_service;
        }
        restarted
    }
}
