//! Tests of target selection if a target accepts requests without responding: new flows must go
//! elsewhere, although the target looks idle once its callers have given up.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::VecDeque;
use std::time::Duration;

use limpetdeck::instance::Event;
use limpetdeck::steering::{FlowPacket, Forwarder, PacketKind, TargetKey, Token};
use support::*;
use world::*;

/// Request timeout of the simulated callers: the shortest that callers use.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The packet that closes a caller's flow after `answers` responses.
fn closing(caller: u16, token: Token, answers: u32) -> FlowPacket {
    FlowPacket { kind: PacketKind::Closing, ..request(caller, 1, token, answers) }
}

/// Simulates callers that open a flow every 50 ms, while one target never responds. Returns the
/// number of flows opened there after the first callers had given up.
fn flows_to_unresponsive(forwarder: &mut Forwarder, unresponsive: TargetKey) -> usize {
    let mut late = 0;
    let mut waiting: VecDeque<(Duration, u16, Token)> = VecDeque::new();
    for caller in 1..=200u16 {
        let now = ms(u64::from(caller) * 50);
        forwarder.expire(now);
        forwarder.take_overdue(now);
        let over = waiting.partition_point(|(until, ..)| now >= *until);
        for (_, caller, token) in waiting.drain(..over) {
            forwarder.decide(now, &closing(caller, token, 0));
        }
        let (key, token) = place(forwarder, now, &opening(caller, 1));
        forwarder.decide(now, &request(caller, 1, token, 0));
        if key == unresponsive {
            // The target acknowledges the request, so it is not repeated; the caller waits.
            late += usize::from(now > REQUEST_TIMEOUT + ms(200));
            waiting.push_back((now + REQUEST_TIMEOUT, caller, token));
        } else {
            forwarder.decide(now + ms(40), &acknowledgement(caller, 1, token, 0));
            forwarder.decide(now + ms(41), &closing(caller, token, 1));
        }
    }
    late
}

#[test]
fn unresponsive_avoided() {
    let targets: Vec<_> = (1..=4).map(|key| target(key, STATION)).collect();
    let mut forwarder = forwarder(&[STATION], &targets);
    let late = flows_to_unresponsive(&mut forwarder, 1);
    println!("flows_to_unresponsive={late}");
    assert!(late <= 2, "{late} flows opened at a target that never responds");
}

/// Flows that are closed after their response do not count as overdue.
#[test]
fn normal_close() {
    let targets = [target(1, STATION), target(2, STATION)];
    let mut forwarder = forwarder(&[STATION], &targets);
    for caller in 1..100 {
        let now = ms(u64::from(caller) * 100);
        let (_, token) = place(&mut forwarder, now, &opening(caller, 1));
        forwarder.decide(now, &request(caller, 1, token, 0));
        forwarder.decide(now + ms(90), &acknowledgement(caller, 1, token, 0));
        forwarder.decide(now + ms(95), &closing(caller, token, 1));
        assert!(forwarder.take_overdue(now + ms(96)).is_empty());
    }
}

/// An overdue response at one instance makes the others of its failure domain avoid the target.
#[test]
fn peers_notified() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    let send = |world: &mut World, i, packet: &FlowPacket| {
        world.handle(i, Event::Packet(text(packet)));
    };
    send(&mut world, 0, &opening(7, 1));
    let (_, sent) = world.datagrams[0].pop().expect("a datagram");
    let sent = String::from_utf8(sent).expect("text");
    let key = TargetKey::from_str_radix(sent.split('>').next().expect("a key"), 16);
    let token: Token = sent.rsplit(' ').next().expect("a token").parse().expect("a number");
    send(&mut world, 0, &request(7, 1, token, 0));
    world.run(REQUEST_TIMEOUT);
    send(&mut world, 0, &closing(7, token, 0));
    world.run(ms(700));
    let key = key.expect("a number");
    for i in (0..8).step_by(2) {
        for n in 0..3 {
            world.datagrams[i].clear();
            send(&mut world, i, &opening(100 + n, 1));
            let (_, buf) = world.datagrams[i].pop().expect("a datagram");
            let chosen = String::from_utf8_lossy(&buf).split('>').next().map(str::to_owned);
            assert_ne!(
                chosen,
                Some(format!("{key:x}")),
                "instance {i} chose the unresponsive target"
            );
        }
    }
}
