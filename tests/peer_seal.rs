//! Forged, replayed, truncated and malformed peer messages are rejected.

use std::net::SocketAddr;

use limpetdeck::membership::{MemberUpdate, Message};
use limpetdeck::peer::{Body, MemberInfo, MemberState, OpenError, Sealer};
use limpetdeck::steering::{self, DrainSnapshot};
use quickcheck::TestResult;
use support::checker;

mod support;

const KEY: [u8; 32] = [7; 32];
/// Random cases per property.
const CASES: u64 = 1_000;
/// Replay window of a sealer, in messages.
const REPLAY_WINDOW: usize = 8_192;
/// Maximum number of senders whose replay windows a sealer keeps.
const MAX_SENDERS: u32 = 4_096;

fn body() -> Body {
    let address: SocketAddr = "127.0.0.1:7201".parse().expect("an address");
    let info = MemberInfo {
        id: 1,
        incarnation: 5,
        failure_domain: "gt-centro-a".to_owned(),
        peer_address: address,
        metrics_address: address,
        state: MemberState::Live,
    };
    Body::Membership(Message::Gossip(vec![MemberUpdate::Alive { info, announcement: 3 }]))
}

/// Appends a valid tag to any bytes, as a faulty instance might.
fn sealed(content: &[u8]) -> Vec<u8> {
    let tag = blake3::keyed_hash(&KEY, content);
    [content, &tag.as_bytes()[..16]].concat()
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
    let sealed: Vec<_> = (0..=REPLAY_WINDOW).map(|_| from.seal(&body())).collect();
    assert!(to.open(&sealed[REPLAY_WINDOW]).is_ok());
    assert!(to.open(&sealed[1]).is_ok(), "within the window");
    assert_eq!(to.open(&sealed[1]), Err(OpenError::Replayed));
    assert_eq!(to.open(&sealed[0]), Err(OpenError::Replayed), "older than the window");
}

#[test]
fn older_incarnation() {
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

#[test]
fn reordered_messages() {
    fn each_opens_once(order: Vec<u16>) -> bool {
        let (mut from, mut to) = (Sealer::new(KEY, 1, 5), Sealer::new(KEY, 2, 5));
        let sealed: Vec<_> = (0..400).map(|_| from.seal(&body())).collect();
        let mut opened = vec![false; sealed.len()];
        order.iter().all(|&at| {
            let at = usize::from(at) % sealed.len();
            let first = !std::mem::replace(&mut opened[at], true);
            to.open(&sealed[at]).is_ok() == first
        })
    }
    checker(100).quickcheck(each_opens_once as fn(Vec<u16>) -> bool);
}

#[test]
fn arbitrary_bytes() {
    fn is_rejected(buf: Vec<u8>) -> bool {
        Sealer::new(KEY, 2, 5).open(&buf).is_err()
    }
    checker(CASES).quickcheck(is_rejected as fn(Vec<u8>) -> bool);
}

#[test]
fn sealed_garbage() {
    fn never_panics(content: Vec<u8>, at: usize, byte: u8) -> bool {
        let mut to = Sealer::new(KEY, 2, 5);
        let _ = to.open(&sealed(&content));
        let mut valid = Sealer::new(KEY, 1, 5).seal(&body());
        valid.truncate(valid.len() - 16);
        let at = at % valid.len();
        valid[at] = byte;
        let _ = to.open(&sealed(&valid));
        to.open(&sealed(&valid[..at])).is_err()
    }
    checker(CASES).quickcheck(never_panics as fn(Vec<u8>, usize, u8) -> bool);
    assert_eq!(Sealer::new(KEY, 2, 5).open(&sealed(&[0xff; 40])), Err(OpenError::Malformed));
}

/// A message of a kind that only a later release knows, as orders to drain failure domains are to an
/// earlier one, is dropped and does not block the sender's other messages.
#[test]
fn unknown_variant() {
    let (mut from, mut to) = (Sealer::new(KEY, 1, 5), Sealer::new(KEY, 2, 5));
    let known = Body::Steering(steering::Message::DomainDrains(DrainSnapshot::default()));
    let mut encoded = from.seal(&known);
    encoded.truncate(encoded.len() - 16);
    // Sender, incarnation, sequence and component are before the kind, one byte each.
    let kind = 4;
    assert!(to.open(&sealed(&encoded)).is_ok_and(|(_, body)| body == known));
    let mut later = from.seal(&known);
    later.truncate(later.len() - 16);
    later[kind] = 120;
    assert_eq!(to.open(&sealed(&later)), Err(OpenError::Malformed));
    later[kind] = encoded[kind];
    assert!(to.open(&sealed(&later)).is_ok(), "the dropped message counts as received");
    assert!(to.open(&from.seal(&body())).is_ok());
}

#[test]
fn bounded_senders() {
    let mut to = Sealer::new(KEY, 0, 5);
    let active = &mut Sealer::new(KEY, 1, 5);
    let first = active.seal(&body());
    assert!(to.open(&first).is_ok());
    for id in 2..2 * MAX_SENDERS {
        assert!(to.open(&Sealer::new(KEY, id, 5).seal(&body())).is_ok());
        if id % 1_000 == 0 {
            assert!(to.open(&active.seal(&body())).is_ok());
        }
    }
    assert!(to.senders() <= MAX_SENDERS as usize);
    assert_eq!(to.open(&first), Err(OpenError::Replayed), "the window of an active sender is kept");
}
