//! The last packet of each open flow through this instance.

use std::time::Duration;

use crate::flow::FlowKey;
use crate::hash::HashMap;
use crate::ids::FlowId;
use crate::steering::{Successors, TargetIncarnation};

/// Largest number of bytes that are kept. The packets of further flows are not.
const MAX_BYTES: usize = 8 << 20;

/// The last packet of a flow.
#[derive(Debug)]
pub(super) struct LastPacket {
    /// The addresses of the flow.
    pub flow: FlowKey,
    /// The packet as its caller sent it.
    pub buf: Vec<u8>,
    /// The target to which it was forwarded.
    pub target: TargetIncarnation,
    /// The targets that records named in place of that one when the packet was last sent.
    pub successors: Successors,
    /// When it arrived.
    pub arrived: Duration,
    /// Whether it was sent again to whichever target runs at the address.
    pub asked: bool,
}

/// The last packets of all flows.
#[derive(Debug, Default)]
pub(super) struct LastPackets {
    packets: HashMap<FlowId, LastPacket>,
    bytes: usize,
    /// Number of changes of the directory up to which successors have been looked for.
    checked_changes: u64,
}

impl LastPackets {
    /// Keeps a packet in place of the flow's earlier one.
    pub(super) fn insert(&mut self, packet: LastPacket) {
        let id = packet.flow.id();
        self.remove(id);
        if self.bytes + packet.buf.len() <= MAX_BYTES {
            self.bytes += packet.buf.len();
            self.packets.insert(id, packet);
        }
    }

    /// Removes the packet of a flow that has ended.
    pub(super) fn remove(&mut self, flow: FlowId) {
        if let Some(packet) = self.packets.remove(&flow) {
            self.bytes -= packet.buf.len();
        }
    }

    /// Removes the packets that have been sent to whichever target runs at an address. A flow that is lost
    /// is over by then, and its caller may use the port again.
    pub(super) fn remove_asked(&mut self) {
        let bytes = &mut self.bytes;
        self.packets.retain(|_, packet| {
            *bytes -= if packet.asked { packet.buf.len() } else { 0 };
            !packet.asked
        });
    }

    /// Removes the packets that arrived `idle` ago or earlier.
    pub(super) fn expire(&mut self, now: Duration, idle: Duration) {
        let bytes = &mut self.bytes;
        self.packets.retain(|_, packet| {
            let is_kept = now < packet.arrived + idle;
            *bytes -= if is_kept { 0 } else { packet.buf.len() };
            is_kept
        });
    }

    /// Returns all packets if the directory has changed since the last call; `changes` is the number
    /// of its changes.
    pub(super) fn take_unchecked(&mut self, changes: u64) -> impl Iterator<Item = &mut LastPacket> {
        let is_unchecked = std::mem::replace(&mut self.checked_changes, changes) != changes;
        self.packets.values_mut().filter(move |_| is_unchecked)
    }
}
