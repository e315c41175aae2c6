//! An emulated server with slots, a short queue and its open flows.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::{HashMap, HashSet};
use limpetdeck::steering::{RawTarget, TargetKey, TargetState, Token};
use limpetdeck_platform::emulator::{Segment, SegmentKind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::protocol::{Message, NOT_EXECUTED, RequestId, RequestKind, SERVED};
use super::stream::{FlowAborted, Stream};

/// Maximum number of queued requests per slot.
const MAX_QUEUED_PER_SLOT: usize = 2;

/// Addresses of a flow: the caller's and the service's.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// State of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Serving.
    Running,
    /// Paused: sends nothing and drops what it receives.
    Paused {
        /// Time at which it resumes.
        until: Duration,
    },
    /// Ended or crashed.
    Ended,
}

/// An event that a server reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerEvent {
    /// Accepted the opening packet of a flow.
    Opened(FlowKey),
    /// Began to execute a request.
    Started(FlowKey, RequestId, RequestKind),
    /// Received a modified request.
    Modified(FlowKey),
    /// Received a packet of a flow that it does not know.
    UnknownFlow(FlowKey),
}

#[derive(Debug)]
struct Flow {
    caller_seq: u32,
    server_seq: u32,
    token: Token,
    stream: Option<Stream>,
}

#[derive(Debug)]
struct Request {
    flow_key: FlowKey,
    id: RequestId,
    kind: RequestKind,
}

/// An emulated server.
#[derive(Debug)]
pub struct Server {
    /// Entry that the server publishes in the store.
    pub entry: RawTarget,
    /// Sequence number of the entry, incremented with each change.
    pub entry_sequence: u64,
    /// State of the process.
    pub run_state: RunState,
    /// Time at which it began to drain and the store accepted that state.
    pub draining_since: Option<Duration>,
    /// Time of the start.
    pub started: Duration,
    /// End of the last fault that hit the server; may lie in the future.
    pub last_fault: Duration,
    /// Time until which the server is cold.
    pub cold_until: Duration,
    flows: HashMap<FlowKey, Flow>,
    ended_flows: HashSet<FlowKey>,
    running: Vec<(Duration, Request)>,
    queue: VecDeque<Request>,
    rng: SmallRng,
}

impl Server {
    /// Creates a server that has just started.
    pub fn new(now: Duration, entry: RawTarget, rng: SmallRng) -> Self {
        Self {
            entry,
            entry_sequence: 0,
            run_state: RunState::Running,
            draining_since: None,
            started: now,
            last_fault: now,
            cold_until: Duration::ZERO,
            flows: HashMap::default(),
            ended_flows: HashSet::default(),
            running: Vec::new(),
            queue: VecDeque::new(),
            rng,
        }
    }

    /// Returns whether the server is running and not paused.
    pub fn is_running(&self) -> bool {
        self.run_state == RunState::Running
    }

    /// Returns whether the server has this address and has not ended.
    pub fn is_at(&self, address: SocketAddrV4) -> bool {
        self.run_state != RunState::Ended && self.entry.address == address
    }

    /// Returns whether the flow is open on this server.
    pub fn has_flow(&self, flow_key: FlowKey) -> bool {
        self.flows.get(&flow_key).is_some_and(|flow| flow.stream.is_some())
    }

    /// Returns whether the server may hold the flow of a caller that expects a sequence number: it is
    /// open here, or the caller took the answer to its opening packet from here.
    pub fn may_hold(&self, flow_key: FlowKey, expected: u32) -> bool {
        let is_taken = |flow: &Flow| flow.server_seq.wrapping_add(1) == expected;
        self.flows.get(&flow_key).is_some_and(|flow| flow.stream.is_some() || is_taken(flow))
    }

    /// Returns the entry with the time for which the server is still cold.
    pub fn current_entry(&self, now: Duration) -> RawTarget {
        let cold_ms = self.cold_until.saturating_sub(now).as_millis() as u64;
        RawTarget { cold_ms, ..self.entry.clone() }
    }

    /// Puts the server into the draining state.
    pub fn drain(&mut self, now: Duration) {
        self.entry.state = TargetState::Draining;
        self.entry_sequence += 1;
        self.draining_since = Some(now);
    }

    /// Ends the server and drops its flows and requests.
    pub fn end(&mut self, now: Duration) {
        self.run_state = RunState::Ended;
        self.last_fault = now;
        self.flows.clear();
        self.running.clear();
        self.queue.clear();
    }

    /// Handles a packet addressed to the server `key`; 0 stands for any.
    pub fn receive(
        &mut self,
        now: Duration,
        key: TargetKey,
        segment: &Segment,
        events: &mut Vec<ServerEvent>,
    ) -> Vec<Segment> {
        let flow_key = (segment.from, segment.to);
        if !self.is_running() || (key != 0 && key != self.entry.key) {
            return Vec::new();
        }
        match segment.kind {
            SegmentKind::Opening => return vec![self.accept(flow_key, segment, events)],
            SegmentKind::Reset => {
                self.remove_flow(flow_key);
                return Vec::new();
            }
            SegmentKind::Accepting => return Vec::new(),
            SegmentKind::Data | SegmentKind::Closing => {}
        }
        let Some(flow) = self.flows.get_mut(&flow_key) else { return self.reject(segment, events) };
        flow.token = segment.token;
        if flow.stream.is_none() {
            if segment.acknowledged != flow.server_seq.wrapping_add(1) {
                return Vec::new();
            }
            let next = flow.server_seq.wrapping_add(1);
            flow.stream = Some(Stream::new(next, flow.caller_seq.wrapping_add(1)));
        }
        let Some(stream) = &mut flow.stream else { return Vec::new() };
        stream.receive(now, segment);
        while let Some(message) = Message::decode_next(stream.received()) {
            match message.kind() {
                Some(kind) => self.queue.push_back(Request { flow_key, id: message.id, kind }),
                None => events.push(ServerEvent::Modified(flow_key)),
            }
        }
        if stream.peer_closed {
            stream.close();
        }
        Vec::new()
    }

    /// Advances time: executes and answers requests. Returns the packets to be sent.
    pub fn tick(&mut self, now: Duration, events: &mut Vec<ServerEvent>) -> Vec<Segment> {
        if let RunState::Paused { until } = self.run_state
            && now >= until
        {
            self.run_state = RunState::Running;
            self.last_fault = now;
        }
        if !self.is_running() {
            return Vec::new();
        }
        self.finish_requests(now);
        self.start_requests(now, events);
        let mut out = Vec::new();
        let mut ended = Vec::new();
        for (&flow_key, flow) in &mut self.flows {
            let Some(stream) = &mut flow.stream else { continue };
            match stream.due_packets(now, flow_key.1, flow_key.0, flow.token) {
                Ok(due) => out.extend(due),
                Err(FlowAborted) => ended.push(flow_key),
            }
            if stream.peer_closed && stream.is_flushed() {
                ended.push(flow_key);
            }
        }
        for flow_key in ended {
            self.remove_flow(flow_key);
        }
        out
    }

    fn accept(
        &mut self,
        flow_key: FlowKey,
        segment: &Segment,
        events: &mut Vec<ServerEvent>,
    ) -> Segment {
        let known =
            self.flows.get(&flow_key).is_some_and(|flow| flow.caller_seq == segment.sequence);
        if !known {
            let server_seq = self.rng.random();
            let flow = Flow {
                caller_seq: segment.sequence,
                server_seq,
                token: segment.token,
                stream: None,
            };
            self.flows.insert(flow_key, flow);
            self.ended_flows.remove(&flow_key);
            events.push(ServerEvent::Opened(flow_key));
        }
        let flow = &self.flows[&flow_key];
        reply_segment(
            flow_key,
            SegmentKind::Accepting,
            segment.token,
            flow.server_seq,
            flow.caller_seq,
        )
    }

    fn reject(&mut self, segment: &Segment, events: &mut Vec<ServerEvent>) -> Vec<Segment> {
        let flow_key = (segment.from, segment.to);
        let was_ended = self.ended_flows.contains(&flow_key);
        if !was_ended {
            events.push(ServerEvent::UnknownFlow(flow_key));
        }
        let nothing_new = segment.kind == SegmentKind::Closing || segment.data.is_empty();
        if was_ended && nothing_new {
            return Vec::new();
        }
        vec![reply_segment(flow_key, SegmentKind::Reset, segment.token, segment.acknowledged, 0)]
    }

    fn finish_requests(&mut self, now: Duration) {
        let (ended, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(until, _)| now >= *until);
        self.running = rest;
        for (_, request) in ended {
            self.respond(&request, SERVED);
        }
    }

    fn start_requests(&mut self, now: Duration, events: &mut Vec<ServerEvent>) {
        let slots = self.entry.slots as usize;
        while self.running.len() < slots
            && let Some(request) = self.queue.pop_front()
        {
            events.push(ServerEvent::Started(request.flow_key, request.id, request.kind));
            self.running.push((now + request.kind.service_time(), request));
        }
        while self.queue.len() > slots * MAX_QUEUED_PER_SLOT {
            if let Some(request) = self.queue.pop_back() {
                self.respond(&request, NOT_EXECUTED);
            }
        }
    }

    fn respond(&mut self, request: &Request, code: u8) {
        let draining = self.draining_since.is_some();
        let flow = self.flows.get_mut(&request.flow_key).and_then(|flow| flow.stream.as_mut());
        if let Some(stream) = flow {
            stream.write(&Message::response(code, request.id, request.kind).encode());
            if draining {
                stream.close();
            }
        }
    }

    fn remove_flow(&mut self, flow_key: FlowKey) {
        self.flows.remove(&flow_key);
        self.ended_flows.insert(flow_key);
    }
}

fn reply_segment(
    flow_key: FlowKey,
    kind: SegmentKind,
    token: Token,
    sequence: u32,
    received: u32,
) -> Segment {
    let (to, from) = flow_key;
    let acknowledged = received.wrapping_add(1);
    Segment { from, to, kind, token, sequence, acknowledged, data: Vec::new() }
}
