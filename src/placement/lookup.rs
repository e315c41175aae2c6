//! Flows that nobody on the way of a packet knew: all live instances are asked for them.

use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{FlowId, InstanceId};
use crate::link::Outbox;
use crate::peer::Body;

/// Time between the first two questions for a flow; it doubles after each.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Time after which nobody is taken to know a flow. A target repeats what the caller has
/// not acknowledged several times meanwhile, and each repeat proves the flow's binding.
const GIVE_UP_AFTER: Duration = Duration::from_secs(6);
/// Time after which a flow that nobody knew may be asked for anew.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time between two questions, so that flows share a datagram.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Flows in one question.
const LARGEST_BATCH: usize = 32;
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
    /// No live instance has a record.
    NobodyKnows,
    /// Too many flows are asked for.
    Full,
}

/// How far the search for a flow has come.
#[derive(Debug)]
struct Asked {
    /// When the first packet of the flow came here.
    seen: Duration,
    /// When all live instances were first asked; none if that is still to come.
    began: Option<Duration>,
    next: Duration,
    pause: Duration,
    queued: bool,
}

/// The flows that are asked for.
#[derive(Debug, Default)]
pub(super) struct Lookups {
    asked: HashMap<FlowId, Asked>,
    waiting: Vec<FlowId>,
    next_question: Duration,
    next_forgetting: Duration,
}

impl Lookups {
    /// Notes a packet of an unknown flow and tells how the search stands.
    pub(super) fn search(&mut self, now: Duration, flow: FlowId) -> Search {
        if self.asked.len() >= MOST_ASKED && !self.asked.contains_key(&flow) {
            return Search::Full;
        }
        let asked = self.asked.entry(flow).or_insert(Asked {
            seen: now,
            began: None,
            next: now,
            pause: ASK_AGAIN,
            queued: false,
        });
        if asked.began.is_some_and(|began| now >= began + GIVE_UP_AFTER) {
            return Search::NobodyKnows;
        }
        if now >= asked.next && !asked.queued {
            asked.queued = true;
            self.waiting.push(flow);
        }
        Search::Asking
    }

    /// Notes that a flow is known now.
    pub(super) fn found(&mut self, flow: FlowId) {
        self.asked.remove(&flow);
    }

    /// Asks for the flows that wait, as far as the budget allows.
    pub(super) fn ask(&mut self, now: Duration, peers: &[InstanceId], out: &mut Outbox<'_>) {
        if now >= self.next_forgetting {
            self.next_forgetting = now + FORGET_AFTER;
            self.asked.retain(|_, asked| now < asked.seen + FORGET_AFTER);
        }
        if now < self.next_question || self.waiting.is_empty() {
            return;
        }
        self.next_question = now + ASK_EVERY;
        let count = self.waiting.len().min(LARGEST_BATCH);
        let cost = peers.len() * (QUESTION_LEN + count * FLOW_LEN);
        if out.available(Class::Epochs) < cost {
            return;
        }
        let flows: Vec<_> = self.waiting.drain(..count).collect();
        for flow in &flows {
            self.note_question(now, *flow);
        }
        let question = Body::Flows(Message::Lookup(flows));
        for &peer in peers {
            out.send(peer, Class::Epochs, &question);
        }
    }

    fn note_question(&mut self, now: Duration, flow: FlowId) {
        if let Some(asked) = self.asked.get_mut(&flow) {
            asked.queued = false;
            asked.began = asked.began.or(Some(now));
            asked.next = now + asked.pause;
            asked.pause *= 2;
        }
    }
}
