//! Building of the TCP reset that ends a flow visibly.

use std::net::SocketAddrV4;

use etherparse::PacketBuilder;

use super::Segment;

/// IPv4 time to live of packets that an instance builds itself, in hops.
const TIME_TO_LIVE: u8 = 64;

/// Builds the reset that answers a segment, as the segment's receiver would send it.
///
/// Returns `None` for a segment that is a reset itself: resets are never answered.
pub fn reset_answer(segment: &Segment) -> Option<Vec<u8>> {
    if segment.flags.rst {
        return None;
    }
    let ip = PacketBuilder::ipv4(
        segment.destination.ip().octets(),
        segment.source.ip().octets(),
        TIME_TO_LIVE,
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

/// Builds a packet that makes a caller tell where it stands.
///
/// A TCP endpoint answers an unexpected acknowledgment by one of its own, from which a
/// matching reset can be built.
pub fn keepalive_probe(service: SocketAddrV4, caller: SocketAddrV4) -> Option<Vec<u8>> {
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TIME_TO_LIVE)
        .tcp(service.port(), caller.port(), 0, 0)
        .ack(0);
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf)
}
