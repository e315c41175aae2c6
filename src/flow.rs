//! The key of a flow as callers see it, and what a packet is in terms of services.

use std::net::SocketAddrV4;

use crate::hash::stable_addresses;
use crate::ids::FlowId;
use crate::packet::Segment;
use crate::services::{Service, Services, Target};

/// The two ends of a flow: the caller and the service address that it dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the fingerprint under which all instances know the flow.
    pub fn id(&self) -> FlowId {
        stable_addresses(self.caller, self.service)
    }
}

/// A packet's flow and direction.
#[derive(Debug, Clone, Copy)]
pub struct Classified<'a> {
    /// Fingerprint of the flow.
    pub flow: FlowId,
    /// Caller of the flow.
    pub caller: SocketAddrV4,
    /// Service of the flow.
    pub service: &'a Service,
    /// Target that the packet comes from; none for a packet from the caller.
    pub from: Option<&'a Target>,
}

impl<'a> Classified<'a> {
    /// Finds the flow of a packet; none if no service or target has its address.
    pub fn new(services: &'a Services, segment: &Segment) -> Option<Self> {
        if let Some(service) = services.at(segment.destination) {
            return Some(Self::of(segment.source, service, None));
        }
        let (service, target) = services.target_at(segment.source)?;
        Some(Self::of(segment.destination, service, Some(target)))
    }

    fn of(caller: SocketAddrV4, service: &'a Service, from: Option<&'a Target>) -> Self {
        let key = FlowKey { caller, service: service.address };
        Self { flow: key.id(), caller, service, from }
    }
}
