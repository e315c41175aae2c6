//! Counts at the service's placer: the product's own filters, with packets in memory.

use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::admission::{RuleAdmission, TakeOvers};
use limpetdeck::hash::HashMap;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::lists::rules::{Allowances, Plans, RawAllowances, RawPlans};
use limpetdeck::lists::{Allowance, Rules};
use limpetdeck::packet::decode;
use limpetdeck::peer::Body;
use limpetdeck::pipeline::{Outcome, Pipeline};
use limpetdeck::placement::{Placement, PlacementConfig, Policy as PlacementPolicy, Route};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::telemetry::Tracer;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::policy::{Answer, CUSTOMERS, Flow, INSTANCES, Network, Policy};

/// The services: one, with two targets.
const SERVICES: &str = r#"
    [[services]]
    id = 1
    name = "feed"
    address = "10.1.0.1:7000"
    weighs = "broken-flows"
    idle_timeout_s = 3600
    targets = [
        { id = 1, address = "10.1.1.1:7000", failure_domain = "a", slots = 9, weight = 1 },
        { id = 2, address = "10.1.1.2:7000", failure_domain = "b", slots = 9, weight = 1 },
    ]
"#;

/// Bytes that IPv4 and UDP add to a message.
const DATAGRAM_OVERHEAD: u64 = 28;

/// Flags of the packets that the trial builds.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Syn,
    SynAck,
    Data,
    Fin,
}

/// Bytes a second that an instance may send for control.
const CONTROL_BUDGET: u32 = 3_000;

/// One instance with what wires its admission.
#[derive(Debug)]
struct Instance {
    pipeline: Pipeline,
    take_overs: TakeOvers,
    link: Link,
}

/// The instances.
#[derive(Debug)]
pub struct Placer {
    services: Arc<Services>,
    instances: Vec<Instance>,
    network: Network,
    bytes: u64,
    targets: HashMap<u32, SocketAddrV4>,
}

impl Placer {
    /// Makes instances that know each other.
    pub fn new(allowance: Allowance, seed: u64) -> Self {
        let services = services();
        let rules = rules(allowance, &services);
        let instance = |i| {
            let rng = SmallRng::seed_from_u64(seed + i as u64);
            let cfg = PlacementConfig {
                me: i as u32,
                flow_capacity: 100_000,
                policy: PlacementPolicy::Epochs,
            };
            let mut placement = Placement::new(&cfg);
            placement.set_services(Duration::ZERO, 1, Arc::clone(&services));
            let admission = Box::new(RuleAdmission::new(rng));
            let mut pipeline = Pipeline::new(placement, admission, Tracer::new(i as u32, 0));
            pipeline.admission.set_rules(Duration::ZERO, Arc::clone(&rules));
            let mut link = Link::new([0; 32], i as u32, 1, CONTROL_BUDGET, Duration::ZERO);
            let address = |to: usize| ([127, 0, 0, 1], to as u16).into();
            link.set_addresses((0..INSTANCES).map(|to| (to as u32, address(to))).collect());
            Instance { pipeline, take_overs: TakeOvers::default(), link }
        };
        let instances = (0..INSTANCES).map(instance).collect();
        let mut placer = Self {
            instances,
            network: Network::default(),
            bytes: 0,
            targets: HashMap::default(),
            services,
        };
        placer.detected(Duration::ZERO, &Network::default());
        placer
    }

    /// Takes a packet through the instances; none if it is lost or ends without an answer.
    fn run(&mut self, now: Duration, at: usize, mut packet: Vec<u8>) -> Option<Outcome> {
        let (mut at, mut route) = (at, Route::ENTRY);
        loop {
            let (outcome, _) = self.instances[at].pipeline.run(now, packet, route, 0);
            let Outcome::Instance(to, next, sent) = outcome else { return Some(outcome) };
            if !self.network.joins(at, to as usize) {
                return None;
            }
            (at, route, packet) = (to as usize, next, sent);
        }
    }

    fn deliver(&mut self, now: Duration, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Peer(to, buf) = action else { continue };
            let to = usize::from(to.port());
            if !self.network.joins(from, to) {
                continue;
            }
            let Instance { pipeline, take_overs, link } = &mut self.instances[to];
            let Pipeline { placement, admission, .. } = pipeline;
            let mut answers = Vec::new();
            match link.open(&buf) {
                Ok((from, Body::Admission(message))) => {
                    take_overs.on_message(now, from, message, placement, admission.as_mut());
                }
                Ok((from, Body::Flows(message))) => {
                    let mut out = link.outbox(now, &mut answers);
                    placement.on_message(now, from, message, &mut out);
                }
                _ => {}
            }
            self.deliver(now, to, answers);
        }
    }

    fn send_as_caller(
        &mut self,
        now: Duration,
        flow: Flow,
        at: usize,
        kind: Kind,
    ) -> Option<Outcome> {
        let to = self.services.list()[0].address;
        self.run(now, at, packet(flow.caller(), to, flow.number, kind))
    }
}

impl Policy for Placer {
    fn name(&self) -> &'static str {
        "placer"
    }

    fn open(&mut self, now: Duration, flow: Flow, at: usize) -> Answer {
        match self.send_as_caller(now, flow, at, Kind::Syn) {
            Some(Outcome::Fabric(sent)) => {
                let target = decode(&sent).expect("a whole packet").destination;
                self.targets.insert(flow.number, target);
                self.run(now, at, packet(target, flow.caller(), 1, Kind::SynAck));
                Answer::Admitted
            }
            Some(Outcome::Refused(..)) => Answer::Refused,
            _ => Answer::Lost,
        }
    }

    fn answer(&mut self, now: Duration, flow: Flow, at: usize) {
        let target = self.targets[&flow.number];
        self.run(now, at, packet(target, flow.caller(), 1, Kind::Data));
    }

    fn end(&mut self, now: Duration, flow: Flow, at: usize) -> bool {
        self.send_as_caller(now, flow, at, Kind::Fin).is_some()
    }

    fn tick(&mut self, now: Duration) {
        for i in 0..INSTANCES {
            let (mut records, mut reports) = (Vec::new(), Vec::new());
            let Instance { pipeline, take_overs, link } = &mut self.instances[i];
            let Pipeline { placement, admission, .. } = pipeline;
            placement.tick(now, &mut link.outbox(now, &mut records));
            admission.tick(now, placement.flows());
            let mut out = link.outbox(now, &mut reports);
            take_overs.send(placement, admission.as_mut(), &mut out);
            if self.network.alive(i) {
                self.bytes += reports.iter().map(bytes).sum::<u64>();
                self.deliver(now, i, records);
                self.deliver(now, i, reports);
            }
        }
    }

    fn changed(&mut self, _now: Duration, network: &Network) {
        self.network = network.clone();
    }

    fn detected(&mut self, now: Duration, network: &Network) {
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if !network.alive(i) {
                continue;
            }
            let Instance { pipeline, take_overs, .. } = instance;
            let Pipeline { placement, admission, .. } = pipeline;
            let live: Vec<_> = network.reached(i).into_iter().map(|id| id as u32).collect();
            placement.set_members(now, live.iter().copied(), live.iter().copied());
            take_overs.compare(now, placement, admission.as_mut());
            take_overs.on_rules(now, placement, admission.as_mut());
        }
    }

    fn weakest(&self) -> usize {
        let places = |instance: &Instance| instance.pipeline.placement.places(1);
        self.instances.iter().position(places).expect("a placer")
    }

    fn control_bytes(&self) -> u64 {
        self.bytes
    }
}

/// Returns the services of the trial.
pub fn services() -> Arc<Services> {
    let raw: RawServices = toml::from_str(SERVICES).expect("TOML");
    Arc::new(Services::try_from(raw).expect("valid services"))
}

/// Returns rules that allow every customer the same.
pub fn rules(allowance: Allowance, services: &Services) -> Arc<Rules> {
    let mut plans = String::new();
    for i in 0..CUSTOMERS {
        let prefix = format!("10.{}.0.0/16", 100 + i);
        writeln!(plans, "[[customers]]\nname = \"c{i}\"\nplan = \"p\"\nprefixes = [\"{prefix}\"]")
            .expect("memory");
    }
    let allowances = format!(
        "[[plans]]\nname = \"p\"\nservices = [{{ service = \"feed\", max_open_flows = {}, \
         max_new_flows_per_s = {} }}]",
        allowance.max_open_flows, allowance.max_new_flows_per_s
    );
    let plans: RawPlans = toml::from_str(&plans).expect("TOML");
    let allowances: RawAllowances = toml::from_str(&allowances).expect("TOML");
    let plans = Plans::try_from(plans).expect("valid plans");
    let allowances = Allowances::try_from(allowances).expect("valid allowances");
    Arc::new(Rules::join(plans, &allowances, services))
}

/// Bytes of a message on the network.
fn bytes(action: &Action) -> u64 {
    match action {
        Action::Peer(_, buf) => buf.len() as u64 + DATAGRAM_OVERHEAD,
        _ => 0,
    }
}

fn packet(from: SocketAddrV4, to: SocketAddrV4, sequence: u32, kind: Kind) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64);
    let tcp = ip.tcp(from.port(), to.port(), sequence, 100);
    let tcp = match kind {
        Kind::Syn => tcp.syn(),
        Kind::SynAck => tcp.syn().ack(1),
        Kind::Data => tcp.ack(1),
        Kind::Fin => tcp.fin().ack(1),
    };
    let mut buf = Vec::new();
    tcp.write(&mut buf, &[]).expect("a packet in memory");
    buf
}
