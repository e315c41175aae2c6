//! Sends packets to targets that may have ended, and the last packets of flows again once records name
//! other targets in place of theirs.

use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;

use super::Node;
use super::last_packets::LastPacket;
use crate::hash::HashMap;
use crate::instance::Action;
use crate::steering::{
    FlowPacket, Inquiry, PacketFormat, PacketKind, TargetIncarnation, Token, Verdict,
};

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
                let successors = self.forwarder.successors(target);
                let flow = packet.flow;
                let last = LastPacket { flow, buf, target, successors, arrived: now, asked: false };
                self.last_packets.insert(last);
            }
            _ => self.last_packets.remove(packet.flow.id()),
        }
    }

    /// Sends the last packet of each flow again for whose target records name others since. One that
    /// does not hold the flow resets it.
    pub(super) fn resend_last_packets(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut resent = HashMap::<_, u64>::default();
        for last in self.last_packets.take_unchecked(self.forwarder.targets.change_count()) {
            let successors = self.forwarder.successors(last.target);
            if successors == last.successors {
                continue;
            }
            last.successors = successors;
            let verdict = self.forwarder.verdict_of_open(last.flow.service, last.target);
            let (target, doubt) = match verdict {
                Some(Verdict::Forward(target, token)) => {
                    let datagram = self.format.forward(&last.buf, token, target.key);
                    out.push(Action::Datagram(SocketAddr::V4(target.address), datagram));
                    (target, None)
                }
                Some(Verdict::Inquire(inquiry, token)) => {
                    inquire(self.format.as_ref(), &inquiry, token, &last.buf, out);
                    last.asked = true;
                    (inquiry.target, Some(inquiry.doubt))
                }
                _ => continue,
            };
            let target = (target.key, target.incarnation);
            if target != last.target {
                last.target = target;
                last.successors = self.forwarder.successors(target);
            }
            *resent.entry((target.0, doubt)).or_default() += 1;
        }
        if resent.keys().any(|(_, doubt)| doubt.is_some()) {
            self.last_packets.remove_asked();
        }
        for ((target, doubt), packets) in resent {
            counter!("limpetdeck_packets_resent_total").increment(packets);
            let Some(unlogged) = self.log.try_acquire(now) else { continue };
            log::info!(
                target = format!("{target:x}").as_str(),
                doubt = doubt.map_or("in_place".to_owned(), |doubt| doubt.to_string()).as_str(),
                packets = packets,
                unlogged = unlogged;
                "packets_resent"
            );
        }
    }
}

/// Forwards a packet to those that may answer for its target.
pub(super) fn inquire(
    format: &dyn PacketFormat,
    inquiry: &Inquiry<'_>,
    token: Option<Token>,
    buf: &[u8],
    out: &mut Vec<Action>,
) {
    for (address, key) in inquiry.receivers() {
        let datagram = format.forward(buf, token, key);
        out.push(Action::Datagram(SocketAddr::V4(address), datagram));
    }
}
