//! One list as an instance holds it, with what its last changes touched.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Content, Entries, Entry, ListKind};
use crate::ids::Version;

/// Changes whose keys are remembered, for deltas.
const STEPS: usize = 64;

/// A change from one version to a later one.
#[derive(Debug, Clone)]
struct Step {
    from: Version,
    keys: BTreeSet<String>,
}

/// What brings a list from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Payload {
    /// Version that the payload is applied to; 0 replaces the whole list.
    pub base: Version,
    /// Version that results.
    pub version: Version,
    /// Fingerprint of the list that results.
    pub fingerprint: u64,
    /// Keys of the entries that are no more.
    pub removed: Vec<String>,
    /// Entries that are new or may have changed.
    pub entries: Vec<Entry>,
}

/// One list.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    version: Version,
    entries: Entries,
    fingerprint: u64,
    steps: VecDeque<Step>,
}

impl Held {
    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn content(&self, kind: ListKind) -> Content {
        Content::of_entries(kind, &self.entries)
    }

    /// Takes a later version whole.
    pub(super) fn replace(&mut self, version: Version, entries: Entries) {
        let keys = self.entries.keys().chain(entries.keys());
        let keys = keys.filter(|key| self.entries.get(*key) != entries.get(*key)).cloned();
        let keys = keys.collect();
        self.step(version, entries, keys);
    }

    /// Returns the entries after a payload, and all keys that it names; none if it cannot
    /// be applied here.
    pub(super) fn applied(&self, payload: &Payload) -> Option<Entries> {
        let mut entries = match payload.base {
            0 => Entries::new(),
            base if base == self.version => self.entries.clone(),
            _ => return None,
        };
        for key in &payload.removed {
            entries.remove(key);
        }
        entries.extend(payload.entries.iter().map(|entry| (entry.key(), entry.clone())));
        (fingerprint(&entries) == payload.fingerprint).then_some(entries)
    }

    /// Takes the entries that a payload resulted in.
    pub(super) fn take(&mut self, payload: Payload, entries: Entries) {
        if payload.base == 0 {
            return self.replace(payload.version, entries);
        }
        // Keys that have changed back stay in: an instance in between needs them.
        let put = payload.entries.iter().map(Entry::key);
        let keys = put.chain(payload.removed).collect();
        self.step(payload.version, entries, keys);
    }

    /// Returns what an instance with an older version lacks.
    pub(super) fn since(&self, have: Version) -> Payload {
        let known = self.steps.front().is_some_and(|first| first.from <= have && have > 0);
        if !known {
            return self.payload(0, Vec::new(), self.entries.values().cloned().collect());
        }
        // The step that leads over the version counts too. If it left out a key that had
        // changed and changed back, the fingerprint says so and the whole list is asked for.
        let first = self.steps.partition_point(|step| step.from <= have).saturating_sub(1);
        let keys: BTreeSet<_> = self.steps.range(first..).flat_map(|step| &step.keys).collect();
        let removed = keys.iter().filter(|key| !self.entries.contains_key(**key));
        let removed = removed.map(|key| (*key).clone()).collect();
        let entries = keys.iter().filter_map(|key| self.entries.get(*key)).cloned().collect();
        self.payload(have, removed, entries)
    }

    fn payload(&self, base: Version, removed: Vec<String>, entries: Vec<Entry>) -> Payload {
        let (version, fingerprint) = (self.version, self.fingerprint);
        Payload { base, version, fingerprint, removed, entries }
    }

    fn step(&mut self, version: Version, entries: Entries, keys: BTreeSet<String>) {
        if self.version > 0 {
            self.steps.push_back(Step { from: self.version, keys });
        }
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.fingerprint = fingerprint(&entries);
        self.entries = entries;
        self.version = version;
    }
}

/// Returns the fingerprint of a list, equal on all instances.
fn fingerprint(entries: &Entries) -> u64 {
    // Entries hold strings and numbers alone, which can always be written.
    xxh3_64(&postcard::to_stdvec(entries).unwrap_or_default())
}
