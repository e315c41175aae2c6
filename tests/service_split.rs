//! The choice of the service for new flows of a route that is split over several.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use limpetdeck::steering::{
    DomainDrains, Forwarder, ResetReason, ServiceState, Target, Verdict, WeightedService,
    pick_service,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::*;

fn split() -> Vec<WeightedService> {
    [(STATION, 90), (FARES, 10)]
        .map(|(service, weight)| WeightedService { service: service.to_owned(), weight })
        .to_vec()
}

fn split_forwarder(targets: &[Target]) -> Forwarder {
    let mut forwarder = forwarder(&[STATION], targets);
    let mut raw = routes(2, &[STATION]);
    raw.routes[0].services = split();
    forwarder.routes.adopt(raw).expect("valid routes");
    forwarder
}

/// Returns how many of 400 new flows go to targets of the smaller service.
fn to_fares(forwarder: &mut Forwarder) -> usize {
    (1..=400).filter(|&port| place(forwarder, ms(1_000), &opening(port, 1)).0 > 4).count()
}

fn targets(keys: std::ops::RangeInclusive<u64>) -> Vec<Target> {
    keys.map(|key| target(key, if key > 4 { FARES } else { STATION })).collect()
}

#[test]
fn by_weight() {
    let share = to_fares(&mut split_forwarder(&targets(1..=8)));
    assert!((20..=60).contains(&share), "{share} of 400 flows instead of 40");
}

/// A service without targets, or whose targets are all silent, gets no flows, and no caller is refused
/// for it. If all are silent, the network may be the cause, and the weights apply.
#[test]
fn service_down() {
    assert_eq!(to_fares(&mut split_forwarder(&targets(1..=4))), 0);
    assert_eq!(to_fares(&mut split_forwarder(&targets(5..=8))), 400);
    let mut forwarder = split_forwarder(&targets(1..=8));
    (1..=4).for_each(|key| forwarder.doubt_target(ms(900), (key, 1_000)));
    assert_eq!(to_fares(&mut forwarder), 400);
    (5..=8).for_each(|key| forwarder.doubt_target(ms(900), (key, 1_000)));
    let share = to_fares(&mut forwarder);
    assert!((20..=60).contains(&share), "{share}");
    let mut empty = split_forwarder(&[]);
    assert_eq!(empty.decide(ms(1_000), &opening(1, 1)), Verdict::Reset(ResetReason::NoTarget));
}

/// Requests wait for most slots of one service, as this instance and its peers see it: its flows go to
/// the other one as far as they exceed what it takes.
#[test]
fn service_full() {
    let mut forwarder = split_forwarder(&targets(1..=8));
    forwarder.set_local_instances(100);
    forwarder.expire(ms(0));
    for port in 1_001..1_003 {
        let (_, token) = place(&mut forwarder, ms(0), &opening(port, 1));
        forwarder.decide(ms(1), &request(port, 1, token, 0));
    }
    (0..20).for_each(|i| forwarder.sample_load(ms(50 * i)));
    let share = to_fares(&mut forwarder);
    assert!(share > 200, "{share} of 400 flows left a service with 16 requests for each slot");
}

/// Requests wait for all local slots of the larger service, of which other failure domains have free
/// targets; in the second case the local failure domain is drained, and its flows are still open. The
/// service is not full, so the weights apply.
#[test]
fn free_elsewhere() {
    for is_drained in [false, true] {
        let fares = (5..=8).map(|key| remote_target(key, FARES));
        let remote = (3..=4).map(|key| remote_target(key, STATION));
        let all: Vec<_> = targets(1..=2).into_iter().chain(remote).chain(fares).collect();
        let mut forwarder = split_forwarder(&all);
        forwarder.set_local_instances(100);
        for port in 1_001..1_009 {
            let (key, token) = place(&mut forwarder, ms(0), &opening(port, 1));
            if key <= 2 {
                forwarder.decide(ms(1), &request(port, 1, token, 0));
            }
        }
        if is_drained {
            let orders = vec![(LOCAL.to_owned(), Some(at(20)))];
            forwarder.drains = DomainDrains::enabled();
            forwarder.drains.on_read(ms(0), at(20), true, orders);
        }
        forwarder.expire(ms(0));
        (0..20).for_each(|i| forwarder.sample_load(ms(50 * i)));
        let mut share = 0;
        for port in 1..=400 {
            // The response shows that the target is not busy.
            let (key, token) = place(&mut forwarder, ms(1_000), &opening(port, 1));
            forwarder.decide(ms(1_000), &request(port, 1, token, 0));
            forwarder.decide(ms(1_000), &acknowledgement(port, 1, token, 0));
            share += usize::from(key > 4);
        }
        assert!((20..=60).contains(&share), "{share} of 400 flows, is_drained={is_drained}");
    }
}

/// A single service is picked without a look at its state.
#[test]
fn single_service() {
    let state = |_: &str| -> ServiceState { panic!("the state was looked at") };
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(pick_service(&split()[..1], state, &mut rng), Some(STATION));
    assert_eq!(pick_service(&[], state, &mut rng), None);
}

/// Outcome of a burst: answers within the latency target, and refusals by targets.
#[derive(Debug, Default)]
struct Burst {
    in_time: f64,
    refused: f64,
}

/// Load pattern: four times the demand of the returns co-operative for 5 s. Targets refuse above a queue
/// of 8 for 2 slots. `follows_load` is whether the choice sees the load.
fn burst(follows_load: bool) -> Burst {
    const SLOTS: [f64; 2] = [240.0, 60.0];
    const STEP_S: f64 = 0.01;
    let (work_s, latency_target_s, per_step) = (0.055, 0.5, 4.0 * 1_138.0 * STEP_S);
    // Urgent requests and downloads keep slots in use.
    let own_in_use = [4.0 * 325.0 * 0.072, 4.0 * 97.5 * 0.005];
    let services = split();
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut in_flight, mut estimate) = ([0.0; 2], [0.0; 2]);
    let mut result = Burst::default();
    for _ in 0..500 {
        for _ in 0..per_step as usize {
            let state = |service: &str| {
                ServiceState::Up(if follows_load {
                    estimate[usize::from(service == FARES)]
                } else {
                    0.0
                })
            };
            let chosen = usize::from(pick_service(&services, state, &mut rng) == Some(FARES));
            let slots: f64 = SLOTS[chosen] - own_in_use[chosen];
            if in_flight[chosen] + own_in_use[chosen] >= 5.0 * SLOTS[chosen] {
                result.refused += 1.0;
                continue;
            }
            let queued: f64 = (in_flight[chosen] - slots).max(0.0);
            result.in_time += f64::from(queued / slots * work_s + work_s <= latency_target_s);
            in_flight[chosen] += 1.0;
        }
        for i in 0..2 {
            let in_use = in_flight[i].min(SLOTS[i] - own_in_use[i]);
            in_flight[i] -= in_use * STEP_S / work_s;
            let load = (in_flight[i] + own_in_use[i]) / SLOTS[i];
            estimate[i] += (load - estimate[i]) * STEP_S;
        }
    }
    result
}

#[test]
fn burst_shared() {
    let (by_weight, by_load) = (burst(false), burst(true));
    println!("by_weight={by_weight:?} by_load={by_load:?}");
    assert!(by_load.refused < by_weight.refused);
    assert!(by_load.in_time > by_weight.in_time);
}
