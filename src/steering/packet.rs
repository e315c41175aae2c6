//! What steering reads of a packet, and what the transport's format has to offer.

use std::fmt::Debug;
use std::net::SocketAddrV4;

use derive_more::{Display, Error};

use super::{Target, Token};
use crate::flow::FlowKey;

/// What a packet of a caller does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// It asks to open the flow.
    Opening {
        /// Number of earlier copies of the packet that went unanswered.
        repeats: u32,
    },
    /// It belongs to a flow that is open or half open.
    Within,
    /// It ends the caller's side of the flow.
    Closing,
    /// It breaks the flow off.
    Reset,
    /// It is one that targets send, and has no business here.
    FromTarget,
}

/// A packet of a caller, as far as steering reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPacket {
    /// The two ends of the flow.
    pub flow: FlowKey,
    /// What the packet does to the flow.
    pub kind: PacketKind,
    /// Token that the caller handed back.
    pub token: Token,
    /// Number of the first byte that the packet carries.
    pub sequence: u32,
    /// Number of the next byte that the caller expects.
    pub acknowledged: u32,
    /// Bytes of data that the packet carries.
    pub data_len: u16,
}

/// Why a datagram is no packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
pub enum PacketError {
    /// It is shorter than a header.
    #[display("truncated")]
    Truncated,
    /// Its length is not the one that its header gives.
    #[display("wrong_length")]
    WrongLength,
    /// It has flags that are not known, or that exclude each other.
    #[display("unknown_flags")]
    UnknownFlags,
}

/// A format of packets that carry tokens.
pub trait PacketFormat: Debug {
    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is no packet of a caller.
    fn read(&self, buf: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Makes the datagram that brings a packet to its target. `token` replaces the packet's
    /// own, none leaves it as it is.
    fn forward(&self, buf: &[u8], token: Option<Token>, target: &Target) -> Vec<u8>;

    /// Makes the packet that resets a flow at its caller, and returns it with the address to
    /// which it goes.
    fn reset(&self, packet: &FlowPacket) -> (SocketAddrV4, Vec<u8>);
}
