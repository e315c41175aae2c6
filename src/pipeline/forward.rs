//! The filter that sends a caller's packet to the flow's target.

use super::{Discard, Outcome};
use crate::ids::TargetId;
use crate::packet::rewrite_destination;
use crate::services::Services;

/// Addresses a packet to a target.
pub(super) fn forward(services: &Services, target: TargetId, mut packet: Vec<u8>) -> Outcome {
    let Some((_, target)) = services.target(target) else {
        return Outcome::Discarded(Discard::UnknownTarget);
    };
    match rewrite_destination(&mut packet, target.address) {
        Ok(()) => Outcome::Fabric(packet),
        Err(_) => Outcome::Discarded(Discard::Rewrite),
    }
}
