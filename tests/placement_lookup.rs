//! Queries for unknown flows are sent within the control budget, for any number of flows and
//! instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::hash::HashMap;
use limpetdeck::ids::InstanceId;
use limpetdeck::instance::Action;
use limpetdeck::link::Link;
use limpetdeck::packet::{Segment, TcpFlags};
use limpetdeck::placement::{
    DropReason, Placement, PlacementConfig, Policy, Route, Stage, Verdict,
};
use limpetdeck::services::{RawServices, Services};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Control budget of an instance in bytes per second.
const BUDGET: u32 = 3_000;

fn services() -> Arc<Services> {
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    Arc::new(Services::try_from(raw).expect("a valid sample"))
}

fn data(port: u16) -> Segment {
    Segment {
        source: format!("10.9.0.1:{port}").parse().expect("an address"),
        destination: "10.1.0.1:7000".parse().expect("an address"),
        sequence: 7,
        acknowledgment: 9,
        flags: TcpFlags { ack: true, ..TcpFlags::default() },
        payload_len: 1,
    }
}

fn addresses(instances: u32) -> HashMap<InstanceId, SocketAddr> {
    let address = |id| SocketAddr::from(([127, 0, 0, 1], 10_000 + id as u16));
    (2..=instances).map(|id| (id, address(id))).collect()
}

/// Returns the number of queries that are sent in one second for `flows` unknown flows.
fn queries(instances: u32, flows: u16) -> usize {
    let services = services();
    let cfg = PlacementConfig { instance_id: 1, flow_capacity: 1_000, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    placement.set_services(Duration::ZERO, 1, Arc::clone(&services));
    placement.set_members(Duration::ZERO, 1..=instances, 1..=instances);
    let mut link = Link::new([0; 32], 1, 1, BUDGET, Duration::ZERO);
    link.set_addresses(addresses(instances));
    let route = Route { stage: Stage::PlacerLookup, hops: 3, suggested_target: None };
    let mut out = Vec::new();
    for step in 0..10 {
        let now = Duration::from_secs(10) + TICK * step;
        for port in 1..=flows {
            let segment = data(port);
            let class = ClassifiedPacket::new(&services, &segment).expect("a service");
            let verdict = placement.decide(now, &class, &segment, route);
            assert_eq!(verdict, Verdict::Drop(DropReason::UnknownFlow));
        }
        placement.tick(now, &mut link.outbox(now, &mut out));
    }
    let lengths = out.iter().filter_map(|action| match action {
        Action::Peer(_, buf) => Some(buf.len()),
        _ => None,
    });
    assert!(lengths.clone().sum::<usize>() <= BUDGET as usize, "within the budget");
    lengths.count()
}

#[test]
fn one_flow() {
    assert!(queries(18, 1) >= 17, "all other instances are queried");
}

#[test]
fn many_flows() {
    assert!(queries(18, 32) > 0);
}

#[test]
fn many_instances() {
    assert!(queries(800, 32) > 0);
}
