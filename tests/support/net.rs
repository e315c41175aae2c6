//! A simulated network of instances' lists in virtual time that counts the bytes sent.

#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::budget::Class;
use limpetdeck::ids::{InstanceId, Version};
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::lists::{ListVersions, Lists};
use limpetdeck::peer::Body;
use limpetdeck::placement;
use limpetdeck::platform::Object;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// Time between two ticks of an instance.
const TICK: Duration = Duration::from_millis(100);
/// Minimum latency of a message; up to as much again is added at random.
const LATENCY: Duration = Duration::from_millis(1);
/// Bytes of the IPv4 and UDP headers of a message.
const DATAGRAM_OVERHEAD: usize = 28;

struct Node {
    lists: Lists,
    link: Link,
    partition: u32,
    running: bool,
    /// Bytes sent in each second.
    sent: Vec<usize>,
}

enum Event {
    Tick,
    Message(SocketAddr, InstanceId, Vec<u8>),
}

/// The simulated network.
pub struct Net {
    /// Virtual time.
    pub now: Duration,
    /// Fraction of messages that is lost.
    pub loss: f64,
    /// Whether less urgent traffic uses all of the budget that it may use.
    pub saturated: bool,
    nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), (InstanceId, Event)>,
    sequence: u64,
    budget: u32,
    rng: SmallRng,
}

fn address(id: InstanceId) -> SocketAddr {
    SocketAddr::from(([127, 0, (id >> 8) as u8, id as u8], 7_200))
}

fn id_at(address: SocketAddr) -> InstanceId {
    let SocketAddr::V4(v4) = address else { panic!("not an IPv4 address: {address}") };
    let octets = v4.ip().octets();
    InstanceId::from(octets[2]) << 8 | InstanceId::from(octets[3])
}

/// Returns a message of the less urgent traffic, which receivers here ignore.
fn background_message() -> Body {
    Body::Flows(placement::Message::Lookup(vec![u64::MAX; 4]))
}

impl Net {
    /// Creates a network of new instances with IDs from 0; `budget` in bytes per second.
    pub fn new(instances: u32, budget: u32, seed: u64) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            loss: 0.0,
            saturated: false,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            budget,
            rng: SmallRng::seed_from_u64(seed),
        };
        (0..instances).for_each(|_| {
            net.push_node();
        });
        net.connect();
        net
    }

    /// Adds a new instance.
    pub fn add(&mut self) -> InstanceId {
        let id = self.push_node();
        self.connect();
        id
    }

    fn push_node(&mut self) -> InstanceId {
        let id = self.nodes.len() as InstanceId;
        let node = self.new_node(id);
        self.nodes.push(node);
        let phase = TICK.mul_f64(self.rng.random());
        self.push(self.now + phase, id, Event::Tick);
        id
    }

    /// Restarts an instance with empty lists.
    pub fn restart(&mut self, id: InstanceId) {
        self.nodes[id as usize] = self.new_node(id);
        self.connect();
    }

    /// Moves an instance into a partition; instances in different partitions cannot reach each
    /// other.
    pub fn set_partition(&mut self, id: InstanceId, partition: u32) {
        self.nodes[id as usize].partition = partition;
    }

    /// Pauses or resumes an instance; it misses messages while paused.
    pub fn set_running(&mut self, id: InstanceId, running: bool) {
        self.nodes[id as usize].running = running;
    }

    /// Delivers an object from the platform to an instance.
    pub fn deliver_object(&mut self, id: InstanceId, name: &str, version: Version, value: Value) {
        let object = Object { name: name.to_owned(), version, value };
        self.with_node(id, |lists, link, now, actions| {
            lists.on_object(now, &object, &mut link.outbox(now, actions));
        });
    }

    /// Runs the network for this time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (id, event)) = entry.remove_entry();
            self.now = at;
            match event {
                Event::Tick => self.tick(id),
                Event::Message(from, to, buf) => self.deliver(from, to, &buf),
            }
        }
        self.now = end;
    }

    /// Runs the network until all instances meet a condition or the time-out expires. Returns
    /// the time that each instance took, `None` for those that timed out.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        done: impl Fn(&Lists) -> bool,
    ) -> Vec<Option<Duration>> {
        let start = self.now;
        let mut times = vec![None; self.nodes.len()];
        while self.now < start + timeout && times.contains(&None) {
            self.run(Duration::from_millis(10));
            for (time, node) in times.iter_mut().zip(&self.nodes) {
                if time.is_none() && done(&node.lists) {
                    *time = Some(self.now - start);
                }
            }
        }
        times
    }

    /// Returns the lists of an instance.
    pub fn lists(&mut self, id: InstanceId) -> &mut Lists {
        &mut self.nodes[id as usize].lists
    }

    /// Returns the versions of all instances.
    pub fn versions(&self) -> Vec<ListVersions> {
        self.nodes.iter().map(|node| node.lists.versions()).collect()
    }

    /// Returns the bytes that each instance sent in each second since `from`, sorted.
    pub fn bytes_per_second(&self, from: Duration) -> Vec<usize> {
        let (first, end) = (from.as_secs() as usize, self.now.as_secs() as usize);
        let seconds = first..end;
        let mut all: Vec<_> = self
            .nodes
            .iter()
            .flat_map(|node| seconds.clone().map(|i| node.sent.get(i).copied().unwrap_or(0)))
            .collect();
        all.sort_unstable();
        all
    }

    fn new_node(&mut self, id: InstanceId) -> Node {
        let rng = SmallRng::from_rng(&mut self.rng);
        let incarnation = self.now.as_millis() as u64 + 1;
        Node {
            lists: Lists::new(id, rng),
            link: Link::new([7; 32], id, incarnation, self.budget, self.now),
            partition: 0,
            running: true,
            sent: Vec::new(),
        }
    }

    fn connect(&mut self) {
        let all = (0..self.nodes.len() as InstanceId).map(|id| (id, address(id)));
        let all: limpetdeck::hash::HashMap<_, _> = all.collect();
        for node in &mut self.nodes {
            node.link.set_addresses(all.clone());
        }
    }

    fn tick(&mut self, id: InstanceId) {
        self.push(self.now + TICK, id, Event::Tick);
        let partition = self.nodes[id as usize].partition;
        let reachable = self.nodes.iter().zip(0..).filter(|(node, _)| node.partition == partition);
        let live: Vec<InstanceId> = reachable.map(|(_, other)| other).collect();
        let (saturated, other) = (self.saturated, (id + 1) % self.nodes.len() as InstanceId);
        self.with_node(id, |lists, link, now, actions| {
            let mut out = link.outbox(now, actions);
            // The other traffic is sent first, so that lists get only the rest of the budget.
            while saturated && out.send(other, Class::Replicas, &background_message()) {}
            lists.tick(now, &live, &mut out);
        });
    }

    fn deliver(&mut self, from: SocketAddr, to: InstanceId, buf: &[u8]) {
        let reachable =
            self.nodes[id_at(from) as usize].partition == self.nodes[to as usize].partition;
        if !reachable {
            return;
        }
        self.with_node(to, |lists, link, now, actions| {
            if let Some((from, Body::Lists(message))) = link.open(buf) {
                lists.on_message(now, from, message, &mut link.outbox(now, actions));
            }
        });
    }

    /// Calls a function on a running instance, and sends the resulting messages.
    fn with_node(
        &mut self,
        id: InstanceId,
        call: impl FnOnce(&mut Lists, &mut Link, Duration, &mut Vec<Action>),
    ) {
        let node = &mut self.nodes[id as usize];
        if !node.running {
            return;
        }
        let mut actions = Vec::new();
        call(&mut node.lists, &mut node.link, self.now, &mut actions);
        for action in actions {
            let Action::Peer(to, buf) = action else { continue };
            self.send(id, to, buf);
        }
    }

    fn send(&mut self, id: InstanceId, to: SocketAddr, buf: Vec<u8>) {
        let second = self.now.as_secs() as usize;
        let sent = &mut self.nodes[id as usize].sent;
        sent.resize(sent.len().max(second + 1), 0);
        sent[second] += buf.len() + DATAGRAM_OVERHEAD;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + LATENCY + LATENCY.mul_f64(self.rng.random());
        self.push(at, id_at(to), Event::Message(address(id), id_at(to), buf));
    }

    fn push(&mut self, at: Duration, id: InstanceId, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (id, event));
    }
}
