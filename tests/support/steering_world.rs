//! Instances in virtual time, with the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::{Action, Core, Event};
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::platform::{Call, Changes, Object, PlatformError, Reply, Revision};
use limpetdeck::steering::{Node, NodeConfig, RawRoutes, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use super::support::*;

pub const TICK: Duration = Duration::from_millis(100);
/// Bytes that IPv4 and UDP add to each message.
const OVERHEAD: usize = 28;
/// Delay of a message or an answer.
const DELAY: Duration = Duration::from_millis(4);

/// What the platform holds.
#[derive(Default)]
pub struct Store {
    pub revision: Revision,
    pub objects: BTreeMap<String, Object>,
    /// Instances that it does not answer.
    pub refuses: Vec<usize>,
    pub down: bool,
    pub calls: u32,
}

impl Store {
    pub fn put(&mut self, mut object: Object) {
        self.revision += 1;
        object.version = self.revision;
        self.objects.insert(object.name.clone(), object);
    }

    pub fn target(&mut self, target: &Target) {
        self.put(object(0, target));
    }

    pub fn routes(&mut self, raw: &RawRoutes) {
        let value = serde_json::to_value(raw).expect("plain data");
        self.put(Object { name: "routes/main".to_owned(), version: 0, value });
    }

    pub fn remove(&mut self, key: u64) {
        self.revision += 1;
        let name = format!("targets/{key:x}");
        let gone = Object { name: name.clone(), version: self.revision, value: Value::Null };
        self.objects.insert(name, gone);
    }

    pub fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let named = self.objects.values().filter(|object| object.name.starts_with(prefix));
        let objects = named.filter(|object| object.version > after).cloned().collect();
        Changes { revision: self.revision, objects }
    }
}

pub struct World {
    pub now: Duration,
    pub store: Store,
    pub nodes: Vec<Option<Node>>,
    pub starts: u64,
    pub flying: BTreeMap<(Duration, u64), (usize, Event)>,
    pub watches: Vec<(usize, Call, Duration)>,
    pub sent: u64,
    /// Datagrams to targets and callers, by instance.
    pub out: Vec<Vec<(SocketAddr, Vec<u8>)>>,
    pub exited: Vec<bool>,
    /// Bytes of messages to peers, with what IPv4 and UDP add.
    pub control: usize,
    /// Addresses to which connections were tried, by instance.
    pub tried: Vec<Vec<SocketAddr>>,
    pub rng: SmallRng,
}

pub fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, i as u8 + 1], 7_720))
}

impl World {
    pub fn new(instances: usize) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            store: Store::default(),
            nodes: Vec::new(),
            starts: 0,
            flying: BTreeMap::new(),
            watches: Vec::new(),
            sent: 0,
            out: vec![Vec::new(); instances],
            exited: vec![false; instances],
            control: 0,
            tried: vec![Vec::new(); instances],
            rng: SmallRng::seed_from_u64(11),
        };
        world.store.routes(&routes(1, &[TILL]));
        for key in 1..=4 {
            world.store.target(&target(key, TILL));
        }
        for i in 0..instances {
            world.nodes.push(None);
            world.start(i);
        }
        world
    }

    pub fn start(&mut self, i: usize) {
        self.starts += 1;
        let me = MemberInfo {
            id: i as u32 + 1,
            incarnation: 1_000 + self.starts,
            failure_domain: if i.is_multiple_of(2) { HOME } else { AWAY }.to_owned(),
            peer_address: peer(i),
            metrics_address: peer(i),
            state: MemberState::Live,
        };
        let cfg = NodeConfig {
            me,
            seeds: vec![peer(0), peer(1)],
            peer_key: KEY,
            control_budget: 3_000,
            trace_one_in: 0,
            grace: Duration::from_secs(6),
            format: Box::new(TextPackets),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.flying.retain(|_, (to, event)| *to != i || !matches!(event, Event::Platform(..)));
        self.watches.retain(|(to, ..)| *to != i);
        self.nodes[i] = Some(Node::new(self.now, cfg, rng));
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    pub fn node(&self, i: usize) -> &Node {
        self.nodes[i].as_ref().expect("it runs")
    }

    pub fn handle(&mut self, i: usize, event: Event) {
        let Some(node) = &mut self.nodes[i] else { return };
        let mut actions = Vec::new();
        node.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Peer(to, buf) => {
                    self.control += buf.len() + OVERHEAD;
                    if let Some(to) = (0..self.nodes.len()).find(|&i| peer(i) == to) {
                        self.later(to, Event::Peer(buf));
                    }
                }
                Action::Platform(call) => self.call(i, call),
                Action::Datagram(to, buf) => self.out[i].push((to, buf)),
                Action::Reach(address) => self.tried[i].push(address),
                Action::Exit => self.exited[i] = true,
                _ => {}
            }
        }
    }

    pub fn later(&mut self, to: usize, event: Event) {
        self.sent += 1;
        self.flying.insert((self.now + DELAY, self.sent), (to, event));
    }

    pub fn call(&mut self, i: usize, call: Call) {
        self.store.calls += 1;
        if self.store.down || self.store.refuses.contains(&i) {
            let refused = PlatformError::Refused("503".to_owned());
            return self.later(i, Event::Platform(call, Err(refused)));
        }
        let reply = match &call {
            Call::List { prefix } => {
                let mut all = self.store.changes(prefix, 0);
                all.objects.retain(|object| !object.value.is_null());
                Reply::Changes(all)
            }
            Call::Watch { wait, .. } => {
                let until = self.now + *wait;
                return self.watches.push((i, call, until));
            }
            Call::Put { name, value, .. } => {
                self.store.put(Object { name: name.clone(), version: 0, value: value.clone() });
                Reply::Written(self.store.revision)
            }
            Call::Delete { name } => {
                self.store.objects.remove(name);
                Reply::Written(self.store.revision)
            }
            Call::Get { .. } => Reply::Written(1),
        };
        self.later(i, Event::Platform(call, Ok(reply)));
    }

    pub fn answer_watches(&mut self) {
        for (i, call, until) in std::mem::take(&mut self.watches) {
            let Call::Watch { prefix, after, .. } = &call else { continue };
            if self.store.down || self.store.refuses.contains(&i) {
                let lost = PlatformError::NoAnswer("reset".to_owned());
                self.later(i, Event::Platform(call, Err(lost)));
                continue;
            }
            let changes = self.store.changes(prefix, *after);
            if changes.objects.is_empty() && self.now < until {
                self.watches.push((i, call, until));
            } else {
                self.later(i, Event::Platform(call, Ok(Reply::Changes(changes))));
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.answer_watches();
            for i in 0..self.nodes.len() {
                self.handle(i, Event::Tick);
            }
            let until = self.now + TICK;
            while let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 < until) {
                let ((at, _), (to, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                self.handle(to, event);
            }
            self.now = until - TICK;
        }
    }

    pub fn all(&self, holds: impl Fn(&Node) -> bool) -> bool {
        self.nodes.iter().flatten().all(holds)
    }

    /// Runs until the condition holds for all instances; returns the time that took.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Node) -> bool) -> Duration {
        let start = self.now;
        while !self.all(&holds) {
            assert!(self.now < start + most, "not within {most:?}");
            self.run(TICK);
        }
        self.now - start
    }
}
