//! Which operations made an object what it is.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Version;
use crate::settings::Findings;

/// Key of the last operation's id within an object.
const OPERATION: &str = "operation";
/// Key of the past operations within an object.
const HISTORY: &str = "history";
/// Operations that an object remembers.
pub const HISTORY_LEN: usize = 32;
/// Lines of difference that are kept of one operation.
const MOST_LINES: usize = 20;

/// Name of one operation, unique among all operations of all operators.
pub type OperationId = String;

/// What one operation changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Operation {
    /// Name of the operation.
    pub id: OperationId,
    /// Version that the operation gave to the object.
    pub version: Version,
    /// The difference that it made.
    pub lines: Vec<String>,
}

/// The operations that an object remembers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Stamp {
    /// The last operation.
    pub operation: Option<OperationId>,
    /// The last operations, the oldest first.
    pub history: Vec<Operation>,
}

/// What an object tells of the write that followed a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// The operation in question made it.
    Ours(Version),
    /// Another operation made it.
    Other,
    /// The object does not remember it.
    Forgotten,
}

impl Stamp {
    /// Parts an object's value into what it says and who made it.
    ///
    /// # Errors
    ///
    /// Returns where the operations cannot be read.
    pub fn split(mut value: Value) -> Result<(Value, Self), Findings> {
        let mut stamp = Self::default();
        if let Some(map) = value.as_object_mut() {
            let operation = map.remove(OPERATION).unwrap_or_default();
            let history = map.remove(HISTORY).unwrap_or_else(|| Value::Array(Vec::new()));
            stamp.operation = read(OPERATION, operation)?;
            stamp.history = read(HISTORY, history)?;
        }
        Ok((value, stamp))
    }

    /// Adds the operations to what an object says.
    pub fn join(&self, mut value: Value) -> Value {
        if let Some(map) = value.as_object_mut() {
            map.insert(OPERATION.to_owned(), serde_json::json!(self.operation));
            map.insert(HISTORY.to_owned(), serde_json::json!(self.history));
        }
        value
    }

    /// Returns the stamp after one more operation; the oldest operations are forgotten.
    pub fn followed_by(&self, id: &str, version: Version, lines: &[String]) -> Self {
        let mut history = self.history.clone();
        history.push(Operation { id: id.to_owned(), version, lines: shorten(lines) });
        history.drain(..history.len().saturating_sub(HISTORY_LEN));
        Self { operation: Some(id.to_owned()), history }
    }

    /// Returns who made the version after `base`.
    pub fn successor(&self, base: Version, id: &str) -> Successor {
        let made = self.history.iter().find(|operation| operation.version == base + 1);
        match made {
            Some(operation) if operation.id == id => Successor::Ours(operation.version),
            Some(_) => Successor::Other,
            None => Successor::Forgotten,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(key: &str, value: Value) -> Result<T, Findings> {
    serde_json::from_value(value).map_err(|e| Findings::one(key, e.to_string()))
}

fn shorten(lines: &[String]) -> Vec<String> {
    let mut kept: Vec<_> = lines.iter().take(MOST_LINES).cloned().collect();
    if lines.len() > MOST_LINES {
        kept.push(format!("and {} more", lines.len() - MOST_LINES));
    }
    kept
}
