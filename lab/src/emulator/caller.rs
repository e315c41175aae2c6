//! Callers that keep flows open, send requests and judge what they get.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck::steering::{NO_TOKEN, Token};
use limpetdeck_platform::emulator::{Origin, Segment, SegmentKind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::exchange::{Message, NOT_RUN, RequestId, RequestKind, SERVED};
use super::stream::Stream;

/// When the copies of an opening packet are sent, and when the caller gives up.
const OPENINGS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_ENDS: Duration = Duration::from_millis(1_400);
/// Time that a request may take, all tries together.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Tries after the first one.
const RETRIES: u8 = 2;
/// Age at which a caller closes a flow: older ones may be given up by the system.
const FLOW_AGE: Duration = Duration::from_secs(45);
/// How far a reset may lie from what the caller last acknowledged.
const RESET_RANGE: u32 = 76_800;
/// Bits of a request's number that count its tries.
const TRY_BITS: u32 = 8;

/// What a caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// Feeds and sales on a flow that stays open.
    Stays,
    /// A flow for each sheet.
    Sheets,
    /// A flow for each feed, to the address whose service changes.
    Moves,
}

/// What happened to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// A try of a request is sent.
    Issued(RequestId),
    /// A request has its answer, or none after all tries.
    Ended {
        /// The request.
        id: RequestId,
        /// Whether it was served.
        served: bool,
    },
    /// A server said that a try has not run.
    SaidNotRun(RequestId),
    /// An instance reset a flow, open or not.
    Reset {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Since when the flow is open, if it is.
        open_since: Option<Duration>,
    },
    /// The caller got what it should not have.
    Wrong {
        /// The caller's end.
        caller: SocketAddrV4,
        /// What it got.
        what: &'static str,
        /// The request that waited.
        id: Option<RequestId>,
    },
}

#[derive(Debug)]
enum Flow {
    None,
    Opening { port: u16, to: SocketAddrV4, first: u32, since: Duration, copies: usize },
    Open { port: u16, to: SocketAddrV4, stream: Stream, token: Token, since: Duration },
}

#[derive(Debug)]
struct Job {
    id: RequestId,
    kind: RequestKind,
    deadline: Duration,
    /// Whether this try's request may have reached a server.
    written: bool,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// Failure domain in which the caller's packets enter.
    pub domain: usize,
    /// Address of the caller.
    pub ip: Ipv4Addr,
    habit: Habit,
    next_port: u16,
    next_id: RequestId,
    flow: Flow,
    job: Option<Job>,
    next_job: Duration,
    rng: SmallRng,
}

impl Caller {
    /// Makes a caller; its ports begin at `port`, its requests' numbers at `id`.
    pub fn new(
        domain: usize,
        ip: Ipv4Addr,
        habit: Habit,
        port: u16,
        id: RequestId,
        mut rng: SmallRng,
    ) -> Self {
        let next_job = Duration::from_millis(rng.random_range(0..1_000));
        let next_id = id << TRY_BITS;
        let flow = Flow::None;
        Self { domain, ip, habit, next_port: port, next_id, flow, job: None, next_job, rng }
    }

    /// Tells whether the flow that waits for a packet to this port is the caller's.
    pub fn holds(&self, port: u16) -> bool {
        match &self.flow {
            Flow::None => false,
            Flow::Opening { port: own, .. } | Flow::Open { port: own, .. } => *own == port,
        }
    }

    /// Advances time. `addresses` are those for feeds, sheets and the moving service.
    pub fn tick(
        &mut self,
        now: Duration,
        addresses: &[SocketAddrV4; 3],
        events: &mut Vec<CallerEvent>,
    ) -> Vec<Segment> {
        let mut out = Vec::new();
        self.end_late(now, events, &mut out);
        self.begin_job(now);
        self.pursue(now, addresses, events);
        self.repeat_opening(now, events, &mut out);
        self.send_due(now, events, &mut out);
        out
    }

    /// Takes a packet.
    pub fn take(
        &mut self,
        now: Duration,
        segment: &Segment,
        origin: Origin,
        events: &mut Vec<CallerEvent>,
    ) {
        let caller = segment.to;
        if origin == Origin::Unknown {
            let id = self.job.as_ref().map(|job| job.id);
            events.push(CallerEvent::Wrong { caller, what: "changed packet", id });
            return;
        }
        if segment.kind == SegmentKind::Reset {
            return self.reset(now, segment, origin, events);
        }
        match &mut self.flow {
            Flow::Opening { port, to, first, .. } if segment.kind == SegmentKind::Accepting => {
                let stream = Stream::new(first.wrapping_add(1), segment.sequence.wrapping_add(1));
                let (port, to, token) = (*port, *to, segment.token);
                self.flow = Flow::Open { port, to, stream, token, since: now };
            }
            Flow::Open { stream, token, .. } if segment.kind != SegmentKind::Accepting => {
                *token = segment.token;
                stream.take(now, segment);
            }
            _ => {}
        }
        self.read(now, caller, events);
    }

    fn begin_job(&mut self, now: Duration) {
        if self.job.is_some() || now < self.next_job {
            return;
        }
        self.next_id += 1 << TRY_BITS;
        let kind = match self.habit {
            Habit::Sheets => RequestKind::Sheet,
            Habit::Stays if self.rng.random_bool(0.25) => RequestKind::Sale,
            Habit::Stays | Habit::Moves => RequestKind::Feed,
        };
        self.job = Some(Job { id: self.next_id, kind, deadline: now + DEADLINE, written: false });
    }

    /// Opens a flow for the request, or writes the request on the one that is open.
    fn pursue(
        &mut self,
        now: Duration,
        addresses: &[SocketAddrV4; 3],
        events: &mut Vec<CallerEvent>,
    ) {
        let Some(job) = &mut self.job else { return };
        match &mut self.flow {
            Flow::None => {
                self.next_port = self.next_port.wrapping_add(1).max(1_024);
                let to = addresses[self.habit as usize];
                let first = self.rng.random();
                let port = self.next_port;
                self.flow = Flow::Opening { port, to, first, since: now, copies: 0 };
            }
            Flow::Open { stream, .. } if !job.written => {
                stream.write(&Message::request(job.kind, job.id).write());
                job.written = true;
                events.push(CallerEvent::Issued(job.id));
            }
            Flow::Opening { .. } | Flow::Open { .. } => {}
        }
    }

    fn repeat_opening(
        &mut self,
        now: Duration,
        events: &mut Vec<CallerEvent>,
        out: &mut Vec<Segment>,
    ) {
        let Flow::Opening { port, to, first, since, copies } = &mut self.flow else { return };
        if *copies < OPENINGS.len() && now >= *since + OPENINGS[*copies] {
            out.push(Segment {
                from: SocketAddrV4::new(self.ip, *port),
                to: *to,
                kind: SegmentKind::Opening,
                token: NO_TOKEN,
                sequence: *first,
                acknowledged: *copies as u32,
                data: Vec::new(),
            });
            *copies += 1;
        }
        if now >= *since + OPENING_ENDS {
            self.flow = Flow::None;
            self.fail_try(now, events);
        }
    }

    fn send_due(&mut self, now: Duration, events: &mut Vec<CallerEvent>, out: &mut Vec<Segment>) {
        let idle = self.job.is_none();
        let Flow::Open { port, to, stream, token, since } = &mut self.flow else { return };
        let from = SocketAddrV4::new(self.ip, *port);
        let Ok(due) = stream.due(now, from, *to, *token) else {
            self.flow = Flow::None;
            return self.fail_try(now, events);
        };
        out.extend(due);
        if stream.closed && stream.is_flushed() && !idle {
            self.flow = Flow::None;
            return self.fail_try(now, events);
        }
        let leaves = stream.closed || self.habit != Habit::Stays || now > *since + FLOW_AGE;
        if idle && leaves {
            // The end is sent once: nobody waits for what follows.
            stream.close();
            out.extend(stream.due(now, from, *to, *token).unwrap_or_default());
            self.flow = Flow::None;
        }
    }

    fn end_late(&mut self, now: Duration, events: &mut Vec<CallerEvent>, out: &mut Vec<Segment>) {
        if self.job.as_ref().is_none_or(|job| now < job.deadline) {
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
        self.end_job(now, false, events);
    }

    fn reset(
        &mut self,
        now: Duration,
        segment: &Segment,
        origin: Origin,
        events: &mut Vec<CallerEvent>,
    ) {
        let open_since = match &self.flow {
            Flow::Open { stream, since, .. } => {
                let apart = segment.sequence.wrapping_sub(stream.expected());
                let near = apart < RESET_RANGE || apart.wrapping_neg() < RESET_RANGE;
                if origin == Origin::Instance && !near {
                    return;
                }
                Some(*since)
            }
            _ => None,
        };
        if origin == Origin::Instance {
            events.push(CallerEvent::Reset {
                caller: segment.to,
                service: segment.from,
                open_since,
            });
        }
        self.flow = Flow::None;
        self.fail_try(now, events);
    }

    fn read(&mut self, now: Duration, caller: SocketAddrV4, events: &mut Vec<CallerEvent>) {
        let Flow::Open { stream, .. } = &mut self.flow else { return };
        let Some(message) = Message::take(stream.inbox()) else { return };
        let Some(job) = &self.job else {
            events.push(CallerEvent::Wrong { caller, what: "answer to nothing", id: None });
            return;
        };
        let (id, kind) = (job.id, job.kind);
        if message != Message::answer(message.what, id, kind) {
            events.push(CallerEvent::Wrong { caller, what: "another answer", id: Some(id) });
        } else if message.what == SERVED {
            self.end_job(now, true, events);
        } else if message.what == NOT_RUN {
            events.push(CallerEvent::SaidNotRun(id));
            self.retry(now, events);
        }
    }

    /// Ends a try that got no answer. A request that may have run is repeated only if it may
    /// run again.
    fn fail_try(&mut self, now: Duration, events: &mut Vec<CallerEvent>) {
        let Some(job) = &self.job else { return };
        if job.written && !job.kind.is_repeatable() {
            self.end_job(now, false, events);
        } else {
            self.retry(now, events);
        }
    }

    fn retry(&mut self, now: Duration, events: &mut Vec<CallerEvent>) {
        let Some(job) = &mut self.job else { return };
        job.written = false;
        if job.id % (1 << TRY_BITS) >= u64::from(RETRIES) {
            self.end_job(now, false, events);
        } else {
            job.id += 1;
        }
    }

    fn end_job(&mut self, now: Duration, served: bool, events: &mut Vec<CallerEvent>) {
        if let Some(job) = self.job.take() {
            events.push(CallerEvent::Ended { id: job.id, served });
        }
        let pause = match self.habit {
            Habit::Stays | Habit::Moves => 50..250,
            Habit::Sheets => 150..500,
        };
        self.next_job = now + Duration::from_millis(self.rng.random_range(pause));
    }
}

/// Returns the number that all tries of a request share.
pub fn request_of(id: RequestId) -> RequestId {
    id >> TRY_BITS
}
