//! Sends the last packets of flows to their targets again once these have restarted.

use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;

use super::Node;
use super::last_packets::LastPacket;
use crate::instance::Action;
use crate::steering::{FlowPacket, PacketKind, TargetIncarnation};

impl Node {
    /// Keeps a packet of an open flow that was forwarded to a target.
    pub(super) fn keep_last(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetIncarnation,
        buf: Vec<u8>,
    ) {
        match packet.kind {
            PacketKind::Within => {
                let last = LastPacket { flow: packet.flow, buf, target, arrived: now };
                self.last_packets.insert(last);
            }
            _ => self.last_packets.remove(packet.flow.id()),
        }
    }

    /// Sends the last packet of each flow whose target has restarted to the target again. A target
    /// that has lost the flow resets it.
    pub(super) fn resend_last_packets(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut resent = 0;
        for last in self.last_packets.take_unchecked(self.forwarder.targets.change_count()) {
            let restarted = self.forwarder.restarted_holder(last.flow.service, last.target);
            let Some((target, token)) = restarted else { continue };
            let datagram = self.format.forward(&last.buf, token, target);
            out.push(Action::Datagram(SocketAddr::V4(target.address), datagram));
            last.target = (target.key, target.incarnation);
            resent += 1;
        }
        if resent > 0 {
            counter!("limpetdeck_packets_resent_total").increment(resent);
            if let Some(unlogged) = self.log.try_acquire(now) {
                log::info!(packets = resent, unlogged = unlogged; "packets_resent");
            }
        }
    }
}
