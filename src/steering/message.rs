//! What instances tell each other about targets and routes.

use serde::{Deserialize, Serialize};

use super::{Target, TargetRecord, TargetStart};
use crate::ids::Version;
use crate::platform::Revision;

/// What an instance knows, in short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the routes; 0 stands for none.
    pub routes: Version,
    /// Revision up to which all changes of targets are known; 0 stands for none.
    pub targets: Revision,
}

/// A message about targets and routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender knows.
    Digest {
        /// The versions.
        known: Digest,
        /// The sender wants to hear the receiver's versions in any case.
        asks: bool,
    },
    /// The sender lacks the changes of targets after a revision.
    PullTargets {
        /// The revision.
        since: Revision,
    },
    /// Changes of targets.
    Targets(Changes),
    /// The sender has started lately and lacks the targets that were gone by then.
    PullGone {
        /// Targets that it has already.
        skip: u32,
    },
    /// Targets that are gone and may still have flows.
    Gone {
        /// Targets that come before these.
        skip: u32,
        /// The targets as they were.
        targets: Vec<Target>,
        /// There are others behind these.
        more: bool,
    },
    /// Targets that the sender takes for dead: the receiver finds out for itself.
    Doubt(Vec<TargetStart>),
    /// The sender lacks a piece of the routes.
    PullRoutes {
        /// Version that the sender has begun to fetch; 0 stands for any.
        version: Version,
        /// Number of the piece.
        piece: u32,
    },
    /// A piece of the routes.
    Routes(Piece),
    /// Targets that keep callers waiting: new flows had better go elsewhere for a time.
    Overdue(Vec<TargetStart>),
}

/// All changes of targets between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after which changes are given.
    pub since: Revision,
    /// Revision up to which they are given.
    pub upto: Revision,
    /// Revision up to which the sender knows them.
    pub newest: Revision,
    /// Time for which vanished targets stay in use, in milliseconds.
    pub lapse_ms: u32,
    /// The changes.
    pub records: Vec<TargetRecord>,
}

/// A piece of the routes in their encoded form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Version of the routes.
    pub version: Version,
    /// Pieces that the routes have.
    pub pieces: u32,
    /// Number of this piece.
    pub piece: u32,
    /// The bytes.
    pub bytes: Vec<u8>,
}
