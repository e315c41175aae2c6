//! Simulated network of memberships in virtual time, with loss, delay and partitions.

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
const MAX_DELAY_MS: u64 = 20;
/// Bytes of the IPv4 and UDP headers of each message.
const HEADER_BYTES: usize = 28;
const BUDGET_BYTES_PER_S: u32 = 3_000;

/// One instance's membership, link and counters.
pub struct Node {
    pub members: Membership,
    link: Link,
    address: SocketAddr,
    running: bool,
    /// Messages in the socket of a paused instance; `None` if it is not paused.
    inbox: Option<Vec<Vec<u8>>>,
    pub bytes: usize,
    pub peak_bytes_per_s: usize,
    /// The current second, and the bytes sent in it.
    second: (u64, usize),
}

/// The simulated network; all randomness comes from one seed.
pub struct Net {
    pub now: Duration,
    pub nodes: Vec<Node>,
    in_flight: BTreeMap<(Duration, u64), (SocketAddr, Vec<u8>)>,
    ticks: BTreeSet<(Duration, usize)>,
    node_by_address: BTreeMap<SocketAddr, usize>,
    sent: u64,
    rng: SmallRng,
    pub loss: f64,
    /// Partition of each instance; messages between different partitions are lost.
    pub partitions: BTreeMap<SocketAddr, u8>,
    /// Number of failure domains.
    pub domains: u32,
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
            in_flight: BTreeMap::new(),
            ticks: BTreeSet::new(),
            node_by_address: BTreeMap::new(),
            sent: 0,
            rng,
            loss: 0.0,
            partitions: BTreeMap::new(),
            domains: 3,
        }
    }

    /// Starts instances 0 to n - 1 with the first as their seed, and runs until they agree and
    /// 20 s longer.
    pub fn settled(seed: u64, n: u16) -> Self {
        Self::settled_in_domains(seed, n, 3)
    }

    /// Does the same with another number of failure domains.
    pub fn settled_in_domains(seed: u64, n: u16, domains: u32) -> Self {
        let mut net = Self { domains, ..Self::new(seed) };
        for i in 0..n {
            net.start(u32::from(i), 1_000_000_000_000, i, &[0]);
        }
        let time = net.run_until(Duration::from_secs(120), Self::agree).expect("all agree");
        println!("seed={seed} instances={n} settled_after={time:?}");
        net.run(Duration::from_secs(20));
        net
    }

    pub fn start(&mut self, id: InstanceId, incarnation: u64, port: u16, seeds: &[u16]) {
        let failure_domain = format!("gt-centro-{}", id % self.domains);
        let me = MemberInfo { failure_domain, ..info(id, incarnation, port) };
        let seeds = seeds.iter().map(|&port| address(port)).collect();
        let link = Link::new(KEY, id, incarnation, BUDGET_BYTES_PER_S, self.now);
        let address = me.peer_address;
        let rng = SmallRng::from_rng(&mut self.rng);
        let members = Membership::new(self.now, me, seeds, rng);
        let first_tick = self.now + Duration::from_millis(self.rng.random_range(0..100));
        self.ticks.insert((first_tick, self.nodes.len()));
        self.node_by_address.insert(address, self.nodes.len());
        let inbox = None;
        let (bytes, peak_bytes_per_s, second) = (0, 0, (0, 0));
        self.nodes.push(Node {
            members,
            link,
            address,
            running: true,
            inbox,
            bytes,
            peak_bytes_per_s,
            second,
        });
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].running = false;
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].inbox = Some(Vec::new());
    }

    pub fn resume(&mut self, i: usize) {
        let inbox = self.nodes[i].inbox.take().unwrap_or_default();
        for buf in inbox {
            self.receive(i, &buf);
        }
    }

    /// Delivers a message as if the given instance had sent it.
    pub fn inject(&mut self, i: usize, from: InstanceId, message: Message) {
        // A higher incarnation each time, so that no message counts as replayed.
        self.sent += 1;
        let mut sealer = Sealer::new(KEY, from, u64::MAX / 2 + self.sent);
        self.receive(i, &sealer.seal(&Body::Membership(message)));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next_event_at().filter(|&at| at <= end) {
            self.now = at;
            while let Some((to, buf)) = self.take_arrived() {
                if let Some(&i) = self.node_by_address.get(&to).filter(|&&i| self.nodes[i].running)
                {
                    self.receive(i, &buf);
                }
            }
            self.tick();
        }
        self.now = end;
    }

    /// Runs until the condition holds. Returns the time taken, or `None` on a timeout.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + timeout {
                return None;
            }
            self.run(TICK);
        }
        Some(self.now - start)
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.running && node.inbox.is_none())
    }

    pub fn views(&self) -> Vec<Vec<InstanceId>> {
        self.running().map(|node| sorted(node.members.live())).collect()
    }

    /// Returns whether the running instances see exactly each other, and the same owners.
    pub fn agree(&self) -> bool {
        let ids = sorted(self.running().map(|node| node.members.me().id).collect());
        let owners: Vec<_> = self.running().map(|node| sorted(node.members.owners())).collect();
        self.views().iter().all(|view| *view == ids) && owners.windows(2).all(|w| w[0] == w[1])
    }

    /// Returns whether no other running instance sees this one as live.
    pub fn is_gone(&self, id: InstanceId) -> bool {
        let mut others = self.running().filter(|node| node.members.me().id != id);
        others.all(|node| !node.members.live().contains(&id))
    }

    fn next_event_at(&self) -> Option<Duration> {
        let message = self.in_flight.keys().next().map(|&(at, _)| at);
        let tick = self.ticks.iter().next().map(|&(at, _)| at);
        tick.into_iter().chain(message).min()
    }

    fn take_arrived(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let entry = self.in_flight.first_entry()?;
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
            if !node.running || node.inbox.is_some() {
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
            node.count(self.now, buf.len() + HEADER_BYTES);
            let partitioned = self.partitions.get(&node.address) != self.partitions.get(&to);
            if partitioned || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..=MAX_DELAY_MS));
            self.sent += 1;
            self.in_flight.insert((self.now + delay, self.sent), (to, buf));
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
        self.peak_bytes_per_s = self.peak_bytes_per_s.max(self.second.1);
    }
}

fn sorted(mut ids: Vec<InstanceId>) -> Vec<InstanceId> {
    ids.sort_unstable();
    ids
}
