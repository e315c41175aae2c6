//! Where a packet goes next.

use std::net::SocketAddr;

use crate::arguments::{Pair, Prefix};

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// To the process that has the packet's destination.
    Process(SocketAddr),
    /// To any instance.
    Spray,
}

/// The prefixes of callers and targets.
#[derive(Debug)]
pub struct Routes {
    callers: Vec<Pair<Prefix>>,
    targets: Vec<Pair<Prefix>>,
}

impl Routes {
    /// Makes routes.
    pub fn new(callers: Vec<Pair<Prefix>>, targets: Vec<Pair<Prefix>>) -> Self {
        Self { callers, targets }
    }

    /// Finds the way of a packet. What a target sends goes to any instance, as the fabric
    /// is the targets' default route; so does what is for a service.
    pub fn of(&self, source: [u8; 4], destination: [u8; 4]) -> Destination {
        if find(&self.targets, source).is_some() {
            return Destination::Spray;
        }
        let process = find(&self.callers, destination).or(find(&self.targets, destination));
        process.map_or(Destination::Spray, Destination::Process)
    }
}

fn find(pairs: &[Pair<Prefix>], address: [u8; 4]) -> Option<SocketAddr> {
    pairs.iter().find(|pair| pair.key.contains(address)).map(|pair| pair.address)
}
