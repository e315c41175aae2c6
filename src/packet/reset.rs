//! Building of TCP resets, which tell a caller that its flow has ended, and of keepalive probes.

use std::net::SocketAddrV4;

use etherparse::PacketBuilder;

use super::Segment;

/// IPv4 time to live of packets built by an instance, in hops.
const DEFAULT_TTL: u8 = 64;

/// Builds the TCP reset with which the receiver of a segment would reject it.
///
/// Returns `None` for a segment that is a reset itself: a reset is never answered by a reset.
pub fn build_reset(segment: &Segment) -> Option<Vec<u8>> {
    if segment.flags.rst {
        return None;
    }
    let ip = PacketBuilder::ipv4(
        segment.destination.ip().octets(),
        segment.source.ip().octets(),
        DEFAULT_TTL,
    );
    let (from, to) = (segment.destination.port(), segment.source.port());
    let builder = if segment.flags.ack {
        ip.tcp(from, to, segment.acknowledgment, 0).rst()
    } else {
        let len = u32::from(segment.payload_len)
            + u32::from(segment.flags.syn)
            + u32::from(segment.flags.fin);
        ip.tcp(from, to, 0, 0).rst().ack(segment.sequence.wrapping_add(len))
    };
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf)
}

/// Builds a packet that makes a caller send its current sequence numbers.
///
/// A TCP endpoint responds to an unexpected acknowledgment with an acknowledgment of its own,
/// from which a reset with matching numbers can be built.
pub fn build_keepalive_probe(service: SocketAddrV4, caller: SocketAddrV4) -> Option<Vec<u8>> {
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), DEFAULT_TTL)
        .tcp(service.port(), caller.port(), 0, 0)
        .ack(0);
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf)
}
