//! Finds the target of a packet by its token.

use crate::ids::Version;
use crate::steering::token::TargetIncarnation;
use crate::steering::{FlowPacket, NO_TOKEN, Route, TargetDirectory, Tokens};

/// Finds the target that a packet's token identifies: among the known tokens, then among the targets
/// of the route's services, then among all targets.
pub(super) fn find_target(
    tokens: &mut Tokens,
    targets: &TargetDirectory,
    route: &Route,
    version: Version,
    packet: &FlowPacket,
) -> Option<TargetIncarnation> {
    let (service, token) = (packet.flow.service, packet.token);
    if token == NO_TOKEN {
        return None;
    }
    if let Some(known) = tokens.lookup(service, token) {
        return Some(known);
    }
    let of_route = route.services.iter().flat_map(|s| targets.of_service(&s.service));
    tokens.survey(service, (targets.change_count(), version), of_route);
    if let Some(known) = tokens.lookup(service, token) {
        return Some(known);
    }
    tokens.find(service, token, targets.all())
}
