//! The log of operations that is stored in an object next to its content.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Version;
use crate::settings::Findings;

/// Key of the last operation's ID in an object.
const OPERATION_KEY: &str = "operation";
/// Key of the past operations in an object.
const HISTORY_KEY: &str = "history";
/// Maximum operations in an object's history.
pub const MAX_HISTORY_LEN: usize = 32;
/// Maximum diff lines that are kept of one operation.
const MAX_LINES: usize = 20;

/// ID of one operation, unique among all operations of all operators.
pub type OperationId = String;

/// One operation in an object's history.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Operation {
    /// ID of the operation.
    pub id: OperationId,
    /// Version of the object that the operation made.
    pub version: Version,
    /// Diff lines of the change, shortened.
    pub lines: Vec<String>,
}

/// The operation log of an object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct OperationLog {
    /// ID of the last operation.
    pub operation: Option<OperationId>,
    /// The last operations, the oldest first.
    pub history: Vec<Operation>,
}

/// Which operation made the version after a given one, according to an object's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// The given operation made it; holds the version.
    Ours(Version),
    /// Another operation made it.
    Other,
    /// The history does not reach back to it.
    Unknown,
}

impl OperationLog {
    /// Splits an object's value into its content and its operation log.
    ///
    /// # Errors
    ///
    /// Returns the key that cannot be read.
    pub fn split(mut value: Value) -> Result<(Value, Self), Findings> {
        let mut operation_log = Self::default();
        if let Some(map) = value.as_object_mut() {
            let operation = map.remove(OPERATION_KEY).unwrap_or_default();
            let history = map.remove(HISTORY_KEY).unwrap_or_else(|| Value::Array(Vec::new()));
            operation_log.operation = read(OPERATION_KEY, operation)?;
            operation_log.history = read(HISTORY_KEY, history)?;
        }
        Ok((value, operation_log))
    }

    /// Adds the operation log to an object's content.
    pub fn join(&self, mut value: Value) -> Value {
        if let Some(map) = value.as_object_mut() {
            map.insert(OPERATION_KEY.to_owned(), serde_json::json!(self.operation));
            map.insert(HISTORY_KEY.to_owned(), serde_json::json!(self.history));
        }
        value
    }

    /// Returns the log with one more operation; beyond the maximum length the oldest
    /// operations are dropped.
    pub fn with_operation(&self, id: &str, version: Version, lines: &[String]) -> Self {
        let mut history = self.history.clone();
        history.push(Operation { id: id.to_owned(), version, lines: shorten(lines) });
        history.drain(..history.len().saturating_sub(MAX_HISTORY_LEN));
        Self { operation: Some(id.to_owned()), history }
    }

    /// Returns whether operation `id` made the version after `base`.
    pub fn successor(&self, base: Version, id: &str) -> Successor {
        let made = self.history.iter().find(|operation| operation.version == base + 1);
        match made {
            Some(operation) if operation.id == id => Successor::Ours(operation.version),
            Some(_) => Successor::Other,
            None => Successor::Unknown,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(key: &str, value: Value) -> Result<T, Findings> {
    serde_json::from_value(value).map_err(|e| Findings::single(key, e.to_string()))
}

fn shorten(lines: &[String]) -> Vec<String> {
    let mut kept: Vec<_> = lines.iter().take(MAX_LINES).cloned().collect();
    if lines.len() > MAX_LINES {
        kept.push(format!("and {} more", lines.len() - MAX_LINES));
    }
    kept
}
