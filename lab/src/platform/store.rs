//! Objects with versions under one rising revision.

use std::collections::BTreeMap;

use limpetdeck::platform::{Changes, Object, Revision};
use serde_json::Value;

/// Largest value that the platform holds, in bytes.
const LARGEST_VALUE: usize = 1 << 20;

/// Why a write is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutError {
    /// The object has another version.
    Conflict(Object),
    /// The value is too large.
    TooLarge,
}

#[derive(Debug, Clone)]
struct Stored {
    object: Object,
    revision: Revision,
}

/// All objects, deleted ones among them: their versions must not start again.
#[derive(Debug, Clone, Default)]
pub struct Store {
    objects: BTreeMap<String, Stored>,
    revision: Revision,
}

impl Store {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of an object's last change.
    pub fn revision_of(&self, name: &str) -> Option<Revision> {
        self.objects.get(name).map(|stored| stored.revision)
    }

    /// Reads an object.
    pub fn get(&self, name: &str) -> Option<&Object> {
        let object = &self.objects.get(name)?.object;
        (!object.value.is_null()).then_some(object)
    }

    /// Writes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// Returns the object as it is if it has another version.
    pub fn put(
        &mut self,
        name: &str,
        if_version: Option<u64>,
        value: Value,
    ) -> Result<Object, PutError> {
        if value.to_string().len() > LARGEST_VALUE {
            return Err(PutError::TooLarge);
        }
        let known = self.objects.get(name).map(|stored| stored.object.clone());
        let known =
            known.unwrap_or(Object { name: name.to_owned(), version: 0, value: Value::Null });
        if if_version.is_some_and(|version| version != known.version) {
            return Err(PutError::Conflict(known));
        }
        self.revision += 1;
        let object = Object { name: name.to_owned(), version: known.version + 1, value };
        let stored = Stored { object: object.clone(), revision: self.revision };
        self.objects.insert(name.to_owned(), stored);
        Ok(object)
    }

    /// Lists the objects whose names begin with a prefix.
    pub fn list(&self, prefix: &str) -> Changes {
        let mut changes = self.since(prefix, 0);
        changes.objects.retain(|object| !object.value.is_null());
        changes
    }

    /// Returns the objects that have changed after a revision.
    pub fn since(&self, prefix: &str, after: Revision) -> Changes {
        let changed = self
            .objects
            .values()
            .filter(|stored| stored.revision > after && stored.object.name.starts_with(prefix));
        let objects = changed.map(|stored| stored.object.clone()).collect();
        Changes { revision: self.revision, objects }
    }
}
