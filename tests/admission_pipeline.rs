//! What admission means for the packets, and what a new placer counts.

#[path = "support/admission.rs"]
mod admission;

use std::net::SocketAddrV4;
use std::time::Duration;

use admission::{new_flow, rules, services};
use etherparse::PacketBuilder;
use limpetdeck::admission::{Admission, RuleAdmission, TakeOvers};
use limpetdeck::hash::HashSet;
use limpetdeck::ids::InstanceId;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::packet::{Segment, decode};
use limpetdeck::peer::Body;
use limpetdeck::pipeline::{Outcome, Pipeline};
use limpetdeck::placement::{
    FlowTable, Placement, PlacementConfig, Policy, Route, TargetState, TargetView,
};
use limpetdeck::telemetry::Tracer;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
enum Kind {
    Syn,
    Data,
    Fin,
}

fn pipeline(me: InstanceId, members: &[InstanceId]) -> Pipeline {
    let cfg = PlacementConfig { me, flow_capacity: 10_000, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    placement.set_services(Duration::ZERO, 1, services());
    placement.set_members(Duration::ZERO, members.to_vec(), members.to_vec());
    let mut admission = RuleAdmission::new(SmallRng::seed_from_u64(1));
    admission.set_rules(Duration::ZERO, rules(10, 1_000));
    Pipeline::new(placement, Box::new(admission), Tracer::new(me, 0))
}

fn packet(from: SocketAddrV4, to: SocketAddrV4, kind: Kind) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64);
    let tcp = ip.tcp(from.port(), to.port(), 7, 100);
    let tcp = match kind {
        Kind::Syn => tcp.syn(),
        Kind::Data => tcp.ack(1),
        Kind::Fin => tcp.fin().ack(1),
    };
    let mut buf = Vec::new();
    tcp.write(&mut buf, &[]).expect("a packet in memory");
    buf
}

fn caller(port: u16) -> SocketAddrV4 {
    new_flow(&services(), 0, 0, port).caller
}

fn from_caller(pipeline: &mut Pipeline, now: Duration, port: u16, kind: Kind) -> Outcome {
    let to = services().list()[0].address;
    pipeline.run(now, packet(caller(port), to, kind), Route::ENTRY, 0).0
}

fn admits(pipeline: &mut Pipeline, now: Duration, ports: std::ops::Range<u16>) -> usize {
    let refused = |outcome: &Outcome| matches!(outcome, Outcome::Refused(..));
    ports.filter(|&port| !refused(&from_caller(pipeline, now, port, Kind::Syn))).count()
}

#[test]
fn refused_stays_out() {
    let mut pipeline = pipeline(1, &[1]);
    let (mut refused, mut reached) = (HashSet::default(), HashSet::default());
    for kind in [Kind::Syn, Kind::Syn, Kind::Data, Kind::Fin] {
        for port in 1..=50 {
            match from_caller(&mut pipeline, START, port, kind) {
                Outcome::Fabric(sent) => {
                    let sent: Segment = decode(&sent).expect("a whole packet");
                    assert!(services().target_at(sent.destination).is_some());
                    reached.insert(port);
                }
                Outcome::Refused(_, _, reset) => {
                    let reset = decode(&reset).expect("a whole packet");
                    assert!(reset.flags.rst && reset.destination == caller(port));
                    refused.insert(port);
                }
                outcome => assert!(matches!(outcome, Outcome::Discarded(_)), "{outcome:?}"),
            }
        }
    }
    assert_eq!((reached.len(), refused.len()), (10, 40));
    assert!(reached.is_disjoint(&refused));
}

/// Flows that no target takes do not use up the allowance.
#[test]
fn no_target_uncounted() {
    for instances in [1, 2] {
        let places = |other: &InstanceId| pipeline(1, &[1, *other]).placement.places(1);
        let other = (2..100).find(places).expect("an instance that ranks after 1");
        let mut pipeline = pipeline(1, &[1, other][..instances]);
        let dead = TargetView { state: TargetState::Dead, version: 1, since: START };
        for target in &services().list()[0].targets {
            pipeline.placement.set_target(target.id, dead);
        }
        admits(&mut pipeline, START, 1..50);
        let serving = TargetView { state: TargetState::Serving, version: 2, since: START };
        for target in &services().list()[0].targets {
            pipeline.placement.set_target(target.id, serving);
        }
        assert_eq!(admits(&mut pipeline, START, 100..120), 10);
    }
}

/// One of two instances, with what wires its admission.
struct Node {
    pipeline: Pipeline,
    take_overs: TakeOvers,
    link: Link,
}

impl Node {
    fn new(id: InstanceId, both: &[InstanceId; 2]) -> Self {
        let mut link = Link::new([0; 32], id, 1, 3_000, Duration::ZERO);
        link.set_addresses(both.iter().map(|&id| (id, ([127, 0, 0, 1], 9).into())).collect());
        Self { pipeline: pipeline(id, both), take_overs: TakeOvers::default(), link }
    }

    fn set_owners(&mut self, owners: &[InstanceId]) {
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        placement.set_members(START, owners.to_vec(), owners.to_vec());
        self.take_overs.compare(START, placement, admission.as_mut());
        self.take_overs.on_rules(START, placement, admission.as_mut());
    }

    /// Returns the messages that are due.
    fn send(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut out = self.link.outbox(START, &mut actions);
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        self.take_overs.send(placement, admission.as_mut(), &mut out);
        actions
    }

    fn receive(&mut self, action: Action) {
        let Action::Peer(_, buf) = action else { panic!("not a message") };
        let (from, body) = self.link.open(&buf).expect("a sealed message");
        let Body::Admission(message) = body else { panic!("another message") };
        let Pipeline { placement, admission, .. } = &mut self.pipeline;
        self.take_overs.on_message(START, from, message, placement, admission.as_mut());
    }
}

/// Makes two instances, the second of which places the service and counts ten open flows.
fn full_pair() -> ([InstanceId; 2], [Node; 2]) {
    let places = |id: &InstanceId| pipeline(*id, &[1, *id]).placement.places(1);
    let ids = [1, (2..100).find(places).expect("an instance that ranks before 1")];
    let mut nodes = ids.map(|id| Node::new(id, &ids));
    nodes.iter_mut().for_each(|node| node.set_owners(&ids));
    let to = services().list()[0].address;
    for port in 1..=10 {
        let (mut at, mut route, mut sent) = (0, Route::ENTRY, packet(caller(port), to, Kind::Syn));
        while let (Outcome::Instance(id, next, passed), _) =
            nodes[at].pipeline.run(START, sent, route, 0)
        {
            (at, route, sent) = (usize::from(id != ids[0]), next, passed);
        }
    }
    (ids, nodes)
}

/// Returns the port of a flow that an instance owns.
fn owned_port(node: &Node) -> u16 {
    let flow = |port| new_flow(&services(), 0, 0, port).flow;
    let owned = |port: &u16| node.pipeline.placement.flows().get(flow(*port)).is_some();
    (1..=10).find(owned).expect("a flow that the instance owns")
}

/// The placer leaves, and the other instance counts all flows that were open: those that it
/// owns at once, and the others as it is told.
#[test]
fn take_over_counts() {
    let (ids, mut nodes) = full_pair();
    nodes.iter_mut().for_each(|node| node.set_owners(&ids[..1]));
    let [first, second] = &mut nodes;
    let owned = first.pipeline.placement.flows().len();
    assert!((1..10).contains(&owned), "{owned}");
    // The report has to wait, and the records get other owners meanwhile.
    let mut actions = Vec::new();
    for _ in 0..10 {
        let mut out = second.link.outbox(START, &mut actions);
        second.pipeline.placement.tick(START, &mut out);
    }
    let reports = second.send();
    assert!(!reports.is_empty());
    // One flow ends while the reports are under way.
    from_caller(&mut first.pipeline, START, owned_port(second), Kind::Fin);
    reports.into_iter().for_each(|report| first.receive(report));
    assert_eq!(admits(&mut first.pipeline, START, 100..120), 1);
}

/// Ends that one side of a cut has seen make room on the other side after the cut, whether
/// the first side counted the flow or not.
#[test]
fn ends_told() {
    let (ids, mut nodes) = full_pair();
    for (i, node) in nodes.iter_mut().enumerate() {
        node.set_owners(&ids[i..=i]);
    }
    let ended = nodes.each_ref().map(owned_port);
    for port in ended {
        from_caller(&mut nodes[0].pipeline, START, port, Kind::Fin);
    }
    let [first, second] = &mut nodes;
    assert_eq!(admits(&mut second.pipeline, START, 100..120), 0);
    first.set_owners(&ids);
    second.set_owners(&ids);
    first.send().into_iter().for_each(|report| second.receive(report));
    let services = services();
    let class = |port| new_flow(&services, 0, 0, port);
    let admission = &mut second.pipeline.admission;
    let admitted = (200..220).filter(|&port| admission.admit(START, &class(port)).is_ok());
    assert_eq!(admitted.count(), 2);
}

/// Flows of which no packet passes the placer stay counted as long as their owners know
/// them, and no longer.
#[test]
fn owners_asked() {
    let (_, [mut first, mut second]) = full_pair();
    let owned = first.pipeline.placement.flows().len();
    assert!((1..10).contains(&owned), "{owned}");
    let nothing = FlowTable::new(1);
    let idle = START + services().list()[0].idle_timeout;
    for round in 1..=4 {
        let now = idle + Duration::from_secs(30) * round;
        (0..64).for_each(|_| second.pipeline.admission.tick(now, &nothing));
        second.send().into_iter().for_each(|question| first.receive(question));
        first.send().into_iter().for_each(|answer| second.receive(answer));
    }
    // The second instance's own flows are not asked for, and its table is kept from it.
    assert_eq!(admits(&mut second.pipeline, START, 100..120), 10 - owned);
}
