//! Orders to drain failure domains, as exchanged between instances.
//!
//! A change is pushed at once, and pushed on by each instance that it is new to. While there are
//! orders, they are also sent with the digests, which detects lost pushes. An instance that starts
//! asks for a reply to its digests, and gets the orders with it.

use std::time::Duration;

use super::{Gossip, send};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::steering::message::Message;
use crate::steering::{DrainSnapshot, Forwarder};

/// Number of local peers, besides the next one, to which orders are pushed. Orders are rare, and have to
/// be known in time while instances have just started and do not know their next peer yet.
const ORDER_FANOUT: usize = 5;

impl Gossip {
    /// Pushes the orders to peers, after they have changed.
    pub fn push_domain_drains(&mut self, forwarder: &Forwarder, out: &mut Outbox<'_>) {
        self.peers.spread(&describe(forwarder), ORDER_FANOUT, &mut self.rng, out);
    }

    pub(super) fn on_domain_drains(
        &mut self,
        now: Duration,
        from: InstanceId,
        snapshot: DrainSnapshot,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) {
        if forwarder.drains.on_peer_snapshot(now, snapshot.clone()) {
            self.push_domain_drains(forwarder, out);
        }
        if forwarder.drains.is_behind(&snapshot) {
            send(from, describe(forwarder), out);
        }
    }
}

/// Sends the orders to a peer, if there are any. An instance that starts sends digests more often and
/// needs its budget for routes and targets.
pub(super) fn remind(to: InstanceId, forwarder: &Forwarder, out: &mut Outbox<'_>) {
    if forwarder.ready() && forwarder.drains.has_news() {
        send(to, describe(forwarder), out);
    }
}

/// Sends what is known of the orders, if anything, to a peer that starts and asks for a reply.
pub(super) fn reply(to: InstanceId, forwarder: &Forwarder, out: &mut Outbox<'_>) {
    if forwarder.drains.snapshot().position.is_known() {
        send(to, describe(forwarder), out);
    }
}

fn describe(forwarder: &Forwarder) -> Message {
    Message::DomainDrains(forwarder.drains.snapshot().clone())
}
