//! A small network of memberships in virtual time, which loses, delays and cuts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::ids::InstanceId;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::membership::{Membership, Message};
use limpetdeck::peer::{Body, MemberInfo, MemberState, Sealer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const KEY: [u8; 32] = [7; 32];
const TICK: Duration = Duration::from_millis(100);
/// Longest delay of a message, in milliseconds.
const LONGEST_DELAY: u64 = 20;
/// Bytes that IPv4 and UDP add to each message.
const OVERHEAD: usize = 28;
const BUDGET: u32 = 3_000;

/// One membership and what surrounds it.
pub struct Node {
    pub members: Membership,
    link: Link,
    address: SocketAddr,
    runs: bool,
    /// What waits in the socket of a paused instance.
    inbox: Option<Vec<Vec<u8>>>,
    pub bytes: usize,
    pub most_in_a_second: usize,
    second: (u64, usize),
}

/// The network; everything random comes from one seed.
pub struct Net {
    pub now: Duration,
    pub nodes: Vec<Node>,
    flying: BTreeMap<(Duration, u64), (SocketAddr, Vec<u8>)>,
    ticks: BTreeSet<(Duration, usize)>,
    at: BTreeMap<SocketAddr, usize>,
    sent: u64,
    rng: SmallRng,
    pub loss: f64,
    /// Side of each instance; messages between sides are lost.
    pub sides: BTreeMap<SocketAddr, u8>,
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + port))
}

pub fn info(id: InstanceId, incarnation: u64, port: u16) -> MemberInfo {
    MemberInfo {
        id,
        incarnation,
        failure_domain: format!("gt-centro-{}", id % 3),
        peer_address: address(port),
        metrics_address: address(port),
        state: MemberState::Joining,
    }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            flying: BTreeMap::new(),
            ticks: BTreeSet::new(),
            at: BTreeMap::new(),
            sent: 0,
            rng,
            loss: 0.0,
            sides: BTreeMap::new(),
        }
    }

    /// Makes instances 0 to n that know the first as their seed, and lets them settle.
    pub fn settled(seed: u64, n: u16) -> Self {
        let mut net = Self::new(seed);
        for i in 0..n {
            net.start(u32::from(i), 1_000_000_000_000, i, &[0]);
        }
        let time = net.until(Duration::from_secs(120), Self::agree).expect("all agree");
        println!("seed={seed} instances={n} settled_after={time:?}");
        net.run(Duration::from_secs(20));
        net
    }

    pub fn start(&mut self, id: InstanceId, incarnation: u64, port: u16, seeds: &[u16]) {
        let me = info(id, incarnation, port);
        let seeds = seeds.iter().map(|&port| address(port)).collect();
        let link = Link::new(KEY, id, incarnation, BUDGET, self.now);
        let address = me.peer_address;
        let rng = SmallRng::from_rng(&mut self.rng);
        let members = Membership::new(self.now, me, seeds, rng);
        let first_tick = self.now + Duration::from_millis(self.rng.random_range(0..100));
        self.ticks.insert((first_tick, self.nodes.len()));
        self.at.insert(address, self.nodes.len());
        let inbox = None;
        let (bytes, most_in_a_second, second) = (0, 0, (0, 0));
        self.nodes.push(Node {
            members,
            link,
            address,
            runs: true,
            inbox,
            bytes,
            most_in_a_second,
            second,
        });
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].runs = false;
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].inbox = Some(Vec::new());
    }

    pub fn wake(&mut self, i: usize) {
        let waiting = self.nodes[i].inbox.take().unwrap_or_default();
        for buf in waiting {
            self.receive(i, &buf);
        }
    }

    /// Delivers a message as if the given instance had sent it.
    pub fn inject(&mut self, i: usize, from: InstanceId, message: Message) {
        // A later start each time, so that no message counts as replayed.
        self.sent += 1;
        let mut sealer = Sealer::new(KEY, from, u64::MAX / 2 + self.sent);
        self.receive(i, &sealer.seal(&Body::Membership(message)));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next().filter(|&at| at <= end) {
            self.now = at;
            while let Some((to, buf)) = self.arrived() {
                if let Some(&i) = self.at.get(&to).filter(|&&i| self.nodes[i].runs) {
                    self.receive(i, &buf);
                }
            }
            self.tick();
        }
        self.now = end;
    }

    /// Runs until the condition holds; returns the time that took, none if it never held.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + most {
                return None;
            }
            self.run(TICK);
        }
        Some(self.now - start)
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.runs && node.inbox.is_none())
    }

    pub fn views(&self) -> Vec<Vec<InstanceId>> {
        self.running().map(|node| sorted(node.members.live())).collect()
    }

    /// Tells whether those that run see exactly each other, and the same owners.
    pub fn agree(&self) -> bool {
        let ids = sorted(self.running().map(|node| node.members.me().id).collect());
        let owners: Vec<_> = self.running().map(|node| sorted(node.members.owners())).collect();
        self.views().iter().all(|view| *view == ids) && owners.windows(2).all(|w| w[0] == w[1])
    }

    /// Tells whether no other running instance sees this one as live.
    pub fn gone(&self, id: InstanceId) -> bool {
        let mut others = self.running().filter(|node| node.members.me().id != id);
        others.all(|node| !node.members.live().contains(&id))
    }

    fn next(&self) -> Option<Duration> {
        let message = self.flying.keys().next().map(|&(at, _)| at);
        let tick = self.ticks.iter().next().map(|&(at, _)| at);
        tick.into_iter().chain(message).min()
    }

    fn arrived(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let entry = self.flying.first_entry()?;
        if entry.key().0 > self.now { None } else { Some(entry.remove()) }
    }

    fn receive(&mut self, i: usize, buf: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if let Some(inbox) = &mut node.inbox {
            return inbox.push(buf.to_vec());
        }
        let mut actions = Vec::new();
        if let Some((from, Body::Membership(message))) = node.link.open(buf) {
            let mut out = node.link.outbox(now, &mut actions);
            node.members.on_message(now, from, message, &mut out);
        }
        self.send(i, actions);
    }

    fn tick(&mut self) {
        let now = self.now;
        while let Some(&(at, i)) = self.ticks.first().filter(|(at, _)| *at <= now) {
            self.ticks.remove(&(at, i));
            self.ticks.insert((now + TICK, i));
            let node = &mut self.nodes[i];
            if !node.runs || node.inbox.is_some() {
                continue;
            }
            let mut actions = Vec::new();
            node.members.tick(now, &mut node.link.outbox(now, &mut actions));
            let _ = node.members.take_changed();
            self.send(i, actions);
        }
    }

    fn send(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Peer(to, buf) = action else { continue };
            let node = &mut self.nodes[i];
            node.count(self.now, buf.len() + OVERHEAD);
            let cut = self.sides.get(&node.address) != self.sides.get(&to);
            if cut || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..=LONGEST_DELAY));
            self.sent += 1;
            self.flying.insert((self.now + delay, self.sent), (to, buf));
        }
    }
}

impl Node {
    fn count(&mut self, now: Duration, bytes: usize) {
        self.bytes += bytes;
        if self.second.0 != now.as_secs() {
            self.second = (now.as_secs(), 0);
        }
        self.second.1 += bytes;
        self.most_in_a_second = self.most_in_a_second.max(self.second.1);
    }
}

fn sorted(mut ids: Vec<InstanceId>) -> Vec<InstanceId> {
    ids.sort_unstable();
    ids
}
