//! Emulated callers, which open flows, send requests and check the responses.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::steering::{NO_TOKEN, Token};
use limpetdeck_platform::emulator::{PacketOrigin, Segment, SegmentKind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::protocol::{Message, NOT_EXECUTED, RequestId, RequestKind, SERVED};
use super::stream::Stream;

/// Times at which an opening packet is sent and retransmitted, since the first one.
const OPENING_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which the attempt to open a flow fails.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time within which a request has to be served, over all attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Attempts after the first one.
const MAX_RETRIES: u8 = 2;
/// Age at which a caller closes a flow: instances need not keep flows older than 60 s.
const FLOW_CLOSE_AGE: Duration = Duration::from_secs(45);
/// Largest distance of a reset's sequence number from the expected one.
const RESET_WINDOW: u32 = 76_800;
/// Low bits of a request ID that hold the number of the attempt.
const ATTEMPT_BITS: u32 = 8;

/// How a caller uses flows. The order is that of the service addresses in [`Caller::tick`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Sends feeds and sales on a flow that it keeps open.
    Persistent,
    /// Opens a flow for each sheet.
    FlowPerSheet,
    /// Opens a flow for each feed, to the address whose service changes.
    FlowPerFeed,
}

/// An open flow that got a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenFlow {
    /// Time at which it was established.
    pub since: Duration,
    /// Sequence number that the caller expects next.
    pub expected: u32,
    /// Whether the reset ends the flow: the caller ignores those whose sequence number is far off.
    pub ends: bool,
}

/// An event that a caller reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// An attempt of a request was sent.
    Issued(RequestId),
    /// A request was served, or has failed for good.
    Finished {
        /// ID of the last attempt.
        id: RequestId,
        /// Whether it was served.
        served: bool,
    },
    /// A server reported that an attempt was not executed.
    NotExecuted(RequestId),
    /// An instance reset a flow, open or not.
    Reset {
        /// Address of the caller.
        caller: SocketAddrV4,
        /// Address of the service.
        service: SocketAddrV4,
        /// The flow, if it was established.
        open: Option<OpenFlow>,
    },
    /// The caller received something invalid.
    Invalid {
        /// Address of the caller.
        caller: SocketAddrV4,
        /// Description of what it received.
        what: &'static str,
        /// The pending request, if any.
        id: Option<RequestId>,
    },
}

#[derive(Debug)]
enum Flow {
    None,
    Opening { port: u16, to: SocketAddrV4, first_seq: u32, since: Duration, copies: usize },
    Open { port: u16, to: SocketAddrV4, stream: Stream, token: Token, since: Duration },
}

#[derive(Debug)]
struct PendingRequest {
    id: RequestId,
    kind: RequestKind,
    deadline: Duration,
    /// Whether this attempt was sent, so that it may have reached a server.
    sent: bool,
}

/// An emulated caller with at most one flow and one request.
#[derive(Debug)]
pub struct Caller {
    /// Index of the failure domain in which the caller's packets enter.
    pub domain: usize,
    /// IP address of the caller.
    pub ip: Ipv4Addr,
    behavior: Behavior,
    next_port: u16,
    next_id: RequestId,
    flow: Flow,
    pending: Option<PendingRequest>,
    next_request: Duration,
    rng: SmallRng,
}

impl Caller {
    /// Creates a caller; its ports begin after `port`, its request IDs after `id`.
    pub fn new(
        domain: usize,
        ip: Ipv4Addr,
        behavior: Behavior,
        port: u16,
        id: RequestId,
        mut rng: SmallRng,
    ) -> Self {
        let next_request = Duration::from_millis(rng.random_range(0..1_000));
        let next_id = id << ATTEMPT_BITS;
        let flow = Flow::None;
        Self {
            domain,
            ip,
            behavior,
            next_port: port,
            next_id,
            flow,
            pending: None,
            next_request,
            rng,
        }
    }

    /// Returns whether the caller's current flow uses this port.
    pub fn uses_port(&self, port: u16) -> bool {
        match &self.flow {
            Flow::None => false,
            Flow::Opening { port: own, .. } | Flow::Open { port: own, .. } => *own == port,
        }
    }

    /// Advances time and returns the packets to be sent. `addresses` are those of the services for
    /// feeds and sales, for sheets, and of the one whose service changes.
    pub fn tick(
        &mut self,
        now: Duration,
        addresses: &[SocketAddrV4; 3],
        events: &mut Vec<CallerEvent>,
    ) -> Vec<Segment> {
        let mut out = Vec::new();
        self.enforce_deadline(now, events, &mut out);
        self.begin_request(now);
        self.advance_request(now, addresses, events);
        self.send_opening(now, events, &mut out);
        self.send_due(now, events, &mut out);
        out
    }

    /// Handles a received packet.
    pub fn receive(
        &mut self,
        now: Duration,
        segment: &Segment,
        origin: PacketOrigin,
        events: &mut Vec<CallerEvent>,
    ) {
        let caller = segment.to;
        if origin == PacketOrigin::Modified {
            let id = self.pending.as_ref().map(|pending| pending.id);
            events.push(CallerEvent::Invalid { caller, what: "modified packet", id });
            return;
        }
        if segment.kind == SegmentKind::Reset {
            return self.handle_reset(now, segment, origin, events);
        }
        match &mut self.flow {
            Flow::Opening { port, to, first_seq, .. } if segment.kind == SegmentKind::Accepting => {
                let stream =
                    Stream::new(first_seq.wrapping_add(1), segment.sequence.wrapping_add(1));
                let (port, to, token) = (*port, *to, segment.token);
                self.flow = Flow::Open { port, to, stream, token, since: now };
            }
            Flow::Open { stream, token, .. } if segment.kind != SegmentKind::Accepting => {
                *token = segment.token;
                stream.receive(now, segment);
            }
            _ => {}
        }
        self.read_response(now, caller, events);
    }

    fn begin_request(&mut self, now: Duration) {
        if self.pending.is_some() || now < self.next_request {
            return;
        }
        self.next_id += 1 << ATTEMPT_BITS;
        let kind = match self.behavior {
            Behavior::FlowPerSheet => RequestKind::Sheet,
            Behavior::Persistent if self.rng.random_bool(0.25) => RequestKind::Sale,
            Behavior::Persistent | Behavior::FlowPerFeed => RequestKind::Feed,
        };
        self.pending = Some(PendingRequest {
            id: self.next_id,
            kind,
            deadline: now + REQUEST_TIMEOUT,
            sent: false,
        });
    }

    /// Opens a flow for the pending request, or writes the request to the open flow.
    fn advance_request(
        &mut self,
        now: Duration,
        addresses: &[SocketAddrV4; 3],
        events: &mut Vec<CallerEvent>,
    ) {
        let Some(pending) = &mut self.pending else { return };
        match &mut self.flow {
            Flow::None => {
                self.next_port = self.next_port.wrapping_add(1).max(1_024);
                let to = addresses[self.behavior as usize];
                let first_seq = self.rng.random();
                let port = self.next_port;
                self.flow = Flow::Opening { port, to, first_seq, since: now, copies: 0 };
            }
            Flow::Open { stream, .. } if !pending.sent => {
                stream.write(&Message::request(pending.kind, pending.id).encode());
                pending.sent = true;
                events.push(CallerEvent::Issued(pending.id));
            }
            Flow::Opening { .. } | Flow::Open { .. } => {}
        }
    }

    fn send_opening(
        &mut self,
        now: Duration,
        events: &mut Vec<CallerEvent>,
        out: &mut Vec<Segment>,
    ) {
        let Flow::Opening { port, to, first_seq, since, copies } = &mut self.flow else { return };
        if *copies < OPENING_TIMES.len() && now >= *since + OPENING_TIMES[*copies] {
            out.push(Segment {
                from: SocketAddrV4::new(self.ip, *port),
                to: *to,
                kind: SegmentKind::Opening,
                token: NO_TOKEN,
                sequence: *first_seq,
                acknowledged: *copies as u32,
                data: Vec::new(),
            });
            *copies += 1;
        }
        if now >= *since + OPENING_TIMEOUT {
            self.flow = Flow::None;
            self.fail_attempt(now, events);
        }
    }

    fn send_due(&mut self, now: Duration, events: &mut Vec<CallerEvent>, out: &mut Vec<Segment>) {
        let idle = self.pending.is_none();
        let Flow::Open { port, to, stream, token, since } = &mut self.flow else { return };
        let from = SocketAddrV4::new(self.ip, *port);
        let Ok(due) = stream.due_packets(now, from, *to, *token) else {
            self.flow = Flow::None;
            return self.fail_attempt(now, events);
        };
        out.extend(due);
        if stream.peer_closed && stream.is_flushed() && !idle {
            self.flow = Flow::None;
            return self.fail_attempt(now, events);
        }
        let close = stream.peer_closed
            || self.behavior != Behavior::Persistent
            || now > *since + FLOW_CLOSE_AGE;
        if idle && close {
            // Sent once, without retransmission: no request depends on it.
            stream.close();
            out.extend(stream.due_packets(now, from, *to, *token).unwrap_or_default());
            self.flow = Flow::None;
        }
    }

    fn enforce_deadline(
        &mut self,
        now: Duration,
        events: &mut Vec<CallerEvent>,
        out: &mut Vec<Segment>,
    ) {
        if self.pending.as_ref().is_none_or(|pending| now < pending.deadline) {
            return;
        }
        if let Flow::Open { port, to, stream, token, .. } = &self.flow {
            out.push(Segment {
                from: SocketAddrV4::new(self.ip, *port),
                to: *to,
                kind: SegmentKind::Reset,
                token: *token,
                sequence: 0,
                acknowledged: stream.expected(),
                data: Vec::new(),
            });
        }
        self.flow = Flow::None;
        self.finish_request(now, false, events);
    }

    fn handle_reset(
        &mut self,
        now: Duration,
        segment: &Segment,
        origin: PacketOrigin,
        events: &mut Vec<CallerEvent>,
    ) {
        let open = match &self.flow {
            Flow::Open { stream, since, .. } => {
                let expected = stream.expected();
                let distance = segment.sequence.wrapping_sub(expected);
                let in_window = distance < RESET_WINDOW || distance.wrapping_neg() < RESET_WINDOW;
                let ends = origin != PacketOrigin::Instance || in_window;
                Some(OpenFlow { since: *since, expected, ends })
            }
            _ => None,
        };
        if origin == PacketOrigin::Instance {
            events.push(CallerEvent::Reset { caller: segment.to, service: segment.from, open });
        }
        if open.is_some_and(|open| !open.ends) {
            return;
        }
        self.flow = Flow::None;
        self.fail_attempt(now, events);
    }

    fn read_response(
        &mut self,
        now: Duration,
        caller: SocketAddrV4,
        events: &mut Vec<CallerEvent>,
    ) {
        let Flow::Open { stream, .. } = &mut self.flow else { return };
        let Some(message) = Message::decode_next(stream.received()) else { return };
        let Some(pending) = &self.pending else {
            events.push(CallerEvent::Invalid {
                caller,
                what: "response without a request",
                id: None,
            });
            return;
        };
        let (id, kind) = (pending.id, pending.kind);
        if message != Message::response(message.code, id, kind) {
            events.push(CallerEvent::Invalid {
                caller,
                what: "response to another request",
                id: Some(id),
            });
        } else if message.code == SERVED {
            self.finish_request(now, true, events);
        } else if message.code == NOT_EXECUTED {
            events.push(CallerEvent::NotExecuted(id));
            self.retry(now, events);
        }
    }

    /// Ends an attempt that got no response. A request that may have been executed is retried
    /// only if it is repeatable.
    fn fail_attempt(&mut self, now: Duration, events: &mut Vec<CallerEvent>) {
        let Some(pending) = &self.pending else { return };
        if pending.sent && !pending.kind.is_repeatable() {
            self.finish_request(now, false, events);
        } else {
            self.retry(now, events);
        }
    }

    fn retry(&mut self, now: Duration, events: &mut Vec<CallerEvent>) {
        let Some(pending) = &mut self.pending else { return };
        pending.sent = false;
        if pending.id % (1 << ATTEMPT_BITS) >= u64::from(MAX_RETRIES) {
            self.finish_request(now, false, events);
        } else {
            pending.id += 1;
        }
    }

    fn finish_request(&mut self, now: Duration, served: bool, events: &mut Vec<CallerEvent>) {
        if let Some(pending) = self.pending.take() {
            events.push(CallerEvent::Finished { id: pending.id, served });
        }
        let pause = match self.behavior {
            Behavior::Persistent | Behavior::FlowPerFeed => 50..250,
            Behavior::FlowPerSheet => 150..500,
        };
        self.next_request = now + Duration::from_millis(self.rng.random_range(pause));
    }
}

/// Returns the part of the ID that all attempts of a request share.
pub fn request_number(id: RequestId) -> RequestId {
    id >> ATTEMPT_BITS
}
