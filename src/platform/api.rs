//! Calls to the platform and its replies, as types.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{Era, Position, Revision};
use crate::ids::Version;

/// An object as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name of the object.
    pub name: String,
    /// Version of the value; 0 if the object does not exist.
    pub version: Version,
    /// Value of the object; null if it is deleted.
    pub value: serde_json::Value,
}

/// Listed or changed objects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Era of the platform when it answered.
    #[serde(default)]
    pub era: Era,
    /// Revision after the last change.
    pub revision: Revision,
    /// The objects at that revision.
    pub objects: Vec<Object>,
}

impl Changes {
    /// Returns the position after the last change.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get {
        /// Name of the object.
        name: String,
    },
    /// Writes an object.
    Put {
        /// Name of the object.
        name: String,
        /// Version that the object must have, 0 if it must not exist; `None` writes
        /// unconditionally.
        if_version: Option<Version>,
        /// New value.
        value: serde_json::Value,
    },
    /// Deletes an object.
    Delete {
        /// Name of the object.
        name: String,
    },
    /// Reads all objects whose names start with a prefix.
    List {
        /// Prefix of the names.
        prefix: String,
    },
    /// Waits for changes of objects whose names start with a prefix.
    Watch {
        /// Prefix of the names.
        prefix: String,
        /// Position after which changes are returned.
        after: Position,
        /// Time after which the platform replies even if nothing has changed.
        timeout: Duration,
    },
}

/// Reply of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object that was read.
    Object(Object),
    /// The version that a write gave to the object.
    Written(Version),
    /// The objects that a list or watch returned.
    Changes(Changes),
}

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The object has another version than the call requires.
    #[display("conflict: {} has version {}", _0.name, _0.version)]
    Conflict(#[error(not(source))] Box<Object>),
    /// The object does not exist.
    #[display("not found")]
    NotFound,
    /// The platform no longer has all changes since the revision of a watch.
    #[display("history gone")]
    HistoryGone,
    /// The platform rejected the call: it did not take effect.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// There was no usable response: a write may have taken effect.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}

/// Future of a call to the platform.
pub type PlatformFuture<'a> = Pin<Box<dyn Future<Output = Result<Reply, PlatformError>> + 'a>>;

/// Receives the part of a reply that has arrived so far.
pub type PartialReply<'a> = Box<dyn FnMut(Changes) + 'a>;

/// Client of the platform's object API.
pub trait Platform {
    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the call or gives no usable response.
    fn call(&self, call: Call) -> PlatformFuture<'_>;

    /// Makes a call, and passes on whatever is usable of the reply while the rest is on its way.
    /// Each part replaces the ones before it. Clients need not pass on any.
    ///
    /// # Errors
    ///
    /// Fails like [`Platform::call`], also after a part has been passed on.
    fn call_streaming<'a>(&'a self, call: Call, on_part: PartialReply<'a>) -> PlatformFuture<'a> {
        drop(on_part);
        self.call(call)
    }
}
