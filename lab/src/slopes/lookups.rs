//! Lookups of flows that no instance on the path of a packet knows.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::ids::InstanceId;
use limpetdeck::link::Link;
use limpetdeck::packet::decode;
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Ranks, Route, Stage};
use limpetdeck::services::Services;

use super::fixtures::{caller, packet, service_address, services};

/// Numbers of live instances.
const INSTANCES: [InstanceId; 5] = [6, 18, 60, 160, 800];
/// Numbers of unknown flows whose packets arrive at the same time.
const FLOWS: [u32; 3] = [1, 8, 32];
/// Limit on control traffic in bytes per second.
const CONTROL_BUDGET_BYTES_PER_S: u32 = 3_000;
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Ticks of one run. Callers repeat their packets in each.
const TICKS: u32 = 100;

/// Prints the number of lookup messages sent in 10 s of virtual time without other control
/// traffic.
pub(super) fn print() {
    let Ok(checked) = Services::try_from(services(1, 1)) else { return };
    let checked = Arc::new(checked);
    for instances in INSTANCES {
        for flows in FLOWS {
            let lookups = count_lookups(&checked, instances, flows);
            println!("slope=lookup instances={instances} unknown={flows} questions={lookups}");
        }
    }
}

fn count_lookups(services: &Arc<Services>, instances: InstanceId, flows: u32) -> usize {
    let me = Ranks::new(1..=instances).placer(1).unwrap_or(1);
    let cfg = PlacementConfig { instance_id: me, flow_capacity: 1_000, policy: Policy::default() };
    let mut placement = Placement::new(&cfg);
    placement.set_services(Duration::ZERO, 1, Arc::clone(services));
    placement.set_members(Duration::ZERO, 1..=instances, 1..=instances);
    let mut link = Link::new([0; 32], me, 1, CONTROL_BUDGET_BYTES_PER_S, Duration::ZERO);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000));
    link.set_addresses((1..=instances).map(|id| (id, address)).collect());
    let route = Route { stage: Stage::PlacerLookup, hops: 3, suggested_target: None };
    let mut actions = Vec::new();
    for tick in 1..=TICKS {
        let now = TICK * tick;
        for flow in 0..flows {
            let buf = packet(caller(flow), service_address(1), 1);
            let Ok(segment) = decode(&buf) else { continue };
            let Some(class) = ClassifiedPacket::new(services, &segment) else { continue };
            placement.decide(now, &class, &segment, route);
        }
        placement.tick(now, &mut link.outbox(now, &mut actions));
    }
    actions.len()
}
