//! A fleet of [`Targets`] on a simulated network, with simulated targets.
#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::collections::{BTreeMap, BTreeSet};
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
/// Time until membership drops instances that are out of reach.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(2);
/// Limit on the control bytes per second of one instance.
const BUDGET: u32 = 3_000;

pub struct Node {
    pub targets: Targets,
    pub views: TargetViews,
    /// Bytes sent to other instances.
    pub sent_bytes: usize,
    /// Changes of states in force.
    pub state_changes: usize,
    link: Link,
    next_tick: Duration,
}

enum Event {
    Peer(usize, Vec<u8>),
    ProbeFinished(usize, TargetId, ProbeResult),
}

/// Instances 1 to n; instance i and target i are in failure domain (i - 1) % 3.
pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub loss_rate: f64,
    pub reports: BTreeMap<TargetId, Option<Report>>,
    /// Partition of each instance and of each target; those in different ones do not reach each
    /// other.
    pub instance_partition: Vec<u32>,
    pub target_partition: BTreeMap<TargetId, u32>,
    /// Index of an instance whose probes all fail.
    pub failing_prober: Option<usize>,
    /// Instances, by index, and targets between which the path is cut.
    pub cut: BTreeSet<(usize, TargetId)>,
    /// Targets that answer each probe with an error.
    pub errors: BTreeMap<TargetId, ProbeError>,
    /// Time until a target answers a probe.
    pub probe_delay: Duration,
    /// The same for some targets.
    pub slow: BTreeMap<TargetId, Duration>,
    /// Until when each instance stands still: its events wait.
    pub stalled_until: Vec<Duration>,
    /// Placer of all services.
    pub placer: Option<InstanceId>,
    membership_due: Option<Duration>,
    events: BTreeMap<(Duration, u64), Event>,
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
        let nodes = (1..=instances).map(|id| new_node(id, &services, &mut rng)).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes,
            loss_rate: 0.0,
            reports: (1..=targets).map(|id| (id, Some(Report::default()))).collect(),
            instance_partition: vec![0; instances as usize],
            target_partition: (1..=targets).map(|id| (id, 0)).collect(),
            failing_prober: None,
            cut: BTreeSet::new(),
            errors: BTreeMap::new(),
            probe_delay: DELAY,
            slow: BTreeMap::new(),
            stalled_until: vec![Duration::ZERO; instances as usize],
            placer: None,
            membership_due: None,
            events: BTreeMap::new(),
            sequence: 0,
            rng,
        };
        fleet.set_members();
        fleet
    }

    /// Partitions instances and targets; membership follows after [`MEMBERSHIP_DELAY`].
    pub fn partition(&mut self, instance: impl Fn(u32) -> u32, target: impl Fn(u32) -> u32) {
        self.instance_partition = (1..=self.nodes.len() as u32).map(instance).collect();
        for (id, partition) in &mut self.target_partition {
            *partition = target(*id);
        }
        self.membership_due = Some(self.now + MEMBERSHIP_DELAY);
    }

    pub fn set_state(&mut self, target: TargetId, state: TargetState) {
        self.reports.insert(target, Some(Report { state, ..Report::default() }));
    }

    pub fn kill(&mut self, target: TargetId) {
        self.reports.insert(target, None);
    }

    /// Delivers the operators' object with these targets to one instance.
    pub fn put_operator_states(&mut self, node: usize, targets: Value) {
        self.put_object(node, json!({ "targets": targets }));
    }

    pub fn put_object(&mut self, node: usize, value: Value) {
        let object = Object { name: OBJECT_NAME.to_owned(), version: 1, value };
        self.with_targets(node, |targets, now, out| targets.on_object(now, &object, out));
    }

    pub fn state(&self, node: usize, target: TargetId) -> TargetState {
        self.nodes[node].views.get(target).state
    }

    /// Returns the state of a target in the view of each instance.
    pub fn states(&self, target: TargetId) -> Vec<TargetState> {
        (0..self.nodes.len()).map(|node| self.state(node, target)).collect()
    }

    pub fn all_are(&self, target: TargetId, state: TargetState) -> bool {
        self.states(target).iter().all(|found| *found == state)
    }

    /// Runs until a condition holds and returns the time that took; `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(DELAY);
        }
        Some(self.now - start)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let event = self.events.first_key_value().map(|(key, _)| key.0);
            let tick = self.nodes.iter().map(|node| node.next_tick).min();
            let next = event.into_iter().chain(tick).chain(self.membership_due).min();
            match next.filter(|next| *next <= end) {
                Some(next) => self.step(next),
                None => break,
            }
        }
        self.now = end;
    }

    fn step(&mut self, now: Duration) {
        self.now = now;
        if self.membership_due.is_some_and(|due| due <= now) {
            self.membership_due = None;
            self.set_members();
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let event = entry.remove();
            let (Event::Peer(node, _) | Event::ProbeFinished(node, ..)) = event;
            if now < self.stalled_until[node] {
                let wait = self.stalled_until[node] - now;
                let event = self.late(event, wait);
                self.schedule(wait, event);
                continue;
            }
            match event {
                Event::Peer(to, buf) => self.receive(to, &buf),
                Event::ProbeFinished(to, target, result) => {
                    self.with_targets(to, |targets, now, out| {
                        targets.on_probe_result(now, target, result, out);
                    });
                }
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].next_tick <= now && now < self.stalled_until[node] {
                self.nodes[node].next_tick = self.stalled_until[node];
            } else if self.nodes[node].next_tick <= now {
                self.nodes[node].next_tick += TICK;
                let live = self.live(node);
                let placer = self.placer;
                self.with_targets(node, |targets, now, out| {
                    targets.tick(now, &live, out);
                    targets.send_reports(|_| placer, out);
                });
            }
        }
    }

    fn receive(&mut self, to: usize, buf: &[u8]) {
        if let Some((from, Body::Targets(message))) = self.nodes[to].link.open(buf) {
            self.with_targets(to, |targets, now, out| targets.on_message(now, from, message, out));
        }
    }

    fn with_targets(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Targets, Duration, &mut limpetdeck::link::Outbox<'_>),
    ) {
        let now = self.now;
        let mut actions = Vec::new();
        let instance = &mut self.nodes[node];
        act(&mut instance.targets, now, &mut instance.link.outbox(now, &mut actions));
        for change in instance.targets.take_state_changes() {
            let view = TargetView { state: change.state, version: change.version, since: now };
            assert!(
                instance.views.adopt(change.target, view),
                "a state change must have a newer version"
            );
            instance.state_changes += 1;
        }
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Peer(to, buf) => {
                self.nodes[node].sent_bytes += buf.len() + 28;
                let to = usize::from(to.port()) - 20_001;
                let reachable = self.instance_partition[node] == self.instance_partition[to];
                if reachable && !self.rng.random_bool(self.loss_rate) {
                    self.schedule(DELAY, Event::Peer(to, buf));
                }
            }
            Action::Probe(target, _) => {
                let reachable = self.instance_partition[node] == self.target_partition[&target]
                    && self.failing_prober != Some(node)
                    && !self.cut.contains(&(node, target));
                let result = self.reports[&target].filter(|_| reachable);
                if let Some(error) = self.errors.get(&target).filter(|_| result.is_some()) {
                    let event = Event::ProbeFinished(node, target, Err(error.clone()));
                    return self.schedule(DELAY, event);
                }
                let failed = || ProbeError::NoAnswer("timed out".to_owned());
                let answer_delay = self.slow.get(&target).copied().unwrap_or(self.probe_delay);
                let delay = if result.is_some() { answer_delay } else { PROBE_TIMEOUT };
                let event = Event::ProbeFinished(node, target, result.ok_or_else(failed));
                self.schedule(delay, event);
            }
            other => panic!("unexpected action: {other:?}"),
        }
    }

    /// Returns an event as an instance sees it that has stood still for so long: the time limit of a
    /// probe may be over.
    fn late(&mut self, event: Event, wait: Duration) -> Event {
        match event {
            Event::ProbeFinished(node, target, Ok(_))
                if wait >= PROBE_TIMEOUT && self.rng.random_bool(0.5) =>
            {
                let error = ProbeError::NoAnswer("timed out".to_owned());
                Event::ProbeFinished(node, target, Err(error))
            }
            other => other,
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn live(&self, node: usize) -> Vec<InstanceId> {
        let partition = self.instance_partition[node];
        let ids = 1..=self.nodes.len() as u32;
        ids.filter(|&id| self.instance_partition[id as usize - 1] == partition).collect()
    }

    fn set_members(&mut self) {
        for node in 0..self.nodes.len() {
            let live = self.live(node);
            let addresses = live.iter().map(|&id| (id, address(id))).collect();
            let instance = &mut self.nodes[node];
            instance.link.set_addresses(addresses);
            instance.targets.set_members(live.into_iter().map(|id| (id, domain(id))));
        }
    }
}

fn new_node(id: InstanceId, services: &Arc<Services>, rng: &mut SmallRng) -> Node {
    let mut targets = Targets::new(id, SmallRng::from_rng(rng));
    targets.set_services(Arc::clone(services));
    Node {
        targets,
        views: TargetViews::default(),
        sent_bytes: 0,
        state_changes: 0,
        link: Link::new([7; 32], id, 1, BUDGET, Duration::ZERO),
        next_tick: TICK.mul_f64(rng.random()),
    }
}
