//! Packets to the caller: reply packets of targets, and refusals.

use super::{Discard, Outcome};
use crate::packet::{Segment, build_reset, rewrite_source};
use crate::services::Service;

/// Rewrites the source address of a target's reply packet to that of the service.
pub(super) fn rewrite_reply(service: &Service, mut packet: Vec<u8>) -> Outcome {
    match rewrite_source(&mut packet, service.address) {
        Ok(()) => Outcome::Fabric(packet),
        Err(_) => Outcome::Discarded(Discard::Rewrite),
    }
}

/// Builds the reset that refuses a caller's opening packet; none if it must not be answered.
///
/// It has the sequence number 0 and acknowledges the opening packet. A caller that waits for the
/// answer takes it by this acknowledgment. One whose connection is established takes it only at its
/// next expected sequence number, sends a challenge ACK if it is in its window, and ignores it
/// otherwise (RFC 9293, 3.10.7.4); a stack older than RFC 5961 takes it anywhere in the window. As
/// this is not never, no opening packet is refused whose flow may be open.
pub(super) fn reset(segment: &Segment) -> Option<Vec<u8>> {
    build_reset(segment)
}
