//! Graceful stops under load: what was accepted is not cut off.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::net::UdpSocket;
use std::time::Duration;

use limpetdeck::daemon::read_queued;
use limpetdeck::instance::{Core, Event};
use limpetdeck::steering::{FlowPacket, PacketKind};
use support::*;
use world::*;

/// Fills the targets of an instance with requests, so that late callers have to wait.
fn fill(world: &mut World) {
    for port in 1..60 {
        world.handle(0, Event::Packet(text(&opening(port, 1))));
    }
}

fn late(port: u16) -> FlowPacket {
    FlowPacket { kind: PacketKind::Opening { repeats: 1 }, ..opening(port, 1) }
}

/// A caller that was held back is let in when the instance is asked to stop, and none is held back
/// from then on.
#[test]
fn held_callers() {
    let mut world = World::new(1);
    world.run(Duration::from_secs(1));
    fill(&mut world);
    world.datagrams[0].clear();
    world.handle(0, Event::Packet(text(&late(100))));
    assert!(world.datagrams[0].is_empty(), "the caller is held back");
    world.handle(0, Event::Stop);
    assert_eq!(world.datagrams[0].len(), 1);
    world.handle(0, Event::Packet(text(&late(101))));
    assert_eq!(world.datagrams[0].len(), 2);
}

/// Packets that came before the routes were known go out although a stop was requested meanwhile.
#[test]
fn stop_while_starting() {
    let mut world = World::new(1);
    world.handle(0, Event::Packet(text(&opening(7, 1))));
    world.handle(0, Event::Tick);
    world.handle(0, Event::Stop);
    assert!(world.datagrams[0].is_empty());
    world.run(ms(300));
    assert_eq!(world.datagrams[0].len(), 1);
    assert!(!world.node(0).healthy());
}

/// A second request to stop neither ends the instance sooner nor prolongs the stop.
#[test]
fn second_stop() {
    let stop_time = |repeated: bool| {
        let mut world = World::new(1);
        world.run(Duration::from_secs(1));
        world.handle(0, Event::Stop);
        let mut time = Duration::ZERO;
        while !world.exited[0] {
            if repeated {
                world.handle(0, Event::Stop);
            }
            world.run(TICK);
            time += TICK;
        }
        time
    };
    assert_eq!(stop_time(true), stop_time(false));
}

/// All instances of a failure domain stop one after the other under load: each packet is forwarded.
#[test]
fn all_in_turn() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(10));
    let mut sent = 0;
    for i in 0..6 {
        world.handle(i, Event::Stop);
        world.datagrams[i].clear();
        let mut here = 0;
        while !world.exited[i] {
            sent += 1;
            here += 1;
            world.handle(i, Event::Packet(text(&opening(sent, 1))));
            world.run(TICK);
        }
        assert_eq!(world.datagrams[i].len(), here, "instance {i}");
        world.kill(i);
        world.start(i);
        world.run(Duration::from_secs(1));
    }
}

/// Time within which a change is known to all instances that forward packets.
const BOUND: Duration = Duration::from_secs(3);

/// Runs until an instance exits, with packets that arrive all the time.
fn run_until_exit(world: &mut World, i: usize) {
    while !world.exited[i] {
        world.handle(i, Event::Packet(text(&opening(1, 1))));
        world.run(TICK);
    }
}

/// Routes that have grown beyond one message are known in time to an instance that stops, whenever
/// they grow. It did not read the platform any more.
#[test]
fn grown_routes() {
    for (i, grown_at) in (0..8).flat_map(|i| [0, 200, 300, 700, 1_300, 2_400].map(|at| (i, at))) {
        let mut world = World::new(8);
        world.run(Duration::from_secs(10));
        let begin = world.now;
        while world.now < begin + ms(grown_at) + BOUND {
            let since = world.now - begin;
            if since == ms(grown_at) {
                world.store.put_routes(&routes(2, &[STATION; 200]));
            }
            if since == ms(300) {
                world.handle(i, Event::Stop);
            }
            world.handle(i, Event::Packet(text(&opening(1, 1))));
            world.run(TICK);
        }
        assert!(!world.exited[i], "packets arrive");
        let version = world.node(i).forwarder().routes.version();
        assert_eq!(version, 2, "instance {i}, routes grown at {grown_at} ms");
    }
}

/// The next instances in rank watch as soon as all watchers of a failure domain have been asked to
/// stop. They relied on those until these counted as dead.
#[test]
fn stopping_watchers() {
    let mut world = World::in_domains(1, &[false; 8]);
    world.run(Duration::from_secs(10));
    let ranked = |world: &World| -> Vec<usize> {
        (0..8).filter(|&i| world.node(i).membership().ranks_as_watcher()).collect()
    };
    let before = ranked(&world);
    assert_eq!(before.len(), 3);
    for &i in &before {
        world.handle(i, Event::Stop);
    }
    world.run(ms(1_000));
    let now = ranked(&world);
    assert_eq!(now.len(), 6, "{now:?}");
    assert!(before.iter().all(|i| now.contains(i)), "they read until they exit");
}

/// An instance that has registered deregisters when it exits, although the platform came back from a
/// copy meanwhile, and it does not register again. It took its registration for lost, and left it.
#[test]
fn deregistration_after_restore() {
    let mut world = World::new(2);
    world.run(Duration::from_secs(10));
    let name = "instances/1";
    assert!(world.store.objects.contains_key(name));
    world.store.take_copy();
    world.handle(0, Event::Stop);
    world.run(ms(200));
    let stopped = world.now;
    world.store.restore_copy();
    run_until_exit(&mut world, 0);
    world.run(ms(100));
    assert!(!world.store.objects.contains_key(name));
    assert!(world.store.wrote_at[&0] < stopped);
}

/// What a socket has queued when the instance exits is handled, and no more than a bound.
#[test]
fn queued_datagrams() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_nonblocking(true).expect("a socket");
    let address = socket.local_addr().expect("an address");
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for n in 0..50_u8 {
        sender.send_to(&[n; 40], address).expect("sent");
    }
    let mut seen = Vec::new();
    assert_eq!(read_queued(&socket, |buf| seen.push(buf)), 50);
    assert_eq!(seen, (0..50).map(|n| vec![n; 40]).collect::<Vec<_>>());
    assert_eq!(read_queued(&socket, |_| panic!("nothing is left")), 0);
}
