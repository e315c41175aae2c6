//! Targets: connections, slots with a queue, and a journal of what has run.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::{ServiceId, TargetId};
use limpetdeck::packet::{Segment, reset_answer};
use limpetdeck::placement::TargetState;
use limpetdeck::services::{Service, Target};
use limpetdeck::targets::Report as LoadReport;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{
    ACK, Effects, FIN_ACK, Kind, Numbers, RETRANSMITS, SYN_ACK, Timer, packet, retransmit_after,
    uses_slot,
};

/// Mean time between two packets of a feed.
const BEAT: Duration = Duration::from_secs(4);
/// What a target sends for a beat, and as the answer to a sale.
const ANSWER: [u8; 8] = *b"answered";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    HalfOpen,
    Open,
    Closing,
}

/// One connection, as its target sees it.
#[derive(Debug)]
struct Connection {
    opening: u32,
    state: State,
    numbers: Numbers,
    stamp: u32,
    tries: u32,
}

/// What targets report of themselves in the journal of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// A new connection was made.
    Opened,
    /// Work has waited so long for a slot and starts now.
    Started(Duration),
    /// Work is done.
    Finished,
}

/// What names a flow for ever: its caller's address and first sequence number.
pub type FlowStart = (SocketAddrV4, u32);

/// One target.
#[derive(Debug)]
pub struct Host {
    /// Number of the target.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Address of the target.
    pub address: SocketAddrV4,
    /// Failure domain that the target stands in.
    pub failure_domain: String,
    /// Share of new flows relative to the service's other targets.
    pub weight: u32,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// What the target is; a dead one answers nothing.
    pub state: TargetState,
    /// What the target says that it is, when it is probed.
    pub says: TargetState,
    /// What the target says of its load in place of the truth.
    pub claims: Option<LoadReport>,
    /// Whether the target was ever killed with its flows.
    pub killed: bool,
    /// When its leaving was first known to an instance.
    pub leaving_known: Option<Duration>,
    /// What the target has to tell since the last look, and of which caller.
    pub reports: Vec<(FlowStart, Report)>,
    index: usize,
    connections: HashMap<SocketAddrV4, Connection>,
    busy: u32,
    waiting: VecDeque<(Duration, SocketAddrV4, u32)>,
    service_time: Duration,
}

impl Host {
    /// Makes a target that serves.
    pub fn new(index: usize, service: &Service, target: &Target, service_time: Duration) -> Self {
        Self {
            id: target.id,
            service: service.id,
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            weight: target.weight,
            slots: target.slots,
            state: TargetState::Serving,
            says: TargetState::Serving,
            claims: None,
            killed: false,
            leaving_known: None,
            reports: Vec::new(),
            index,
            connections: HashMap::default(),
            busy: 0,
            waiting: VecDeque::new(),
            service_time,
        }
    }

    /// Returns the open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Returns the open connections of one kind of callers.
    pub fn open_of(&self, kind: Kind) -> usize {
        let octet = kind.octet();
        self.connections.keys().filter(|caller| caller.ip().octets()[0] == octet).count()
    }

    /// Returns the work in slots and before them.
    pub fn work(&self) -> usize {
        self.busy as usize + self.waiting.len()
    }

    /// Returns what the target says when it is probed; a dead one says nothing.
    pub fn report(&self) -> Option<LoadReport> {
        let truth = LoadReport {
            state: self.says,
            slots_used: self.busy,
            waiting: self.waiting.len() as u32,
            open: self.connections.len() as u32,
        };
        let claim = self.claims.map(|claim| LoadReport { state: self.says, ..claim });
        (self.state != TargetState::Dead).then_some(claim.unwrap_or(truth))
    }

    /// Ends the target with all that it holds.
    pub fn kill(&mut self) {
        self.state = TargetState::Dead;
        self.killed |= !self.connections.is_empty();
        self.connections.clear();
        self.waiting.clear();
        self.busy = 0;
    }

    /// Takes a packet.
    pub fn receive(
        &mut self,
        now: Duration,
        segment: &Segment,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        if self.state == TargetState::Dead {
            return;
        }
        if segment.flags.opens() {
            return self.opened(segment, rng, out);
        }
        let Some(connection) = self.connections.get_mut(&segment.source) else {
            out.packets.extend(reset_answer(segment));
            return;
        };
        if segment.flags.rst {
            if segment.sequence == connection.numbers.expected {
                self.connections.remove(&segment.source);
            }
            return;
        }
        let unsent = !connection.numbers.acknowledge(segment.acknowledgment);
        let foreign = connection.state == State::HalfOpen && !connection.numbers.settled();
        if unsent || foreign {
            out.packets.extend(reset_answer(segment));
            return;
        }
        self.progress(now, segment, rng, out);
    }

    /// Sends news to a feed.
    pub fn beat(
        &mut self,
        caller: SocketAddrV4,
        opening: u32,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.opening != opening || connection.state != State::Open {
            return;
        }
        if connection.numbers.settled() {
            self.send_answer(caller, out);
        }
        let after = BEAT.mul_f64(rng.random_range(0.8..1.2));
        out.timers.push((after, Timer::Beat { host: self.index, caller, opening }));
    }

    /// Frees a slot, sends the answer and starts the next work.
    pub fn done(&mut self, now: Duration, caller: SocketAddrV4, opening: u32, out: &mut Effects) {
        if self.state == TargetState::Dead {
            return;
        }
        self.busy = self.busy.saturating_sub(1);
        self.reports.push(((caller, opening), Report::Finished));
        if self.connections.get(&caller).is_some_and(|c| c.opening == opening) {
            self.send_answer(caller, out);
        }
        self.start(now, out);
    }

    /// Sends again what is not acknowledged, or gives up.
    pub fn retransmit(&mut self, caller: SocketAddrV4, stamp: u32, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.stamp != stamp || connection.numbers.settled() {
            return;
        }
        connection.tries += 1;
        if connection.tries > RETRANSMITS {
            self.connections.remove(&caller);
            return;
        }
        self.resend(caller, out);
        self.arm(caller, out);
    }

    fn opened(&mut self, segment: &Segment, rng: &mut SmallRng, out: &mut Effects) {
        let caller = segment.source;
        let known = self.connections.get(&caller);
        if known.is_some_and(|connection| connection.opening == segment.sequence) {
            return self.resend(caller, out);
        }
        if self.state == TargetState::Shedding {
            out.packets.extend(reset_answer(segment));
            return;
        }
        let first: u32 = rng.random();
        let numbers = Numbers {
            next: first.wrapping_add(1),
            unacknowledged: first,
            expected: segment.sequence.wrapping_add(1),
        };
        let opening = segment.sequence;
        let connection =
            Connection { opening, state: State::HalfOpen, numbers, stamp: 0, tries: 0 };
        self.connections.insert(caller, connection);
        self.reports.push(((caller, opening), Report::Opened));
        self.resend(caller, out);
        self.arm(caller, out);
    }

    fn progress(
        &mut self,
        now: Duration,
        segment: &Segment,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        let caller = segment.source;
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.state == State::Closing {
            if connection.numbers.settled() {
                self.connections.remove(&caller);
            }
            return;
        }
        if segment.sequence != connection.numbers.expected {
            return self.send_ack(caller, out);
        }
        let len = u32::from(segment.payload_len);
        connection.numbers.expected = connection.numbers.expected.wrapping_add(len);
        if segment.flags.fin {
            connection.numbers.expected = connection.numbers.expected.wrapping_add(1);
            connection.state = State::Closing;
            connection.numbers.unacknowledged = connection.numbers.next;
            connection.numbers.next = connection.numbers.next.wrapping_add(1);
            self.resend(caller, out);
            return self.arm(caller, out);
        }
        if len > 0 {
            connection.state = State::Open;
            let opening = connection.opening;
            self.send_ack(caller, out);
            self.requested(now, caller, opening, rng, out);
        }
    }

    fn requested(
        &mut self,
        now: Duration,
        caller: SocketAddrV4,
        opening: u32,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        if uses_slot(caller) {
            self.waiting.push_back((now, caller, opening));
            return self.start(now, out);
        }
        self.reports.push(((caller, opening), Report::Started(Duration::ZERO)));
        let after = BEAT.mul_f64(rng.random());
        out.timers.push((after, Timer::Beat { host: self.index, caller, opening }));
    }

    /// Starts work while slots are free; a flow that has ended meanwhile does not run.
    fn start(&mut self, now: Duration, out: &mut Effects) {
        while self.busy < self.slots {
            let Some((since, caller, opening)) = self.waiting.pop_front() else { return };
            if self.connections.get(&caller).is_none_or(|c| c.opening != opening) {
                self.reports.push(((caller, opening), Report::Finished));
                continue;
            }
            self.busy += 1;
            self.reports.push(((caller, opening), Report::Started(now.saturating_sub(since))));
            let after = self.service_time.mul_f64(work_of(opening));
            out.timers.push((after, Timer::Done { host: self.index, caller, opening }));
        }
    }

    fn send_answer(&mut self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        connection.numbers.unacknowledged = connection.numbers.next;
        connection.numbers.next = connection.numbers.next.wrapping_add(ANSWER.len() as u32);
        connection.tries = 0;
        self.resend(caller, out);
        self.arm(caller, out);
    }

    fn arm(&mut self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        connection.stamp += 1;
        let timer = Timer::HostRetransmit { host: self.index, caller, stamp: connection.stamp };
        out.timers.push((retransmit_after(connection.tries), timer));
    }

    fn resend(&self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get(&caller) else { return };
        let at = (connection.numbers.unacknowledged, connection.numbers.expected);
        out.packets.push(match connection.state {
            State::HalfOpen => packet(self.address, caller, at, SYN_ACK, &[]),
            State::Open if connection.numbers.settled() => return self.send_ack(caller, out),
            State::Open => packet(self.address, caller, at, ACK, &ANSWER),
            State::Closing => packet(self.address, caller, at, FIN_ACK, &[]),
        });
    }

    fn send_ack(&self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get(&caller) else { return };
        let at = (connection.numbers.next, connection.numbers.expected);
        out.packets.push(packet(self.address, caller, at, ACK, &[]));
    }
}

/// Returns the work of a flow in mean service times: exponential, and the same under every
/// policy, since it hangs on the flow alone.
fn work_of(opening: u32) -> f64 {
    let uniform = (f64::from(opening) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -uniform.ln()
}
