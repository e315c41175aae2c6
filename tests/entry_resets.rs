//! Open flows of targets that live are not reset by `limpetdeck-entry`.

#[path = "support/target_fleet.rs"]
mod target_fleet;

use std::sync::Arc;
use std::time::Duration;

use limpetdeck::flow::ClassifiedPacket;
use limpetdeck::link::Link;
use limpetdeck::packet::{Segment, TcpFlags};
use limpetdeck::placement::TargetState::{Dead, Draining, Serving};
use limpetdeck::placement::{
    Placement, PlacementConfig, Policy, Route, TargetState, TargetView, Verdict,
};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::targets::ProbeError;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use target_fleet::{Fleet, domain};

const MINUTE: Duration = Duration::from_secs(60);

/// Returns the number of seeds to draw; `PROBER_SEEDS=400` draws as many.
fn drawn_seeds() -> u64 {
    std::env::var("PROBER_SEEDS").map_or(10, |text| text.parse().expect("DRAWN_SEEDS=N"))
}

fn settled_fleet(targets: u32, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, targets, seed);
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Runs for a time, and returns when the target first counted as dead somewhere, and for how many
/// instances in the end.
fn find_dead(fleet: &mut Fleet, target: u32, time: Duration) -> Option<(Duration, usize)> {
    let start = fleet.now;
    let after = fleet.run_until(time, |fleet| fleet.states(target).contains(&Dead))?;
    fleet.run(time.saturating_sub(fleet.now - start));
    Some((after, fleet.states(target).iter().filter(|state| **state == Dead).count()))
}

/// The instances of a target's own failure domain, among them its two probers, do not reach it. All
/// other instances do, and so do their callers' packets.
#[test]
fn cut_from_its_probers() {
    let mut fleet = settled_fleet(18, 1);
    fleet.cut = (0..18).filter(|&i| domain(i + 1) == domain(4)).map(|i| (i as usize, 4)).collect();
    assert_eq!(fleet.cut.len(), 6);
    assert_eq!(find_dead(&mut fleet, 4, MINUTE), None, "after, instances");
}

/// A failure domain with a single target is partitioned off, with the instances there. Nothing there
/// tells a cut path from a dead target.
#[test]
fn partition_with_one_target() {
    let mut found = Vec::new();
    for seed in 1..=10 {
        let mut fleet = settled_fleet(4, seed);
        let isolated = |id| u32::from(domain(id) == domain(2));
        fleet.partition(isolated, isolated);
        found.extend(find_dead(&mut fleet, 2, MINUTE).map(|found| (seed, found)));
    }
    assert_eq!(found, [], "seed, (after, instances)");
}

/// Instances stand still for a time again and again, and read the results of their probes too late.
#[test]
fn stalled_probers() {
    let seeds = 1..=drawn_seeds();
    let mut found = Vec::new();
    for seed in seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = settled_fleet(6, seed);
        let longest = *[800, 2_000, 4_500].choose(&mut rng).expect("not empty");
        fleet.probe_delay = Duration::from_millis(*[50, 400].choose(&mut rng).expect("not empty"));
        let pause = *[300, 1_500, 4_000].choose(&mut rng).expect("not empty");
        for _ in 0..100 {
            for i in 0..18 {
                if rng.random_bool(0.7) {
                    let span = Duration::from_millis(rng.random_range(100..longest));
                    fleet.stalled_until[i] = fleet.now + span;
                }
            }
            fleet.run(Duration::from_millis(rng.random_range(100..pause)));
            let dead = (1..=6).find(|&target| fleet.states(target).contains(&Dead));
            if let Some(target) = dead {
                found.push((seed, target, fleet.now));
                break;
            }
        }
    }
    assert_eq!(found, [], "seed, target, when");
}

/// The results of all probes of a target are read late: none of them has failed.
#[test]
fn overdue_results() {
    let mut fleet = settled_fleet(18, 1);
    fleet.slow.insert(4, Duration::from_secs(12));
    assert_eq!(find_dead(&mut fleet, 4, MINUTE), None, "after, instances");
}

/// A target serves, and answers probes of its report with an error.
#[test]
fn report_with_error() {
    let errors = [
        ProbeError::Status(503),
        ProbeError::Status(404),
        ProbeError::InvalidReport("expected value".to_owned()),
    ];
    let mut found = Vec::new();
    for error in errors {
        let mut fleet = settled_fleet(18, 1);
        fleet.errors.insert(4, error.clone());
        found.extend(find_dead(&mut fleet, 4, MINUTE).map(|found| (error, found)));
    }
    assert_eq!(found, [], "error, (after, instances)");
}

const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
const DATA: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
const SYN_ACK: TcpFlags = TcpFlags { syn: true, ack: true, fin: false, rst: false };

/// Returns the placement of the only instance.
fn placement() -> Placement {
    let cfg = PlacementConfig { instance_id: 1, flow_capacity: 100_000, policy: Policy::Epochs };
    let mut placement = Placement::new(&cfg);
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    let services = Services::try_from(raw).expect("a valid sample");
    placement.set_services(Duration::ZERO, 1, Arc::new(services));
    placement.set_members(Duration::ZERO, [1], [1]);
    placement
}

/// Decides about a packet of the flow from a port, by its target or its caller.
fn decide(
    placement: &mut Placement,
    at: u64,
    port: u16,
    from: Option<u32>,
    flags: TcpFlags,
) -> Verdict {
    let services = Arc::clone(placement.services());
    let caller = format!("10.9.0.1:{port}").parse().expect("an address");
    let (source, destination) = match from {
        Some(id) => (services.target(id).expect("a target").1.address, caller),
        None => (caller, services.list()[0].address),
    };
    let segment =
        Segment { source, destination, sequence: 9, acknowledgment: 5, flags, payload_len: 10 };
    let class = ClassifiedPacket::new(&services, &segment).expect("a service");
    placement.decide(Duration::from_millis(at), &class, &segment, Route::ENTRY)
}

fn open(placement: &mut Placement, at: u64, port: u16) -> u32 {
    let Verdict::ToTarget(target) = decide(placement, at, port, None, SYN) else {
        panic!("a new flow goes to a target")
    };
    assert_eq!(decide(placement, at + 1, port, Some(target), SYN_ACK), Verdict::ToCaller);
    assert_eq!(decide(placement, at + 2, port, None, DATA), Verdict::ToTarget(target));
    target
}

fn set_state(placement: &mut Placement, at: u64, target: u32, state: TargetState, version: u64) {
    let since = Duration::from_millis(at);
    placement.set_target_state(target, TargetView { state, version, since });
}

/// A target has been reported as dead, and answers the caller since: the report is wrong.
#[test]
fn answers_after_report() {
    let mut placement = placement();
    let target = open(&mut placement, 60_000, 4_000);
    set_state(&mut placement, 61_000, target, Dead, 1);
    assert_eq!(decide(&mut placement, 61_500, 4_000, Some(target), DATA), Verdict::ToCaller);
    assert_eq!(decide(&mut placement, 61_501, 4_000, None, DATA), Verdict::ToTarget(target));
}

/// A target that was dead serves again, as the instance knows that opens a flow there, and this one
/// does not know yet. The target's answers pass here.
#[test]
fn opened_where_known_to_be_back() {
    let mut elsewhere = placement();
    let target = open(&mut elsewhere, 60_000, 4_000);
    set_state(&mut elsewhere, 61_000, target, Dead, 1);
    let mut placement = elsewhere.clone();
    set_state(&mut elsewhere, 70_000, target, Serving, 2);
    let port = (4_001..4_100).find(|&port| open(&mut elsewhere, 71_000, port) == target);
    let port = port.expect("a flow to the target");
    assert_eq!(decide(&mut placement, 71_010, port, Some(target), DATA), Verdict::ToCaller);
    assert_eq!(decide(&mut placement, 71_011, port, None, DATA), Verdict::ToTarget(target));
}

/// No instance that answers knows a flow: those that did have restarted, or do not get the queries.
/// Its target lives, and its caller sends again for half a minute.
#[test]
fn unknown_to_peers() {
    let mut placement = placement();
    placement.set_members(Duration::ZERO, [1], 1..=6);
    let mut link = Link::new([7; 32], 1, 1, 3_000, Duration::ZERO);
    let mut resets = Vec::new();
    for at in (60_000..90_000).step_by(100) {
        let now = Duration::from_millis(at);
        let verdict = decide(&mut placement, at, 4_000, None, DATA);
        if !matches!(verdict, Verdict::ToTarget(_) | Verdict::Drop(_)) {
            resets.push(at);
        }
        placement.tick(now, &mut link.outbox(now, &mut Vec::new()));
    }
    assert_eq!(resets.first(), None, "{} resets", resets.len());
}

/// An instance has learned a flow from its target's answers, and gets a late copy of its opening
/// packet. The target has begun to drain, and keeps its flows.
#[test]
fn late_copy_of_learned_flow() {
    let mut placement = placement();
    assert_eq!(decide(&mut placement, 60_000, 4_000, Some(1), DATA), Verdict::ToCaller);
    assert_eq!(decide(&mut placement, 60_001, 4_000, None, DATA), Verdict::ToTarget(1));
    set_state(&mut placement, 60_100, 1, Draining, 1);
    let verdict = decide(&mut placement, 60_200, 4_000, None, SYN);
    assert!(matches!(verdict, Verdict::ToTarget(1) | Verdict::Drop(_)), "{verdict:?}");
}
