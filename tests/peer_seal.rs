//! Peer messages that are forged, replayed, cut short or malformed are dropped.

use std::net::SocketAddr;

use limpetdeck::membership::Message;
use limpetdeck::peer::{Body, MemberInfo, MemberState, OpenError, Sealer};
use quickcheck::TestResult;
use support::checker;

mod support;

const KEY: [u8; 32] = [7; 32];
/// Cases that each property is tried on.
const CASES: u64 = 1_000;
/// Messages that a message may be overtaken by.
const WINDOW: usize = 64;

fn body() -> Body {
    let address: SocketAddr = "127.0.0.1:7201".parse().expect("an address");
    Body::Membership(Message::Heartbeat(MemberInfo {
        id: 1,
        incarnation: 5,
        failure_domain: "gt-centro-a".to_owned(),
        peer_address: address,
        metrics_address: address,
        state: MemberState::Live,
    }))
}

#[test]
fn opens_once() {
    let (mut from, mut to) = (Sealer::new(KEY, 1, 5), Sealer::new(KEY, 2, 5));
    let buf = from.seal(&body());
    assert_eq!(to.open(&buf), Ok((1, body())));
    assert_eq!(to.open(&buf), Err(OpenError::Replayed));
}

#[test]
fn overtaken_message() {
    let (mut from, mut to) = (Sealer::new(KEY, 1, 5), Sealer::new(KEY, 2, 5));
    let sealed: Vec<_> = (0..=WINDOW).map(|_| from.seal(&body())).collect();
    assert!(to.open(&sealed[WINDOW]).is_ok());
    assert!(to.open(&sealed[1]).is_ok(), "within the window");
    assert_eq!(to.open(&sealed[1]), Err(OpenError::Replayed));
    assert_eq!(to.open(&sealed[0]), Err(OpenError::Replayed), "behind the window");
}

#[test]
fn older_start() {
    let mut to = Sealer::new(KEY, 2, 5);
    let old = Sealer::new(KEY, 1, 4).seal(&body());
    assert!(to.open(&Sealer::new(KEY, 1, 5).seal(&body())).is_ok());
    assert_eq!(to.open(&old), Err(OpenError::Replayed));
}

#[test]
fn wrong_key() {
    let buf = Sealer::new([8; 32], 1, 5).seal(&body());
    assert_eq!(Sealer::new(KEY, 2, 5).open(&buf), Err(OpenError::Forged));
}

#[test]
fn truncated_message() {
    let buf = Sealer::new(KEY, 1, 5).seal(&body());
    for len in 0..buf.len() {
        assert!(Sealer::new(KEY, 2, 5).open(&buf[..len]).is_err(), "{len} bytes");
    }
}

#[test]
fn flipped_bits() {
    fn is_forged(at: usize, flip: u8) -> TestResult {
        if flip == 0 {
            return TestResult::discard();
        }
        let mut buf = Sealer::new(KEY, 1, 5).seal(&body());
        let at = at % buf.len();
        buf[at] ^= flip;
        TestResult::from_bool(Sealer::new(KEY, 2, 5).open(&buf) == Err(OpenError::Forged))
    }
    checker(CASES).quickcheck(is_forged as fn(usize, u8) -> TestResult);
}
