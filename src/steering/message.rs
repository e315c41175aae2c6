//! Messages about targets and routes between instances.

use serde::{Deserialize, Serialize};

use super::{DrainSnapshot, RouteChange, Target, TargetIncarnation, TargetKey, TargetRecord};
use crate::ids::{FailureDomain, Incarnation, InstanceId, Version};
use crate::platform::Position;

/// The versions of the routes and targets that an instance has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the routes; 0 if it has none.
    pub routes: Version,
    /// Position up to which it has all target changes; the default if it has none.
    pub targets: Position,
}

/// A message about targets and routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The state of the sender.
    Digest {
        /// Versions that the sender has.
        known: Digest,
        /// Whether the receiver is to reply with its digest even if it has nothing newer.
        wants_reply: bool,
    },
    /// Requests the target changes after a position.
    PullTargets {
        /// Position up to which the sender has all changes.
        since: Position,
    },
    /// Target changes.
    Targets(Changes),
    /// Requests the targets that were removed before the sender started.
    PullRemoved {
        /// Number of these targets that the sender already has.
        skip: u32,
    },
    /// Removed targets that may still have flows.
    Removed {
        /// Number of targets before these.
        skip: u32,
        /// The targets as they were before their removal.
        targets: Vec<Target>,
        /// Whether more targets follow.
        more: bool,
    },
    /// Targets that the sender considers stopped; the receiver checks them itself.
    Suspect(Vec<TargetIncarnation>),
    /// Requests a piece of the routes.
    PullRoutes {
        /// Version that the sender has begun to fetch; 0 for any.
        version: Version,
        /// Index of the piece, from 0.
        piece: u32,
    },
    /// A piece of the routes.
    Routes(Piece),
    /// Targets with overdue responses, which should get fewer new flows for a time.
    Overdue(Vec<TargetIncarnation>),
    /// Requests what has changed in the routes after a version.
    PullRouteChange {
        /// Version that the sender has.
        since: Version,
    },
    /// What has changed in the routes. Earlier releases do not know this message and those below.
    RouteChange(RouteChange),
    /// The sender knows of newer routes, but cannot send what has changed in one message.
    NewRoutes {
        /// Version of the routes.
        version: Version,
    },
    /// Keys of the targets that exist. Answers [`Message::PullTargets`] if the sender does not know
    /// all targets that were removed since.
    Listing(Listing),
    /// Requests the next part of a listing.
    PullListing {
        /// Last key that the sender has received.
        after: TargetKey,
    },
    /// Requests the target changes after a position, from an instance whose listing the sender has.
    PullChanges {
        /// Position up to which the sender has all changes.
        since: Position,
    },
    /// The failure domains that are drained. Earlier releases do not know this message.
    DomainDrains(DrainSnapshot),
    /// The sender reaches no target of another failure domain. Earlier releases do not know this
    /// message and the one below.
    DomainUnreachable(FailureDomain),
    /// The platform has answered the sender, which had asked whether the local failure domain is
    /// still drained.
    PlatformAnswered,
    /// The platform has answered an instance of the failure domain. Earlier releases do not know this
    /// message.
    PlatformContact(ContactReport),
}

/// When the platform answered an instance, and what that instance has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// The instance that the platform answered.
    pub origin: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Number of the report among those of the incarnation.
    pub sequence: u32,
    /// Age of the state that the instance has read, in milliseconds.
    pub age_ms: u32,
    /// Version of its routes.
    pub routes: Version,
    /// Position up to which it has read the routes; the default if it has not.
    pub routes_read: Position,
}

/// All targets with keys in a range that exist at a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Position up to which the sender has all changes.
    pub position: Position,
    /// Key after which the range begins.
    pub after: TargetKey,
    /// Last key of the range; `None` if it has no end.
    pub last: Option<TargetKey>,
    /// The keys, in ascending order.
    pub keys: Vec<TargetKey>,
}

/// All target changes between two positions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Position after which the changes start.
    pub since: Position,
    /// Position up to which the changes are complete.
    pub up_to: Position,
    /// Position up to which the sender has all changes.
    pub newest: Position,
    /// Time for which targets that the platform removes now stay in use, in milliseconds.
    pub removal_grace_ms: u32,
    /// Changed records, those with the lowest positions of the era first.
    pub records: Vec<TargetRecord>,
}

/// A piece of the encoded routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Version of the routes.
    pub version: Version,
    /// Total number of pieces.
    pub pieces: u32,
    /// Index of this piece, from 0.
    pub piece: u32,
    /// The encoded bytes of this piece.
    pub bytes: Vec<u8>,
}
