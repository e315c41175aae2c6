//! Instances in virtual time: what one learns reaches all, with the platform and without.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::{Changeable, Core, Event};
use limpetdeck::platform::Object;
use limpetdeck::steering::{Node, Target, TargetState};
use support::*;
use world::*;

fn has_left(key: u64) -> impl Fn(&Node) -> bool {
    move |node| !node.steer().directory.usable(Duration::ZERO, TILL).any(|(t, _)| t.key == key)
}

#[test]
fn ready_soon() {
    let mut world = World::new(12);
    let time = world.until(ms(300), Core::healthy);
    println!("ready_after={time:?}");
}

/// A drain is known everywhere well within the three seconds that the users give.
#[test]
fn drain_spreads() {
    let mut world = World::new(24);
    world.run(Duration::from_secs(15));
    let drains = Target { state: TargetState::Draining, ..target(2, TILL) };
    world.store.target(&drains);
    let time = world.until(ms(2_000), has_left(2));
    println!("known_after={time:?}");
}

#[test]
fn routes_spread() {
    let mut world = World::new(24);
    world.run(Duration::from_secs(15));
    world.store.routes(&routes(5, &[TILL, TILL]));
    let time = world.until(ms(2_500), |node| node.steer().routes.version() == 5);
    println!("in_force_after={time:?}");
}

/// The calls of an instance do not rise with their number.
#[test]
fn few_calls() {
    let calls_of = |instances| {
        let mut world = World::new(instances);
        world.run(Duration::from_secs(15));
        world.store.calls = 0;
        world.run(Duration::from_secs(30));
        world.store.calls
    };
    let (few, many) = (calls_of(10), calls_of(40));
    println!("calls_in_30_s few={few} many={many}");
    // Three watchers in each of two domains, two watches each.
    assert!(many <= few + few / 4, "{few} calls of 10 instances, {many} of 40");
}

/// Messages between instances stay within what the users allow, at rest and while targets
/// change, whatever the number of instances.
#[test]
fn control_bytes() {
    for instances in [10, 40, 100] {
        let mut world = World::new(instances);
        world.run(Duration::from_secs(60));
        let mut spent = Vec::new();
        for changes in [0, 40] {
            world.control = 0;
            for n in 0..20 {
                for key in 0..changes / 20_u64 {
                    let start = 2_000 + n;
                    world.store.target(&Target { start, ..target(key + 1, TILL) });
                }
                world.run(ms(500));
            }
            spent.push(world.control / instances / 10);
        }
        println!("instances={instances} at_rest={} busy={} bytes_per_s", spent[0], spent[1]);
        assert!(spent.iter().all(|&bytes| bytes <= 3_000), "{spent:?} bytes a second");
    }
}

/// An instance that starts while the platform is away learns all from the others.
#[test]
fn start_in_outage() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.store.down = true;
    world.kill(5);
    world.run(ms(500));
    world.start(5);
    let time = world.until(ms(4_000), Core::healthy);
    println!("ready_after={time:?}");
    assert_eq!(world.node(5).steer().directory.len(), 4);
    assert_eq!(world.node(5).steer().routes.version(), 1);
}

/// An instance that starts after a target was gone learns of it, so that it can tell the
/// callers of its flows.
#[test]
fn gone_before_start() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.kill(4);
    for key in 1..=3 {
        world.store.remove(key);
    }
    world.run(Duration::from_secs(5));
    world.start(4);
    world.run(ms(1_500));
    assert!(world.node(4).healthy());
    for key in 1..=3 {
        assert!(world.node(4).steer().directory.get((key, 1_000)).is_some(), "target {key}");
        assert!(has_left(key)(world.node(4)));
    }
    assert_eq!(world.node(4).steer().directory.len(), 1);
}

/// All instances start while the platform is away: nobody knows anything, and none says
/// that it is ready before the platform is back.
#[test]
fn all_start_in_outage() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.store.down = true;
    for i in 0..8 {
        world.kill(i);
    }
    for i in 0..8 {
        world.start(i);
    }
    world.run(Duration::from_secs(5));
    assert!(world.nodes.iter().flatten().all(|node| !node.healthy()));
    world.store.down = false;
    let time = world.until(ms(1_200), Core::healthy);
    println!("ready_after={time:?}");
}

/// The platform turns a whole domain away; what changes comes from the other one.
#[test]
fn domain_turned_away() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(10));
    world.store.refuses = vec![0, 2, 4, 6, 8, 10];
    world.run(Duration::from_secs(2));
    world.store.target(&Target { state: TargetState::Draining, ..target(3, TILL) });
    world.store.routes(&routes(9, &[TILL]));
    let time =
        world.until(ms(3_000), |node| has_left(3)(node) && node.steer().routes.version() == 9);
    println!("known_after={time:?}");
}

/// A watcher that dies is replaced.
#[test]
fn watchers_die() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(12));
    let watchers: Vec<_> =
        (0..12).filter(|&i| world.node(i).membership().watches(world.now)).collect();
    assert_eq!(watchers.len(), 6);
    for i in watchers {
        world.kill(i);
    }
    world.run(Duration::from_secs(12));
    world.store.target(&Target { state: TargetState::Draining, ..target(1, TILL) });
    world.until(ms(2_500), has_left(1));
}

/// A restart while the clock is behind: the others still take the new start for new.
#[test]
fn clock_behind() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(10));
    world.kill(4);
    world.starts = 0;
    world.start(4);
    world.run(Duration::from_secs(10));
    assert!(!world.exited[4], "it gave way to its own earlier start");
    assert_eq!(world.node(4).membership().live().len(), 6);
    assert!(world.node(0).membership().live().contains(&5));
}

/// What comes before routes and targets are known waits for them, and goes out once.
#[test]
fn packets_wait() {
    let mut world = World::new(1);
    let packet = opening(7, 1);
    world.handle(0, Event::Packet(text(&packet)));
    world.handle(0, Event::Packet(text(&reopening(7, 1, 1))));
    assert!(world.out[0].is_empty());
    world.run(ms(200));
    assert_eq!(world.out[0].len(), 1, "{:?}", world.out[0]);
}

#[test]
fn graceful_stop() {
    let mut world = World::new(2);
    world.run(Duration::from_secs(2));
    world.handle(0, Event::Stop);
    assert!(!world.node(0).healthy());
    // It carries on with what still arrives, and goes once nothing does.
    for n in 0..20 {
        world.handle(0, Event::Packet(text(&opening(n + 1, 1))));
        world.run(TICK);
        assert!(!world.exited[0], "gone after {n} packets");
    }
    assert_eq!(world.out[0].len(), 20);
    world.run(ms(900));
    assert!(world.exited[0]);
}

/// Packets that never end do not keep it beyond the time for the stop.
#[test]
fn stop_in_time() {
    let mut world = World::new(1);
    world.run(Duration::from_secs(2));
    let settings = Changeable { seeds: Vec::new(), grace: Duration::from_secs(3) };
    world.handle(0, Event::Changed(settings));
    world.handle(0, Event::Stop);
    let mut time = Duration::ZERO;
    while !world.exited[0] {
        world.handle(0, Event::Packet(text(&opening(1, 1))));
        world.run(TICK);
        time += TICK;
        assert!(time < Duration::from_secs(3), "still there after {time:?}");
    }
}

/// An object that cannot be read names no target; the others hold.
#[test]
fn odd_objects() {
    let mut world = World::new(1);
    let odd = [
        serde_json::json!({ "key": 9 }),
        serde_json::json!("no target at all"),
        serde_json::json!({ "key": 0, "start": 1, "service": TILL, "address": "10.0.0.1:80",
            "failure_domain": HOME, "slots": 3, "state": "ready", "cold_ms": 0 }),
        serde_json::json!({ "key": 9, "start": 1, "service": TILL, "address": "10.0.0.1:80",
            "failure_domain": HOME, "slots": 3, "state": "asleep", "cold_ms": 0 }),
    ];
    for (i, value) in odd.into_iter().enumerate() {
        world.store.put(Object { name: format!("targets/{:x}", 100 + i), version: 0, value });
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.node(0).steer().directory.len(), 4);
    assert!(world.node(0).healthy());
}

/// What one instance takes for dead the others of its domain try for themselves.
#[test]
fn doubts_spread() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(12));
    let dead = socket(target(1, TILL).address);
    world.nodes[0].as_mut().expect("it runs").doubt(world.now, (1, 1_000));
    world.run(TICK);
    assert_eq!(world.tried[0], [dead]);
    // One attempt may be lost, so a second one follows.
    world.handle(0, Event::Reached(dead, false));
    assert_eq!(world.tried[0], [dead, dead]);
    world.handle(0, Event::Reached(dead, false));
    world.run(ms(600));
    let home: Vec<_> = (0..12).step_by(2).filter(|&i| !world.tried[i].is_empty()).collect();
    assert!(home.len() >= 5, "only {home:?} of six have tried");
    assert!(world.tried[1..].iter().all(|tried| tried.len() <= 1), "{:?}", world.tried);
}
