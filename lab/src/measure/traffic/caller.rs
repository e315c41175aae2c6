//! Callers of feeds, which stay open, and of flows for one sale or session.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::packet::Segment;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{
    ACK, Effects, FIN_ACK, MAX_RETRANSMITS, SYN, SequenceState, Timer, build_packet,
    retransmit_timeout,
};

/// Time without a packet after which a flow counts as broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between checks for a stall.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Callers per IPv4 address.
const CALLERS_PER_IP: usize = 20_000;

/// Kind of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowKind {
    /// Stays open and receives a small packet every few seconds; uses no slot.
    Feed,
    /// Sends one request, waits for a slot and the response, and closes.
    Sale,
    /// Like a feed, of a customer that opens more flows than its plan allows.
    Burst,
    /// Like a feed, of a customer within its plan.
    Steady,
}

impl FlowKind {
    /// Returns the first octet of the callers' addresses, which identifies their customer.
    pub fn first_octet(self) -> u8 {
        match self {
            Self::Feed => 100,
            Self::Sale => 101,
            Self::Burst => 102,
            Self::Steady => 103,
        }
    }
}

/// Outcome of a flow as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowOutcome {
    /// Closed normally.
    Completed,
    /// Reset in response to the SYN, so its work must not have been executed.
    Refused,
    /// Reset or stalled while open.
    Broken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Open,
    Closing,
    Ended,
}

/// Returns whether a caller's flow uses a slot.
pub fn uses_slot(caller: SocketAddrV4) -> bool {
    caller.ip().octets()[0] == FlowKind::Sale.first_octet()
}

/// One flow as seen by its caller.
#[derive(Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddrV4,
    /// Address of the service that the caller connects to.
    pub service: SocketAddrV4,
    /// Kind of the flow.
    pub kind: FlowKind,
    /// Sequence number of the SYN.
    pub initial_sequence: u32,
    /// Outcome of an ended flow, until it is counted.
    pub outcome: Option<FlowOutcome>,
    /// Index of the target that last accepted the connection.
    pub target: Option<usize>,
    /// Whether the work is done or will never be done.
    pub finished: bool,
    id: u64,
    state: State,
    seq: SequenceState,
    generation: u32,
    retransmits: u32,
    last_received: Duration,
}

/// All callers, with lookup by address.
#[derive(Debug, Default)]
pub struct Callers {
    /// Flows in the order in which they were opened.
    pub list: Vec<Caller>,
    by_address: HashMap<SocketAddrV4, usize>,
    /// Caller and service addresses of completed flows, for reuse.
    free_addresses: Vec<(SocketAddrV4, SocketAddrV4)>,
}

impl Callers {
    /// Opens a flow and returns its index; with `reuse`, a sale takes the address of a
    /// completed flow if there is one.
    pub fn open(
        &mut self,
        now: Duration,
        kind: FlowKind,
        service: SocketAddrV4,
        reuse: bool,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) -> usize {
        let index = self.list.len();
        let reused =
            if reuse && kind == FlowKind::Sale { self.take_free_address(service) } else { None };
        let address = reused.unwrap_or_else(|| new_address(kind, index));
        let caller = Caller::new(now, index, address, service, kind, rng.random());
        caller.send_syn(out);
        out.timers.push((STALL_CHECK_INTERVAL, Timer::CallerStallCheck { caller: index }));
        out.timers.push((
            retransmit_timeout(0),
            Timer::CallerRetransmit { caller: index, generation: caller.generation },
        ));
        self.by_address.insert(address, index);
        self.list.push(caller);
        index
    }

    /// Returns the index of the caller that currently has the given address.
    pub fn find(&self, address: SocketAddrV4) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    /// Makes the address of an ended flow available for reuse.
    pub fn release_address(&mut self, index: usize) {
        let caller = &self.list[index];
        self.free_addresses.push((caller.address, caller.service));
    }

    fn take_free_address(&mut self, service: SocketAddrV4) -> Option<SocketAddrV4> {
        let found =
            self.free_addresses.iter().rposition(|&(_, used_service)| used_service == service)?;
        Some(self.free_addresses.swap_remove(found).0)
    }
}

fn new_address(kind: FlowKind, index: usize) -> SocketAddrV4 {
    let [_, a, b, c] = ((index / CALLERS_PER_IP) as u32 + 1).to_be_bytes();
    SocketAddrV4::new(
        Ipv4Addr::new(kind.first_octet(), a, b, c),
        (index % CALLERS_PER_IP) as u16 + 2_000,
    )
}

impl Caller {
    fn new(
        now: Duration,
        index: usize,
        address: SocketAddrV4,
        service: SocketAddrV4,
        kind: FlowKind,
        initial_sequence: u32,
    ) -> Self {
        let seq = SequenceState {
            next: initial_sequence.wrapping_add(1),
            unacknowledged: initial_sequence,
            expected: 0,
        };
        Self {
            address,
            service,
            kind,
            initial_sequence,
            outcome: None,
            target: None,
            finished: false,
            id: index as u64,
            state: State::Opening,
            seq,
            generation: 0,
            retransmits: 0,
            last_received: now,
        }
    }

    /// Returns whether the flow is established and not closing.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Handles a packet.
    pub fn receive(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        if self.state == State::Ended {
            return;
        }
        if segment.flags.rst {
            return self.on_reset(segment);
        }
        match self.state {
            State::Opening => self.on_syn_ack(now, segment, out),
            State::Open | State::Closing => self.on_segment(now, segment, out),
            State::Ended => {}
        }
    }

    /// Closes the flow with a FIN if it is open.
    pub fn close(&mut self, out: &mut Effects) {
        if self.state == State::Open {
            self.state = State::Closing;
            self.seq.unacknowledged = self.seq.next;
            self.seq.next = self.seq.next.wrapping_add(1);
            self.resend(out);
            self.schedule_retransmit(out);
        }
    }

    /// Retransmits the unacknowledged segment, or ends the flow after too many attempts.
    pub fn retransmit(&mut self, generation: u32, out: &mut Effects) {
        if generation != self.generation || self.state == State::Ended || self.seq.all_acked() {
            return;
        }
        self.retransmits += 1;
        if self.retransmits > MAX_RETRANSMITS {
            let outcome = if self.state == State::Closing {
                FlowOutcome::Completed
            } else {
                FlowOutcome::Broken
            };
            return self.end(outcome);
        }
        self.resend(out);
        self.schedule_retransmit(out);
    }

    /// Ends the flow as broken if it has stalled.
    pub fn check_stalled(&mut self, now: Duration, index: usize, out: &mut Effects) {
        if self.state == State::Ended {
            return;
        }
        if self.state == State::Open && now.saturating_sub(self.last_received) > STALL_TIMEOUT {
            return self.end(FlowOutcome::Broken);
        }
        out.timers.push((STALL_CHECK_INTERVAL, Timer::CallerStallCheck { caller: index }));
    }

    fn on_reset(&mut self, segment: &Segment) {
        match self.state {
            State::Opening if segment.acknowledgment == self.seq.next => {
                self.end(FlowOutcome::Refused);
            }
            State::Open if segment.sequence == self.seq.expected => self.end(FlowOutcome::Broken),
            State::Closing if segment.sequence == self.seq.expected => {
                self.end(FlowOutcome::Completed);
            }
            _ => {}
        }
    }

    fn on_syn_ack(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        if !segment.flags.syn || segment.acknowledgment != self.seq.next {
            return;
        }
        self.state = State::Open;
        self.last_received = now;
        self.seq.expected = segment.sequence.wrapping_add(1);
        self.seq.unacknowledged = self.seq.next;
        self.seq.next = self.seq.next.wrapping_add(self.payload().len() as u32);
        self.retransmits = 0;
        self.resend(out);
        self.schedule_retransmit(out);
    }

    fn on_segment(&mut self, now: Duration, segment: &Segment, out: &mut Effects) {
        self.seq.acknowledge(segment.acknowledgment);
        if segment.flags.syn || segment.sequence != self.seq.expected {
            return self.send_ack(out);
        }
        self.last_received = now;
        self.seq.expected = self.seq.expected.wrapping_add(u32::from(segment.payload_len));
        if segment.flags.fin {
            self.seq.expected = self.seq.expected.wrapping_add(1);
            self.send_ack(out);
            return self.end(FlowOutcome::Completed);
        }
        if segment.payload_len > 0 {
            match self.kind {
                FlowKind::Sale => self.close(out),
                FlowKind::Feed | FlowKind::Burst | FlowKind::Steady => self.send_ack(out),
            }
        }
    }

    fn end(&mut self, outcome: FlowOutcome) {
        self.state = State::Ended;
        self.outcome = Some(outcome);
    }

    fn schedule_retransmit(&mut self, out: &mut Effects) {
        self.generation += 1;
        let timer =
            Timer::CallerRetransmit { caller: self.id as usize, generation: self.generation };
        out.timers.push((retransmit_timeout(self.retransmits), timer));
    }

    fn payload(&self) -> [u8; 8] {
        self.id.to_be_bytes()
    }

    fn resend(&self, out: &mut Effects) {
        let at = (self.seq.unacknowledged, self.seq.expected);
        let (from, to) = (self.address, self.service);
        out.packets.push(match self.state {
            State::Opening | State::Ended => return self.send_syn(out),
            State::Open => build_packet(from, to, at, ACK, &self.payload()),
            State::Closing => build_packet(from, to, at, FIN_ACK, &[]),
        });
    }

    fn send_syn(&self, out: &mut Effects) {
        out.packets.push(build_packet(
            self.address,
            self.service,
            (self.initial_sequence, 0),
            SYN,
            &[],
        ));
    }

    fn send_ack(&self, out: &mut Effects) {
        let at = (self.seq.next, self.seq.expected);
        out.packets.push(build_packet(self.address, self.service, at, ACK, &[]));
    }
}
