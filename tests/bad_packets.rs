//! Malformed packets are rejected with a reason and never cause a panic; rewritten packets and
//! resets are valid.

use etherparse::PacketBuilder;
use limpetdeck::packet::{DecodeError, build_reset, decode, rewrite_destination, rewrite_source};
use quickcheck::TestResult;
use support::checker;

mod support;

/// Random cases for each property.
const CASES: u64 = 5_000;

fn packet(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64).tcp(4_000, 7_000, 17, 100);
    let mut buf = Vec::new();
    builder.ack(33).write(&mut buf, payload).expect("a packet in memory");
    buf
}

#[test]
fn arbitrary_bytes() {
    fn never_panics(bytes: Vec<u8>) -> bool {
        let mut bytes = bytes;
        let _ = rewrite_source(&mut bytes, "10.0.0.1:1".parse().expect("an address"));
        decode(&bytes).is_ok() || decode(&bytes).is_err()
    }
    checker(CASES).quickcheck(never_panics as fn(Vec<u8>) -> bool);
}

#[test]
fn mutated_packets() {
    fn is_rejected(payload: Vec<u8>, at: usize, flip: u8) -> TestResult {
        let mut buf = packet(&payload);
        let at = at % buf.len();
        if flip == 0 {
            return TestResult::discard();
        }
        buf[at] ^= flip;
        TestResult::from_bool(decode(&buf).is_err())
    }
    checker(CASES).quickcheck(is_rejected as fn(Vec<u8>, usize, u8) -> TestResult);
}

#[test]
fn truncated() {
    let buf = packet(b"sale");
    for len in 0..buf.len() {
        assert!(decode(&buf[..len]).is_err(), "{len} of {} bytes", buf.len());
    }
}

#[test]
fn wrong_protocol() {
    let mut buf = Vec::new();
    PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64)
        .udp(1, 2)
        .write(&mut buf, b"x")
        .expect("a packet in memory");
    assert_eq!(decode(&buf), Err(DecodeError::NotTcp));
}

#[test]
fn rewrite_keeps_checksums() {
    let mut buf = packet(b"sale");
    let to = "10.1.1.3:7000".parse().expect("an address");
    rewrite_destination(&mut buf, to).expect("a valid packet");
    let segment = decode(&buf).expect("both checksums match");
    assert_eq!(segment.destination, to);
    assert!(buf.ends_with(b"sale"));
}

#[test]
fn reset_fields() {
    let segment = decode(&packet(b"sale")).expect("a valid packet");
    let reset = decode(&build_reset(&segment).expect("a reset")).expect("a valid packet");
    assert_eq!((reset.source, reset.destination), (segment.destination, segment.source));
    assert_eq!(reset.sequence, segment.acknowledgment);
    assert!(build_reset(&reset).is_none(), "a reset is never answered");
}

#[test]
fn reserved_bit() {
    let mut buf = packet(b"sale");
    buf[6] ^= 0x80;
    assert_eq!(decode(&buf), Err(DecodeError::BadIpChecksum));
}
