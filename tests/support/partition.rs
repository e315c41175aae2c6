//! Instances of a failure domain that is partitioned off, and their callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::{CheckOutcome, Event};
use limpetdeck::steering::{PacketFormat, PacketKind, Target};

use super::support::*;
use super::world::*;

pub const THIRD: &str = "gt-centro-c";
/// Times at which a caller sends the copies of its opening packet, since the first one.
const COPIES: [u64; 2] = [200, 600];
/// Time after which a connection check that is not answered fails.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// What became of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A target of this failure domain has answered.
    Served(&'static str),
    Refused,
}

/// A caller that opens a flow.
#[derive(Debug)]
pub struct Caller {
    pub instance: usize,
    pub sent: Duration,
    copies: u32,
    pub outcome: Option<(Duration, Outcome)>,
    /// Failure domains of the targets that got its opening packet, with the time.
    pub forwarded: Vec<(Duration, &'static str)>,
}

/// A world with four targets in each of three failure domains, whose instances of the local one may be
/// cut off from others.
pub struct Partition {
    pub world: World,
    /// Failure domains whose targets the local instances do not reach.
    pub unreachable: Vec<&'static str>,
    /// The callers, by port.
    pub callers: BTreeMap<u16, Caller>,
    checks: Vec<(Duration, usize, SocketAddr, CheckOutcome)>,
}

impl Partition {
    /// Creates a world with that many instances, half of them in the local failure domain, at rest.
    pub fn new(instances: usize) -> Self {
        let mut world = World::with_domain_drains(&vec![true; instances]);
        for key in 11..=14 {
            world.store.put_target(&remote_target(key, STATION));
        }
        for key in 21..=24 {
            let third = Target { failure_domain: THIRD.to_owned(), ..target(key, STATION) };
            world.store.put_target(&third);
        }
        world.run(Duration::from_secs(12));
        // A large fleet takes longer until everyone knows everyone.
        world.run_until(Duration::from_secs(60), |n| n.membership().live_count() == instances);
        Self { world, unreachable: Vec::new(), callers: BTreeMap::new(), checks: Vec::new() }
    }

    pub fn local(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.world.nodes.len()).step_by(2)
    }

    /// Cuts the local failure domain off from the others.
    pub fn cut(&mut self) {
        self.unreachable = vec![REMOTE, THIRD];
        self.world.partitioned = (1..self.world.nodes.len()).step_by(2).collect();
    }

    pub fn heal(&mut self) {
        self.unreachable.clear();
        self.world.partitioned.clear();
    }

    /// Cuts the local failure domain off from the platform.
    pub fn silence_store(&mut self) {
        self.world.store.silent_instances = self.local().collect();
    }

    /// Opens a flow through an instance.
    pub fn open(&mut self, instance: usize) {
        let port = self.callers.last_key_value().map_or(1, |(port, _)| port + 1);
        let (sent, copies) = (self.world.now, 0);
        let caller = Caller { instance, sent, copies, outcome: None, forwarded: Vec::new() };
        self.callers.insert(port, caller);
        self.send_opening(port, 0);
    }

    fn send_opening(&mut self, port: u16, copies: u32) {
        let packet = match copies {
            0 => opening(port, 1),
            _ => retransmitted_opening(port, 1, copies),
        };
        let caller = self.callers.get_mut(&port).expect("a caller");
        caller.copies = copies;
        let instance = caller.instance;
        self.world.handle(instance, Event::Packet(text(&packet)));
        self.carry();
    }

    /// Runs for a time, in which each local instance gets a caller in each period.
    pub fn run(&mut self, duration: Duration, period: Duration) {
        let end = self.world.now + duration;
        let mut next = self.world.now;
        while self.world.now < end {
            if self.world.now >= next {
                next += period;
                for instance in self.local() {
                    self.open(instance);
                }
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.world.run(TICK);
        self.carry();
        let now = self.world.now;
        let (due, pending) = self.checks.iter().partition(|(at, ..)| *at <= now);
        self.checks = pending;
        let due: Vec<(Duration, usize, SocketAddr, CheckOutcome)> = due;
        for (_, i, address, outcome) in due {
            self.world.handle(i, Event::ConnectionChecked(address, outcome));
        }
        let is_due = |caller: &Caller| {
            let delay = COPIES.get(caller.copies as usize).map(|&delay| ms(delay));
            caller.outcome.is_none() && delay.is_some_and(|delay| now >= caller.sent + delay)
        };
        let due: Vec<_> =
            self.callers.iter().filter(|(_, c)| is_due(c)).map(|(p, c)| (*p, c.copies)).collect();
        for (port, copies) in due {
            self.send_opening(port, copies + 1);
        }
        self.carry();
    }

    /// Delivers what the local instances have sent to targets and callers.
    fn carry(&mut self) {
        for i in self.local() {
            for (to, buf) in std::mem::take(&mut self.world.datagrams[i]) {
                self.deliver(i, to, &buf);
            }
            for address in std::mem::take(&mut self.world.connect_attempts[i]) {
                let (delay, outcome) = match self.unreachable.contains(&domain_of(address)) {
                    true => (CHECK_TIMEOUT, CheckOutcome::NoAnswer),
                    false => (Duration::ZERO, CheckOutcome::Accepted),
                };
                self.checks.push((self.world.now + delay, i, address, outcome));
            }
        }
    }

    fn deliver(&mut self, i: usize, to: SocketAddr, buf: &[u8]) {
        let now = self.world.now;
        if buf == b"reset" {
            let caller = self.callers.get_mut(&to.port()).expect("a caller");
            caller.outcome.get_or_insert((now, Outcome::Refused));
            return;
        }
        let sent = String::from_utf8(buf.to_vec()).expect("text");
        let (_, packet) = sent.split_once('>').expect("a packet to a target");
        let (packet, token) = packet.rsplit_once(' ').expect("fields");
        let Ok(packet) = TextPackets.read(packet.as_bytes()) else { return };
        if !matches!(packet.kind, PacketKind::Opening { .. }) {
            return;
        }
        let (port, domain) = (packet.flow.caller.port(), domain_of(to));
        let caller = self.callers.get_mut(&port).expect("a caller");
        caller.forwarded.push((now, domain));
        if !self.unreachable.contains(&domain) && caller.outcome.is_none() {
            caller.outcome = Some((now, Outcome::Served(domain)));
            let token = token.parse().expect("a token");
            let answered = acknowledgement(port, 1, token, 0);
            self.world.handle(i, Event::Packet(text(&answered)));
        }
    }

    /// Returns the callers that came in a span of time after a moment.
    pub fn callers_in(&self, start: Duration, span: std::ops::Range<u64>) -> Vec<&Caller> {
        let span = start + ms(span.start)..start + ms(span.end);
        self.callers.values().filter(|caller| span.contains(&caller.sent)).collect()
    }
}

/// Returns the failure domain of a target's address.
fn domain_of(address: SocketAddr) -> &'static str {
    let SocketAddr::V4(address) = address else { panic!("not an address of a target") };
    match address.ip().octets()[3] {
        0..=9 => LOCAL,
        11..=19 => REMOTE,
        _ => THIRD,
    }
}
