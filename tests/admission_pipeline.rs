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
use limpetdeck::packet::{Segment, decode};
use limpetdeck::pipeline::{Outcome, Pipeline};
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Route, TargetState, TargetView};
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

fn pipeline(members: &[InstanceId]) -> Pipeline {
    let cfg = PlacementConfig { me: 1, flow_capacity: 10_000, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    placement.set_services(Duration::ZERO, 1, services());
    placement.set_members(Duration::ZERO, members.to_vec(), members.to_vec());
    let mut admission = RuleAdmission::new(SmallRng::seed_from_u64(1));
    admission.set_rules(Duration::ZERO, rules(10, 1_000));
    Pipeline::new(placement, Box::new(admission), Tracer::new(1, 0))
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

/// Lets an answer of a flow pass by.
fn answer(pipeline: &mut Pipeline, now: Duration, port: u16, kind: Kind) {
    let from = services().list()[0].targets[0].address;
    pipeline.run(now, packet(from, caller(port), kind), Route::ENTRY, 0);
}

fn admits(pipeline: &mut Pipeline, now: Duration, ports: std::ops::Range<u16>) -> usize {
    let refused = |outcome: &Outcome| matches!(outcome, Outcome::Refused(..));
    ports.filter(|&port| !refused(&from_caller(pipeline, now, port, Kind::Syn))).count()
}

#[test]
fn refused_stays_out() {
    let mut pipeline = pipeline(&[1]);
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
        let places = |other: &InstanceId| pipeline(&[1, *other]).placement.places(1);
        let other = (2..100).find(places).expect("an instance that ranks after 1");
        let mut pipeline = pipeline(&[1, other][..instances]);
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

/// Leaves instance 1 alone, so that it places every service.
fn take_over(pipeline: &mut Pipeline, take_overs: &mut TakeOvers, now: Duration) {
    let Pipeline { placement, admission, .. } = pipeline;
    placement.set_members(now, [1], [1]);
    take_overs.compare(now, placement, admission.as_mut());
}

/// Makes instance 1 beside another one that places the service.
fn beside_the_placer() -> (Pipeline, TakeOvers) {
    let other = (2..100).find(|&other| !pipeline(&[1, other]).placement.places(1));
    let mut pipeline = pipeline(&[1, other.expect("an instance that ranks first")]);
    let mut take_overs = TakeOvers::default();
    let Pipeline { placement, admission, .. } = &mut pipeline;
    take_overs.compare(Duration::ZERO, placement, admission.as_mut());
    (pipeline, take_overs)
}

#[test]
fn take_over_counts() {
    let (mut pipeline, mut take_overs) = beside_the_placer();
    (1..=4).for_each(|port| answer(&mut pipeline, START, port, Kind::Data));
    take_over(&mut pipeline, &mut take_overs, START);
    assert_eq!(admits(&mut pipeline, START, 100..120), 6);
    // Two flows more show up later; a flow that has ended since does not come back.
    let later = START + Duration::from_secs(10);
    (5..=6).for_each(|port| answer(&mut pipeline, later, port, Kind::Data));
    from_caller(&mut pipeline, later, 4, Kind::Fin);
    let Pipeline { placement, admission, .. } = &mut pipeline;
    take_overs.count(later, placement, admission.as_mut());
    from_caller(&mut pipeline, later, 100, Kind::Fin);
    from_caller(&mut pipeline, later, 101, Kind::Fin);
    assert_eq!(admits(&mut pipeline, later, 200..220), 1);
}

#[test]
fn unproved_flows_go() {
    let (mut pipeline, mut take_overs) = beside_the_placer();
    (1..=10).for_each(|port| answer(&mut pipeline, START, port, Kind::Data));
    take_over(&mut pipeline, &mut take_overs, START);
    assert_eq!(admits(&mut pipeline, START, 100..120), 0);
    let later = START + Duration::from_secs(100);
    (1..=3).for_each(|port| answer(&mut pipeline, later, port, Kind::Data));
    let end = START + Duration::from_secs(121);
    let Pipeline { placement, admission, .. } = &mut pipeline;
    (0..64).for_each(|_| admission.tick(end, placement.flows()));
    assert_eq!(admits(&mut pipeline, end, 100..120), 7);
}
