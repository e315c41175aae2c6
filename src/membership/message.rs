//! What instances tell each other about who is live.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};
use crate::peer::MemberInfo;

/// A start of an instance and how often it has made itself known anew since then. Orders
/// everything that is said of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Start number of the instance.
    pub incarnation: Incarnation,
    /// Rises with each refutation and each change of the instance's own state.
    pub announcement: u32,
}

/// What is said of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The instance lives, and is as it says itself.
    Alive {
        /// The instance as it makes itself known.
        info: MemberInfo,
        /// Rises with each refutation and each change of the instance's own state.
        announcement: u32,
    },
    /// The instance does not answer and may be dead.
    Suspect(InstanceId, Revision),
    /// The instance was suspected and has not refuted in time.
    Dead(InstanceId, Revision),
}

impl News {
    /// Returns the instance that the news is about.
    pub fn about(&self) -> InstanceId {
        match self {
            Self::Alive { info, .. } => info.id,
            Self::Suspect(id, _) | Self::Dead(id, _) => *id,
        }
    }
}

/// Fingerprint of one part of the sender's table of live instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the part.
    pub part: u8,
    /// Fingerprint of the part.
    pub value: u32,
}

/// A message about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`]; the news begin with the sender itself.
    Ping {
        /// Number that the answer repeats.
        sequence: u32,
        /// Whether the answer has to say who answers.
        introduce: bool,
        /// Fingerprint of a part of the sender's table.
        digest: Digest,
        /// What the sender passes on.
        news: Vec<News>,
    },
    /// Answers a ping, or a [`Message::PingRequest`] whose target has answered.
    Ack {
        /// Number of the ping or the request.
        sequence: u32,
        /// Fingerprint of a part of the sender's table.
        digest: Digest,
        /// What the sender passes on.
        news: Vec<News>,
    },
    /// Asks to ping another instance on the sender's behalf.
    PingRequest {
        /// Number that the answer repeats.
        sequence: u32,
        /// The instance to ping.
        target: InstanceId,
    },
    /// Passes on fresh news without waiting for the next ping.
    Gossip(Vec<News>),
    /// Asks for a piece of the receiver's table.
    Pull {
        /// Number that the piece repeats.
        number: u32,
        /// Instance after which the piece begins.
        after: Option<InstanceId>,
        /// Fingerprints of the sender's table; parts that match are left out.
        digests: Vec<u32>,
    },
    /// A piece of the sender's table.
    Piece {
        /// Number of the pull, so that no piece from before a pause counts as fresh.
        number: u32,
        /// The live instances in the piece.
        news: Vec<News>,
        /// Where the next piece begins; none if the table is complete.
        next: Option<InstanceId>,
    },
}
