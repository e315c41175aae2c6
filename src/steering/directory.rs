//! All known targets, with removed ones that may still have flows.
//!
//! Each record carries the platform's position of its last change, and within an era the highest
//! one wins. Records from the platform and from other instances can therefore be merged in any
//! order.
//!
//! A new era begins when the platform comes back from an older copy of its data. The copy may hold
//! outdated entries of targets, so records of different eras are compared by what a target said
//! last: a later incarnation wins, and a target that drains never becomes ready again in the same
//! incarnation. Entries that the new era does not confirm expire.

mod cold_time;
mod removals;
mod takeovers;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, RangeBounds};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::cold_time::ColdTime;
use self::takeovers::Takeovers;
use super::target::ServiceName;
use super::token::TargetIncarnation;
use super::{Target, TargetKey, TargetState};
use crate::hash::{HashMap, HashSet};
use crate::ids::FailureDomain;
use crate::platform::{Era, Position};

/// Time after a platform outage for which removed targets stay in use: entries that expired
/// during the outage are registered again within two seconds.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which writes of a process that has ended may still be executed.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(10);

/// The platform's latest record of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier of the target.
    pub key: TargetKey,
    /// Position of the change.
    pub position: Position,
    /// The target, or `None` if it was removed.
    pub target: Option<Target>,
}

#[derive(Debug)]
struct Entry {
    position: Position,
    target: Target,
    /// Position of the first known record of the incarnation.
    appeared: Position,
    /// When the record was received.
    updated_at: Duration,
    cold: ColdTime,
    removed: bool,
    /// End of the time for which the target is still used after its removal.
    grace_until: Duration,
    /// Whether a later target of the same service runs at the address.
    replaced: bool,
}

/// Table of all known targets.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    entries: BTreeMap<TargetKey, Entry>,
    /// Earlier incarnations of targets, with the time at which they were replaced.
    replaced: HashMap<TargetIncarnation, (Target, Duration)>,
    /// Position up to which all changes are known. Up to here, records of targets without an
    /// entry are outdated.
    complete_up_to: Position,
    /// Removals after this position are all recorded; of some earlier ones there is no record.
    removals_since: Position,
    /// The latest known era.
    era: Era,
    /// When the era became known.
    era_since: Duration,
    /// Earliest known position of the era. Entries up to here may be those of the copy.
    copied_up_to: Position,
    removal_grace_until: Duration,
    /// Number of changes of the entries.
    changes: u64,
    /// Latest end of a warm-up.
    cold_until: Duration,
    /// Keys of the targets of each service, by failure domain.
    by_service: HashMap<ServiceName, BTreeMap<FailureDomain, Vec<TargetKey>>>,
    takeovers: Takeovers,
}

impl TargetDirectory {
    /// Returns the position up to which all changes are known; the default if none are.
    pub fn complete_up_to(&self) -> Position {
        self.complete_up_to
    }

    /// Returns a number that rises whenever a target is added or changed.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the latest known era.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records a position that the platform has reached. If it is of a new era, removed targets
    /// stay in use for a time, as their entries may be written again.
    pub fn enter_era(&mut self, now: Duration, position: Position) {
        if position.era <= self.era {
            return;
        }
        self.era = position.era;
        self.era_since = now;
        self.copied_up_to = position;
        if self.complete_up_to.is_known() {
            self.start_removal_grace(now);
        }
    }

    /// Returns the number of targets whose records are of an earlier era.
    pub fn unconfirmed(&self) -> usize {
        let era = self.complete_up_to.era;
        self.entries.values().filter(|entry| !entry.removed && entry.position.era < era).count()
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
        if !self.is_newer(now, &record) {
            return false;
        }
        if record.target.is_none() && !self.entries.contains_key(&record.key) {
            self.removals_since = self.removals_since.max(record.position);
        }
        if self.is_unchanged(&record) {
            let is_changed = self.confirm(now, &record);
            if let Some(target) = &record.target {
                // A restart was recorded when the target was inserted.
                let appeared = self.appeared(target).unwrap_or(record.position);
                self.mark_replaced(record.position, appeared, target);
            }
            return is_changed;
        }
        match record.target {
            Some(target) => self.insert(now, record.position, target),
            None => self.remove(now, record.position, record.key),
        }
        true
    }

    /// Merges the platform's complete list at a position and removes the targets that are not in
    /// it. Returns the number of changes.
    pub fn replace_all(
        &mut self,
        now: Duration,
        position: Position,
        mut records: Vec<TargetRecord>,
    ) -> usize {
        self.enter_era(now, position);
        // A target that has moved has to be merged before the next one at its earlier address.
        records.sort_by_key(|record| record.position);
        let listed: HashSet<_> = records.iter().map(|record| record.key).collect();
        let mut changes = self.remove_unlisted(now, position, .., &listed);
        changes += records.into_iter().filter(|record| self.merge(now, record.clone())).count();
        self.advance_complete_up_to(position);
        changes
    }

    /// Removes the targets in a range of keys that are not among those that existed at a position.
    /// Returns their number.
    pub fn remove_unlisted(
        &mut self,
        now: Duration,
        position: Position,
        range: impl RangeBounds<TargetKey>,
        listed: &HashSet<TargetKey>,
    ) -> usize {
        let is_unlisted = |(key, entry): &(&TargetKey, &Entry)| {
            !entry.removed && entry.position < position && !listed.contains(key)
        };
        let unlisted = self.entries.range(range).filter(is_unlisted);
        let unlisted: Vec<_> = unlisted.map(|(key, _)| *key).collect();
        for &key in &unlisted {
            self.remove(now, position, key);
        }
        unlisted.len()
    }

    /// Returns whether all removals after a position are recorded, so that the records since then
    /// say all that has changed.
    pub fn knows_removals_since(&self, position: Position) -> bool {
        position >= self.removals_since
    }

    /// Returns the keys of the targets that have not been removed, after the given one and in
    /// ascending order.
    pub fn keys_after(&self, key: TargetKey) -> impl Iterator<Item = TargetKey> {
        let after = (Bound::Excluded(key), Bound::Unbounded);
        self.entries.range(after).filter(|(_, entry)| !entry.removed).map(|(&key, _)| key)
    }

    /// Records that all changes up to a position are known.
    pub fn advance_complete_up_to(&mut self, position: Position) {
        if !self.complete_up_to.is_known() {
            self.removals_since = position;
        }
        self.complete_up_to = self.complete_up_to.max(position);
    }

    /// Returns the records that changed after a position, in ascending order, and after them those
    /// of earlier eras: the receiver may know only an older entry from the copy.
    pub fn since(&self, position: Position) -> Vec<TargetRecord> {
        let era = self.complete_up_to.era;
        let newer = |entry: &Entry| {
            entry.position > position || (entry.position.era < era && !entry.removed)
        };
        let mut records: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| newer(entry))
            .map(|(&key, entry)| TargetRecord {
                key,
                position: entry.position,
                target: (!entry.removed).then(|| entry.target.clone()),
            })
            .collect();
        records.sort_by_key(|record| (record.position.era < era, record.position));
        records
    }

    /// Returns the targets of a service that may get new flows, with the remaining time until each
    /// is warm.
    pub fn eligible<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let domains = self.by_service.get(service).into_iter().flat_map(BTreeMap::values);
        self.eligible_of(now, domains.flatten())
    }

    /// Returns those of the targets that [`TargetDirectory::eligible`] returns that are not in an
    /// excluded failure domain.
    pub fn eligible_outside<'a, F: Fn(&str) -> bool>(
        &'a self,
        now: Duration,
        service: &str,
        is_excluded: F,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a, F> {
        let domains = self.by_service.get(service).into_iter().flatten();
        let domains = domains.filter(move |(domain, _)| !is_excluded(domain));
        self.eligible_of(now, domains.flat_map(|(_, keys)| keys))
    }

    /// Returns those of the targets that [`TargetDirectory::eligible`] returns that are in a failure
    /// domain.
    pub fn eligible_in<'a>(
        &'a self,
        now: Duration,
        service: &str,
        domain: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let keys = self.by_service.get(service).and_then(|domains| domains.get(domain));
        self.eligible_of(now, keys.into_iter().flatten())
    }

    /// Returns the targets of all services in a failure domain that may get new flows.
    pub fn eligible_in_domain<'a>(
        &'a self,
        now: Duration,
        domain: &str,
    ) -> impl Iterator<Item = &'a Target> + use<'a> {
        let keys: Vec<_> =
            self.by_service.values().filter_map(|domains| domains.get(domain)).flatten().collect();
        self.eligible_of(now, keys.into_iter()).map(|(target, _)| target)
    }

    /// Returns the failure domains that have targets, each once.
    pub fn failure_domains(&self) -> BTreeSet<&str> {
        let domains = self.by_service.values().flatten();
        domains.filter(|(_, keys)| !keys.is_empty()).map(|(domain, _)| domain.as_str()).collect()
    }

    fn eligible_of<'a>(
        &'a self,
        now: Duration,
        keys: impl Iterator<Item = &'a TargetKey>,
    ) -> impl Iterator<Item = (&'a Target, Duration)> {
        let entries = keys.filter_map(|key| self.entries.get(key));
        let eligible = entries.filter(move |entry| !entry.removed || now < entry.grace_until);
        let current = eligible.filter(|entry| !entry.replaced);
        let ready = current.filter(|entry| entry.target.state == TargetState::Ready);
        ready.map(move |entry| (&entry.target, entry.cold.until.saturating_sub(now)))
    }

    /// Returns whether any target may be cold.
    pub fn may_be_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns when a target that was known before restarted or became cold again, if it did.
    pub fn cold_again_at(&self, key: TargetKey) -> Option<Duration> {
        self.entries.get(&key).and_then(|entry| entry.cold.again_at)
    }

    /// Returns the remaining time until a target is warm; zero if it is not known.
    pub fn warm_up_left(&self, now: Duration, key: TargetKey) -> Duration {
        let entry = self.entries.get(&key);
        entry.map(|entry| entry.cold.until.saturating_sub(now)).unwrap_or_default()
    }

    /// Returns all targets of a service, including those that get no new flows.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let domains = self.by_service.get(service).into_iter().flat_map(BTreeMap::values);
        domains.flatten().filter_map(|key| self.entries.get(key)).map(|entry| &entry.target)
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
    pub fn has_restarted(&self, incarnation: TargetIncarnation) -> bool {
        self.successor(incarnation).is_some()
    }

    /// Returns the target as it is since it restarted, or `None` if it has not. The clock of a
    /// target may have been set back meanwhile.
    pub fn successor(&self, (key, incarnation): TargetIncarnation) -> Option<&Target> {
        let latest = self.entries.get(&key).map(|entry| &entry.target);
        latest.filter(|target| target.incarnation != incarnation)
    }

    /// Returns the age of a target's record, and its position.
    pub fn age(&self, now: Duration, key: TargetKey) -> Option<(Duration, Position)> {
        let entry = self.entries.get(&key)?;
        Some((now.saturating_sub(entry.updated_at), entry.position))
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

    /// Returns the position of the first known record of an incarnation, if that is the latest one.
    fn appeared(&self, target: &Target) -> Option<Position> {
        let entry = self.entries.get(&target.key)?;
        (entry.target.incarnation == target.incarnation).then_some(entry.appeared)
    }

    /// Returns whether a record is of an incarnation that has ended: the platform may execute a
    /// write seconds after it was sent.
    fn is_of_ended(&self, now: Duration, record: &TargetRecord, entry: &Entry) -> bool {
        let Some(target) = &record.target else { return false };
        let ended = self.replaced.get(&(record.key, target.incarnation));
        target.incarnation < entry.target.incarnation
            && ended.is_some_and(|(_, at)| now < *at + MAX_WRITE_DELAY)
    }

    /// Returns whether a record is newer than what is known of its target.
    fn is_newer(&self, now: Duration, record: &TargetRecord) -> bool {
        let Some(entry) = self.entries.get(&record.key) else {
            // A target without an entry was already removed at `complete_up_to`.
            return record.position > self.complete_up_to;
        };
        if self.is_of_ended(now, record, entry) {
            return false;
        }
        // So was a target that is known to be removed.
        let known =
            if entry.removed { entry.position.max(self.complete_up_to) } else { entry.position };
        let later = record.position > known;
        match &record.target {
            Some(target) if record.position.era != known.era => {
                let said = |target: &Target| (target.incarnation, target.state);
                let restated = later && record.position > self.copied_up_to;
                if restated && target.incarnation == entry.target.incarnation {
                    return true;
                }
                match said(target).cmp(&said(&entry.target)) {
                    Ordering::Less => false,
                    Ordering::Equal => later,
                    // The new era knows whether a removed target has come back.
                    Ordering::Greater => later || !entry.removed,
                }
            }
            _ => later,
        }
    }

    /// Moves an unchanged entry to the position of a record, so that no removal before it counts.
    /// Returns whether the target is cold again; a warm-up that goes on is no change.
    fn confirm(&mut self, now: Duration, record: &TargetRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&record.key) else { return false };
        // A copy of the platform's data may hold the start of a warm-up that is long over.
        let is_copied =
            record.position.era != entry.position.era && record.position <= self.copied_up_to;
        entry.replaced &= record.position <= entry.position.max(self.copied_up_to);
        entry.position = entry.position.max(record.position);
        let warm_up_left = record.target.as_ref().map(|target| target.warm_up_left);
        let warm_up_left = warm_up_left.unwrap_or_default();
        if is_copied || warm_up_left.is_zero() {
            return false;
        }
        let is_cold_again = entry.cold.extend(now, warm_up_left);
        self.cold_until = self.cold_until.max(entry.cold.until);
        if is_cold_again {
            entry.target.warm_up_left = warm_up_left;
            entry.updated_at = now;
        }
        is_cold_again
    }

    fn insert(&mut self, now: Duration, position: Position, target: Target) {
        self.changes += 1;
        let key = target.key;
        let appeared = self.appeared(&target).unwrap_or(position);
        let mut cold = ColdTime::new(now, target.warm_up_left);
        if let Some(previous) = self.entries.remove(&key) {
            self.remove_from_service(&previous.target);
            cold.follow(now, &previous.cold, previous.target.incarnation != target.incarnation);
            self.takeovers.remove(&previous.target);
            if previous.target.incarnation != target.incarnation {
                if previous.target.service == target.service {
                    self.takeovers.record_restart(&previous.target);
                }
                let incarnation = (key, previous.target.incarnation);
                self.replaced.insert(incarnation, (previous.target, now));
            }
        }
        if let Some(restarted) = self.mark_replaced(position, appeared, &target) {
            self.takeovers.record_restart(&restarted);
        }
        let replaced = self.has_successor(position, appeared, &target);
        self.takeovers.insert(&target);
        let domains = self.by_service.entry(target.service.clone()).or_default();
        domains.entry(target.failure_domain.clone()).or_default().push(key);
        let grace_until = Duration::ZERO;
        self.cold_until = self.cold_until.max(cold.until);
        let entry = Entry {
            position,
            target,
            appeared,
            updated_at: now,
            cold,
            removed: false,
            grace_until,
            replaced,
        };
        self.entries.insert(key, entry);
    }

    fn remove_from_service(&mut self, target: &Target) {
        let domains = self.by_service.get_mut(&target.service);
        if let Some(keys) = domains.and_then(|domains| domains.get_mut(&target.failure_domain)) {
            keys.retain(|&key| key != target.key);
        }
    }
}
