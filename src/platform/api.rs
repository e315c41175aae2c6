//! What can be asked of the platform, as typed calls and replies.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::ids::Version;

/// Number that rises with each change of any object.
pub type Revision = u64;

/// An object as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name of the object.
    pub name: String,
    /// Version of the value; 0 means that there is no such object.
    pub version: Version,
    /// Value of the object; null once it is deleted.
    pub value: serde_json::Value,
}

/// The objects that have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after the last of the changes.
    pub revision: Revision,
    /// The objects as of that revision.
    pub objects: Vec<Object>,
}

/// A call of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get {
        /// Name of the object.
        name: String,
    },
    /// Writes an object if it still has the given version; 0 creates it.
    Put {
        /// Name of the object.
        name: String,
        /// Version that the object must have; none writes in any case.
        if_version: Option<Version>,
        /// New value.
        value: serde_json::Value,
    },
    /// Deletes an object.
    Delete {
        /// Name of the object.
        name: String,
    },
    /// Reads all objects whose names begin with a prefix.
    List {
        /// Beginning of the names.
        prefix: String,
    },
    /// Waits for changes of objects whose names begin with a prefix.
    Watch {
        /// Beginning of the names.
        prefix: String,
        /// Revision after which changes count.
        after: Revision,
        /// Time after which an empty answer comes.
        wait: Duration,
    },
}

/// What the platform answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object that was read.
    Object(Object),
    /// The version that a write gave to the object.
    Written(Version),
    /// The objects that were listed or have changed.
    Changes(Changes),
}

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The object has another version.
    #[display("conflict: {} has version {}", _0.name, _0.version)]
    Conflict(#[error(not(source))] Box<Object>),
    /// There is no such object.
    #[display("not found")]
    NotFound,
    /// The platform has forgotten the changes that a watch asks for.
    #[display("history gone")]
    HistoryGone,
    /// The platform answered with an error: the call did not take effect.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// No usable answer came: a write may have taken effect.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}

/// A call that is under way.
pub type PlatformFuture<'a> = Pin<Box<dyn Future<Output = Result<Reply, PlatformError>> + 'a>>;

/// A way to reach the platform.
pub trait Platform {
    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns why there is no result.
    fn call(&self, call: Call) -> PlatformFuture<'_>;
}
