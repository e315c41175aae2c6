//! Once faults have stopped, all live instances agree on the membership, whatever the order of
//! the faults. No message makes an instance panic.

use std::time::Duration;

use limpetdeck::membership::{Digest, MemberUpdate, Message, Revision};
use members::{Net, address, info};
use support::checker;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;
mod support;

/// Random cases per property.
const CASES: u64 = 40;
const INSTANCES: u16 = 8;
const INCARNATION: u64 = 1_000_000_000_000;
/// Time within which all have to agree once the faults have stopped.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of faults per case.
const MAX_FAULTS: usize = 12;

fn inject_fault(net: &mut Net, kind: u8, at: u8) {
    let i = usize::from(at) % net.nodes.len();
    let port = usize::from(INSTANCES) + net.nodes.len();
    match kind % 8 {
        // Instance 0 keeps running, so that new ones find a seed.
        0 if i > 0 => net.kill(i),
        1 => net.pause(i),
        2 => net.resume(i),
        3 => net.partitions = (0..u16::from(at % 8)).map(|port| (address(port), 1)).collect(),
        4 => net.partitions.clear(),
        5 => net.loss = f64::from(at % 4) / 10.0,
        6 => net.start(100 + port as u32, INCARNATION, port as u16, &[0, 1, 2]),
        7 if i > 0 => net.nodes[i].members.leave(),
        _ => {}
    }
    net.run(Duration::from_millis(u64::from(at) * 20));
}

fn stop_faults(net: &mut Net) {
    net.partitions.clear();
    net.loss = 0.0;
    for i in 0..net.nodes.len() {
        net.resume(i);
    }
}

#[test]
fn agreement_after_faults() {
    fn holds(seed: u64, faults: Vec<(u8, u8)>) -> bool {
        let mut net = Net::settled(seed, INSTANCES);
        for &(kind, at) in faults.iter().take(MAX_FAULTS) {
            inject_fault(&mut net, kind, at);
        }
        stop_faults(&mut net);
        net.run_until(AGREEMENT_TIMEOUT, Net::agree).is_some()
    }
    checker(CASES).quickcheck(holds as fn(u64, Vec<(u8, u8)>) -> bool);
}

/// Builds any kind of message from a few numbers, including extreme ones.
fn message(kind: u8, id: u32, number: u64, updates: Vec<(u8, u32, u64)>) -> Message {
    let updates = updates.into_iter().map(|(kind, id, number)| {
        let revision = Revision { incarnation: number, announcement: id };
        match kind % 3 {
            0 => MemberUpdate::Alive { info: info(id, number, kind.into()), announcement: id },
            1 => MemberUpdate::Suspect(id % 12, revision),
            _ => MemberUpdate::Dead(id % 12, revision),
        }
    });
    let (updates, sequence) = (updates.collect(), id);
    let digest = Digest { part: kind, value: id };
    match kind % 6 {
        0 => Message::Ping { sequence, introduce: id.is_multiple_of(2), digest, updates },
        1 => Message::Ack { sequence, digest, updates },
        2 => Message::PingRequest { sequence, peer: id },
        3 => Message::Gossip(updates),
        4 => Message::Pull { number: id, after: Some(id), digests: vec![id; kind.into()] },
        _ => Message::Piece { number: id % 4, updates, next: Some(number as u32) },
    }
}

#[test]
fn arbitrary_messages() {
    type Case = (u8, u32, u64, Vec<(u8, u32, u64)>);
    fn never_panics(cases: Vec<Case>) -> bool {
        let mut net = Net::new(1);
        net.start(0, INCARNATION, 0, &[]);
        net.start(1, INCARNATION, 1, &[0]);
        net.run(Duration::from_secs(5));
        for (kind, id, number, updates) in cases {
            net.inject(0, id % 20, message(kind, id, number, updates));
            net.run(Duration::from_millis(u64::from(kind) * 10));
        }
        true
    }
    checker(CASES).quickcheck(never_panics as fn(Vec<Case>) -> bool);
}
