//! A token binds a flow to its target, on every instance and for nothing else.

#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;

use std::time::Duration;

use limpetdeck::steering::{NO_TOKEN, PacketKind, Refusal, Target, Tokens, Unforwarded, Verdict};
use support::*;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn other_instance() {
    let targets = [target(1, TILL), target(2, TILL), away(3, TILL)];
    let (mut first, mut second) = (steer(&[TILL], &targets), steer(&[TILL], &targets));
    for caller in 1..200 {
        let (key, token) = placed(&mut first, NOW, &opening(caller, 1));
        let verdict = second.decide(NOW, &request(caller, 1, token, 0));
        assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    }
}

#[test]
fn other_address() {
    let targets = [target(1, TILL), target(2, SHEETS)];
    let mut steer = steer(&[TILL, SHEETS, TILL], &targets);
    let (_, token) = placed(&mut steer, NOW, &opening(1, 1));
    for n in [2, 3] {
        let verdict = steer.decide(NOW, &request(1, n, token, 0));
        assert_eq!(verdict, Verdict::Drop(Unforwarded::UnknownToken));
    }
}

#[test]
fn made_up() {
    let mut steer = steer(&[TILL], &[target(1, TILL), target(2, TILL)]);
    let real: Vec<_> =
        (1..50).map(|caller| placed(&mut steer, NOW, &opening(caller, 1)).1).collect();
    for token in (0..1_000_000).step_by(97).filter(|token| !real.contains(token)) {
        let verdict = steer.decide(NOW, &request(60_000, 1, token, 0));
        assert_eq!(verdict, Verdict::Drop(Unforwarded::UnknownToken), "token {token}");
    }
    assert_eq!(
        steer.decide(NOW, &request(60_000, 1, NO_TOKEN, 0)),
        Verdict::Drop(Unforwarded::UnknownToken)
    );
}

#[test]
fn restarted_target() {
    let mut steer = steer(&[TILL], &[target(1, TILL)]);
    let (_, token) = placed(&mut steer, NOW, &opening(1, 1));
    let again = Target { start: 2_000, ..target(1, TILL) };
    steer.directory.merge(NOW, record(11, again));
    let verdict = steer.decide(NOW, &request(1, 1, token, 0));
    assert_eq!(verdict, Verdict::Reset(Refusal::TargetRestarted));
    let (_, fresh) = placed(&mut steer, NOW, &opening(2, 1));
    assert_ne!(fresh, token);
}

#[test]
fn service_changed() {
    let targets = [target(1, TILL), target(2, SHEETS)];
    let mut steer = steer(&[TILL], &targets);
    let (key, token) = placed(&mut steer, NOW, &opening(1, 1));
    steer.routes.adopt(routes(2, &[SHEETS])).expect("valid routes");
    let verdict = steer.decide(NOW, &request(1, 1, token, 0));
    assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    assert_eq!(placed(&mut steer, NOW, &opening(2, 1)).0, 2);
}

/// Of two targets with equal tokens for an address, the later one gets no flows there.
#[test]
fn equal_tokens() {
    // Found by search: with this key the two have equal tokens for address 1.
    let tokens = Tokens::new(limpetdeck_token_key());
    let (older, younger) = colliding(&tokens);
    let mut steer = steer_with_key(&[older.clone(), younger.clone()]);
    let mut placed_at = [0, 0];
    for caller in 1..100 {
        let (key, token) = placed(&mut steer, NOW, &opening(caller, 1));
        placed_at[usize::from(key == younger.key)] += 1;
        let verdict = steer.decide(NOW, &request(caller, 1, token, 0));
        assert!(matches!(verdict, Verdict::Forward(target, None) if target.key == key));
    }
    assert_eq!(placed_at, [99, 0]);
}

fn limpetdeck_token_key() -> [u8; 32] {
    KEY
}

fn steer_with_key(targets: &[Target]) -> limpetdeck::steering::Steer {
    steer(&[TILL], targets)
}

/// Finds two targets with equal tokens: among some 100,000 there is a pair.
fn colliding(tokens: &Tokens) -> (Target, Target) {
    let mut seen = std::collections::HashMap::new();
    for key in 1..1_000_000_u64 {
        let target = Target { key, start: 1_000 + key, ..target(1, TILL) };
        if let Some(older) = seen.insert(tokens.mint(address(1), &target), target.clone()) {
            return (older, target);
        }
    }
    panic!("no pair of equal tokens");
}

#[test]
fn targets_packets() {
    let mut steer = steer(&[TILL], &[target(1, TILL)]);
    let mut packet = opening(1, 1);
    packet.kind = PacketKind::FromTarget;
    assert_eq!(steer.decide(NOW, &packet), Verdict::Drop(Unforwarded::FromTarget));
}
