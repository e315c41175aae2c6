//! In-memory object store: each object has a version, and each change a revision of the store.

use std::collections::BTreeMap;

use limpetdeck::platform::{Changes, Object, Revision};
use serde_json::Value;

/// Largest value that the store accepts, in bytes of JSON.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Reason why a write is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutError {
    /// The object, which has another version than the write expects.
    Conflict(Object),
    /// The value is larger than 1 MiB.
    TooLarge,
}

#[derive(Debug, Clone)]
struct Stored {
    object: Object,
    revision: Revision,
}

/// Object store. Deleted objects are kept with the value `null`, so that their versions go on
/// if they are written again.
#[derive(Debug, Clone, Default)]
pub struct Store {
    objects: BTreeMap<String, Stored>,
    revision: Revision,
}

impl Store {
    /// Returns the revision of the last change, or 0 if there was none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of an object's last change, which may be its deletion.
    pub fn revision_of(&self, name: &str) -> Option<Revision> {
        self.objects.get(name).map(|stored| stored.revision)
    }

    /// Returns an object, unless it is deleted.
    pub fn get(&self, name: &str) -> Option<&Object> {
        let object = &self.objects.get(name)?.object;
        (!object.value.is_null()).then_some(object)
    }

    /// Writes an object, if `if_version` is absent or equal to its version. A version of 0 means
    /// that the object was never written; the value `null` deletes it.
    ///
    /// # Errors
    ///
    /// Returns the stored object if it has another version. Fails if the value is too large.
    pub fn put(
        &mut self,
        name: &str,
        if_version: Option<u64>,
        value: Value,
    ) -> Result<Object, PutError> {
        if value.to_string().len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        let current = self.objects.get(name).map(|stored| stored.object.clone());
        let current =
            current.unwrap_or(Object { name: name.to_owned(), version: 0, value: Value::Null });
        if if_version.is_some_and(|version| version != current.version) {
            return Err(PutError::Conflict(current));
        }
        self.revision += 1;
        let object = Object { name: name.to_owned(), version: current.version + 1, value };
        let stored = Stored { object: object.clone(), revision: self.revision };
        self.objects.insert(name.to_owned(), stored);
        Ok(object)
    }

    /// Returns the objects whose names begin with a prefix, without deleted ones.
    pub fn list(&self, prefix: &str) -> Changes {
        let mut changes = self.changed_since(prefix, 0);
        changes.objects.retain(|object| !object.value.is_null());
        changes
    }

    /// Returns the objects whose names begin with a prefix and that have changed after a
    /// revision, deleted ones among them.
    pub fn changed_since(&self, prefix: &str, after: Revision) -> Changes {
        let changed = self
            .objects
            .values()
            .filter(|stored| stored.revision > after && stored.object.name.starts_with(prefix));
        let objects = changed.map(|stored| stored.object.clone()).collect();
        Changes { era: 0, revision: self.revision, objects }
    }
}
