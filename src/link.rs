//! Sending and receiving of messages between instances, and outgoing platform calls.
//!
//! All control traffic goes through this module, so that one budget covers all of it.

use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;

use crate::budget::{Budget, Class};
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};
use crate::instance::Action;
use crate::peer::{Body, KeyRing, Sealer};
use crate::platform::Call;

/// Bytes of the IPv4 and UDP headers of each message; they count against the budget too.
const DATAGRAM_OVERHEAD: usize = 28;

/// Seals and opens messages between instances, and enforces the budget for control traffic.
#[derive(Debug)]
pub struct Link {
    sealer: Sealer,
    budget: Budget,
    addresses: HashMap<InstanceId, SocketAddr>,
}

impl Link {
    /// Creates a link without peer addresses; `budget` is in bytes per second.
    pub fn new(
        keys: impl Into<KeyRing>,
        me: InstanceId,
        incarnation: Incarnation,
        budget: u32,
        now: Duration,
    ) -> Self {
        Self {
            sealer: Sealer::new(keys, me, incarnation),
            budget: Budget::new(budget, now),
            addresses: HashMap::default(),
        }
    }

    /// Raises the incarnation of this instance; a lower one is ignored.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.sealer.set_incarnation(incarnation);
    }

    /// Replaces the addresses of the live instances.
    pub fn set_addresses(&mut self, addresses: HashMap<InstanceId, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Opens a message and returns its sender and body. Returns `None`, and counts the message
    /// as dropped, if it is not valid.
    pub fn open(&mut self, buf: &[u8]) -> Option<(InstanceId, Body)> {
        let opened = self.sealer.open(buf);
        if let Err(reason) = &opened {
            count_dropped_message(&reason.to_string());
        }
        opened.ok()
    }

    /// Returns an outbox that appends to the given actions.
    pub fn outbox<'a>(&'a mut self, now: Duration, actions: &'a mut Vec<Action>) -> Outbox<'a> {
        Outbox { link: self, now, actions }
    }
}

/// Collects what an instance sends and requests while it handles one event.
#[derive(Debug)]
pub struct Outbox<'a> {
    link: &'a mut Link,
    now: Duration,
    actions: &'a mut Vec<Action>,
}

impl Outbox<'_> {
    /// Sends control traffic to an instance if the budget of its class allows it now. Returns
    /// false if the message was not sent; retrying is up to the caller.
    pub fn send(&mut self, to: InstanceId, class: Class, body: &Body) -> bool {
        let Some(&address) = self.link.addresses.get(&to) else { return false };
        self.send_to(address, class, body)
    }

    /// Sends control traffic to an address, like [`Outbox::send`].
    pub fn send_to(&mut self, to: SocketAddr, class: Class, body: &Body) -> bool {
        let buf = self.link.sealer.seal(body);
        let cost = buf.len() + DATAGRAM_OVERHEAD;
        if !self.link.budget.spend(self.now, class, cost) {
            counter!("limpetdeck_control_deferred_total", "class" => class.name()).increment(1);
            return false;
        }
        counter!("limpetdeck_control_bytes_total", "class" => class.name()).increment(cost as u64);
        self.actions.push(Action::Peer(to, buf));
        true
    }

    /// Charges the budget for control traffic that does not go through this outbox and cannot wait.
    pub fn charge(&mut self, bytes: usize) {
        let class = Class::Liveness;
        self.link.budget.spend(self.now, class, bytes);
        counter!("limpetdeck_control_bytes_total", "class" => class.name()).increment(bytes as u64);
    }

    /// Returns the size of the largest sealed message that a class may send now.
    pub fn available(&mut self, class: Class) -> usize {
        self.link.budget.available(self.now, class).saturating_sub(DATAGRAM_OVERHEAD)
    }

    /// Redirects a packet to an instance; packets do not count as control traffic. Returns false
    /// if the instance's address is not known.
    pub fn redirect(&mut self, to: InstanceId, body: &Body) -> bool {
        let Some(&address) = self.link.addresses.get(&to) else { return false };
        let buf = self.link.sealer.seal(body);
        self.actions.push(Action::Redirect(address, buf));
        true
    }

    /// Requests a platform call.
    pub fn call(&mut self, call: Call) {
        self.actions.push(Action::Platform(call));
    }

    /// Requests any other action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}

/// Counts a dropped peer message under the given reason.
pub fn count_dropped_message(reason: &str) {
    counter!("limpetdeck_peer_messages_dropped_total", "reason" => reason.to_owned()).increment(1);
}
