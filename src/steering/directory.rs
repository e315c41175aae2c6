//! All known targets, with removed ones that may still have flows.
//!
//! Each record carries the platform's revision of its last change, and the highest revision
//! wins. Records from the platform and from other instances can therefore be merged in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::token::TargetIncarnation;
use super::{Target, TargetKey, TargetState};
use crate::hash::HashMap;
use crate::platform::Revision;

/// Time for which removed targets are kept: the maximum lifetime of a flow.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// Time after a platform outage for which removed targets stay in use: entries that expired
/// during the outage are registered again within two seconds.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_300);

/// The platform's latest record of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier of the target.
    pub key: TargetKey,
    /// Revision of the change.
    pub revision: Revision,
    /// The target, or `None` if it was removed.
    pub target: Option<Target>,
}

#[derive(Debug)]
struct Entry {
    revision: Revision,
    target: Target,
    /// When the record was received.
    updated_at: Duration,
    removed: bool,
    /// End of the time for which the target is still used after its removal.
    grace_until: Duration,
}

/// Table of all known targets.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    entries: BTreeMap<TargetKey, Entry>,
    /// Earlier incarnations of targets, with the time at which they were replaced.
    replaced: HashMap<TargetIncarnation, (Target, Duration)>,
    /// Revision up to which all changes are known. Up to here, records of targets without an
    /// entry are outdated.
    complete_up_to: Revision,
    removal_grace_until: Duration,
    by_service: HashMap<String, Vec<TargetKey>>,
}

impl TargetDirectory {
    /// Returns the revision up to which all changes are known; 0 if none are.
    pub fn complete_up_to(&self) -> Revision {
        self.complete_up_to
    }

    /// Returns the number of targets that have not been removed.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|entry| !entry.removed).count()
    }

    /// Returns whether there are no targets other than removed ones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts the grace period for removed targets, after an outage of the platform.
    pub fn start_removal_grace(&mut self, now: Duration) {
        self.removal_grace_until = now + REMOVAL_GRACE;
    }

    /// Returns the time for which a target that is removed now would stay in use.
    pub fn removal_grace_left(&self, now: Duration) -> Duration {
        self.removal_grace_until.saturating_sub(now)
    }

    /// Extends the grace period for removed targets to `grace` from now, but at most to the length
    /// that it has after an outage.
    pub fn extend_removal_grace(&mut self, now: Duration, grace: Duration) {
        if grace > Duration::ZERO {
            self.removal_grace_until = self.removal_grace_until.max(now + grace.min(REMOVAL_GRACE));
        }
    }

    /// Merges a record. Returns whether it changed the directory.
    pub fn merge(&mut self, now: Duration, record: TargetRecord) -> bool {
        // A target without an entry was already removed at revision `complete_up_to`.
        let last_revision = self.entries.get(&record.key).map_or(0, |entry| entry.revision);
        let last_revision = if last_revision == 0 { self.complete_up_to } else { last_revision };
        if record.revision <= last_revision || self.is_unchanged(&record) {
            return false;
        }
        match record.target {
            Some(target) => self.insert(now, record.revision, target),
            None => self.remove(now, record.revision, record.key),
        }
        true
    }

    /// Merges the platform's complete list at a revision and removes the targets that are not in
    /// it. Returns the number of changes.
    pub fn replace_all(
        &mut self,
        now: Duration,
        revision: Revision,
        records: Vec<TargetRecord>,
    ) -> usize {
        let listed: Vec<_> = records.iter().map(|record| record.key).collect();
        let is_missing = |(key, entry): (&TargetKey, &Entry)| {
            (!entry.removed && entry.revision < revision && !listed.contains(key)).then_some(*key)
        };
        let missing: Vec<_> = self.entries.iter().filter_map(is_missing).collect();
        let mut changes = missing.len();
        for key in missing {
            self.remove(now, revision, key);
        }
        changes += records.into_iter().filter(|record| self.merge(now, record.clone())).count();
        self.advance_complete_up_to(revision);
        changes
    }

    /// Records that all changes up to a revision are known.
    pub fn advance_complete_up_to(&mut self, revision: Revision) {
        self.complete_up_to = self.complete_up_to.max(revision);
    }

    /// Returns the records that changed after a revision, in ascending order of revision.
    pub fn since(&self, revision: Revision) -> Vec<TargetRecord> {
        let newer = self.entries.iter().filter(|(_, entry)| entry.revision > revision);
        let mut records: Vec<_> = newer
            .map(|(&key, entry)| TargetRecord {
                key,
                revision: entry.revision,
                target: (!entry.removed).then(|| entry.target.clone()),
            })
            .collect();
        records.sort_by_key(|record| record.revision);
        records
    }

    /// Returns the targets of a service that may get new flows, with the remaining time until each
    /// is warm.
    pub fn eligible<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().filter_map(|key| self.entries.get(key));
        let eligible = entries.filter(move |entry| !entry.removed || now < entry.grace_until);
        let ready = eligible.filter(|entry| entry.target.state == TargetState::Ready);
        ready.map(move |entry| {
            let age = now.saturating_sub(entry.updated_at);
            (&entry.target, entry.target.warm_up_left.saturating_sub(age))
        })
    }

    /// Returns all targets of a service, including those that get no new flows.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.entries.get(key)).map(|entry| &entry.target)
    }

    /// Returns all targets that may have flows, removed and earlier incarnations included.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        let replaced = self.replaced.values().map(|(target, _)| target);
        self.entries.values().map(|entry| &entry.target).chain(replaced)
    }

    /// Returns one incarnation of a target.
    pub fn get(&self, (key, incarnation): TargetIncarnation) -> Option<&Target> {
        let latest = self.entries.get(&key).map(|entry| &entry.target);
        let current = latest.filter(|target| target.incarnation == incarnation);
        current.or_else(|| self.replaced.get(&(key, incarnation)).map(|(target, _)| target))
    }

    /// Returns whether a target has restarted since this incarnation.
    pub fn has_restarted(&self, (key, incarnation): TargetIncarnation) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.target.incarnation > incarnation)
    }

    /// Returns whether the platform has removed this incarnation of a target, and any grace period
    /// is over.
    pub fn is_removed(&self, now: Duration, (key, incarnation): TargetIncarnation) -> bool {
        let entry = self.entries.get(&key).filter(|entry| entry.target.incarnation == incarnation);
        entry.is_some_and(|entry| entry.removed && now >= entry.grace_until)
    }

    /// Returns whether the address of a removed target is now used by another one.
    pub fn is_address_reused(&self, removed: &Target) -> bool {
        let has_address = |entry: &Entry| {
            !entry.removed
                && entry.target.address == removed.address
                && entry.target.key != removed.key
        };
        self.entries.values().any(has_address)
    }

    /// Returns the age of a target's record, and its revision.
    pub fn age(&self, now: Duration, key: TargetKey) -> Option<(Duration, Revision)> {
        let entry = self.entries.get(&key)?;
        Some((now.saturating_sub(entry.updated_at), entry.revision))
    }

    /// Returns the removed targets that may still have flows, in the order of their keys.
    pub fn removed(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().filter(|entry| entry.removed).map(|entry| &entry.target)
    }

    /// Adds a target that was removed before this instance started. Targets that already have an
    /// entry are left unchanged.
    pub fn insert_removed(&mut self, now: Duration, target: Target) {
        if self.entries.contains_key(&target.key) {
            return;
        }
        let key = target.key;
        self.insert(now, 0, target);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.removed = true;
        }
    }

    /// Deletes the entries of targets that can have no flows any more.
    pub fn expire(&mut self, now: Duration) {
        self.replaced.retain(|_, (_, at)| now < *at + REMOVED_RETENTION);
        let expired = |entry: &Entry| entry.removed && now >= entry.updated_at + REMOVED_RETENTION;
        let expired: Vec<_> =
            self.entries.iter().filter(|(_, entry)| expired(entry)).map(|(key, _)| *key).collect();
        for key in expired {
            if let Some(entry) = self.entries.remove(&key) {
                self.remove_from_service(&entry.target);
            }
        }
    }

    /// Returns whether a record changes nothing but the remaining warm-up time.
    fn is_unchanged(&self, record: &TargetRecord) -> bool {
        match (self.entries.get(&record.key), &record.target) {
            (None, None) => true,
            (Some(entry), Some(target)) if !entry.removed => {
                Target { warm_up_left: target.warm_up_left, ..entry.target.clone() } == *target
            }
            _ => false,
        }
    }

    fn insert(&mut self, now: Duration, revision: Revision, target: Target) {
        let key = target.key;
        if let Some(previous) = self.entries.remove(&key) {
            self.remove_from_service(&previous.target);
            if previous.target.incarnation < target.incarnation {
                let incarnation = (key, previous.target.incarnation);
                self.replaced.insert(incarnation, (previous.target, now));
            }
        }
        self.by_service.entry(target.service.clone()).or_default().push(key);
        let grace_until = Duration::ZERO;
        let entry = Entry { revision, target, updated_at: now, removed: false, grace_until };
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, now: Duration, revision: Revision, key: TargetKey) {
        // There is nothing to keep for a target without an entry.
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.revision = revision;
        if !entry.removed {
            entry.removed = true;
            entry.updated_at = now;
            entry.grace_until = self.removal_grace_until;
        }
    }

    fn remove_from_service(&mut self, target: &Target) {
        if let Some(keys) = self.by_service.get_mut(&target.service) {
            keys.retain(|&key| key != target.key);
        }
    }
}
