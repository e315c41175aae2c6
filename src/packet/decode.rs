//! Decoding of one packet, with checks of its lengths and checksums.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use etherparse::checksum::Sum16BitWords;
use etherparse::{IpNumber, Ipv4HeaderSlice, TcpHeaderSlice};

/// The TCP flags that decisions depend on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TcpFlags {
    /// SYN: opens a flow.
    pub syn: bool,
    /// ACK: the acknowledgment number is valid.
    pub ack: bool,
    /// FIN: ends one direction of the flow.
    pub fin: bool,
    /// RST: ends the flow at once.
    pub rst: bool,
}

impl TcpFlags {
    /// Returns whether this is the first packet of a flow from its caller.
    pub fn opens_flow(&self) -> bool {
        self.syn && !self.ack && !self.rst
    }

    /// Returns whether this packet ends the flow or one direction of it.
    pub fn ends_flow(&self) -> bool {
        self.fin || self.rst
    }
}

/// Header fields of a packet that decisions are made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Source address and port.
    pub source: SocketAddrV4,
    /// Destination address and port.
    pub destination: SocketAddrV4,
    /// TCP sequence number.
    pub sequence: u32,
    /// TCP acknowledgment number.
    pub acknowledgment: u32,
    /// TCP flags.
    pub flags: TcpFlags,
    /// Length of the TCP payload in bytes.
    pub payload_len: u16,
}

/// Why a packet is rejected; the texts are the values of `reason` in metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DecodeError {
    /// The packet has no valid IPv4 header.
    #[display("not_ipv4")]
    NotIpv4,
    /// The packet is an IP fragment.
    #[display("fragment")]
    Fragment,
    /// The packet does not carry TCP.
    #[display("not_tcp")]
    NotTcp,
    /// The length of the packet differs from what its headers state.
    #[display("wrong_length")]
    WrongLength,
    /// The checksum of the IPv4 header does not match.
    #[display("bad_ip_checksum")]
    BadIpChecksum,
    /// The checksum of the TCP segment does not match.
    #[display("bad_tcp_checksum")]
    BadTcpChecksum,
}

/// Decodes a complete IPv4/TCP packet.
///
/// # Errors
///
/// Returns an error if the packet is malformed, a fragment or not TCP; it has to be dropped.
pub fn decode(buf: &[u8]) -> Result<Segment, DecodeError> {
    let ip = Ipv4HeaderSlice::from_slice(buf).map_err(|_| DecodeError::NotIpv4)?;
    check_ip(&ip, buf.len())?;
    let rest = &buf[ip.slice().len()..];
    let tcp = TcpHeaderSlice::from_slice(rest).map_err(|_| DecodeError::WrongLength)?;
    let payload = &rest[tcp.slice().len()..];
    let checksum = tcp.calc_checksum_ipv4(&ip, payload).map_err(|_| DecodeError::BadTcpChecksum)?;
    if checksum != tcp.checksum() {
        return Err(DecodeError::BadTcpChecksum);
    }
    Ok(Segment {
        source: SocketAddrV4::new(ip.source_addr(), tcp.source_port()),
        destination: SocketAddrV4::new(ip.destination_addr(), tcp.destination_port()),
        sequence: tcp.sequence_number(),
        acknowledgment: tcp.acknowledgment_number(),
        flags: TcpFlags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() },
        payload_len: u16::try_from(payload.len()).map_err(|_| DecodeError::WrongLength)?,
    })
}

fn check_ip(ip: &Ipv4HeaderSlice<'_>, len: usize) -> Result<(), DecodeError> {
    if usize::from(ip.total_len()) != len {
        return Err(DecodeError::WrongLength);
    }
    if ip.is_fragmenting_payload() {
        return Err(DecodeError::Fragment);
    }
    if ip.protocol() != IpNumber::TCP {
        return Err(DecodeError::NotTcp);
    }
    // The sum covers the received bytes, as a parsed header lacks the reserved bits.
    if Sum16BitWords::new().add_slice(ip.slice()).ones_complement() != 0 {
        return Err(DecodeError::BadIpChecksum);
    }
    Ok(())
}
