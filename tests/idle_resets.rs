//! Idle flows that are open to a target which refuses connections: no instance resets them, and each
//! learns in time that the target gets no new ones.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use limpetdeck::instance::CheckOutcome::{Accepted, Refused};
use limpetdeck::instance::Event;
use limpetdeck::steering::Token;
use support::*;
use world::*;

/// Time after which the platform removes a silent target.
const REMOVAL_TIME: Duration = Duration::from_secs(3);
/// Time after which a connection check without an answer fails.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
const TARGET: u64 = 3;

/// Opens flows through an instance until one goes to the target. Returns its port and token.
fn open_to_target(world: &mut World, i: usize) -> (u16, Token) {
    for port in 1..200 {
        world.datagrams[i].clear();
        world.handle(i, Event::Packet(text(&opening(port, 1))));
        let (to, buf) = world.datagrams[i].pop().expect("a datagram");
        let buf = String::from_utf8(buf).expect("text");
        let token = buf.rsplit(' ').next().and_then(|token| token.parse().ok()).expect("a token");
        let response = acknowledgement(port, 1, token, 0);
        world.handle(i, Event::Packet(text(&request(port, 1, token, 0))));
        world.handle(i, Event::Packet(text(&response)));
        if to == socket(target(TARGET, STATION).address) {
            return (port, token);
        }
    }
    panic!("no flow goes to the target");
}

/// Asserts that an instance gives no new flow to the target.
fn assert_avoided(world: &mut World, i: usize) {
    for port in 300..320 {
        world.handle(i, Event::Packet(text(&opening(port, 1))));
        let (to, _) = world.datagrams[i].pop().expect("a datagram");
        assert_ne!(to, socket(target(TARGET, STATION).address), "instance {i}");
    }
}

/// The target refuses connections, and one caller sends a request there. Returns the time from its first
/// packet until the last of the instances avoids the target.
fn last_to_learn(instances: usize) -> Duration {
    let mut world = World::new(instances);
    world.run(Duration::from_secs(15));
    let holders: Vec<_> = (0..instances).step_by(2).collect();
    let flows: Vec<_> = holders.iter().map(|&i| open_to_target(&mut world, i)).collect();
    world.run(Duration::from_secs(1));
    world.datagrams.iter_mut().for_each(Vec::clear);
    let dead = socket(target(TARGET, STATION).address);
    let begin = world.now;
    let mut checks: Vec<(Duration, usize)> = Vec::new();
    let mut refused = vec![false; instances];
    let mut last = Duration::ZERO;
    while world.now < begin + REMOVAL_TIME {
        let waited = world.now - begin;
        if [ms(0), ms(200), ms(600), ms(1_400)].contains(&waited) {
            let (port, token) = flows[0];
            world.handle(holders[0], Event::Packet(text(&request(port, 1, token, 1))));
        }
        for i in 0..instances {
            let now = world.now;
            for address in std::mem::take(&mut world.connect_attempts[i]) {
                match address == dead {
                    true => checks.push((now + CHECK_TIMEOUT, i)),
                    false => world.handle(i, Event::ConnectionChecked(address, Accepted)),
                }
            }
        }
        let (due, rest) = checks.into_iter().partition(|(at, _)| world.now >= *at);
        checks = rest;
        for (_, i) in due {
            world.handle(i, Event::ConnectionChecked(dead, Refused));
            if !std::mem::replace(&mut refused[i], true) {
                last = waited;
                assert_avoided(&mut world, i);
            }
        }
        world.run(TICK);
    }
    assert!(holders.iter().all(|&i| refused[i]), "some instances have not checked the target");
    let resets = world.datagrams.iter().flatten().filter(|(_, buf)| buf == b"reset");
    assert_eq!(resets.count(), 0);
    for &i in &holders {
        let load = world.node(i).forwarder().flows.load((TARGET, 1_000));
        assert!(load.flows > 0, "instance {i} has dropped its flows");
    }
    last
}

/// Load pattern: each instance of the failure domain holds idle flows of callers to a target that refuses
/// connections. Only the target can tell whether it has lost them.
#[test]
fn before_removal() {
    for instances in [24, 112, 300] {
        let time = last_to_learn(instances);
        println!("instances={instances} last_to_learn={time:?}");
        assert!(time < REMOVAL_TIME);
    }
}
