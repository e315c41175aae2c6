//! The filters that send a packet to the caller: a target's answer, or a reset.

use super::{Discard, Outcome};
use crate::packet::{Segment, reset_answer, rewrite_source};
use crate::services::Service;

/// Makes a target's answer come from the service that the caller dialled.
pub(super) fn answer(service: &Service, mut packet: Vec<u8>) -> Outcome {
    match rewrite_source(&mut packet, service.address) {
        Ok(()) => Outcome::Fabric(packet),
        Err(_) => Outcome::Discarded(Discard::Rewrite),
    }
}

/// Builds the reset that answers a caller's packet, if it may be answered.
pub(super) fn reset(segment: &Segment) -> Option<Vec<u8>> {
    reset_answer(segment)
}
