//! What instances tell each other about targets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Digest, Report};
use crate::ids::{FailureDomain, TargetId, Version};
use crate::placement::TargetState;

/// Who says in which state a target is.
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

/// The state of one target according to one origin, with the version that orders what
/// this origin says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Number of the target.
    pub target: TargetId,
    /// Who says so.
    pub origin: Origin,
    /// Version of the statement.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

/// A change of the state that is in force for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateChange {
    /// Number of the target.
    pub target: TargetId,
    /// Rises with each change that this instance reports; other instances count otherwise.
    pub version: Version,
    /// State of the target.
    pub state: TargetState,
}

/// The load report of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number of the target.
    pub target: TargetId,
    /// What the target reports.
    pub report: Report,
}

/// A message about targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Statements that the receiver may not know.
    States(Vec<Statement>),
    /// What the sender knows, in short.
    Digest {
        /// Sums over all statements.
        digest: Digest,
        /// Whether this answers a digest of the receiver.
        answer: bool,
    },
    /// A probe of the sender has failed; the receiver probes too and gives its opinion.
    Suspect {
        /// Number of the target.
        target: TargetId,
    },
    /// What the sender's own probes say.
    Opinion {
        /// Number of the target.
        target: TargetId,
        /// Whether the target answers the sender.
        reachable: bool,
    },
    /// Whether the sender's probes reach the targets of a failure domain, where that is in
    /// doubt.
    Path {
        /// Name of the failure domain.
        domain: FailureDomain,
        /// Whether targets there answer the sender.
        works: bool,
    },
    /// Load reports, for the instance that places the new flows of these targets.
    Reports(Vec<TargetReport>),
}
