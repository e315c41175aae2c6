//! Callers that hold feeds, and callers that open a flow for one sale or session.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::packet::Segment;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{ACK, Effects, FIN_ACK, Numbers, RETRANSMITS, SYN, Timer, packet, retransmit_after};

/// Time without a packet after which a caller counts its flow as broken.
const STALLED: Duration = Duration::from_secs(20);
/// Time between two looks.
const WATCH_EVERY: Duration = Duration::from_secs(5);
/// Callers on one IPv4 number.
const PORTS: usize = 20_000;

/// What a flow is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Stays open and gets a small packet now and then.
    Feed,
    /// Asks once, waits for a slot and the answer, and closes.
    Sale,
    /// Like a feed, of a customer that opens more than it may.
    Burst,
    /// Like a feed, of a customer that keeps to its plan.
    Steady,
}

impl Kind {
    /// Returns the first octet of the callers, by which their customer is known.
    pub fn octet(self) -> u8 {
        match self {
            Self::Feed => 100,
            Self::Sale => 101,
            Self::Burst => 102,
            Self::Steady => 103,
        }
    }
}

/// How a flow ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// As it should.
    Complete,
    /// Reset in answer to its first packet: not run.
    Refused,
    /// Reset or silent.
    Broken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Open,
    Closing,
    Over,
}

/// Tells whether a caller's flow uses a slot.
pub fn uses_slot(caller: SocketAddrV4) -> bool {
    caller.ip().octets()[0] == Kind::Sale.octet()
}

/// One flow, as its caller sees it.
#[derive(Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddrV4,
    /// Service that it dialled.
    pub service: SocketAddrV4,
    /// What the flow is for.
    pub kind: Kind,
    /// Sequence number with which the flow was opened.
    pub opening: u32,
    /// How the flow ended, once it has.
    pub end: Option<End>,
    /// Target that made the connection last.
    pub host: Option<usize>,
    /// Whether the work was done, or will not be.
    pub finished: bool,
    id: u64,
    state: State,
    numbers: Numbers,
    stamp: u32,
    tries: u32,
    heard: Duration,
}

/// All callers, with a look-up by address.
#[derive(Debug, Default)]
pub struct Callers {
    /// The flows in the order in which they were opened.
    pub list: Vec<Caller>,
    by_address: HashMap<SocketAddrV4, usize>,
    /// Ends of sales that are over, for reuse.
    free: Vec<(SocketAddrV4, SocketAddrV4)>,
}

impl Callers {
    /// Opens a flow; `reuse` takes the address of one that has ended, if there is one.
    pub fn open(
        &mut self,
        now: Duration,
        kind: Kind,
        service: SocketAddrV4,
        reuse: bool,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) -> usize {
        let index = self.list.len();
        let free = if reuse && kind == Kind::Sale { self.take_free(service) } else { None };
        let address = free.unwrap_or_else(|| fresh_address(kind, index));
        let caller = Caller::new(now, index, address, service, kind, rng.random());
        caller.send_opening(out);
        out.timers.push((WATCH_EVERY, Timer::CallerWatch { caller: index }));
        out.timers.push((
            retransmit_after(0),
            Timer::CallerRetransmit { caller: index, stamp: caller.stamp },
        ));
        self.by_address.insert(address, index);
        self.list.push(caller);
        index
    }

    /// Finds the caller that has an address now.
    pub fn at(&self, address: SocketAddrV4) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    /// Lets the address of an ended flow be used again.
    pub fn release(&mut self, index: usize) {
        let caller = &self.list[index];
        self.free.push((caller.address, caller.service));
    }

    fn take_free(&mut self, service: SocketAddrV4) -> Option<SocketAddrV4> {
        let found = self.free.iter().rposition(|&(_, dialled)| dialled == service)?;
        Some(self.free.swap_remove(found).0)
    }
}

fn fresh_address(kind: Kind, index: usize) -> SocketAddrV4 {
    let [_, a, b, c] = ((index / PORTS) as u32 + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(kind.octet(), a, b, c), (index % PORTS) as u16 + 2_000)
}

impl Caller {
    fn new(
        now: Duration,
        index: usize,
        address: SocketAddrV4,
        service: SocketAddrV4,
        kind: Kind,
        opening: u32,
    ) -> Self {
        let numbers =
            Numbers { next: opening.wrapping_add(1), unacknowledged: opening, expected: 0 };
        Self {
            address,
            service,
            kind,
            opening,
            end: None,
            host: None,
            finished: false,
            id: index as u64,
            state: State::Opening,
            numbers,
            stamp: 0,
            tries: 0,
            heard: now,
        }
    }

    /// Tells whether the flow was opened and is not over.
    pub fn open(&self) -> bool {
        self.state == State::Open
    }

    /// Takes a packet.
    pub fn receive(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        if self.state == State::Over {
            return;
        }
        if segment.flags.rst {
            return self.reset(segment);
        }
        match self.state {
            State::Opening => self.answered(now, segment, out),
            State::Open | State::Closing => self.progress(now, segment, out),
            State::Over => {}
        }
    }

    /// Closes the flow in the usual way.
    pub fn close(&mut self, out: &mut Effects) {
        if self.state == State::Open {
            self.state = State::Closing;
            self.numbers.unacknowledged = self.numbers.next;
            self.numbers.next = self.numbers.next.wrapping_add(1);
            self.resend(out);
            self.arm(out);
        }
    }

    /// Sends again what is not acknowledged, or gives up.
    pub fn retransmit(&mut self, stamp: u32, out: &mut Effects) {
        if stamp != self.stamp || self.state == State::Over || self.numbers.settled() {
            return;
        }
        self.tries += 1;
        if self.tries > RETRANSMITS {
            let end = if self.state == State::Closing { End::Complete } else { End::Broken };
            return self.finish(end);
        }
        self.resend(out);
        self.arm(out);
    }

    /// Gives a silent flow up.
    pub fn watch(&mut self, now: Duration, index: usize, out: &mut Effects) {
        if self.state == State::Over {
            return;
        }
        if self.state == State::Open && now.saturating_sub(self.heard) > STALLED {
            return self.finish(End::Broken);
        }
        out.timers.push((WATCH_EVERY, Timer::CallerWatch { caller: index }));
    }

    fn reset(&mut self, segment: &Segment) {
        match self.state {
            State::Opening if segment.acknowledgment == self.numbers.next => {
                self.finish(End::Refused);
            }
            State::Open if segment.sequence == self.numbers.expected => self.finish(End::Broken),
            State::Closing if segment.sequence == self.numbers.expected => {
                self.finish(End::Complete);
            }
            _ => {}
        }
    }

    fn answered(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        if !segment.flags.syn || segment.acknowledgment != self.numbers.next {
            return;
        }
        self.state = State::Open;
        self.heard = now;
        self.numbers.expected = segment.sequence.wrapping_add(1);
        self.numbers.unacknowledged = self.numbers.next;
        self.numbers.next = self.numbers.next.wrapping_add(self.payload().len() as u32);
        self.tries = 0;
        self.resend(out);
        self.arm(out);
    }

    fn progress(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        self.numbers.acknowledge(segment.acknowledgment);
        if segment.flags.syn || segment.sequence != self.numbers.expected {
            return self.send_ack(out);
        }
        self.heard = now;
        self.numbers.expected = self.numbers.expected.wrapping_add(u32::from(segment.payload_len));
        if segment.flags.fin {
            self.numbers.expected = self.numbers.expected.wrapping_add(1);
            self.send_ack(out);
            return self.finish(End::Complete);
        }
        if segment.payload_len > 0 {
            match self.kind {
                Kind::Sale => self.close(out),
                Kind::Feed | Kind::Burst | Kind::Steady => self.send_ack(out),
            }
        }
    }

    fn finish(&mut self, end: End) {
        self.state = State::Over;
        self.end = Some(end);
    }

    fn arm(&mut self, out: &mut Effects) {
        self.stamp += 1;
        let timer = Timer::CallerRetransmit { caller: self.id as usize, stamp: self.stamp };
        out.timers.push((retransmit_after(self.tries), timer));
    }

    fn payload(&self) -> [u8; 8] {
        self.id.to_be_bytes()
    }

    fn resend(&self, out: &mut Effects) {
        let at = (self.numbers.unacknowledged, self.numbers.expected);
        let (from, to) = (self.address, self.service);
        out.packets.push(match self.state {
            State::Opening | State::Over => return self.send_opening(out),
            State::Open => packet(from, to, at, ACK, &self.payload()),
            State::Closing => packet(from, to, at, FIN_ACK, &[]),
        });
    }

    fn send_opening(&self, out: &mut Effects) {
        out.packets.push(packet(self.address, self.service, (self.opening, 0), SYN, &[]));
    }

    fn send_ack(&self, out: &mut Effects) {
        let at = (self.numbers.next, self.numbers.expected);
        out.packets.push(packet(self.address, self.service, at, ACK, &[]));
    }
}
