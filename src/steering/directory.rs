//! All targets that this instance knows, and those that are gone but may still have flows.
//!
//! Each record carries the platform's revision of its last change, and the higher revision
//! wins. Records therefore merge in any order, from the platform and from other instances.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::token::TargetStart;
use super::{Target, TargetKey, TargetState};
use crate::hash::HashMap;
use crate::platform::Revision;

/// Time for which a target that is gone stays known: the longest life of a flow.
const REMEMBER_GONE: Duration = Duration::from_secs(60);
/// Time after an outage of the platform for which a target that has vanished stays in use:
/// entries that lapsed during the outage are back within two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// What the platform last said of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Number of the target.
    pub key: TargetKey,
    /// Revision of the change.
    pub revision: Revision,
    /// The target; none if it is gone.
    pub target: Option<Target>,
}

#[derive(Debug)]
struct Known {
    revision: Revision,
    target: Target,
    /// When the record was learnt.
    learnt: Duration,
    gone: bool,
    /// Until when a target that has vanished is still used.
    lapsed_until: Duration,
}

/// The targets.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<TargetKey, Known>,
    /// Earlier starts of targets, with the time at which they were replaced.
    replaced: HashMap<TargetStart, (Target, Duration)>,
    /// Revisions of numbers that are gone and forgotten count as old up to here.
    complete_to: Revision,
    lapse_until: Duration,
    by_service: HashMap<String, Vec<TargetKey>>,
}

impl Directory {
    /// Returns the revision up to which all changes are known; 0 if nothing is.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// Returns the number of targets that are in use.
    pub fn len(&self) -> usize {
        self.known.values().filter(|known| !known.gone).count()
    }

    /// Tells whether no target is in use.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that the platform answers again after an outage.
    pub fn platform_regained(&mut self, now: Duration) {
        self.lapse_until = now + LAPSE_GRACE;
    }

    /// Returns the time for which targets that vanish now stay in use.
    pub fn lapse_grace(&self, now: Duration) -> Duration {
        self.lapse_until.saturating_sub(now)
    }

    /// Lets targets that vanish now stay in use for a time.
    pub fn extend_lapse(&mut self, now: Duration, grace: Duration) {
        if grace > Duration::ZERO {
            self.lapse_until = self.lapse_until.max(now + grace.min(LAPSE_GRACE));
        }
    }

    /// Takes a record. Answers true if it was news.
    pub fn merge(&mut self, now: Duration, record: TargetRecord) -> bool {
        // What is not known any more was gone at the revision up to which all is known.
        let held = self.known.get(&record.key).map_or(0, |known| known.revision);
        let held = if held == 0 { self.complete_to } else { held };
        if record.revision <= held || self.is_known(&record) {
            return false;
        }
        match record.target {
            Some(target) => self.put(now, record.revision, target),
            None => self.remove(now, record.revision, record.key),
        }
        true
    }

    /// Takes all records that the platform has at a revision; others are gone.
    pub fn replace_all(
        &mut self,
        now: Duration,
        revision: Revision,
        records: Vec<TargetRecord>,
    ) -> usize {
        let listed: Vec<_> = records.iter().map(|record| record.key).collect();
        let vanished = |(key, known): (&TargetKey, &Known)| {
            (!known.gone && known.revision < revision && !listed.contains(key)).then_some(*key)
        };
        let vanished: Vec<_> = self.known.iter().filter_map(vanished).collect();
        let mut news = vanished.len();
        for key in vanished {
            self.remove(now, revision, key);
        }
        news += records.into_iter().filter(|record| self.merge(now, record.clone())).count();
        self.complete(revision);
        news
    }

    /// Notes that all changes up to a revision are known.
    pub fn complete(&mut self, revision: Revision) {
        self.complete_to = self.complete_to.max(revision);
    }

    /// Returns the records that changed after a revision, those with the lowest revisions
    /// first.
    pub fn since(&self, revision: Revision) -> Vec<TargetRecord> {
        let changed = self.known.iter().filter(|(_, known)| known.revision > revision);
        let mut records: Vec<_> = changed
            .map(|(&key, known)| TargetRecord {
                key,
                revision: known.revision,
                target: (!known.gone).then(|| known.target.clone()),
            })
            .collect();
        records.sort_by_key(|record| record.revision);
        records
    }

    /// Returns the targets of a service that may get new flows, with the time for which each
    /// is still cold.
    pub fn usable<'a>(
        &'a self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&'a Target, Duration)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let known = keys.iter().filter_map(|key| self.known.get(key));
        let usable = known.filter(move |known| !known.gone || now < known.lapsed_until);
        let ready = usable.filter(|known| known.target.state == TargetState::Ready);
        ready.map(move |known| {
            let age = now.saturating_sub(known.learnt);
            (&known.target, known.target.cold.saturating_sub(age))
        })
    }

    /// Returns the targets of a service, also those that get no new flows.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.known.get(key)).map(|known| &known.target)
    }

    /// Returns all targets that may have flows.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        let replaced = self.replaced.values().map(|(target, _)| target);
        self.known.values().map(|known| &known.target).chain(replaced)
    }

    /// Returns a target in one of its starts.
    pub fn get(&self, (key, start): TargetStart) -> Option<&Target> {
        let known = self.known.get(&key).map(|known| &known.target);
        let current = known.filter(|target| target.start == start);
        current.or_else(|| self.replaced.get(&(key, start)).map(|(target, _)| target))
    }

    /// Tells whether a start of a target is certainly over: it has started again since.
    pub fn is_over(&self, (key, start): TargetStart) -> bool {
        self.known.get(&key).is_some_and(|known| known.target.start > start)
    }

    /// Tells whether a start of a target is no more as far as the platform knows.
    pub fn is_gone(&self, now: Duration, (key, start): TargetStart) -> bool {
        let known = self.known.get(&key).filter(|known| known.target.start == start);
        known.is_some_and(|known| known.gone && now >= known.lapsed_until)
    }

    /// Tells whether the address of a target that is gone belongs to another one by now.
    pub fn has_successor(&self, gone: &Target) -> bool {
        let successor = |known: &Known| {
            !known.gone && known.target.address == gone.address && known.target.key != gone.key
        };
        self.known.values().any(successor)
    }

    /// Returns the age of what is known of a target, and its revision.
    pub fn age(&self, now: Duration, key: TargetKey) -> Option<(Duration, Revision)> {
        let known = self.known.get(&key)?;
        Some((now.saturating_sub(known.learnt), known.revision))
    }

    /// Returns the targets that are gone and may still have flows, in the order of their
    /// numbers.
    pub fn gone(&self) -> impl Iterator<Item = &Target> {
        self.known.values().filter(|known| known.gone).map(|known| &known.target)
    }

    /// Takes a target that was gone before this instance started. One that is known stays as
    /// it is.
    pub fn remember_gone(&mut self, now: Duration, target: Target) {
        if self.known.contains_key(&target.key) {
            return;
        }
        let key = target.key;
        self.put(now, 0, target);
        if let Some(known) = self.known.get_mut(&key) {
            known.gone = true;
        }
    }

    /// Forgets what no flow can need any more.
    pub fn forget(&mut self, now: Duration) {
        self.replaced.retain(|_, (_, at)| now < *at + REMEMBER_GONE);
        let over = |known: &Known| known.gone && now >= known.learnt + REMEMBER_GONE;
        let over: Vec<_> = self.known.iter().filter(|(_, k)| over(k)).map(|(k, _)| *k).collect();
        for key in over {
            if let Some(known) = self.known.remove(&key) {
                self.unlist(&known.target);
            }
        }
    }

    /// Tells whether a record says nothing new. That a cold target gets warmer is known.
    fn is_known(&self, record: &TargetRecord) -> bool {
        match (self.known.get(&record.key), &record.target) {
            (None, None) => true,
            (Some(known), Some(target)) if !known.gone => {
                Target { cold: target.cold, ..known.target.clone() } == *target
            }
            _ => false,
        }
    }

    fn put(&mut self, now: Duration, revision: Revision, target: Target) {
        let key = target.key;
        if let Some(before) = self.known.remove(&key) {
            self.unlist(&before.target);
            if before.target.start < target.start {
                let start = (key, before.target.start);
                self.replaced.insert(start, (before.target, now));
            }
        }
        self.by_service.entry(target.service.clone()).or_default().push(key);
        let lapsed_until = Duration::ZERO;
        let known = Known { revision, target, learnt: now, gone: false, lapsed_until };
        self.known.insert(key, known);
    }

    fn remove(&mut self, now: Duration, revision: Revision, key: TargetKey) {
        // Of a target that was never known there is nothing to remember.
        let Some(known) = self.known.get_mut(&key) else { return };
        known.revision = revision;
        if !known.gone {
            known.gone = true;
            known.learnt = now;
            known.lapsed_until = self.lapse_until;
        }
    }

    fn unlist(&mut self, target: &Target) {
        if let Some(keys) = self.by_service.get_mut(&target.service) {
            keys.retain(|&key| key != target.key);
        }
    }
}
