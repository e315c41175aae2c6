//! Tests of tokens: valid at every instance, but only for their target and service address.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::steering::{DropReason, NO_TOKEN, PacketKind, Target, Tokens, Verdict};
use support::*;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn other_instance() {
    let targets = [target(1, STATION), target(2, STATION), remote_target(3, STATION)];
    let (mut first, mut second) =
        (forwarder(&[STATION], &targets), forwarder(&[STATION], &targets));
    for caller in 1..200 {
        let (key, token) = place(&mut first, NOW, &opening(caller, 1));
        let verdict = second.decide(NOW, &request(caller, 1, token, 0));
        assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    }
}

#[test]
fn other_address() {
    let targets = [target(1, STATION), target(2, FARES)];
    let mut forwarder = forwarder(&[STATION, FARES, STATION], &targets);
    let (_, token) = place(&mut forwarder, NOW, &opening(1, 1));
    for n in [2, 3] {
        let verdict = forwarder.decide(NOW, &request(1, n, token, 0));
        assert_eq!(verdict, Verdict::Drop(DropReason::UnknownToken));
    }
}

#[test]
fn forged_token() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION), target(2, STATION)]);
    let valid: Vec<_> =
        (1..50).map(|caller| place(&mut forwarder, NOW, &opening(caller, 1)).1).collect();
    for token in (0..1_000_000).step_by(97).filter(|token| !valid.contains(token)) {
        let verdict = forwarder.decide(NOW, &request(60_000, 1, token, 0));
        assert_eq!(verdict, Verdict::Drop(DropReason::UnknownToken), "token {token}");
    }
    assert_eq!(
        forwarder.decide(NOW, &request(60_000, 1, NO_TOKEN, 0)),
        Verdict::Drop(DropReason::UnknownToken)
    );
}

/// Only a restarted target knows whether it holds a flow, and resets it if not.
#[test]
fn restarted_target() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION)]);
    let (_, token) = place(&mut forwarder, NOW, &opening(1, 1));
    let again = Target { incarnation: 2_000, ..target(1, STATION) };
    forwarder.targets.merge(NOW, record(11, again.clone()));
    let (_, fresh) = place(&mut forwarder, NOW, &opening(2, 1));
    assert_ne!(fresh, token);
    let verdict = forwarder.decide(NOW, &request(1, 1, token, 0));
    assert_eq!(verdict, Verdict::Forward(&again, Some(fresh)));
    let verdict = forwarder.decide(NOW, &request(2, 1, fresh, 0));
    assert_eq!(verdict, Verdict::Forward(&again, None));
}

#[test]
fn service_changed() {
    let targets = [target(1, STATION), target(2, FARES)];
    let mut forwarder = forwarder(&[STATION], &targets);
    let (key, token) = place(&mut forwarder, NOW, &opening(1, 1));
    forwarder.routes.adopt(routes(2, &[FARES])).expect("valid routes");
    let verdict = forwarder.decide(NOW, &request(1, 1, token, 0));
    assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    assert_eq!(place(&mut forwarder, NOW, &opening(2, 1)).0, 2);
}

/// Of two targets with equal tokens for an address, the one that started later gets no flows there.
#[test]
fn token_collision() {
    // With this key, the two have equal tokens for address 1.
    let tokens = Tokens::new(token_key());
    let (older, newer) = find_collision(&tokens);
    let mut forwarder = forwarder_for_targets(&[older.clone(), newer.clone()]);
    let mut flows_by_target = [0, 0];
    for caller in 1..100 {
        let (key, token) = place(&mut forwarder, NOW, &opening(caller, 1));
        flows_by_target[usize::from(key == newer.key)] += 1;
        let verdict = forwarder.decide(NOW, &request(caller, 1, token, 0));
        assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    }
    assert_eq!(flows_by_target, [99, 0]);
}

/// Which of two targets with equal tokens a token stands for does not depend on which one an
/// instance has known for longer.
#[test]
fn collision_order() {
    let (older, newer) = find_collision(&Tokens::new(token_key()));
    let token = Tokens::new(token_key()).mint(address(1), &newer);
    let mut late = forwarder_for_targets(std::slice::from_ref(&newer));
    assert_eq!(place(&mut late, NOW, &opening(1, 1)), (newer.key, token));
    late.targets.merge(NOW, record(11, older.clone()));
    assert_eq!(place(&mut late, NOW, &opening(2, 1)).0, older.key);
    for mut instance in [late, forwarder_for_targets(&[older.clone(), newer])] {
        let verdict = instance.decide(NOW, &request(3, 1, token, 0));
        assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == older.key));
    }
}

fn token_key() -> [u8; 32] {
    KEY
}

fn forwarder_for_targets(targets: &[Target]) -> limpetdeck::steering::Forwarder {
    forwarder(&[STATION], targets)
}

/// Finds two targets with equal tokens; about 100,000 targets are enough to have such a pair.
fn find_collision(tokens: &Tokens) -> (Target, Target) {
    let mut seen = std::collections::HashMap::new();
    for key in 1..1_000_000_u64 {
        let own = SocketAddrV4::new(Ipv4Addr::from_bits(key as u32), 8_080);
        let target = Target { key, incarnation: 1_000 + key, address: own, ..target(1, STATION) };
        if let Some(older) = seen.insert(tokens.mint(address(1), &target), target.clone()) {
            return (older, target);
        }
    }
    panic!("no two targets have equal tokens");
}

#[test]
fn packet_from_target() {
    let mut forwarder = forwarder(&[STATION], &[target(1, STATION)]);
    let mut packet = opening(1, 1);
    packet.kind = PacketKind::FromTarget;
    assert_eq!(forwarder.decide(NOW, &packet), Verdict::Drop(DropReason::FromTarget));
}
