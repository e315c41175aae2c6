//! Callers that cannot be served wait for nothing if they are not refused, and lose an open flow if they
//! are refused late. Each copy of an opening packet is refused at once while the flow cannot be open.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use limpetdeck::instance::{Core, Event};
use limpetdeck::steering::{Target, TargetState};
use support::*;
use world::*;

const PORT: u16 = 40_000;
/// Times between the copies of an opening packet, and until its caller gives up, in milliseconds.
const WAITS: [u64; 3] = [200, 400, 800];

/// Returns an instance that knows two routes, and the only target of the second one, which drains.
fn without_target() -> World {
    let mut world = World::new(2);
    world.store.put_routes(&routes(2, &[STATION, FARES]));
    world.store.put_target(&draining());
    world.run(ms(5_000));
    assert!(world.all(Core::healthy));
    world.datagrams.iter_mut().for_each(Vec::clear);
    world
}

fn draining() -> Target {
    Target { state: TargetState::Draining, ..target(9, FARES) }
}

/// Returns whether an instance refuses a copy.
fn refuses(world: &mut World, i: usize, copy: u32) -> bool {
    world.datagrams[i].clear();
    world.handle(i, Event::Packet(text(&retransmitted_opening(PORT, 2, copy))));
    world.datagrams[i].iter().any(|(_, buf)| buf == b"reset")
}

#[test]
fn each_copy() {
    let mut world = without_target();
    for (copy, wait) in (0..).zip(WAITS) {
        assert!(refuses(&mut world, 0, copy), "copy {copy}");
        world.run(ms(wait));
    }
}

#[test]
fn first_copies() {
    let mut world = without_target();
    for after_tick in [0, 30, 99] {
        world.run(TICK);
        world.datagrams[0].clear();
        world.now += ms(after_tick);
        world.handle(0, Event::Packet(text(&opening(PORT + after_tick as u16, 2))));
        assert_eq!(world.datagrams[0].len(), 1, "not refused {after_tick} ms after a tick");
        world.now -= ms(after_tick);
    }
}

/// Another instance may have forwarded the first copy.
#[test]
fn earlier_copy_elsewhere() {
    let mut world = without_target();
    assert!(!refuses(&mut world, 0, 1));
    world.run(ms(400));
    assert!(!refuses(&mut world, 0, 2));
}

/// The copies come in another order. While one is missing, it may have opened the flow.
#[test]
fn copies_out_of_order() {
    let mut world = without_target();
    assert!(!refuses(&mut world, 0, 1));
    assert!(refuses(&mut world, 0, 0));
}

/// The first copy went to a target that drains by the time of the second one.
#[test]
fn earlier_copy_forwarded() {
    let mut world = without_target();
    world.store.put_target(&target(9, FARES));
    world.run(ms(1_000));
    assert!(!refuses(&mut world, 0, 0));
    world.store.put_target(&draining());
    world.run(ms(200));
    for (copy, wait) in [(1, 400), (2, 0), (0, 0)] {
        assert!(!refuses(&mut world, 0, copy), "copy {copy}");
        world.run(ms(wait));
    }
}

/// The instance has stood still, and the next copy may have been sent meanwhile.
#[test]
fn after_stall() {
    for (copy, stall) in (0..).zip(WAITS) {
        let mut world = without_target();
        for (earlier, wait) in (0..copy).zip(WAITS) {
            assert!(refuses(&mut world, 0, earlier));
            world.run(ms(wait));
        }
        world.now += ms(stall);
        assert!(!refuses(&mut world, 0, copy), "copy {copy}");
        world.run(TICK);
        assert!(!refuses(&mut world, 0, copy), "copy {copy}, duplicated");
    }
}

/// The machine was suspended, which its clock does not show.
#[test]
fn after_suspension() {
    let mut world = without_target();
    world.handle(0, Event::TimeLost);
    assert!(!refuses(&mut world, 0, 0));
    world.run(ms(2_000));
    let later = retransmitted_opening(PORT + 1, 2, 0);
    world.datagrams[0].clear();
    world.handle(0, Event::Packet(text(&later)));
    assert_eq!(world.datagrams[0].len(), 1, "not refused after the suspension");
}
