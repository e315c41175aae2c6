//! Opening packets that an instance handles late. The caller has sent another copy by then, and may
//! have opened the flow by way of another instance: a refusal now would end it.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::{Core, Event};
use limpetdeck::steering::{FlowPacket, Target, TargetState, Token};
use support::*;
use world::*;

/// Returns two instances that know all targets, and only target 9 of the service FARES.
fn running() -> World {
    let mut world = World::new(2);
    world.store.put_routes(&routes(2, &[STATION, FARES]));
    world.store.put_target(&target(9, FARES));
    world.run(Duration::from_secs(5));
    assert!(world.all(Core::healthy));
    world.datagrams.iter_mut().for_each(Vec::clear);
    world
}

/// Opens a flow to FARES by way of an instance, and returns its token.
fn open(world: &mut World, i: usize, port: u16) -> Token {
    world.datagrams[i].clear();
    world.handle(i, Event::Packet(text(&opening(port, 2))));
    let (to, buf) = world.datagrams[i].pop().expect("a datagram");
    assert_eq!(to, socket(target(9, FARES).address));
    let buf = String::from_utf8(buf).expect("text");
    let token = buf.rsplit(' ').next().and_then(|token| token.parse().ok()).expect("a token");
    world.handle(i, Event::Packet(text(&acknowledgement(port, 2, token, 0))));
    token
}

fn resets(world: &World, i: usize) -> usize {
    world.datagrams[i].iter().filter(|(_, buf)| buf == b"reset").count()
}

/// An instance stands still for less than a second. The first copy of an opening packet waits for
/// it, and a later one opens the flow by way of another instance. The route is new, and the stalled
/// instance learns of it after it has read the packet.
#[test]
fn stalled_before_new_route() {
    let mut world = running();
    world.paused.entry(1).or_default();
    world.run(ms(100));
    world.handle(1, Event::Packet(text(&opening(40_000, 3))));
    world.store.put_routes(&routes(3, &[STATION, FARES, STATION]));
    world.run(ms(300));
    let packet = retransmitted_opening(40_000, 3, 1);
    world.handle(0, Event::Packet(text(&packet)));
    let (to, _) = world.datagrams[0].pop().expect("a datagram");
    assert_ne!(to, socket(packet.flow.caller), "the route is not known");
    world.run(ms(200));
    world.resume(1);
    assert_eq!(resets(&world, 1), 0, "600 ms after the first copy");
}

/// The same, and the only target of the service drains, as the stalled instance knows. The flow was
/// opened by way of an instance that did not know it yet.
#[test]
fn stalled_before_drain() {
    let mut world = running();
    world.store.put_target(&Target { state: TargetState::Draining, ..target(9, FARES) });
    world.run(ms(300));
    world.paused.entry(1).or_default();
    world.handle(1, Event::Packet(text(&opening(40_000, 2))));
    world.run(ms(300));
    world.resume(1);
    assert_eq!(resets(&world, 1), 0, "300 ms after the first copy");
}

/// An instance that starts without peers, and gets late answers of the platform, queues an opening
/// packet until it knows the targets. By then, the flow has
/// been opened by way of another instance, and the target has begun to drain.
#[test]
fn queued_at_startup() {
    let mut world = running();
    world.kill(1);
    world.start(1);
    world.store.slow_instances = vec![1];
    world.partitioned = vec![1];
    world.store.put_target(&Target { state: TargetState::Draining, ..target(9, FARES) });
    let mut sent = Vec::new();
    while !world.node(1).healthy() {
        sent.push((world.now, 40_000 + sent.len() as u16));
        let (_, port) = sent[sent.len() - 1];
        world.handle(1, Event::Packet(text(&opening(port, 2))));
        world.run(ms(100));
        assert!(sent.len() < 50, "never ready");
    }
    let ready = world.now;
    world.run(ms(100));
    let reset = world.datagrams[1].iter().filter(|(_, buf)| buf == b"reset");
    let reset: Vec<_> = reset.map(|(to, _)| to.port()).collect();
    let late = sent.iter().filter(|(at, port)| ready > *at + ms(250) && reset.contains(port));
    let late: Vec<_> = late.map(|(at, _)| ready - *at).collect();
    assert_eq!(late, [], "refused this long after their copies");
}

/// A busy instance holds back the second copy of an opening packet. The third one opens the flow by
/// way of another instance, and the target begins to drain.
#[test]
fn held_back() {
    let mut world = running();
    for port in 1..=3 {
        let token = open(&mut world, 1, port);
        world.handle(1, Event::Packet(text(&request(port, 2, token, 1))));
    }
    world.datagrams[1].clear();
    let port = 40_000;
    let second = retransmitted_opening(port, 2, 1);
    world.handle(1, Event::Packet(text(&second)));
    assert_eq!(world.datagrams[1], [], "not held back");
    world.run(ms(400));
    open(&mut world, 0, port);
    world.store.put_target(&Target { state: TargetState::Draining, ..target(9, FARES) });
    world.run(ms(1_500));
    let reset: Vec<_> = world.datagrams[1].iter().filter(|(_, buf)| buf == b"reset").collect();
    assert_eq!(reset, Vec::<&_>::new(), "the flow has been open for long");
}

/// A caller uses its port again for a flow to another target. A late packet of the earlier flow comes when
/// its target has started again for another service. A reset for it would carry an acknowledgment of
/// the earlier flow, and 1 caller in 27,962 would take it for the end of the later one.
#[test]
fn late_packet_of_earlier_flow() {
    let mut world = running();
    let port = 40_000;
    let token = open(&mut world, 1, port);
    world.store.put_target(&target(8, FARES));
    world.store.put_target(&Target { state: TargetState::Draining, ..target(9, FARES) });
    world.run(ms(500));
    world.datagrams[1].clear();
    let sequence = 1 << 31;
    let again = FlowPacket { sequence, ..opening(port, 2) };
    world.handle(1, Event::Packet(text(&again)));
    let (to, buf) = world.datagrams[1].pop().expect("a datagram");
    assert_eq!(to, socket(target(8, FARES).address));
    let buf = String::from_utf8(buf).expect("text");
    let later = buf.rsplit(' ').next().and_then(|token| token.parse().ok()).expect("a token");
    let sequence = sequence + 1;
    let packet = FlowPacket { sequence, ..acknowledgement(port, 2, later, 0) };
    world.handle(1, Event::Packet(text(&packet)));
    world.store.put_target(&Target { incarnation: 2_000, ..target(9, STATION) });
    world.run(ms(500));
    world.handle(1, Event::Packet(text(&request(port, 2, token, 1))));
    assert_eq!(resets(&world, 1), 0, "the later flow is open");
}
