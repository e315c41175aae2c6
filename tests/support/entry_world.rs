//! Instances of `limpetdeck-entry`, targets and callers in virtual time, with disturbances.
#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::ids::TargetId;
use limpetdeck::instance::{Action, Event, Instance, InstanceConfig};
use limpetdeck::packet::{Segment, decode};
use limpetdeck::peer::{MemberInfo, MemberState};
use limpetdeck::placement::{Policy, TargetState};
use limpetdeck::platform::{Call, Changes, Object, Reply};
use limpetdeck::targets::ProbeError;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::ends::{Caller, Ending, Target};

const INSTANCES: usize = 6;
const TARGETS: u32 = 6;
const DELAY: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Open flows that the customer's plan allows.
const OPEN_FLOWS: u32 = 60;
/// Share of the callers' packets of which a copy comes late.
const COPIES: f64 = 0.04;
const LATEST_COPY: Duration = Duration::from_secs(20);

#[derive(Debug)]
enum Due {
    Instance(usize, u64, Box<Event>),
    Caller(usize),
    Target(TargetId, usize, Vec<u8>),
    Restart(usize),
    Undo(Disturbance),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disturbance {
    /// The instances of a target's failure domain do not reach it.
    Cut(TargetId),
    /// A target answers probes of its report with an error.
    Error(TargetId),
    /// A failure domain is partitioned off, with its instances and targets.
    Partition(u32),
    /// All targets report a state that takes no new flows.
    NoTarget,
    /// The host of a target is down, and loses its connections.
    Down(TargetId),
}

#[derive(Debug)]
struct Node {
    instance: Instance,
    incarnation: u64,
    stalled_until: Duration,
}

/// The world, and what hit the flows in it.
#[derive(Debug)]
pub struct World {
    pub now: Duration,
    pub callers: Vec<Caller>,
    pub targets: BTreeMap<TargetId, Target>,
    /// Resets and refusals by class that hit a flow which a living target holds.
    pub hits: BTreeMap<String, u64>,
    /// Packets refused in all, by reason.
    pub refusals: BTreeMap<String, u64>,
    nodes: Vec<Option<Node>>,
    disturbed: BTreeSet<Disturbance>,
    /// Resets that targets have sent: caller, sequence and acknowledgment number.
    target_resets: BTreeMap<(SocketAddrV4, u32, u32), TargetId>,
    events: BTreeMap<(Duration, u64), Due>,
    sequence: u64,
    incarnations: u64,
    pub rng: SmallRng,
}

fn domain(id: u32) -> u32 {
    (id - 1) % 3
}

fn peer_address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + i as u16))
}

fn target_address(id: TargetId) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 1, id as u8), 7_000)
}

fn objects() -> Vec<Object> {
    let target = |id: u32| {
        json!({
            "id": id, "address": target_address(id).to_string(), "slots": 20,
            "failure_domain": format!("domain-{}", domain(id)),
            "report": format!("127.0.0.1:9000/report?target={id}"),
        })
    };
    let service = json!({
        "id": 1, "name": "till", "address": "10.1.0.1:7000", "weighs": "imbalance",
        "idle_timeout_s": 600, "targets": (1..=TARGETS).map(target).collect::<Vec<_>>(),
    });
    let customer = json!({ "name": "a", "plan": "p", "prefixes": ["10.9.0.0/24"] });
    let allowance =
        json!({ "service": "till", "max_open_flows": OPEN_FLOWS, "max_new_flows_per_s": 1000 });
    [
        ("services", json!({ "services": [service] })),
        ("plans", json!({ "customers": [customer] })),
        ("allowances", json!({ "plans": [{ "name": "p", "services": [allowance] }] })),
    ]
    .map(|(name, value)| Object { name: name.to_owned(), version: 1, value })
    .to_vec()
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            callers: Vec::new(),
            targets: (1..=TARGETS).map(|id| (id, Target::new(target_address(id)))).collect(),
            hits: BTreeMap::new(),
            refusals: BTreeMap::new(),
            nodes: (0..INSTANCES).map(|_| None).collect(),
            disturbed: BTreeSet::new(),
            target_resets: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        (0..INSTANCES).for_each(|i| world.start(i));
        world
    }

    fn start(&mut self, i: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let cfg = InstanceConfig {
            me: MemberInfo {
                id: i as u32 + 1,
                incarnation,
                failure_domain: format!("domain-{}", domain(i as u32 + 1)),
                peer_address: peer_address(i),
                metrics_address: peer_address(i),
                state: MemberState::Joining,
            },
            seeds: (0..INSTANCES).map(peer_address).collect(),
            peer_keys: [7; 32].into(),
            control_budget: 3_000,
            flow_capacity: 10_000,
            trace_one_in: 0,
            policy: Policy::Epochs,
        };
        let rng = SmallRng::from_rng(&mut self.rng);
        let instance = Instance::new(self.now, cfg, rng);
        self.nodes[i] = Some(Node { instance, incarnation, stalled_until: self.now });
        self.schedule(TICK, Due::Instance(i, incarnation, Box::new(Event::Tick)));
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), due);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            match due {
                Due::Instance(i, incarnation, event) => self.deliver(i, incarnation, event),
                Due::Caller(i) => self.caller_sends(i),
                Due::Target(id, from, packet) => self.target_receives(id, from, &packet),
                Due::Restart(i) => self.start(i),
                Due::Undo(disturbance) => self.undo(disturbance),
            }
        }
        self.now = end;
    }

    /// Opens a flow that closes after a time, from a new port or one of an ended flow.
    pub fn open(&mut self, lifetime: Duration) {
        let ended = self.callers.iter().position(|c| c.ending.is_some() && self.gone(c));
        let reused = ended.filter(|_| self.rng.random_bool(0.2));
        let i = reused.unwrap_or(self.callers.len());
        let port = 2_000 + i as u16;
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port);
        let service = "10.1.0.1:7000".parse().expect("an address");
        let isn = self.rng.random();
        let caller = Caller::new(self.now, address, service, isn, self.now + lifetime);
        if i < self.callers.len() {
            self.callers[i] = caller;
        } else {
            self.callers.push(caller);
        }
        self.schedule(DELAY, Due::Caller(i));
    }

    fn gone(&self, caller: &Caller) -> bool {
        self.now >= caller.closes_at + Duration::from_secs(60)
    }

    pub fn stall(&mut self, i: usize, time: Duration) {
        if let Some(node) = &mut self.nodes[i] {
            node.stalled_until = node.stalled_until.max(self.now + time);
        }
    }

    pub fn crash(&mut self, i: usize, time: Duration) {
        if self.nodes[i].take().is_some() {
            self.schedule(time, Due::Restart(i));
        }
    }

    /// Restarts the process of a target: its host answers for the connections that it has lost.
    pub fn restart_target(&mut self, id: TargetId) {
        self.lose_connections(id, "restarted");
    }

    fn lose_connections(&mut self, id: TargetId, cause: &'static str) {
        let connections =
            std::mem::take(&mut self.targets.get_mut(&id).expect("a target").connections);
        for caller in &mut self.callers {
            if caller.ending.is_none() && connections.contains_key(&caller.address) {
                caller.lost = caller.lost.or(Some((self.now, cause)));
            }
        }
    }

    pub fn disturb(&mut self, disturbance: Disturbance, time: Duration) {
        if !self.disturbed.insert(disturbance) {
            return;
        }
        match disturbance {
            Disturbance::Error(id) => {
                let errors = [
                    ProbeError::Status(503),
                    ProbeError::Status(404),
                    ProbeError::InvalidReport("expected value".to_owned()),
                ];
                let error = errors.choose(&mut self.rng).cloned();
                self.targets.get_mut(&id).expect("a target").error = error;
            }
            Disturbance::NoTarget => {
                let states = [TargetState::Draining, TargetState::Shedding];
                let state = *states.choose(&mut self.rng).expect("a state");
                self.targets.values_mut().for_each(|target| target.state = state);
            }
            Disturbance::Down(id) => {
                self.lose_connections(id, "down");
                self.targets.get_mut(&id).expect("a target").alive = false;
            }
            Disturbance::Cut(_) | Disturbance::Partition(_) => {}
        }
        self.schedule(time, Due::Undo(disturbance));
    }

    fn undo(&mut self, disturbance: Disturbance) {
        self.disturbed.remove(&disturbance);
        match disturbance {
            Disturbance::Error(id) => self.targets.get_mut(&id).expect("a target").error = None,
            Disturbance::Down(id) => self.targets.get_mut(&id).expect("a target").alive = true,
            Disturbance::NoTarget => {
                self.targets.values_mut().for_each(|target| target.state = TargetState::Serving);
            }
            Disturbance::Cut(_) | Disturbance::Partition(_) => {}
        }
    }

    fn isolated(&self, domain: u32) -> bool {
        self.disturbed.contains(&Disturbance::Partition(domain))
    }

    /// Returns whether two failure domains reach each other.
    fn connected(&self, one: u32, other: u32) -> bool {
        one == other || !(self.isolated(one) || self.isolated(other))
    }

    fn reaches(&self, i: usize, target: TargetId) -> bool {
        let own = domain(i as u32 + 1);
        let cut = own == domain(target) && self.disturbed.contains(&Disturbance::Cut(target));
        !cut && self.connected(own, domain(target))
    }

    /// Delivers an event to an instance; it waits while that stands still.
    fn deliver(&mut self, i: usize, incarnation: u64, event: Box<Event>) {
        let Some(node) = self.nodes[i].as_mut().filter(|node| node.incarnation == incarnation)
        else {
            return;
        };
        if self.now < node.stalled_until {
            let wait = node.stalled_until - self.now;
            return self.schedule(wait, Due::Instance(i, incarnation, event));
        }
        if matches!(*event, Event::Tick) {
            self.schedule(TICK, Due::Instance(i, incarnation, Box::new(Event::Tick)));
        }
        let Some(node) = self.nodes[i].as_mut() else { return };
        let before = node.instance.status(self.now).refusals;
        let mut out = Vec::new();
        node.instance.handle(self.now, *event, &mut out);
        let after = node.instance.status(self.now).refusals;
        let refused = after.iter().find(|(reason, count)| before.get(*reason) != Some(*count));
        let refused = refused.map(|(reason, _)| reason.clone());
        for action in out {
            self.perform(i, incarnation, action, refused.as_deref());
        }
    }

    fn perform(&mut self, i: usize, incarnation: u64, action: Action, refused: Option<&str>) {
        match action {
            Action::Fabric(packet) => self.route(i, packet, refused),
            Action::Peer(to, buf) | Action::Redirect(to, buf) => {
                let to = usize::from(to.port()) - 20_000;
                let (one, other) = (domain(i as u32 + 1), domain(to as u32 + 1));
                let Some(node) = &self.nodes[to] else { return };
                let receiver = node.incarnation;
                if self.connected(one, other) {
                    let event = Box::new(Event::Peer(buf));
                    self.schedule(DELAY, Due::Instance(to, receiver, event));
                }
            }
            Action::Probe(id, _) => {
                let answer = self.targets[&id].report().filter(|_| self.reaches(i, id));
                let delay = if answer.is_some() { DELAY } else { PROBE_TIMEOUT };
                let failed = || Err(ProbeError::NoAnswer("timed out".to_owned()));
                let event = Event::ProbeFinished(id, answer.unwrap_or_else(failed));
                self.schedule(delay, Due::Instance(i, incarnation, Box::new(event)));
            }
            Action::Platform(call) => {
                let changes = |objects| Changes { era: Default::default(), revision: 3, objects };
                let (delay, reply) = match call {
                    Call::List { .. } => (DELAY, Reply::Changes(changes(objects()))),
                    Call::Watch { .. } => (WATCH_TIME, Reply::Changes(changes(Vec::new()))),
                    _ => (DELAY, Reply::Written(1)),
                };
                let event = Event::Platform(call, Ok(reply));
                self.schedule(delay, Due::Instance(i, incarnation, Box::new(event)));
            }
            Action::TraceSpan(_) => {}
            other => panic!("unexpected action: {other:?}"),
        }
    }

    /// Sends a packet of an instance to its target or caller.
    fn route(&mut self, i: usize, packet: Vec<u8>, refused: Option<&str>) {
        let segment = decode(&packet).expect("a valid packet");
        let target = self.targets.iter().find(|(_, t)| t.address == segment.destination);
        if let Some((&id, _)) = target {
            if self.reaches(i, id) {
                self.schedule(DELAY, Due::Target(id, i, packet));
            }
            return;
        }
        if segment.flags.rst {
            self.record_hit(&segment, refused);
        }
        let index = usize::from(segment.destination.port()) - 2_000;
        let now = self.now;
        if self.callers[index].receive(now, &segment) {
            self.schedule(Duration::ZERO, Due::Caller(index));
        }
    }

    /// Records a reset or refusal to a caller whose flow a living target holds.
    fn record_hit(&mut self, segment: &Segment, refused: Option<&str>) {
        if let Some(reason) = refused {
            *self.refusals.entry(reason.to_owned()).or_default() += 1;
        }
        let address = segment.destination;
        let caller = &self.callers[usize::from(address.port()) - 2_000];
        let key = (address, segment.sequence, segment.acknowledgment);
        let sender = self.target_resets.get(&key).copied();
        let holder = self.targets.iter().find(|(_, target)| {
            let held = target.connections.get(&address);
            target.alive && held.is_some_and(|held| caller.is_held_by(held))
        });
        let Some((&holder, _)) = holder else { return };
        if caller.ending.is_some() || sender == Some(holder) {
            return;
        }
        let class = match (sender, refused) {
            (Some(_), _) => "reset of another target".to_owned(),
            (None, Some(reason)) => format!("refused: {reason}"),
            (None, None) => {
                let causes = [
                    (Disturbance::Cut(holder), "cut"),
                    (Disturbance::Error(holder), "error"),
                    (Disturbance::Partition(domain(holder)), "partition"),
                ];
                let cause = causes.iter().find(|(cause, _)| self.disturbed.contains(cause));
                format!("reset: {}", cause.map_or("other", |(_, name)| name))
            }
        };
        let phase = if caller.open { "open" } else { "opening" };
        *self.hits.entry(format!("{class}, {phase}")).or_default() += 1;
    }

    /// Sends a packet to an instance, of those that reach its sender.
    fn send_to_instance(
        &mut self,
        after: Duration,
        favorite: usize,
        sender: Option<TargetId>,
        packet: Vec<u8>,
    ) {
        let healthy = |node: &Node| node.instance.healthy().then_some(node.incarnation);
        let up: Vec<_> = (0..INSTANCES)
            .filter(|&i| sender.is_none_or(|id| self.reaches(i, id)))
            .filter_map(|i| Some((i, self.nodes[i].as_ref().and_then(healthy)?)))
            .collect();
        let favorite = up.get(favorite % up.len().max(1)).copied();
        let stray = self.rng.random_bool(0.2);
        let chosen = if stray { up.choose(&mut self.rng).copied() } else { favorite };
        if let Some((i, incarnation)) = chosen {
            let event = Box::new(Event::Packet(packet));
            self.schedule(after, Due::Instance(i, incarnation, event));
        }
    }

    fn caller_sends(&mut self, i: usize) {
        let Some((packet, pause)) = self.callers[i].send(self.now) else { return };
        if self.rng.random_bool(COPIES) {
            let late = LATEST_COPY.mul_f64(self.rng.random());
            let stray = self.rng.random_range(0..INSTANCES);
            self.send_to_instance(late, stray, None, packet.clone());
        }
        self.send_to_instance(DELAY, i, None, packet);
        self.schedule(pause, Due::Caller(i));
    }

    fn target_receives(&mut self, id: TargetId, from: usize, packet: &[u8]) {
        let mut segment = decode(packet).expect("a valid packet");
        let target = self.targets.get_mut(&id).expect("a target");
        let Some(answer) = target.receive(&segment) else { return };
        segment = decode(&answer).expect("a valid packet");
        if segment.flags.rst {
            let key = (segment.destination, segment.sequence, segment.acknowledgment);
            self.target_resets.insert(key, id);
        }
        let favorite = from + usize::from(segment.destination.port() % 3);
        self.send_to_instance(DELAY, favorite, Some(id), answer);
    }

    /// Returns how long the callers of lost flows have waited, in milliseconds, by cause.
    pub fn waits(&self) -> BTreeMap<&'static str, Vec<u128>> {
        let mut waits: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for caller in &self.callers {
            if let (Some((lost, cause)), Some(ended)) = (caller.lost, caller.ended_at) {
                waits.entry(cause).or_default().push(ended.saturating_sub(lost).as_millis());
            }
        }
        waits
    }

    /// Returns the number of callers by how their flow has ended.
    pub fn endings(&self) -> BTreeMap<Option<Ending>, usize> {
        let mut endings = BTreeMap::new();
        for caller in &self.callers {
            *endings.entry(caller.ending).or_default() += 1;
        }
        endings
    }
}
