//! Packets from the caller to the target.

use super::{Discard, Outcome};
use crate::ids::TargetId;
use crate::packet::rewrite_destination;
use crate::services::Services;

/// Rewrites the destination address of a packet to that of its target.
pub(super) fn forward(services: &Services, target: TargetId, mut packet: Vec<u8>) -> Outcome {
    let Some((_, target)) = services.target(target) else {
        return Outcome::Discarded(Discard::UnknownTarget);
    };
    match rewrite_destination(&mut packet, target.address) {
        Ok(()) => Outcome::Fabric(packet),
        Err(_) => Outcome::Discarded(Discard::Rewrite),
    }
}
