//! Simulated targets: connections, slots with a queue, and events about executed work.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::{ServiceId, TargetId};
use limpetdeck::packet::{Segment, build_reset};
use limpetdeck::placement::TargetState;
use limpetdeck::services::{Service, Target};
use limpetdeck::targets::Report as LoadReport;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{
    ACK, Effects, FIN_ACK, FlowKind, MAX_RETRANSMITS, SYN_ACK, SequenceState, Timer, build_packet,
    retransmit_timeout, uses_slot,
};

/// Mean time between packets of a feed.
const MEAN_FEED_INTERVAL: Duration = Duration::from_secs(4);
/// Payload of feed packets and of responses to sales.
const RESPONSE: [u8; 8] = *b"answered";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    HalfOpen,
    Open,
    Closing,
}

/// One connection as seen by its target.
#[derive(Debug)]
struct Connection {
    initial_sequence: u32,
    state: State,
    seq: SequenceState,
    generation: u32,
    retransmits: u32,
}

/// Event of a flow at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowEvent {
    /// A connection was accepted.
    Opened,
    /// Work starts now, after the given waiting time for a slot.
    Started(Duration),
    /// Work has finished or was dropped.
    Finished,
}

/// Identifier of a flow that stays unique when ports are reused: the caller's address and
/// initial sequence number.
pub type FlowUid = (SocketAddrV4, u32);

/// Simulated target.
#[derive(Debug)]
pub struct SimTarget {
    /// Target ID.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Address of the target.
    pub address: SocketAddrV4,
    /// Failure domain of the target.
    pub failure_domain: String,
    /// Share of new flows relative to the other targets of the service.
    pub weight: u32,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Actual state; a dead target sends nothing.
    pub state: TargetState,
    /// State that the target reports when probed.
    pub reported_state: TargetState,
    /// Load that the target reports instead of the actual load.
    pub load_override: Option<LoadReport>,
    /// Whether the target was ever killed while it had connections.
    pub killed_with_flows: bool,
    /// Time at which an instance first knew that the target is draining.
    pub draining_known_at: Option<Duration>,
    /// Flow events that have not been evaluated.
    pub flow_events: Vec<(FlowUid, FlowEvent)>,
    index: usize,
    connections: HashMap<SocketAddrV4, Connection>,
    busy_slots: u32,
    queue: VecDeque<(Duration, SocketAddrV4, u32)>,
    service_time: Duration,
}

impl SimTarget {
    /// Creates a serving target.
    pub fn new(index: usize, service: &Service, target: &Target, service_time: Duration) -> Self {
        Self {
            id: target.id,
            service: service.id,
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            weight: target.weight,
            slots: target.slots,
            state: TargetState::Serving,
            reported_state: TargetState::Serving,
            load_override: None,
            killed_with_flows: false,
            draining_known_at: None,
            flow_events: Vec::new(),
            index,
            connections: HashMap::default(),
            busy_slots: 0,
            queue: VecDeque::new(),
            service_time,
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of open connections of one kind.
    pub fn open_connections_of(&self, kind: FlowKind) -> usize {
        let first_octet = kind.first_octet();
        self.connections.keys().filter(|caller| caller.ip().octets()[0] == first_octet).count()
    }

    /// Returns the number of requests in slots and in the queue.
    pub fn outstanding_work(&self) -> usize {
        self.busy_slots as usize + self.queue.len()
    }

    /// Returns the response to a probe, or `None` from a dead target.
    pub fn load_report(&self) -> Option<LoadReport> {
        let true_report = LoadReport {
            state: self.reported_state,
            slots_used: self.busy_slots,
            waiting: self.queue.len() as u32,
            open: self.connections.len() as u32,
        };
        let false_report = self
            .load_override
            .map(|false_report| LoadReport { state: self.reported_state, ..false_report });
        (self.state != TargetState::Dead).then_some(false_report.unwrap_or(true_report))
    }

    /// Kills the target and drops its connections and work.
    pub fn kill(&mut self) {
        self.state = TargetState::Dead;
        self.killed_with_flows |= !self.connections.is_empty();
        self.connections.clear();
        self.queue.clear();
        self.busy_slots = 0;
    }

    /// Handles a packet.
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
        if segment.flags.opens_flow() {
            return self.on_syn(segment, rng, out);
        }
        let Some(connection) = self.connections.get_mut(&segment.source) else {
            out.packets.extend(build_reset(segment));
            return;
        };
        if segment.flags.rst {
            if segment.sequence == connection.seq.expected {
                self.connections.remove(&segment.source);
            }
            return;
        }
        let unsent_acknowledged = !connection.seq.acknowledge(segment.acknowledgment);
        let handshake_mismatch = connection.state == State::HalfOpen && !connection.seq.all_acked();
        if unsent_acknowledged || handshake_mismatch {
            out.packets.extend(build_reset(segment));
            return;
        }
        self.on_segment(now, segment, rng, out);
    }

    /// Sends a packet on a feed and schedules the next one.
    pub fn send_feed_message(
        &mut self,
        caller: SocketAddrV4,
        initial_sequence: u32,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.initial_sequence != initial_sequence || connection.state != State::Open {
            return;
        }
        if connection.seq.all_acked() {
            self.send_response(caller, out);
        }
        let after = MEAN_FEED_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
        out.timers
            .push((after, Timer::FeedMessage { target: self.index, caller, initial_sequence }));
    }

    /// Frees a slot, sends the response and starts the next request.
    pub fn finish_work(
        &mut self,
        now: Duration,
        caller: SocketAddrV4,
        initial_sequence: u32,
        out: &mut Effects,
    ) {
        if self.state == TargetState::Dead {
            return;
        }
        self.busy_slots = self.busy_slots.saturating_sub(1);
        self.flow_events.push(((caller, initial_sequence), FlowEvent::Finished));
        if self.connections.get(&caller).is_some_and(|c| c.initial_sequence == initial_sequence) {
            self.send_response(caller, out);
        }
        self.start_work(now, out);
    }

    /// Retransmits the unacknowledged segment, or drops the connection after too many attempts.
    pub fn retransmit(&mut self, caller: SocketAddrV4, generation: u32, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.generation != generation || connection.seq.all_acked() {
            return;
        }
        connection.retransmits += 1;
        if connection.retransmits > MAX_RETRANSMITS {
            self.connections.remove(&caller);
            return;
        }
        self.resend(caller, out);
        self.schedule_retransmit(caller, out);
    }

    fn on_syn(&mut self, segment: &Segment, rng: &mut SmallRng, out: &mut Effects) {
        let caller = segment.source;
        let known = self.connections.get(&caller);
        if known.is_some_and(|connection| connection.initial_sequence == segment.sequence) {
            return self.resend(caller, out);
        }
        if self.state == TargetState::Shedding {
            out.packets.extend(build_reset(segment));
            return;
        }
        let own_initial_sequence: u32 = rng.random();
        let seq = SequenceState {
            next: own_initial_sequence.wrapping_add(1),
            unacknowledged: own_initial_sequence,
            expected: segment.sequence.wrapping_add(1),
        };
        let initial_sequence = segment.sequence;
        let connection = Connection {
            initial_sequence,
            state: State::HalfOpen,
            seq,
            generation: 0,
            retransmits: 0,
        };
        self.connections.insert(caller, connection);
        self.flow_events.push(((caller, initial_sequence), FlowEvent::Opened));
        self.resend(caller, out);
        self.schedule_retransmit(caller, out);
    }

    fn on_segment(
        &mut self,
        now: Duration,
        segment: &Segment,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        let caller = segment.source;
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        if connection.state == State::Closing {
            if connection.seq.all_acked() {
                self.connections.remove(&caller);
            }
            return;
        }
        if segment.sequence != connection.seq.expected {
            return self.send_ack(caller, out);
        }
        let len = u32::from(segment.payload_len);
        connection.seq.expected = connection.seq.expected.wrapping_add(len);
        if segment.flags.fin {
            connection.seq.expected = connection.seq.expected.wrapping_add(1);
            connection.state = State::Closing;
            connection.seq.unacknowledged = connection.seq.next;
            connection.seq.next = connection.seq.next.wrapping_add(1);
            self.resend(caller, out);
            return self.schedule_retransmit(caller, out);
        }
        if len > 0 {
            connection.state = State::Open;
            let initial_sequence = connection.initial_sequence;
            self.send_ack(caller, out);
            self.on_request(now, caller, initial_sequence, rng, out);
        }
    }

    fn on_request(
        &mut self,
        now: Duration,
        caller: SocketAddrV4,
        initial_sequence: u32,
        rng: &mut SmallRng,
        out: &mut Effects,
    ) {
        if uses_slot(caller) {
            self.queue.push_back((now, caller, initial_sequence));
            return self.start_work(now, out);
        }
        self.flow_events.push(((caller, initial_sequence), FlowEvent::Started(Duration::ZERO)));
        let after = MEAN_FEED_INTERVAL.mul_f64(rng.random());
        out.timers
            .push((after, Timer::FeedMessage { target: self.index, caller, initial_sequence }));
    }

    /// Starts queued requests while slots are free, skipping flows that have ended.
    fn start_work(&mut self, now: Duration, out: &mut Effects) {
        while self.busy_slots < self.slots {
            let Some((since, caller, initial_sequence)) = self.queue.pop_front() else { return };
            if self.connections.get(&caller).is_none_or(|c| c.initial_sequence != initial_sequence)
            {
                self.flow_events.push(((caller, initial_sequence), FlowEvent::Finished));
                continue;
            }
            self.busy_slots += 1;
            self.flow_events
                .push(((caller, initial_sequence), FlowEvent::Started(now.saturating_sub(since))));
            let after = self.service_time.mul_f64(work_amount(initial_sequence));
            out.timers
                .push((after, Timer::WorkDone { target: self.index, caller, initial_sequence }));
        }
    }

    fn send_response(&mut self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        connection.seq.unacknowledged = connection.seq.next;
        connection.seq.next = connection.seq.next.wrapping_add(RESPONSE.len() as u32);
        connection.retransmits = 0;
        self.resend(caller, out);
        self.schedule_retransmit(caller, out);
    }

    fn schedule_retransmit(&mut self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&caller) else { return };
        connection.generation += 1;
        let timer = Timer::TargetRetransmit {
            target: self.index,
            caller,
            generation: connection.generation,
        };
        out.timers.push((retransmit_timeout(connection.retransmits), timer));
    }

    fn resend(&self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get(&caller) else { return };
        let at = (connection.seq.unacknowledged, connection.seq.expected);
        out.packets.push(match connection.state {
            State::HalfOpen => build_packet(self.address, caller, at, SYN_ACK, &[]),
            State::Open if connection.seq.all_acked() => return self.send_ack(caller, out),
            State::Open => build_packet(self.address, caller, at, ACK, &RESPONSE),
            State::Closing => build_packet(self.address, caller, at, FIN_ACK, &[]),
        });
    }

    fn send_ack(&self, caller: SocketAddrV4, out: &mut Effects) {
        let Some(connection) = self.connections.get(&caller) else { return };
        let at = (connection.seq.next, connection.seq.expected);
        out.packets.push(build_packet(self.address, caller, at, ACK, &[]));
    }
}

/// Returns the work of a flow in multiples of the mean service time, exponentially
/// distributed. It depends only on the flow, so it is the same under every policy.
fn work_amount(initial_sequence: u32) -> f64 {
    let uniform = (f64::from(initial_sequence) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -uniform.ln()
}
