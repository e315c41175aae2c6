//! Lists reach every instance, and no instance returns to a lower version.

#[path = "support/contents.rs"]
mod contents;
#[path = "support/net.rs"]
mod net;
mod support;

use std::time::Duration;

use contents::{plans, services};
use limpetdeck::lists::{ListKind, ListVersions, RawList};
use net::Net;
use quickcheck::TestResult;
use serde_json::{Value, json};

/// Budget of an instance's control traffic, in bytes per second.
const BUDGET: u32 = 3_000;

/// Creates a network whose instances all have version 1 of services and plans.
fn settled(instances: u32, service_count: u32, seed: u64) -> Net {
    let mut net = Net::new(instances, BUDGET, seed);
    for id in 0..instances {
        net.deliver_object(id, "plans", 1, plans(1, 50));
        net.deliver_object(id, "services", 1, services(1, service_count));
    }
    net.run(Duration::from_secs(5));
    net
}

fn percentile(sorted: &[usize], fraction: f64) -> usize {
    sorted[((sorted.len() - 1) as f64 * fraction) as usize]
}

fn slowest(times: &[Option<Duration>]) -> Duration {
    times
        .iter()
        .copied()
        .map(|time| time.expect("condition met before the time-out"))
        .max()
        .expect("an instance")
}

/// Only one instance receives each change from the platform, as if the platform failed right
/// after it accepted the change.
#[test]
fn single_source() {
    let mut worst = Duration::ZERO;
    for seed in 0..10 {
        let mut net = settled(18, 2, seed);
        net.loss = 0.01;
        for version in 2..7 {
            net.deliver_object(version as u32, "plans", version, plans(version, 50));
            let timeout = Duration::from_secs(30);
            let times = net.run_until(timeout, |lists| lists.versions().plans >= version);
            worst = worst.max(slowest(&times));
            net.run(Duration::from_secs(2));
        }
        let bytes = net.bytes_per_second(Duration::from_secs(5));
        let (p50, p99) = (percentile(&bytes, 0.5), percentile(&bytes, 0.99));
        println!("seed={seed} bytes_per_s_p50={p50} bytes_per_s_p99={p99}");
        assert!(p99 <= 1_500);
    }
    println!("instances=18 in_force_ms_max={}", worst.as_millis());
    assert!(worst <= Duration::from_secs(5));
}

#[test]
fn bootstrap_from_peers() {
    let mut net = settled(3, 40, 1);
    let id = net.add();
    let times = net.run_until(Duration::from_secs(60), limpetdeck::lists::Lists::is_ready);
    println!("services=40 joined_ms={}", slowest(&times).as_millis());
    assert_eq!(net.versions()[id as usize], ListVersions { allowances: 0, plans: 1, services: 1 });
    let (version, services) = net.lists(id).take_services().expect("services");
    assert_eq!((version, services.list().len()), (1, 40));
    assert!(net.lists(id).take_rules().is_some());
}

/// Lists spread although less urgent traffic uses all of the budget that it may use.
#[test]
fn saturated_budget() {
    let mut net = settled(18, 2, 1);
    net.saturated = true;
    net.run(Duration::from_secs(5));
    let mut worst = Duration::ZERO;
    for version in 2..7 {
        net.deliver_object(version as u32, "services", version, services(version, 2));
        let timeout = Duration::from_secs(30);
        let times = net.run_until(timeout, |lists| lists.versions().services >= version);
        worst = worst.max(slowest(&times));
        net.run(Duration::from_secs(2));
    }
    net.add();
    let joined =
        slowest(&net.run_until(Duration::from_secs(60), limpetdeck::lists::Lists::is_ready));
    println!("busy_in_force_ms_max={} busy_joined_ms={}", worst.as_millis(), joined.as_millis());
    assert!(worst <= Duration::from_secs(5) && joined <= Duration::from_secs(30));
}

#[test]
fn no_peers() {
    let mut net = Net::new(1, BUDGET, 1);
    net.run(Duration::from_secs(60));
    assert!(!net.lists(0).is_ready());
    net.deliver_object(0, "services", 1, services(1, 1));
    net.run(Duration::from_secs(1));
    assert!(net.lists(0).is_ready());
    assert!(net.lists(0).take_services().is_some());
    assert!(net.lists(0).take_rules().is_none());
}

/// A stale answer of the platform to a restarted instance does not become active.
#[test]
fn stale_platform_answer() {
    let mut net = settled(3, 1, 1);
    net.deliver_object(0, "plans", 2, plans(2, 50));
    net.run(Duration::from_secs(3));
    net.restart(1);
    net.deliver_object(1, "plans", 1, plans(1, 50));
    net.deliver_object(1, "services", 1, services(1, 1));
    assert!(net.lists(1).take_services().is_none());
    let times = net.run_until(Duration::from_secs(5), limpetdeck::lists::Lists::is_ready);
    slowest(&times);
    assert_eq!(net.versions()[1].plans, 2);
    net.deliver_object(1, "plans", 1, plans(1, 50));
    assert_eq!(net.versions()[1].plans, 2);
}

/// A malformed version is neither activated nor spread, and does not block a later one.
#[test]
fn malformed_version() {
    let mut net = settled(3, 1, 1);
    net.deliver_object(0, "plans", 2, json!({ "customers": [{ "name": "a" }] }));
    net.deliver_object(0, "plans", 3, Value::Null);
    net.run(Duration::from_secs(3));
    assert_eq!(net.versions().iter().map(|versions| versions.plans).max(), Some(1));
    assert_eq!(net.lists(0).refused_versions().plans, 3);
    net.deliver_object(0, "plans", 4, plans(4, 50));
    net.run(Duration::from_secs(3));
    assert!(net.versions().iter().all(|versions| versions.plans == 4));
}

#[test]
fn healed_partition() {
    let mut net = settled(18, 2, 1);
    (0..6).for_each(|id| net.set_partition(id, 1));
    for version in 2..40 {
        net.deliver_object(17, "plans", version, plans(version, 50));
        net.run(Duration::from_millis(500));
    }
    assert!(net.versions()[..6].iter().all(|versions| versions.plans == 1));
    (0..6).for_each(|id| net.set_partition(id, 0));
    let times = net.run_until(Duration::from_secs(30), |lists| lists.versions().plans >= 39);
    println!("healed_ms={}", slowest(&times).as_millis());
    assert!(slowest(&times) <= Duration::from_secs(5));
}

/// Under any sequence of loss, partitions, pauses, restarts and versions, no instance returns
/// to a lower version unless it restarts, and all end with the highest known version.
#[test]
fn versions_never_decrease() {
    fn property(steps: Vec<(u8, u8, u8)>, seed: u64) -> TestResult {
        let mut net = settled(4, 1, seed);
        net.loss = 0.1;
        let mut highest = 1;
        for (what, id, n) in steps {
            let id = u32::from(id % 4);
            let before = net.versions();
            let restarted = what % 6 == 4;
            match what % 6 {
                0 | 1 => {
                    let version = u64::from(n % 32) + 1;
                    highest = highest.max(version);
                    net.deliver_object(id, "plans", version, plans(version, 50));
                }
                2 => net.set_partition(id, u32::from(n % 2)),
                3 => net.set_running(id, n % 2 == 0),
                4 => net.restart(id),
                _ => net.run(Duration::from_millis(u64::from(n) * 10)),
            }
            let after = net.versions();
            let may_decrease = |i: usize| restarted && i == id as usize;
            let decreased = (0..4).any(|i| !after[i].covers(&before[i]) && !may_decrease(i));
            if decreased {
                return TestResult::failed();
            }
        }
        net.loss = 0.0;
        (0..4).for_each(|id| net.set_partition(id, 0));
        (0..4).for_each(|id| net.set_running(id, true));
        let known = net.versions().iter().map(|versions| versions.plans).max().unwrap_or(0);
        net.run(Duration::from_secs(30));
        let expected = RawList::from_json(ListKind::Plans, plans(known, 50)).expect("plans");
        let equal = |id| {
            known == 0 || net.lists(id).content(ListKind::Plans).entries() == expected.entries()
        };
        TestResult::from_bool(known <= highest && (0..4).all(equal))
    }
    support::checker(150).quickcheck(property as fn(Vec<(u8, u8, u8)>, u64) -> TestResult);
}
