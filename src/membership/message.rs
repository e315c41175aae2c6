//! Membership messages between instances.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};
use crate::peer::MemberInfo;

/// Orders all updates about one instance, by its incarnation and then by its announcements
/// since that start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Incremented by the instance at each refutation and each change of its own state.
    pub announcement: u32,
}

/// A membership update about one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// The instance is live.
    Alive {
        /// What the instance announces about itself.
        info: MemberInfo,
        /// Incremented by the instance at each refutation and each change of its own state.
        announcement: u32,
    },
    /// The instance does not answer pings and may be dead.
    Suspect(InstanceId, Revision),
    /// The instance was suspected and did not refute the suspicion in time.
    Dead(InstanceId, Revision),
}

impl MemberUpdate {
    /// Returns the instance that the update is about.
    pub fn instance(&self) -> InstanceId {
        match self {
            Self::Alive { info, .. } => info.id,
            Self::Suspect(id, _) | Self::Dead(id, _) => *id,
        }
    }
}

/// Digest of one part of the sender's table of live instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Index of the part.
    pub part: u8,
    /// XOR of the hashes of the part's entries.
    pub value: u32,
}

/// A message about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a [`Message::Ack`]; the first update is about the sender itself.
    Ping {
        /// Sequence number to repeat in the ack.
        sequence: u32,
        /// Whether the ack has to begin with an update about its own sender.
        introduce: bool,
        /// Digest of a part of the sender's table, chosen at random.
        digest: Digest,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping, or a [`Message::PingRequest`] once the pinged instance has answered.
    Ack {
        /// Sequence number of the ping or the request.
        sequence: u32,
        /// Digest of a part of the sender's table, chosen at random.
        digest: Digest,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Asks to ping another instance on the sender's behalf.
    PingRequest {
        /// Sequence number to repeat in the ack.
        sequence: u32,
        /// Instance to ping.
        peer: InstanceId,
    },
    /// Pushes recent updates without waiting for the next ping.
    Gossip(Vec<MemberUpdate>),
    /// Asks for a piece of the receiver's table.
    Pull {
        /// Number to repeat in the piece.
        number: u32,
        /// Last instance already received; none for the first piece.
        after: Option<InstanceId>,
        /// Digests of the parts of the sender's table. The piece leaves out parts that match;
        /// an empty list asks for the whole table.
        digests: Vec<u32>,
    },
    /// A piece of the sender's table.
    Piece {
        /// Number of the pull, so that a piece from before a pause is not taken as current.
        number: u32,
        /// Live instances in the piece, ordered by ID.
        updates: Vec<MemberUpdate>,
        /// Last instance of the piece, after which the next one begins; none if this is the
        /// last piece.
        next: Option<InstanceId>,
    },
}
