//! The two ends of TCP flows: callers, and targets whose kernel answers for them.
#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::packet::{Segment, TcpFlags, build_reset};
use limpetdeck::placement::TargetState;
use limpetdeck::targets::{ProbeError, Report};

/// Bytes of data in one packet of a caller.
const DATA_LEN: u16 = 10;
/// Time without progress after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(40);
/// Time from a packet of a caller to the next one.
const PACE: Duration = Duration::from_millis(900);

pub const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
pub const ACK: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
const SYN_ACK: TcpFlags = TcpFlags { syn: true, ack: true, fin: false, rst: false };
const FIN_ACK: TcpFlags = TcpFlags { syn: false, ack: true, fin: true, rst: false };

/// Builds a packet with a sequence number, an acknowledgment number and a payload.
pub fn packet(
    from: SocketAddrV4,
    to: SocketAddrV4,
    (sequence, acknowledgment): (u32, u32),
    flags: TcpFlags,
    payload_len: u16,
) -> Vec<u8> {
    let mut tcp = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64).tcp(
        from.port(),
        to.port(),
        sequence,
        1_000,
    );
    if flags.syn {
        tcp = tcp.syn();
    }
    if flags.fin {
        tcp = tcp.fin();
    }
    if flags.ack {
        tcp = tcp.ack(acknowledgment);
    }
    let mut buf = Vec::new();
    tcp.write(&mut buf, &vec![0; usize::from(payload_len)]).expect("a packet in memory");
    buf
}

#[derive(Debug, Clone, Copy)]
pub struct Connection {
    caller_isn: u32,
    established: bool,
    /// Sequence number of the next byte to send.
    next: u32,
    /// Sequence number of the next byte of the caller.
    expected: u32,
}

/// A target's host, with its connections by caller.
#[derive(Debug)]
pub struct Target {
    pub address: SocketAddrV4,
    pub alive: bool,
    pub state: TargetState,
    pub error: Option<ProbeError>,
    pub connections: BTreeMap<SocketAddrV4, Connection>,
    next_isn: u32,
}

impl Target {
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            alive: true,
            state: TargetState::Serving,
            error: None,
            connections: BTreeMap::new(),
            next_isn: u32::from(*address.ip()).wrapping_mul(0x9e37_79b9),
        }
    }

    /// Returns the answer to a probe, none if there is none.
    pub fn report(&self) -> Option<Result<Report, ProbeError>> {
        let report = Report { state: self.state, ..Report::default() };
        self.alive.then(|| self.error.clone().map_or(Ok(report), Err))
    }

    /// Handles a packet and returns the answer, as RFC 9293 says.
    pub fn receive(&mut self, segment: &Segment) -> Option<Vec<u8>> {
        if !self.alive {
            return None;
        }
        let (caller, flags) = (segment.source, segment.flags);
        let answer = |at, flags| Some(packet(self.address, caller, at, flags, 0));
        let Some(connection) = self.connections.get_mut(&caller) else {
            if !flags.opens_flow() {
                return build_reset(segment);
            }
            self.next_isn = self.next_isn.wrapping_add(0x5bd1_e995);
            let (isn, expected) = (self.next_isn, segment.sequence.wrapping_add(1));
            let caller_isn = segment.sequence;
            let next = isn.wrapping_add(1);
            let connection = Connection { caller_isn, established: false, next, expected };
            self.connections.insert(caller, connection);
            return answer((isn, expected), SYN_ACK);
        };
        let (next, expected) = (connection.next, connection.expected);
        if flags.rst {
            if segment.sequence == expected {
                self.connections.remove(&caller);
            }
            return None;
        }
        if flags.syn {
            let again = !connection.established && segment.sequence == connection.caller_isn;
            let at = if again { (next.wrapping_sub(1), expected) } else { (next, expected) };
            return answer(at, if again { SYN_ACK } else { ACK });
        }
        if !connection.established && segment.acknowledgment != next {
            return build_reset(segment);
        }
        connection.established = true;
        if segment.sequence != expected {
            return answer((next, expected), ACK);
        }
        connection.expected = expected.wrapping_add(u32::from(segment.payload_len));
        let expected = connection.expected;
        if flags.fin {
            self.connections.remove(&caller);
            return answer((next, expected.wrapping_add(1)), FIN_ACK);
        }
        (segment.payload_len > 0).then(|| answer((next, expected), ACK)).flatten()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    Closed,
    Refused,
    Reset,
    GaveUp,
}

/// One flow as its caller sees it.
#[derive(Debug)]
pub struct Caller {
    pub address: SocketAddrV4,
    pub service: SocketAddrV4,
    pub isn: u32,
    pub open: bool,
    pub ending: Option<Ending>,
    pub ended_at: Option<Duration>,
    /// When its target lost the flow, and how.
    pub lost: Option<(Duration, &'static str)>,
    pub closes_at: Duration,
    next: u32,
    acknowledged: u32,
    expected: u32,
    progress: Duration,
    sent: u32,
}

impl Caller {
    pub fn new(
        now: Duration,
        address: SocketAddrV4,
        service: SocketAddrV4,
        isn: u32,
        closes_at: Duration,
    ) -> Self {
        let next = isn.wrapping_add(1);
        Self {
            address,
            service,
            isn,
            open: false,
            ending: None,
            ended_at: None,
            lost: None,
            closes_at,
            next,
            acknowledged: next,
            expected: 0,
            progress: now,
            sent: 0,
        }
    }

    /// Returns whether a target's connection is the one of this flow: of those that copies of the
    /// opening packet have opened, the one that the caller has taken.
    pub fn is_held_by(&self, connection: &Connection) -> bool {
        let taken = !self.open || connection.next == self.expected;
        taken && connection.caller_isn == self.isn
    }

    fn end(&mut self, now: Duration, ending: Ending) {
        self.ending = Some(ending);
        self.ended_at = Some(now);
    }

    /// Returns the packet that is due, and when to call again; none once the flow has ended.
    pub fn send(&mut self, now: Duration) -> Option<(Vec<u8>, Duration)> {
        if self.ending.is_none() && now >= self.progress + PATIENCE {
            self.end(now, Ending::GaveUp);
        }
        if self.ending.is_some() {
            return None;
        }
        self.sent += 1;
        let (from, to) = (self.address, self.service);
        if !self.open {
            let pause = Duration::from_secs(1 << self.sent.min(4)) / 2;
            return Some((packet(from, to, (self.isn, 0), SYN, 0), pause));
        }
        if self.acknowledged == self.next && now >= self.closes_at {
            self.end(now, Ending::Closed);
            return Some((packet(from, to, (self.next, self.expected), FIN_ACK, 0), PACE));
        }
        let first = self.acknowledged;
        self.next = first.wrapping_add(u32::from(DATA_LEN));
        Some((packet(from, to, (first, self.expected), ACK, DATA_LEN), PACE))
    }

    /// Handles a packet. Returns whether the flow has just been opened.
    pub fn receive(&mut self, now: Duration, segment: &Segment) -> bool {
        if self.ending.is_some() {
            return false;
        }
        let flags = segment.flags;
        if !self.open {
            if !flags.ack || segment.acknowledgment != self.isn.wrapping_add(1) {
                return false;
            }
            if flags.rst {
                self.end(now, Ending::Refused);
            }
            self.open = flags.syn && !flags.rst;
            self.expected = segment.sequence.wrapping_add(1);
            self.progress = now;
            return self.open;
        }
        if flags.rst && segment.sequence == self.expected {
            self.end(now, Ending::Reset);
        }
        if !flags.rst && !flags.syn && segment.acknowledgment == self.next {
            self.progress = if self.acknowledged == self.next { self.progress } else { now };
            self.acknowledged = self.next;
        }
        false
    }
}
