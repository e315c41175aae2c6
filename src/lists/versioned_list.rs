//! One list at its current version, with the keys that its last changes touched.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Entries, Entry, ListKind, RawList};
use crate::ids::Version;

/// Maximum number of changes whose keys are kept for deltas.
const MAX_CHANGES: usize = 64;

/// The keys touched by the change from one version to the next known one.
#[derive(Debug, Clone)]
struct Change {
    from: Version,
    keys: BTreeSet<String>,
}

/// An update of a list from one version to another: a delta or the full list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Payload {
    /// Version that the payload applies to; 0 for a full list.
    pub base: Version,
    /// Resulting version.
    pub version: Version,
    /// Fingerprint of the resulting list.
    pub fingerprint: u64,
    /// Keys of removed entries.
    pub removed: Vec<String>,
    /// Entries that are new or may have changed.
    pub entries: Vec<Entry>,
}

/// One list with its version and recent changes.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionedList {
    version: Version,
    entries: Entries,
    fingerprint: u64,
    changes: VecDeque<Change>,
}

impl VersionedList {
    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn content(&self, kind: ListKind) -> RawList {
        RawList::from_entries(kind, &self.entries)
    }

    /// Replaces the whole list by a later version.
    pub(super) fn replace(&mut self, version: Version, entries: Entries) {
        let keys = self.entries.keys().chain(entries.keys());
        let keys = keys.filter(|key| self.entries.get(*key) != entries.get(*key)).cloned();
        let keys = keys.collect();
        self.install(version, entries, keys);
    }

    /// Returns the entries that result from a payload; none if its base or fingerprint does
    /// not match.
    pub(super) fn apply(&self, payload: &Payload) -> Option<Entries> {
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

    /// Installs the entries that resulted from a payload.
    pub(super) fn install_payload(&mut self, payload: Payload, entries: Entries) {
        if payload.base == 0 {
            return self.replace(payload.version, entries);
        }
        // Keys whose entries have changed back are kept: an instance that has a version in
        // between needs them.
        let upserted = payload.entries.iter().map(Entry::key);
        let keys = upserted.chain(payload.removed).collect();
        self.install(payload.version, entries, keys);
    }

    /// Returns the payload that updates an older version to this one: a delta if the changes
    /// since then are kept, else the full list.
    pub(super) fn payload_since(&self, base: Version) -> Payload {
        let changes_kept = self.changes.front().is_some_and(|first| first.from <= base && base > 0);
        if !changes_kept {
            return self.payload(0, Vec::new(), self.entries.values().cloned().collect());
        }
        // The change that spans `base` is included. It may lack a key that changed and
        // changed back; then the fingerprint does not match and the full list is requested.
        let first = self.changes.partition_point(|change| change.from <= base).saturating_sub(1);
        let keys: BTreeSet<_> =
            self.changes.range(first..).flat_map(|change| &change.keys).collect();
        let removed = keys.iter().filter(|key| !self.entries.contains_key(**key));
        let removed = removed.map(|key| (*key).clone()).collect();
        let entries = keys.iter().filter_map(|key| self.entries.get(*key)).cloned().collect();
        self.payload(base, removed, entries)
    }

    fn payload(&self, base: Version, removed: Vec<String>, entries: Vec<Entry>) -> Payload {
        let (version, fingerprint) = (self.version, self.fingerprint);
        Payload { base, version, fingerprint, removed, entries }
    }

    fn install(&mut self, version: Version, entries: Entries, keys: BTreeSet<String>) {
        if self.version > 0 {
            self.changes.push_back(Change { from: self.version, keys });
        }
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.fingerprint = fingerprint(&entries);
        self.entries = entries;
        self.version = version;
    }
}

/// Returns the fingerprint of a list; it is the same on all instances.
fn fingerprint(entries: &Entries) -> u64 {
    // Entries hold only strings and numbers, so encoding cannot fail.
    xxh3_64(&postcard::to_stdvec(entries).unwrap_or_default())
}
