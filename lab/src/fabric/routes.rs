//! Destinations of packets.

use std::net::SocketAddr;

use crate::arguments::{AddressMapping, Ipv4Prefix};

/// Next hop of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextHop {
    /// Process with the callers or targets of the packet's destination.
    Process(SocketAddr),
    /// A random healthy instance.
    AnyInstance,
}

/// Prefixes of callers and targets, with the addresses of their processes.
#[derive(Debug)]
pub struct Routes {
    callers: Vec<AddressMapping<Ipv4Prefix>>,
    targets: Vec<AddressMapping<Ipv4Prefix>>,
}

impl Routes {
    /// Creates routes. If prefixes overlap, the first one that contains an address counts.
    pub fn new(
        callers: Vec<AddressMapping<Ipv4Prefix>>,
        targets: Vec<AddressMapping<Ipv4Prefix>>,
    ) -> Self {
        Self { callers, targets }
    }

    /// Returns the next hop of a packet. A packet from a target goes to any instance, as the
    /// fabric is the targets' default route; so does a packet to a service.
    pub fn next_hop(&self, source: [u8; 4], destination: [u8; 4]) -> NextHop {
        if find_process(&self.targets, source).is_some() {
            return NextHop::AnyInstance;
        }
        let process =
            find_process(&self.callers, destination).or(find_process(&self.targets, destination));
        process.map_or(NextHop::AnyInstance, NextHop::Process)
    }
}

fn find_process(pairs: &[AddressMapping<Ipv4Prefix>], address: [u8; 4]) -> Option<SocketAddr> {
    pairs.iter().find(|pair| pair.key.contains(address)).map(|pair| pair.address)
}
