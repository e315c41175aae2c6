//! Change of the key that all instances share, while callers keep their flows.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::{Core, Event};
use limpetdeck::membership::Message;
use limpetdeck::peer::{Body, KeyRing, OpenError, PeerKey, Sealer};
use support::*;
use world::*;

const OLD: PeerKey = KEY;
const NEW: PeerKey = [5; 32];
const INSTANCES: usize = 8;

fn body() -> Body {
    Body::Membership(Message::PingRequest { sequence: 3, peer: 4 })
}

/// Restarts all instances one after the other with other keys.
fn roll(world: &mut World, keys: &KeyRing) {
    for i in 0..INSTANCES {
        world.kill(i);
        world.keys[i] = keys.clone();
        world.start(i);
        world.run(ms(800));
        assert!(world.node(i).healthy());
    }
    world.run(Duration::from_secs(8));
}

/// Returns where an instance sends a packet.
fn receiver(world: &mut World, i: usize, packet: &[u8]) -> Option<SocketAddr> {
    world.datagrams[i].clear();
    world.handle(i, Event::Packet(packet.to_vec()));
    world.datagrams[i].first().map(|(to, _)| *to)
}

/// Opens a flow; returns where it went and its token.
fn open(world: &mut World, port: u16) -> (SocketAddr, u32) {
    let to = receiver(world, 0, &text(&opening(port, 1))).expect("a target");
    let datagram = String::from_utf8(world.datagrams[0][0].1.clone()).expect("text");
    let token = datagram.rsplit(' ').next().and_then(|token| token.parse().ok());
    (to, token.expect("a token"))
}

/// All instances hear each other throughout, and flows of either key reach their targets at each
/// instance until the old key is withdrawn.
#[test]
fn without_interruption() {
    let mut world = World::new(INSTANCES);
    world.run(Duration::from_secs(10));
    let (to, token) = open(&mut world, 7);
    let accept_both = KeyRing::new(OLD, vec![NEW]);
    let use_new = KeyRing::new(NEW, vec![OLD]);
    let mut flows = vec![(7, to, token)];
    for (step, keys) in [accept_both, use_new].iter().enumerate() {
        roll(&mut world, keys);
        let port = 20 + step as u16;
        let (to, token) = open(&mut world, port);
        flows.push((port, to, token));
        for i in 0..INSTANCES {
            assert_eq!(world.node(i).membership().live().len(), INSTANCES, "step {step}");
            for &(port, to, token) in &flows {
                let packet = text(&request(port, 1, token, 0));
                assert_eq!(receiver(&mut world, i, &packet), Some(to), "step {step}");
            }
        }
    }
    roll(&mut world, &NEW.into());
    for i in 0..INSTANCES {
        assert_eq!(world.node(i).membership().live().len(), INSTANCES);
        let (port, to, token) = flows[2];
        assert_eq!(receiver(&mut world, i, &text(&request(port, 1, token, 0))), Some(to));
        let (port, _, token) = flows[0];
        assert_eq!(receiver(&mut world, i, &text(&request(port, 1, token, 0))), None);
    }
}

/// After the old key was withdrawn, an instance that starts with it alone changes nothing: neither
/// instances that were running nor those that have restarted hear it.
#[test]
fn withdrawn_key() {
    let mut world = World::new(INSTANCES);
    world.keys = vec![NEW.into(); INSTANCES];
    world.keys[3] = OLD.into();
    for i in 0..INSTANCES {
        world.start(i);
    }
    world.run(Duration::from_secs(10));
    world.kill(5);
    world.start(5);
    world.run(Duration::from_secs(10));
    for i in (0..INSTANCES).filter(|&i| i != 3) {
        let live = world.node(i).membership().live();
        assert_eq!(live.len(), INSTANCES - 1);
        assert!(!live.contains(&4), "instance {i} hears the one with the withdrawn key");
    }
    assert_eq!(world.node(3).membership().live().len(), 1);
}

#[test]
fn sealed_by_either() {
    let mut to = Sealer::new(KeyRing::new(NEW, vec![OLD]), 2, 5);
    assert!(to.open(&Sealer::new(OLD, 1, 5).seal(&body())).is_ok());
    assert!(to.open(&Sealer::new(NEW, 3, 5).seal(&body())).is_ok());
    assert_eq!(to.open(&Sealer::new([1; 32], 4, 5).seal(&body())), Err(OpenError::Forged));
    let sealed = to.seal(&body());
    assert!(Sealer::new(NEW, 1, 5).open(&sealed).is_ok(), "the first key is the one in use");
    assert_eq!(Sealer::new(OLD, 1, 5).open(&sealed), Err(OpenError::Forged));
}

/// A message that was accepted under one key is not accepted again, and one sealed with a withdrawn
/// key is refused from the restart on.
#[test]
fn replayed_after_change() {
    let sealed = Sealer::new(OLD, 1, 5).seal(&body());
    let mut to = Sealer::new(KeyRing::new(NEW, vec![OLD]), 2, 5);
    assert!(to.open(&sealed).is_ok());
    assert_eq!(to.open(&sealed), Err(OpenError::Replayed));
    assert_eq!(Sealer::new(NEW, 2, 6).open(&sealed), Err(OpenError::Forged));
}

/// Keys do not end up in logs.
#[test]
fn keys_not_printed() {
    let printed = format!("{:?}", KeyRing::new([171; 32], vec![[205; 32]]));
    assert!(!printed.contains("171") && !printed.contains("205"), "{printed}");
}
