//! The packet fields that steering uses, and the interface of a transport's packet format.

use std::fmt::Debug;
use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::{Display, Error};

use super::{TargetKey, Token};
use crate::flow::FlowKey;
use crate::ids::FlowId;

/// How a packet of a caller affects its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow.
    Opening {
        /// Number of earlier copies of the packet that were not answered.
        repeats: u32,
    },
    /// Belongs to an open or half-open flow.
    Within,
    /// Closes the caller's side of the flow.
    Closing,
    /// Aborts the flow.
    Reset,
    /// Is of a kind that only targets send; never valid from a caller.
    FromTarget,
}

/// The fields of a caller's packet that steering uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPacket {
    /// The addresses of the caller and the service.
    pub flow: FlowKey,
    /// How the packet affects the flow.
    pub kind: PacketKind,
    /// Token echoed by the caller; [`NO_TOKEN`](super::NO_TOKEN) if it has none.
    pub token: Token,
    /// Sequence number of the first byte of data in the packet.
    pub sequence: u32,
    /// Sequence number of the next byte that the caller expects.
    pub ack: u32,
    /// Length of the data in bytes.
    pub data_len: u16,
}

impl FlowPacket {
    /// Returns what tells an attempt to open a flow from others between the same addresses.
    pub(super) fn attempt(&self) -> (FlowId, u32) {
        (self.flow.id(), self.sequence)
    }
}

/// Error from parsing a datagram as a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
pub enum PacketError {
    /// The datagram is shorter than a header.
    #[display("truncated")]
    Truncated,
    /// The length in the header does not match the datagram.
    #[display("wrong_length")]
    WrongLength,
    /// The flags are unknown or contradict each other.
    #[display("unknown_flags")]
    UnknownFlags,
}

/// Packet format of a transport whose packets carry tokens.
pub trait PacketFormat: Debug {
    /// Parses a datagram from a caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid packet of a caller.
    fn read(&self, buf: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Returns the datagram that forwards a packet to a target, or with [`ANY_TARGET`] to whichever
    /// one runs at the address that it is sent to. `token` replaces the token of the packet; `None`
    /// leaves it unchanged.
    ///
    /// [`ANY_TARGET`]: super::ANY_TARGET
    fn forward(&self, buf: &[u8], token: Option<Token>, target: TargetKey) -> Vec<u8>;

    /// Returns the time from a flow's first opening packet to the copy with this number of earlier
    /// ones, or until the caller gives up if it sends fewer.
    fn opening_age(&self, repeats: u32) -> Duration;

    /// Returns the packet that resets a flow at its caller, with its destination address.
    fn reset(&self, packet: &FlowPacket) -> (SocketAddrV4, Vec<u8>);
}
