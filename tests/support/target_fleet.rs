//! Several instances' states of targets over a network and targets that are made up.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::ids::{InstanceId, TargetId};
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::peer::Body;
use limpetdeck::placement::{TargetState, TargetView, TargetViews};
use limpetdeck::platform::Object;
use limpetdeck::services::{RawServices, Services};
use limpetdeck::targets::{OBJECT_NAME, ProbeError, ProbeResult, Report, Targets};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const TICK: Duration = Duration::from_millis(100);
const DELAY: Duration = Duration::from_millis(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which membership notices who is gone.
const SILENCE: Duration = Duration::from_secs(2);
/// Control traffic of one instance, in bytes a second.
const BUDGET: u32 = 3_000;

pub struct Node {
    pub targets: Targets,
    pub views: TargetViews,
    /// Bytes that were sent to other instances.
    pub sent: usize,
    /// Changes of state that came into force.
    pub changes: usize,
    link: Link,
    next_tick: Duration,
}

enum Arrival {
    Peer(usize, Vec<u8>),
    Probed(usize, TargetId, ProbeResult),
}

/// Instances 1 to n; instance i and target i stand in failure domain (i - 1) % 3.
pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub reports: BTreeMap<TargetId, Option<Report>>,
    /// Instances and targets in other groups are out of reach.
    pub instance_group: Vec<u32>,
    pub target_group: BTreeMap<TargetId, u32>,
    /// An instance whose probes all fail.
    pub blind: Option<usize>,
    /// The instance that places all new flows.
    pub placer: Option<InstanceId>,
    members_due: Option<Duration>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    sequence: u64,
    rng: SmallRng,
}

pub fn address(id: InstanceId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(20_000 + id).expect("few instances")))
}

pub fn domain(id: u32) -> String {
    format!("domain-{}", (id + 2) % 3)
}

fn services(targets: u32) -> Services {
    let target = |id: u32| {
        json!({
            "id": id,
            "address": format!("10.0.{}.{}:7000", 1 + id / 200, 1 + id % 200),
            "failure_domain": domain(id),
            "slots": 2,
            "report": format!("127.0.0.1:9000/report?target={id}"),
        })
    };
    let raw: RawServices = serde_json::from_value(json!({"services": [{
        "id": 1, "name": "till", "address": "10.0.0.1:7000", "weighs": "imbalance",
        "idle_timeout_s": 3600, "targets": (1..=targets).map(target).collect::<Vec<_>>(),
    }]}))
    .expect("services");
    Services::try_from(raw).expect("valid services")
}

impl Fleet {
    pub fn new(instances: u32, targets: u32, seed: u64) -> Self {
        println!("seed={seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let services = Arc::new(services(targets));
        let nodes = (1..=instances).map(|id| node(id, &services, &mut rng)).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes,
            loss: 0.0,
            reports: (1..=targets).map(|id| (id, Some(Report::default()))).collect(),
            instance_group: vec![0; instances as usize],
            target_group: (1..=targets).map(|id| (id, 0)).collect(),
            blind: None,
            placer: None,
            members_due: None,
            arrivals: BTreeMap::new(),
            sequence: 0,
            rng,
        };
        fleet.set_members();
        fleet
    }

    /// Parts instances and targets into groups; membership follows.
    pub fn regroup(&mut self, instance: impl Fn(u32) -> u32, target: impl Fn(u32) -> u32) {
        self.instance_group = (1..=self.nodes.len() as u32).map(instance).collect();
        for (id, group) in &mut self.target_group {
            *group = target(*id);
        }
        self.members_due = Some(self.now + SILENCE);
    }

    pub fn set_state(&mut self, target: TargetId, state: TargetState) {
        self.reports.insert(target, Some(Report { state, ..Report::default() }));
    }

    pub fn kill(&mut self, target: TargetId) {
        self.reports.insert(target, None);
    }

    /// Gives an instance the operators' object.
    pub fn operators_say(&mut self, node: usize, targets: Value) {
        self.platform_says(node, json!({ "targets": targets }));
    }

    pub fn platform_says(&mut self, node: usize, value: Value) {
        let object = Object { name: OBJECT_NAME.to_owned(), version: 1, value };
        self.with(node, |targets, now, out| targets.on_object(now, &object, out));
    }

    pub fn state(&self, node: usize, target: TargetId) -> TargetState {
        self.nodes[node].views.get(target).state
    }

    /// Returns the states that the instances have of a target.
    pub fn states(&self, target: TargetId) -> Vec<TargetState> {
        (0..self.nodes.len()).map(|node| self.state(node, target)).collect()
    }

    pub fn all_are(&self, target: TargetId, state: TargetState) -> bool {
        self.states(target).iter().all(|found| *found == state)
    }

    /// Runs until a condition holds; returns the time that this took, if it was in time.
    pub fn until(&mut self, limit: Duration, test: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begun = self.now;
        while !test(self) {
            if self.now - begun >= limit {
                return None;
            }
            self.run(DELAY);
        }
        Some(self.now - begun)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let arrival = self.arrivals.first_key_value().map(|(key, _)| key.0);
            let tick = self.nodes.iter().map(|node| node.next_tick).min();
            let next = arrival.into_iter().chain(tick).chain(self.members_due).min();
            match next.filter(|next| *next <= end) {
                Some(next) => self.step(next),
                None => break,
            }
        }
        self.now = end;
    }

    fn step(&mut self, now: Duration) {
        self.now = now;
        if self.members_due.is_some_and(|due| due <= now) {
            self.members_due = None;
            self.set_members();
        }
        while let Some(entry) = self.arrivals.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                Arrival::Peer(to, buf) => self.peer(to, &buf),
                Arrival::Probed(to, target, result) => self.with(to, |targets, now, out| {
                    targets.on_probed(now, target, result, out);
                }),
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].next_tick <= now {
                self.nodes[node].next_tick += TICK;
                let live = self.live(node);
                let placer = self.placer;
                self.with(node, |targets, now, out| {
                    targets.tick(now, &live, out);
                    targets.tell_reports(|_| placer, out);
                });
            }
        }
    }

    fn peer(&mut self, to: usize, buf: &[u8]) {
        if let Some((from, Body::Targets(message))) = self.nodes[to].link.open(buf) {
            self.with(to, |targets, now, out| targets.on_message(now, from, message, out));
        }
    }

    fn with(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Targets, Duration, &mut limpetdeck::link::Outbox<'_>),
    ) {
        let now = self.now;
        let mut actions = Vec::new();
        let found = &mut self.nodes[node];
        act(&mut found.targets, now, &mut found.link.outbox(now, &mut actions));
        for change in found.targets.take_news() {
            let view = TargetView { state: change.state, version: change.version, since: now };
            assert!(found.views.adopt(change.target, view), "news must be new");
            found.changes += 1;
        }
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Peer(to, buf) => {
                self.nodes[node].sent += buf.len() + 28;
                let to = usize::from(to.port()) - 20_001;
                let reached = self.instance_group[node] == self.instance_group[to];
                if reached && !self.rng.random_bool(self.loss) {
                    self.arrive(DELAY, Arrival::Peer(to, buf));
                }
            }
            Action::Probe(target, _) => {
                let reached = self.instance_group[node] == self.target_group[&target]
                    && self.blind != Some(node);
                let result = self.reports[&target].filter(|_| reached);
                let failed = || ProbeError::NoAnswer("timed out".to_owned());
                let delay = if result.is_some() { DELAY } else { PROBE_TIMEOUT };
                let probed = Arrival::Probed(node, target, result.ok_or_else(failed));
                self.arrive(delay, probed);
            }
            other => panic!("no such action here: {other:?}"),
        }
    }

    fn arrive(&mut self, delay: Duration, arrival: Arrival) {
        self.sequence += 1;
        self.arrivals.insert((self.now + delay, self.sequence), arrival);
    }

    fn live(&self, node: usize) -> Vec<InstanceId> {
        let group = self.instance_group[node];
        let ids = 1..=self.nodes.len() as u32;
        ids.filter(|&id| self.instance_group[id as usize - 1] == group).collect()
    }

    fn set_members(&mut self) {
        for node in 0..self.nodes.len() {
            let live = self.live(node);
            let addresses = live.iter().map(|&id| (id, address(id))).collect();
            let found = &mut self.nodes[node];
            found.link.set_addresses(addresses);
            found.targets.set_members(live.into_iter().map(|id| (id, domain(id))));
        }
    }
}

fn node(id: InstanceId, services: &Arc<Services>, rng: &mut SmallRng) -> Node {
    let mut targets = Targets::new(id, SmallRng::from_rng(rng));
    targets.set_services(Arc::clone(services));
    Node {
        targets,
        views: TargetViews::default(),
        sent: 0,
        changes: 0,
        link: Link::new([7; 32], id, 1, BUDGET, Duration::ZERO),
        next_tick: TICK.mul_f64(rng.random()),
    }
}
