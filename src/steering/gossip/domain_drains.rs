//! Orders to drain failure domains, as exchanged between instances.
//!
//! A change is pushed at once, and pushed on by each instance that it is new to. While there are
//! orders, they are also sent with the digests, which detects lost pushes.

use std::time::Duration;

use super::{ANNOUNCE_FANOUT, Gossip, send};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::steering::message::Message;
use crate::steering::{DrainSnapshot, Forwarder};

/// Time between two requests of an instance that starts.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl Gossip {
    /// Pushes the orders to peers, after they have changed.
    pub fn push_domain_drains(&mut self, forwarder: &Forwarder, out: &mut Outbox<'_>) {
        self.peers.spread(&describe(forwarder), ANNOUNCE_FANOUT, &mut self.rng, out);
    }

    /// Asks peers for the orders if they are missing and a request is due.
    pub(super) fn request_domain_drains(
        &mut self,
        now: Duration,
        forwarder: &Forwarder,
        out: &mut Outbox<'_>,
    ) {
        if forwarder.drains.ready() || now < self.next_drains_request {
            return;
        }
        for to in self.digest_peers() {
            self.next_drains_request = now + REQUEST_INTERVAL;
            let snapshot = DrainSnapshot::default();
            send(to, Message::DomainDrains { snapshot, wants_reply: true }, out);
        }
    }

    pub(super) fn on_domain_drains(
        &mut self,
        now: Duration,
        from: InstanceId,
        snapshot: DrainSnapshot,
        wants_reply: bool,
        forwarder: &mut Forwarder,
        out: &mut Outbox<'_>,
    ) {
        if forwarder.drains.on_peer_snapshot(now, snapshot.clone()) {
            self.push_domain_drains(forwarder, out);
        }
        let can_reply = forwarder.drains.snapshot().position.is_known();
        if can_reply && (wants_reply || forwarder.drains.is_behind(&snapshot)) {
            send(from, describe(forwarder), out);
        }
    }
}

/// Sends the orders to a peer, if there are any.
pub(super) fn remind(to: InstanceId, forwarder: &Forwarder, out: &mut Outbox<'_>) {
    if forwarder.drains.has_news() {
        send(to, describe(forwarder), out);
    }
}

fn describe(forwarder: &Forwarder) -> Message {
    let snapshot = forwarder.drains.snapshot().clone();
    Message::DomainDrains { snapshot, wants_reply: false }
}
