//! Removal of targets, and the entries of removed ones that may still have flows.

use std::time::Duration;

use super::{Entry, TargetDirectory};
use crate::platform::Position;
use crate::steering::token::TargetIncarnation;
use crate::steering::{Target, TargetKey};

/// Time for which removed targets are kept: the maximum lifetime of a flow.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// Time after the start of an era within which targets write their entries again, and instances
/// learn of them. Entries that are still of an earlier era then count as removed.
const ERA_SETTLING_TIME: Duration = Duration::from_secs(6);

impl TargetDirectory {
    /// Returns whether the platform has removed this incarnation of a target, and any grace period
    /// is over.
    pub fn is_removed(&self, now: Duration, (key, incarnation): TargetIncarnation) -> bool {
        let entry = self.entries.get(&key).filter(|entry| entry.target.incarnation == incarnation);
        entry.is_some_and(|entry| entry.removed && now >= entry.grace_until)
    }

    /// Returns the removed targets that may still have flows, in the order of their keys, and after
    /// them the earlier incarnations of targets that have restarted.
    pub fn removed(&self) -> impl Iterator<Item = &Target> {
        let removed = self.entries.values().filter(|entry| entry.removed);
        let mut earlier: Vec<_> = self.replaced.iter().collect();
        earlier.sort_unstable_by_key(|(incarnation, _)| **incarnation);
        removed.map(|entry| &entry.target).chain(earlier.into_iter().map(|(_, (target, _))| target))
    }

    /// Adds a target that was removed, or an incarnation that ended, before this instance started.
    /// Targets that already have an entry are left unchanged.
    pub fn insert_removed(&mut self, now: Duration, target: Target) {
        let (key, incarnation) = (target.key, target.incarnation);
        if let Some(entry) = self.entries.get(&key) {
            if incarnation < entry.target.incarnation {
                self.replaced.entry((key, incarnation)).or_insert((target, now));
            }
            return;
        }
        self.insert(now, Position::default(), target);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.removed = true;
        }
    }

    /// Deletes the entries of targets that can have no flows any more, and removes targets that
    /// the current era has not confirmed in time.
    pub fn expire(&mut self, now: Duration) {
        self.remove_unconfirmed(now);
        self.replaced.retain(|_, (_, at)| now < *at + REMOVED_RETENTION);
        let expired = |entry: &Entry| entry.removed && now >= entry.updated_at + REMOVED_RETENTION;
        let expired: Vec<_> =
            self.entries.iter().filter(|(_, entry)| expired(entry)).map(|(key, _)| *key).collect();
        for key in expired {
            if let Some(entry) = self.entries.remove(&key) {
                self.removals_since = self.removals_since.max(entry.position);
                self.remove_from_service(&entry.target);
                self.takeovers.remove(&entry.target);
            }
        }
    }

    fn remove_unconfirmed(&mut self, now: Duration) {
        let Position { era, .. } = self.complete_up_to;
        if now < self.era_since + ERA_SETTLING_TIME {
            return;
        }
        let unconfirmed = self.entries.iter().filter(|(_, e)| !e.removed && e.position.era < era);
        let unconfirmed: Vec<_> = unconfirmed.map(|(key, _)| *key).collect();
        for key in unconfirmed {
            self.remove(now, Position::new(era, 0), key);
        }
    }

    pub(super) fn remove(&mut self, now: Duration, position: Position, key: TargetKey) {
        // There is nothing to keep for a target without an entry.
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.position = position;
        if !entry.removed {
            entry.removed = true;
            entry.updated_at = now;
            entry.grace_until = self.removal_grace_until;
        }
    }
}
