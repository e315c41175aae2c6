//! Spread of newer routes as changes, and routes that are used before all have arrived.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::instance::{Core, Event};
use limpetdeck::platform::{Call, Changes, Object};
use limpetdeck::steering::{
    ChangeError, DropReason, Node, RawRoute, RawRoutes, RequestClass, ResetReason, RouteTable,
    ServiceWarmUp, Verdict, WeightedService,
};
use quickcheck::{TestResult, quickcheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;
use world::*;

fn class_of(port: u16) -> RequestClass {
    RequestClass {
        timeout_ms: port.into(),
        priority: (port % 3) as u8,
        repeatable: port.is_multiple_of(2),
    }
}

/// Returns routes for the given ports, in the given order; those of odd ports lead to `service`.
fn routes_of(version: u64, ports: &[u16], service: &str) -> RawRoutes {
    let route = |&port: &u16| {
        let service = if port % 2 == 1 { service } else { STATION }.to_owned();
        RawRoute {
            name: format!("r{port}"),
            address: SocketAddrV4::new(*address(1).ip(), port),
            services: vec![WeightedService { service, weight: 1 }],
        }
    };
    let routes: Vec<_> = ports.iter().map(route).collect();
    let latency_targets_ms = ports.iter().map(|&port| u64::from(port)).collect();
    RawRoutes {
        version,
        routes,
        idle_timeout_ms: 15_000,
        latency_targets_ms,
        classes: ports.iter().map(|&port| class_of(port)).collect(),
        warm_ups: vec![ServiceWarmUp {
            service: service.to_owned(),
            duration_ms: 2_000,
            flows_per_1000_s: version,
        }],
    }
}

fn table(raw: RawRoutes) -> RouteTable {
    let mut table = RouteTable::default();
    assert!(table.adopt(raw).expect("valid routes"));
    table
}

fn by_port(raw: Option<&RawRoutes>) -> Vec<RawRoute> {
    let mut routes = raw.expect("routes").routes.clone();
    routes.sort_by_key(|route| route.address);
    routes
}

#[test]
fn change_applied() {
    let mut sender = table(routes_of(3, &[1, 2, 3], STATION));
    let mut receiver = table(routes_of(3, &[3, 2, 1], STATION));
    sender.adopt(routes_of(5, &[1, 2, 4], FARES)).expect("valid routes");
    let change = sender.change_since(3).expect("a change");
    assert_eq!(change.removed.len(), 1);
    assert_eq!(change.changed.len(), 2, "route 2 is unchanged");
    let raw = receiver.apply_change(&change).expect("it fits").expect("newer routes");
    assert!(receiver.adopt(raw).expect("valid routes"));
    assert_eq!(receiver.raw(), sender.raw());
    assert_eq!(receiver.apply_change(&change), Ok(None), "applied twice");
}

#[test]
fn unknown_start() {
    let mut sender = table(routes_of(3, &[1, 2], STATION));
    assert_eq!(sender.change_since(3), None);
    sender.adopt(routes_of(5, &[1, 2], FARES)).expect("valid routes");
    assert_eq!(sender.change_since(2), None, "changes before the first version are not known");
    let change = sender.change_since(3).expect("a change");
    let older = table(routes_of(2, &[1, 2], STATION));
    assert_eq!(older.apply_change(&change), Err(ChangeError::Gap));
    assert_eq!(RouteTable::default().apply_change(&change), Err(ChangeError::Gap));
}

/// The sender has not seen a version in which a route was different for a time: the receiver
/// notices that the change does not lead to the sender's routes.
#[test]
fn skipped_version() {
    let mut sender = table(routes_of(1, &[1], STATION));
    sender.adopt(routes_of(3, &[1], STATION)).expect("valid routes");
    let receiver = table(routes_of(2, &[1], FARES));
    let change = sender.change_since(2).expect("a change");
    assert_eq!(receiver.apply_change(&change), Err(ChangeError::Mismatch));
}

/// Whatever versions two instances have seen, a change either leads to the sender's routes or is
/// refused.
#[test]
fn change_never_wrong() {
    fn property(seed: u64) -> TestResult {
        let mut rng = SmallRng::seed_from_u64(seed);
        let versions: Vec<_> = (1..=8)
            .map(|version| {
                let ports: Vec<_> = (1..=6).filter(|_| rng.random_bool(0.7)).collect();
                routes_of(version, &ports, if rng.random() { STATION } else { FARES })
            })
            .filter(|raw| !raw.routes.is_empty())
            .collect();
        let (mut sender, mut receiver) = (RouteTable::default(), RouteTable::default());
        for raw in &versions {
            if rng.random() {
                sender.adopt(raw.clone()).expect("valid routes");
            }
            if rng.random() {
                receiver.adopt(raw.clone()).expect("valid routes");
            }
        }
        let Some(change) = sender.change_since(receiver.version()) else {
            return TestResult::discard();
        };
        match receiver.apply_change(&change) {
            Ok(Some(raw)) => TestResult::from_bool(by_port(Some(&raw)) == by_port(sender.raw())),
            Ok(None) => TestResult::failed(),
            Err(_) => TestResult::passed(),
        }
    }
    quickcheck(property as fn(u64) -> TestResult);
}

/// A change of the routes costs the platform no call for each instance, and is in force within a
/// second.
#[test]
fn calls_per_change() {
    let calls_of = |instances| {
        let mut world = World::new(instances);
        world.run(Duration::from_secs(15));
        world.store.calls = 0;
        let mut slowest = Duration::ZERO;
        for version in 2..=6 {
            let services = if version % 2 == 0 { [STATION, STATION] } else { [STATION, FARES] };
            world.store.put_routes(&routes(version, &services));
            let in_force = |node: &Node| node.forwarder().routes.version() == version;
            slowest = slowest.max(world.run_until(ms(1_000), in_force));
            world.run(Duration::from_secs(2));
        }
        println!("instances={instances} calls={} in_force_after={slowest:?}", world.store.calls);
        world.store.calls
    };
    let (few, many) = (calls_of(10), calls_of(100));
    assert!(many <= few + few / 4, "{few} calls of 10 instances, {many} of 100");
}

/// A change that does not fit a message is announced, and each instance reads it once.
#[test]
fn large_change() {
    let mut world = World::new(40);
    world.run(Duration::from_secs(15));
    world.store.calls = 0;
    let ports: Vec<_> = (1..=400).collect();
    world.store.put_routes(&routes_of(2, &ports, STATION));
    let time = world.run_until(ms(1_000), |node| node.forwarder().routes.version() == 2);
    world.run(Duration::from_secs(2));
    println!("in_force_after={time:?} calls={}", world.store.calls);
    // Besides the read of each instance, the watches of six instances continue.
    assert!(world.store.calls <= 40 + 6 * 4, "{} calls", world.store.calls);
}

fn part(version: u64, ports: &[u16]) -> Event {
    let value = serde_json::to_value(routes_of(version, ports, STATION)).expect("plain data");
    let object = Object { name: "routes/main".to_owned(), version: 7, value };
    let changes = Changes { era: 0, revision: 0, objects: vec![object] };
    Event::PlatformPart(Call::List { prefix: "routes/".to_owned() }, changes)
}

/// Load pattern: all instances start at once over thin links, and the routes take seconds to
/// arrive. A packet is forwarded as soon as its own route has arrived.
#[test]
fn part_used() {
    let mut world = World::new(1);
    world.store.silent_prefixes = vec!["routes/".to_owned()];
    world.start(0);
    world.run(ms(200));
    let [first, second] = [443, 444].map(|port| {
        let mut packet = opening(port, 1);
        packet.flow.service.set_port(port);
        world.handle(0, Event::Packet(text(&packet)));
        packet
    });
    assert!(world.datagrams[0].is_empty(), "no route is known");
    world.handle(0, part(4, &[1, 443]));
    assert_eq!(world.datagrams[0].len(), 1, "the packet whose route has arrived");
    assert!(!world.node(0).healthy(), "routers prefer instances with all routes");
    world.handle(0, part(4, &[1, 443, 444]));
    assert_eq!(world.datagrams[0].len(), 2);
    assert_ne!(first.flow, second.flow);
}

#[test]
fn part_replaced() {
    let mut table = RouteTable::default();
    assert!(table.adopt_partial(&routes_of(4, &[1, 2], STATION)).expect("valid"));
    assert!(!table.adopt_partial(&routes_of(3, &[5], STATION)).expect("valid"), "an older part");
    assert_eq!(table.version(), 0, "a part is not passed on");
    assert!(!table.adopt(routes_of(3, &[1, 2, 3], FARES)).expect("valid"), "older routes");
    assert!(table.adopt(routes_of(4, &[1, 3], STATION)).expect("valid"));
    assert!(table.was_removed(routes_of(4, &[2], STATION).routes[0].address));
    assert!(!table.adopt_partial(&routes_of(9, &[7], STATION)).expect("valid"), "after all");
}

/// An address whose route may still arrive is neither reset nor sent to another route's targets.
#[test]
fn part_never_guessed() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION)]);
    forwarder.routes = RouteTable::default();
    forwarder.routes.adopt_partial(&routes(2, &[STATION])).expect("valid");
    let now = Duration::from_secs(1);
    assert!(matches!(forwarder.decide(now, &opening(1, 1)), Verdict::Forward(..)));
    assert_eq!(forwarder.decide(now, &opening(2, 2)), Verdict::Drop(DropReason::NotReady));
    forwarder.routes.adopt(routes(2, &[STATION])).expect("valid");
    assert_eq!(forwarder.decide(now, &opening(2, 2)), Verdict::Reset(ResetReason::NoRoute));
}
