//! The way from a part of an instance to other instances and to the platform.
//!
//! All control traffic passes here, so that one budget holds for all of it.

use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;

use crate::budget::{Budget, Class};
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};
use crate::instance::Action;
use crate::peer::{Body, Sealer};
use crate::platform::Call;

/// Bytes that IPv4 and UDP add to each message; they count against the budget too.
const DATAGRAM_OVERHEAD: usize = 28;

/// What seals, opens and pays for messages between instances.
#[derive(Debug)]
pub struct Link {
    sealer: Sealer,
    budget: Budget,
    addresses: HashMap<InstanceId, SocketAddr>,
}

impl Link {
    /// Makes a link that knows no other instance.
    pub fn new(
        key: [u8; 32],
        me: InstanceId,
        incarnation: Incarnation,
        budget: u32,
        now: Duration,
    ) -> Self {
        Self {
            sealer: Sealer::new(key, me, incarnation),
            budget: Budget::new(budget, now),
            addresses: HashMap::default(),
        }
    }

    /// Takes a higher start number of this instance.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.sealer.set_incarnation(incarnation);
    }

    /// Takes the addresses of the live instances.
    pub fn set_addresses(&mut self, addresses: HashMap<InstanceId, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Opens a message and returns its sender; one that has to be dropped is counted.
    pub fn open(&mut self, buf: &[u8]) -> Option<(InstanceId, Body)> {
        let opened = self.sealer.open(buf);
        if let Err(reason) = &opened {
            drop_message(&reason.to_string());
        }
        opened.ok()
    }

    /// Returns the way out for what happens now.
    pub fn outbox<'a>(&'a mut self, now: Duration, actions: &'a mut Vec<Action>) -> Outbox<'a> {
        Outbox { link: self, now, actions }
    }
}

/// The way out of an instance while one event is handled.
#[derive(Debug)]
pub struct Outbox<'a> {
    link: &'a mut Link,
    now: Duration,
    actions: &'a mut Vec<Action>,
}

impl Outbox<'_> {
    /// Sends control traffic to an instance, if its class may spend that much now. Answers
    /// false if the message was not sent; the sender keeps what it still wants told.
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

    /// Charges the budget for control traffic that goes another way and cannot wait.
    pub fn charge(&mut self, bytes: usize) {
        let class = Class::Liveness;
        self.link.budget.spend(self.now, class, bytes);
        counter!("limpetdeck_control_bytes_total", "class" => class.name()).increment(bytes as u64);
    }

    /// Returns the bytes that a class may spend now, without what a datagram adds.
    pub fn available(&mut self, class: Class) -> usize {
        self.link.budget.available(self.now, class).saturating_sub(DATAGRAM_OVERHEAD)
    }

    /// Passes a packet on; packets are no control traffic. Answers false if the instance
    /// has no known address.
    pub fn pass_on(&mut self, to: InstanceId, body: &Body) -> bool {
        let Some(&address) = self.link.addresses.get(&to) else { return false };
        let buf = self.link.sealer.seal(body);
        self.actions.push(Action::PassOn(address, buf));
        true
    }

    /// Makes a call of the platform.
    pub fn call(&mut self, call: Call) {
        self.actions.push(Action::Platform(call));
    }

    /// Wants something else done.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }
}

/// Counts a message that is dropped.
pub fn drop_message(reason: &str) {
    counter!("limpetdeck_peer_messages_dropped_total", "reason" => reason.to_owned()).increment(1);
}
