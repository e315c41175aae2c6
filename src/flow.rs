//! Flow keys, and the classification of packets by service and direction.

use std::net::SocketAddrV4;

use crate::hash::stable_addresses;
use crate::ids::FlowId;
use crate::packet::Segment;
use crate::services::{Service, Services, Target};

/// The two endpoints of a flow as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the fingerprint of the flow, which is the same on all instances.
    pub fn id(&self) -> FlowId {
        stable_addresses(self.caller, self.service)
    }
}

/// The flow and direction of a packet.
#[derive(Debug, Clone, Copy)]
pub struct ClassifiedPacket<'a> {
    /// Fingerprint of the flow.
    pub flow: FlowId,
    /// Caller of the flow.
    pub caller: SocketAddrV4,
    /// Service of the flow.
    pub service: &'a Service,
    /// Target that sent the packet; none for a packet from the caller.
    pub from_target: Option<&'a Target>,
}

impl<'a> ClassifiedPacket<'a> {
    /// Classifies a packet; none if neither its destination is a service nor its source a
    /// target.
    pub fn new(services: &'a Services, segment: &Segment) -> Option<Self> {
        if let Some(service) = services.service_at(segment.destination) {
            return Some(Self::from_parts(segment.source, service, None));
        }
        let (service, target) = services.target_at(segment.source)?;
        Some(Self::from_parts(segment.destination, service, Some(target)))
    }

    fn from_parts(
        caller: SocketAddrV4,
        service: &'a Service,
        from_target: Option<&'a Target>,
    ) -> Self {
        let key = FlowKey { caller, service: service.address };
        Self { flow: key.id(), caller, service, from_target }
    }
}
