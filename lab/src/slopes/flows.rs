//! Memory per flow, and time per packet and tick.

use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::link::Link;
use limpetdeck::packet::{decode, rewrite_destination};
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Route, Verdict};
use limpetdeck::services::Services;

use super::fixtures::{caller, packet, service_address, services, target_address};
use super::mean_ns;

/// Numbers of known flows.
const FLOWS: [u32; 3] = [10_000, 100_000, 1_000_000];
/// Packets in one timed batch.
const BATCH: usize = 200_000;
/// Payload of a packet in bytes.
const PAYLOAD: usize = 100;
/// Instances that share the flows.
const INSTANCES: u32 = 18;
/// Number of ticks in which every shard is processed at least once.
const TICKS: u32 = 64;
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Virtual time at which the flows are learnt.
const NOW: Duration = Duration::from_secs(1);

/// Prints times per packet, and memory and times for each number of flows.
pub(super) fn print(seed: u64) {
    let Ok(checked) = Services::try_from(services(1, 1)) else { return };
    let checked = Arc::new(checked);
    print_packet_times(&checked);
    for flows in FLOWS {
        print_flows(&checked, flows, seed);
    }
}

fn print_packet_times(services: &Services) {
    let buf = packet(caller(1), service_address(1), PAYLOAD);
    let Ok(segment) = decode(&buf) else { return };
    let decode_ns = mean_ns(BATCH, |_| decode(&buf));
    let classify_ns = mean_ns(BATCH, |_| ClassifiedPacket::new(services, &segment).map(|c| c.flow));
    let mut copy = buf.clone();
    let rewrite_ns = mean_ns(BATCH, |_| rewrite_destination(&mut copy, target_address(1)));
    println!(
        "slope=packet payload={PAYLOAD} decode_ns={decode_ns:.0} classify_ns={classify_ns:.0} \
         rewrite_ns={rewrite_ns:.0}"
    );
}

fn print_flows(services: &Arc<Services>, flows: u32, seed: u64) {
    let cfg = PlacementConfig {
        instance_id: 1,
        flow_capacity: 2 * flows as usize,
        policy: Policy::default(),
    };
    let mut placement = Placement::new(&cfg);
    placement.set_services(NOW, 1, Arc::clone(services));
    placement.set_members(NOW, 1..=INSTANCES, 1..=INSTANCES);
    let reply = |flow| packet(target_address(1), caller(flow), PAYLOAD);
    for flow in 0..flows {
        decide(&mut placement, services, &reply(flow));
    }
    let bytes = placement.flows().bytes() as f64 / f64::from(flows);
    let known = placement.flows().len();
    let request =
        |i: usize| packet(caller(pseudorandom_flow(i, flows, seed)), service_address(1), PAYLOAD);
    let requests: Vec<_> = (0..BATCH).filter_map(|i| decode(&request(i)).ok()).collect();
    let classified: Vec<_> =
        requests.iter().filter_map(|segment| ClassifiedPacket::new(services, segment)).collect();
    let mut direct = 0;
    let decide_ns = mean_ns(classified.len().min(requests.len()), |i| {
        let verdict = placement.decide(NOW, &classified[i], &requests[i], Route::ENTRY);
        direct += usize::from(matches!(verdict, Verdict::ToTarget(..)));
    });
    let (idle_us, changed_us) = tick_times(&mut placement);
    println!(
        "slope=flows flows={flows} known={known} bytes_per_flow={bytes:.1} \
         decide_ns={decide_ns:.0} direct={direct} tick_mean_us={idle_us:.0} \
         tick_after_change_mean_us={changed_us:.0}"
    );
}

fn decide(placement: &mut Placement, services: &Services, buf: &[u8]) {
    let Ok(segment) = decode(buf) else { return };
    if let Some(class) = ClassifiedPacket::new(services, &segment) {
        placement.decide(NOW, &class, &segment, Route::ENTRY);
    }
}

/// Returns the `i`th flow of a pseudorandom sequence, so that consecutive packets do not hit
/// neighbouring memory.
fn pseudorandom_flow(i: usize, flows: u32, seed: u64) -> u32 {
    (limpetdeck::hash::stable_pair(seed, i as u64) % u64::from(flows)) as u32
}

/// Returns the mean time of a tick in microseconds, without changes and after an instance has died.
fn tick_times(placement: &mut Placement) -> (f64, f64) {
    let mut link = Link::new([0; 32], 1, 1, 3_000, NOW);
    run_ticks(placement, &mut link, 0);
    let idle_us = run_ticks(placement, &mut link, 1);
    placement.set_members(NOW, 1..INSTANCES, 1..INSTANCES);
    (idle_us, run_ticks(placement, &mut link, 2))
}

fn run_ticks(placement: &mut Placement, link: &mut Link, round: u32) -> f64 {
    let start = Instant::now();
    for i in 1..=TICKS {
        let mut actions = Vec::new();
        let now = NOW + TICK * (round * TICKS + i);
        placement.tick(now, &mut link.outbox(now, &mut actions));
    }
    start.elapsed().as_nanos() as f64 / 1e3 / f64::from(TICKS)
}
