//! A server: slots that work, a short queue, flows and a state.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::{HashMap, HashSet};
use limpetdeck::steering::{RawTarget, TargetKey, TargetState, Token};
use limpetdeck_platform::emulator::{Segment, SegmentKind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::exchange::{Message, NOT_RUN, RequestId, RequestKind, SERVED};
use super::stream::{GivenUp, Stream};

/// Requests that wait for a slot at most, for each slot.
const QUEUE: usize = 2;

/// The two ends of a flow: the caller's and the service's.
pub type Ends = (SocketAddrV4, SocketAddrV4);

/// Whether a server is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It serves.
    Up,
    /// It is stopped for a time and answers nothing.
    Frozen {
        /// When it goes on.
        until: Duration,
    },
    /// It has ended, or crashed.
    Gone,
}

/// What a server saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerEvent {
    /// It took the opening packet of a flow.
    Took(Ends),
    /// It began to work on a request.
    Ran(Ends, RequestId, RequestKind),
    /// It got a request that nobody wrote so.
    Garbled(Ends),
    /// It got a packet of a flow that it does not hold.
    Stray(Ends),
}

#[derive(Debug)]
struct ServerFlow {
    first: u32,
    own_first: u32,
    token: Token,
    stream: Option<Stream>,
}

#[derive(Debug)]
struct Work {
    ends: Ends,
    id: RequestId,
    kind: RequestKind,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    /// What the server says of itself.
    pub entry: RawTarget,
    /// How often that has changed.
    pub said: u64,
    /// Whether it is there.
    pub presence: Presence,
    /// When it began to leave, and when the store took its word for that.
    pub drains: Option<Duration>,
    /// When a fault last hit it.
    pub troubled: Duration,
    flows: HashMap<Ends, ServerFlow>,
    ended: HashSet<Ends>,
    working: Vec<(Duration, Work)>,
    queue: VecDeque<Work>,
    rng: SmallRng,
}

impl Server {
    /// Makes a server that has just started.
    pub fn new(now: Duration, entry: RawTarget, rng: SmallRng) -> Self {
        Self {
            entry,
            said: 0,
            presence: Presence::Up,
            drains: None,
            troubled: now,
            flows: HashMap::default(),
            ended: HashSet::default(),
            working: Vec::new(),
            queue: VecDeque::new(),
            rng,
        }
    }

    /// Tells whether the server works.
    pub fn is_up(&self) -> bool {
        self.presence == Presence::Up
    }

    /// Tells whether the server is there, at a place.
    pub fn is_at(&self, place: SocketAddrV4) -> bool {
        self.presence != Presence::Gone && self.entry.address == place
    }

    /// Tells whether the server holds a flow that is open.
    pub fn holds(&self, ends: Ends) -> bool {
        self.flows.get(&ends).is_some_and(|flow| flow.stream.is_some())
    }

    /// Has the server say that it will leave.
    pub fn drain(&mut self, now: Duration) {
        self.entry.state = TargetState::Draining;
        self.said += 1;
        self.drains = Some(now);
    }

    /// Ends the server with all that it held.
    pub fn end(&mut self, now: Duration) {
        self.presence = Presence::Gone;
        self.troubled = now;
        self.flows.clear();
        self.working.clear();
        self.queue.clear();
    }

    /// Takes a packet for the server `key`; 0 stands for any.
    pub fn take(
        &mut self,
        now: Duration,
        key: TargetKey,
        segment: &Segment,
        events: &mut Vec<ServerEvent>,
    ) -> Vec<Segment> {
        let ends = (segment.from, segment.to);
        if !self.is_up() || (key != 0 && key != self.entry.key) {
            return Vec::new();
        }
        match segment.kind {
            SegmentKind::Opening => return vec![self.open(ends, segment, events)],
            SegmentKind::Reset => {
                self.forget(ends);
                return Vec::new();
            }
            SegmentKind::Accepting => return Vec::new(),
            SegmentKind::Data | SegmentKind::Closing => {}
        }
        let Some(flow) = self.flows.get_mut(&ends) else { return self.stray(segment, events) };
        flow.token = segment.token;
        if flow.stream.is_none() {
            if segment.acknowledged != flow.own_first.wrapping_add(1) {
                return Vec::new();
            }
            let next = flow.own_first.wrapping_add(1);
            flow.stream = Some(Stream::new(next, flow.first.wrapping_add(1)));
        }
        let Some(stream) = &mut flow.stream else { return Vec::new() };
        stream.take(now, segment);
        while let Some(message) = Message::take(stream.inbox()) {
            match message.kind() {
                Some(kind) => self.queue.push_back(Work { ends, id: message.id, kind }),
                None => events.push(ServerEvent::Garbled(ends)),
            }
        }
        if stream.closed {
            stream.close();
        }
        Vec::new()
    }

    /// Advances time: works, answers and sends what is due.
    pub fn tick(&mut self, now: Duration, events: &mut Vec<ServerEvent>) -> Vec<Segment> {
        if let Presence::Frozen { until } = self.presence
            && now >= until
        {
            self.presence = Presence::Up;
            self.troubled = now;
        }
        if !self.is_up() {
            return Vec::new();
        }
        self.finish(now);
        self.start(now, events);
        let mut out = Vec::new();
        let mut over = Vec::new();
        for (&ends, flow) in &mut self.flows {
            let Some(stream) = &mut flow.stream else { continue };
            match stream.due(now, ends.1, ends.0, flow.token) {
                Ok(due) => out.extend(due),
                Err(GivenUp) => over.push(ends),
            }
            if stream.closed && stream.is_flushed() {
                over.push(ends);
            }
        }
        for ends in over {
            self.forget(ends);
        }
        out
    }

    fn open(&mut self, ends: Ends, segment: &Segment, events: &mut Vec<ServerEvent>) -> Segment {
        let known = self.flows.get(&ends).is_some_and(|flow| flow.first == segment.sequence);
        if !known {
            let own_first = self.rng.random();
            let flow = ServerFlow {
                first: segment.sequence,
                own_first,
                token: segment.token,
                stream: None,
            };
            self.flows.insert(ends, flow);
            self.ended.remove(&ends);
            events.push(ServerEvent::Took(ends));
        }
        let flow = &self.flows[&ends];
        answer(ends, SegmentKind::Accepting, segment.token, flow.own_first, flow.first)
    }

    fn stray(&mut self, segment: &Segment, events: &mut Vec<ServerEvent>) -> Vec<Segment> {
        let ends = (segment.from, segment.to);
        let after_end = self.ended.contains(&ends);
        if !after_end {
            events.push(ServerEvent::Stray(ends));
        }
        let nothing_new = segment.kind == SegmentKind::Closing || segment.data.is_empty();
        if after_end && nothing_new {
            return Vec::new();
        }
        vec![answer(ends, SegmentKind::Reset, segment.token, segment.acknowledged, 0)]
    }

    fn finish(&mut self, now: Duration) {
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.working).into_iter().partition(|(until, _)| now >= *until);
        self.working = rest;
        for (_, work) in over {
            self.answer(&work, SERVED);
        }
    }

    fn start(&mut self, now: Duration, events: &mut Vec<ServerEvent>) {
        let slots = self.entry.slots as usize;
        while self.working.len() < slots
            && let Some(work) = self.queue.pop_front()
        {
            events.push(ServerEvent::Ran(work.ends, work.id, work.kind));
            self.working.push((now + work.kind.work(), work));
        }
        while self.queue.len() > slots * QUEUE {
            if let Some(work) = self.queue.pop_back() {
                self.answer(&work, NOT_RUN);
            }
        }
    }

    fn answer(&mut self, work: &Work, outcome: u8) {
        let drains = self.drains.is_some();
        let flow = self.flows.get_mut(&work.ends).and_then(|flow| flow.stream.as_mut());
        if let Some(stream) = flow {
            stream.write(&Message::answer(outcome, work.id, work.kind).write());
            if drains {
                stream.close();
            }
        }
    }

    fn forget(&mut self, ends: Ends) {
        self.flows.remove(&ends);
        self.ended.insert(ends);
    }
}

fn answer(ends: Ends, kind: SegmentKind, token: Token, sequence: u32, heard: u32) -> Segment {
    let (to, from) = ends;
    let acknowledged = heard.wrapping_add(1);
    Segment { from, to, kind, token, sequence, acknowledged, data: Vec::new() }
}
