//! Messages among instances about targets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Digest, Report};
use crate::ids::{FailureDomain, TargetId, Version};
use crate::placement::TargetState;

/// Origin of a target's state.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display(rename_all = "lowercase")]
pub enum Origin {
    /// The operators, through the platform.
    Operator,
    /// The instances that probe the target.
    Observed,
}

/// Versioned state of one target from one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// ID of the target.
    pub target: TargetId,
    /// Origin of the state.
    pub origin: Origin,
    /// Orders the updates of this target from this origin.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

/// A change of the state in force of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateChange {
    /// ID of the target.
    pub target: TargetId,
    /// Rises with each change that this instance publishes; not comparable between instances.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

/// The load report of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// ID of the target.
    pub target: TargetId,
    /// Latest load report.
    pub report: Report,
}

/// A message about targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Updates that the receiver may not know.
    Updates(Vec<StateUpdate>),
    /// Summary of the sender's registers.
    Digest {
        /// Hashes of all updates.
        digest: Digest,
        /// Whether this replies to a digest of the receiver.
        is_reply: bool,
    },
    /// A probe of the sender has failed; the receiver is to probe the target too and reply with
    /// its opinion.
    Suspect {
        /// ID of the target.
        target: TargetId,
    },
    /// Result of the sender's own probes.
    Opinion {
        /// ID of the target.
        target: TargetId,
        /// Whether the target answers the sender.
        reachable: bool,
    },
    /// Whether the sender's probes reach the targets of a failure domain that may be
    /// unreachable.
    Path {
        /// Name of the failure domain.
        domain: FailureDomain,
        /// Whether targets there answer the sender.
        reachable: bool,
    },
    /// Load reports for the placer of these targets.
    Reports(Vec<TargetReport>),
}
