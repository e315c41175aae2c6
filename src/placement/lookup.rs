//! Flows that nobody on the way of a packet knew: the other live instances are asked for them.

use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{FlowId, InstanceId};
use crate::link::Outbox;
use crate::peer::Body;

/// Time between the first two questions for a flow; it doubles after each.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Longest time between two questions for a flow.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time of asking after which the flow's choice in the oldest epoch is tried. A target
/// repeats what the caller has not acknowledged several times meanwhile, and each repeat
/// proves the flow's binding.
const TRY_AFTER: Duration = Duration::from_secs(6);
/// Time of asking after which a flow counts as lost, and its caller is told so.
const LOST_AFTER: Duration = Duration::from_secs(25);
/// Time after which a flow that was lost or fell silent may be asked for anew.
const FORGET_AFTER: Duration = Duration::from_secs(40);
/// Time between two questions, so that flows share a datagram.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Flows in one question.
const LARGEST_BATCH: usize = 8;
/// Instances that one question goes to at most.
const MOST_PEERS: usize = 20;
/// Instances that a question must be able to reach to be worth its place in the budget.
const LEAST_PEERS: usize = 4;
/// Bytes of a question without its flows, datagram and seal included.
const QUESTION_LEN: usize = 70;
/// Bytes of one flow in a question.
const FLOW_LEN: usize = 10;
/// Flows that are remembered as asked for; a flood of unknown flows is bounded by it.
const MOST_ASKED: usize = 4_096;

/// What is known of a flow that nobody on the way knew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Search {
    /// The live instances are being asked.
    Asking,
    /// No live instance has answered: the choice in the oldest epoch may be tried.
    Try,
    /// The choice was tried in vain, and still nobody knows the flow.
    Lost,
    /// Too many flows are asked for.
    Full,
}

/// How far the search for a flow has come.
#[derive(Debug, Clone)]
struct Asked {
    /// When the first packet of the flow came here.
    seen: Duration,
    /// When all live instances were first asked; none if that is still to come.
    began: Option<Duration>,
    next: Duration,
    pause: Duration,
    queued: bool,
    /// Whether the target that was tried did not know the flow.
    refuted: bool,
}

impl Asked {
    fn new(seen: Duration, next: Duration) -> Self {
        Self { seen, began: None, next, pause: ASK_AGAIN, queued: false, refuted: false }
    }
}

/// The flows that are asked for.
#[derive(Debug, Clone, Default)]
pub(super) struct Lookups {
    asked: HashMap<FlowId, Asked>,
    waiting: Vec<FlowId>,
    /// Place of the first instance that the next question goes to.
    next_peer: usize,
    next_question: Duration,
    next_forgetting: Duration,
}

impl Lookups {
    /// Notes a packet of an unknown flow and tells how the search stands.
    pub(super) fn search(&mut self, now: Duration, flow: FlowId) -> Search {
        if self.asked.len() >= MOST_ASKED && !self.asked.contains_key(&flow) {
            return Search::Full;
        }
        let asked = self.asked.entry(flow).or_insert(Asked::new(now, now));
        let asking = asked.began.map_or(Duration::ZERO, |began| now.saturating_sub(began));
        if asking >= LOST_AFTER {
            return Search::Lost;
        }
        if asking >= TRY_AFTER && !asked.refuted {
            return Search::Try;
        }
        if now >= asked.next && !asked.queued {
            asked.queued = true;
            self.waiting.push(flow);
        }
        Search::Asking
    }

    /// Tells whether a target that was advised, but may never have got the flow, may be
    /// tried; from now on it can be refuted.
    pub(super) fn may_try(&mut self, now: Duration, flow: FlowId) -> bool {
        if self.asked.len() >= MOST_ASKED && !self.asked.contains_key(&flow) {
            return true;
        }
        !self.asked.entry(flow).or_insert(Asked::new(now, now + ASK_AGAIN)).refuted
    }

    /// Notes that a target does not know a flow; answers whether it was only tried.
    pub(super) fn refute(&mut self, flow: FlowId) -> bool {
        let Some(asked) = self.asked.get_mut(&flow) else { return false };
        asked.refuted = true;
        true
    }

    /// Notes that a flow is known now.
    pub(super) fn found(&mut self, flow: FlowId) {
        self.asked.remove(&flow);
    }

    /// Asks for the flows that wait, as far as the budget allows: fewer flows at once, and
    /// then fewer instances, each time the next ones.
    pub(super) fn ask(&mut self, now: Duration, peers: &[InstanceId], out: &mut Outbox<'_>) {
        if now >= self.next_forgetting {
            self.next_forgetting = now + FORGET_AFTER;
            self.asked.retain(|_, asked| now < asked.seen + FORGET_AFTER);
        }
        if now < self.next_question || self.waiting.is_empty() || peers.is_empty() {
            return;
        }
        self.next_question = now + ASK_EVERY;
        let asked = &self.asked;
        self.waiting.retain(|flow| asked.contains_key(flow));
        let count = self.waiting.len().min(LARGEST_BATCH);
        let affordable = out.available(Class::Epochs) / (QUESTION_LEN + count * FLOW_LEN);
        let reach = affordable.min(peers.len()).min(MOST_PEERS);
        if reach < peers.len().min(LEAST_PEERS) || count == 0 {
            return;
        }
        let flows: Vec<_> = self.waiting.drain(..count).collect();
        for flow in &flows {
            self.note_question(now, *flow);
        }
        let question = Body::Flows(Message::Lookup(flows));
        for &peer in peers.iter().cycle().skip(self.next_peer % peers.len()).take(reach) {
            out.send(peer, Class::Epochs, &question);
        }
        self.next_peer = (self.next_peer + reach) % peers.len();
    }

    fn note_question(&mut self, now: Duration, flow: FlowId) {
        if let Some(asked) = self.asked.get_mut(&flow) {
            asked.queued = false;
            asked.began = asked.began.or(Some(now));
            asked.next = now + asked.pause;
            asked.pause = (asked.pause * 2).min(LONGEST_PAUSE);
        }
    }
}
