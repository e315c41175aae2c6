//! After any interleaving of faults has stopped, all that live agree.

use std::time::Duration;

use limpetdeck::membership::{Digest, Message, News, Revision};
use members::{Net, address, info};
use support::checker;

#[allow(dead_code)]
#[path = "support/members.rs"]
mod members;
mod support;

/// Cases that each property is tried on.
const CASES: u64 = 40;
const N: u16 = 8;
const START: u64 = 1_000_000_000_000;
/// Time within which all agree once faults have stopped.
const BOUND: Duration = Duration::from_secs(30);
/// Faults of one case at most.
const MOST_FAULTS: usize = 12;

fn fault(net: &mut Net, kind: u8, at: u8) {
    let i = usize::from(at) % net.nodes.len();
    let port = usize::from(N) + net.nodes.len();
    match kind % 8 {
        // One stays, so that those who come find somebody.
        0 if i > 0 => net.kill(i),
        1 => net.pause(i),
        2 => net.wake(i),
        3 => net.sides = (0..u16::from(at % 8)).map(|port| (address(port), 1)).collect(),
        4 => net.sides.clear(),
        5 => net.loss = f64::from(at % 4) / 10.0,
        6 => net.start(100 + port as u32, START, port as u16, &[0, 1, 2]),
        7 if i > 0 => net.nodes[i].members.leave(),
        _ => {}
    }
    net.run(Duration::from_millis(u64::from(at) * 20));
}

fn stop_faults(net: &mut Net) {
    net.sides.clear();
    net.loss = 0.0;
    for i in 0..net.nodes.len() {
        net.wake(i);
    }
}

#[test]
fn agree_afterwards() {
    fn holds(seed: u64, faults: Vec<(u8, u8)>) -> bool {
        let mut net = Net::settled(seed, N);
        for &(kind, at) in faults.iter().take(MOST_FAULTS) {
            fault(&mut net, kind, at);
        }
        stop_faults(&mut net);
        net.until(BOUND, Net::agree).is_some()
    }
    checker(CASES).quickcheck(holds as fn(u64, Vec<(u8, u8)>) -> bool);
}

/// Makes any message out of few numbers, with all extremes.
fn message(kind: u8, id: u32, number: u64, news: Vec<(u8, u32, u64)>) -> Message {
    let news = news.into_iter().map(|(kind, id, number)| {
        let revision = Revision { incarnation: number, announcement: id };
        match kind % 3 {
            0 => News::Alive { info: info(id, number, kind.into()), announcement: id },
            1 => News::Suspect(id % 12, revision),
            _ => News::Dead(id % 12, revision),
        }
    });
    let (news, sequence) = (news.collect(), id);
    let digest = Digest { part: kind, value: id };
    match kind % 6 {
        0 => Message::Ping { sequence, introduce: id.is_multiple_of(2), digest, news },
        1 => Message::Ack { sequence, digest, news },
        2 => Message::PingRequest { sequence, target: id },
        3 => Message::Gossip(news),
        4 => Message::Pull { number: id, after: Some(id), digests: vec![id; kind.into()] },
        _ => Message::Piece { number: id % 4, news, next: Some(number as u32) },
    }
}

#[test]
fn any_message() {
    type Case = (u8, u32, u64, Vec<(u8, u32, u64)>);
    fn never_panics(cases: Vec<Case>) -> bool {
        let mut net = Net::new(1);
        net.start(0, START, 0, &[]);
        net.start(1, START, 1, &[0]);
        net.run(Duration::from_secs(5));
        for (kind, id, number, news) in cases {
            net.inject(0, id % 20, message(kind, id, number, news));
            net.run(Duration::from_millis(u64::from(kind) * 10));
        }
        true
    }
    checker(CASES).quickcheck(never_panics as fn(Vec<Case>) -> bool);
}
