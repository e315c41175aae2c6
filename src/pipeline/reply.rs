//! Packets to the caller: reply packets of targets, and resets.

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

/// Builds the reset for a caller's packet; none if the packet must not be answered.
pub(super) fn reset(segment: &Segment) -> Option<Vec<u8>> {
    build_reset(segment)
}
