//! Replicas of flow records: which are due, to whom, and in what order they may go.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Message, Record};
use crate::budget::Class;
use crate::ids::{FlowId, InstanceId, TargetId};
use crate::link::Outbox;
use crate::peer::Body;

/// Age at which a flow has outlived the short ones and its record is replicated.
const REPLICA_DELAY: Duration = Duration::from_secs(2);
/// Time between two looks whether a learned record was confirmed.
const CONFIRM_DELAY: Duration = Duration::from_secs(5);
/// Time between two batches to one instance, so that records share a datagram.
const BATCH_EVERY: Duration = Duration::from_secs(1);
/// Records or flows in one message, so that it fits in a datagram.
const LARGEST_BATCH: usize = 100;
/// Bytes of one record in a message.
const RECORD_LEN: usize = 11;
/// Bytes of a message without its records.
const MESSAGE_LEN: usize = 40;
/// Things to tell that are kept for one instance; beyond it the oldest are forgotten and
/// counted, as their flows are still found by what other instances have learned.
const LONGEST_QUEUE: usize = 100_000;

/// What is to be told to one instance.
#[derive(Debug, Clone, Default)]
struct Queue {
    records: VecDeque<Record>,
    ended: VecDeque<FlowId>,
}

impl Queue {
    fn is_empty(&self) -> bool {
        self.records.is_empty() && self.ended.is_empty()
    }

    /// Takes the next message that is no larger than so many bytes.
    fn next(&mut self, room: usize) -> Option<Message> {
        let fits = (room.saturating_sub(MESSAGE_LEN) / RECORD_LEN).min(LARGEST_BATCH);
        if fits == 0 {
            return None;
        }
        if !self.records.is_empty() {
            let count = fits.min(self.records.len());
            return Some(Message::Records(self.records.drain(..count).collect()));
        }
        let count = fits.min(self.ended.len());
        (count > 0).then(|| Message::Ended(self.ended.drain(..count).collect()))
    }
}

/// The records that are still to be replicated.
#[derive(Debug, Clone, Default)]
pub(super) struct Replicator {
    young: VecDeque<(Duration, FlowId)>,
    provisional: VecDeque<(Duration, FlowId)>,
    queues: BTreeMap<InstanceId, Queue>,
    next_batch: Duration,
    /// Instance that is served first, so that none waits for ever when the budget is short.
    first: InstanceId,
}

impl Replicator {
    /// Notes a new flow whose record is replicated if it outlives the short ones.
    pub(super) fn opened(&mut self, now: Duration, flow: FlowId) {
        self.young.push_back((now + REPLICA_DELAY, flow));
    }

    /// Notes a flow whose record is replicated once a packet has confirmed it.
    pub(super) fn learned(&mut self, now: Duration, flow: FlowId) {
        self.provisional.push_back((now + CONFIRM_DELAY, flow));
    }

    /// Returns the flows that have outlived the short ones, and those whose confirmation
    /// is to be looked for.
    pub(super) fn grown(&mut self, now: Duration) -> Vec<FlowId> {
        let mut grown = take_due(&mut self.young, now);
        grown.extend(take_due(&mut self.provisional, now));
        grown
    }

    /// Queues a record for an instance.
    pub(super) fn tell(&mut self, to: InstanceId, flow: FlowId, target: TargetId) {
        let queue = self.queues.entry(to).or_default();
        queue.records.push_back(Record { flow, target });
        if queue.records.len() > LONGEST_QUEUE {
            queue.records.pop_front();
            metrics::counter!("limpetdeck_replicas_forgotten_total").increment(1);
        }
    }

    /// Queues the end of a flow whose replica an instance holds.
    pub(super) fn tell_ended(&mut self, to: InstanceId, flow: FlowId) {
        let queue = self.queues.entry(to).or_default();
        queue.ended.push_back(flow);
        if queue.ended.len() > LONGEST_QUEUE {
            queue.ended.pop_front();
        }
    }

    /// Tells whether nothing waits to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.values().all(Queue::is_empty)
    }

    /// Returns the number of records that wait to be sent.
    pub(super) fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.records.len()).sum()
    }

    /// Forgets what was to be told to instances that are gone.
    pub(super) fn keep(&mut self, live: &[InstanceId]) {
        self.queues.retain(|instance, _| live.contains(instance));
    }

    /// Sends batches as far as the budget allows.
    pub(super) fn flush(&mut self, now: Duration, class: Class, out: &mut Outbox<'_>) {
        if now < self.next_batch {
            return;
        }
        self.next_batch = now + BATCH_EVERY;
        let mut order: Vec<_> = self.queues.keys().copied().collect();
        let start = order.iter().position(|&id| id >= self.first).unwrap_or(0);
        order.rotate_left(start);
        for to in order {
            if !self.flush_one(to, class, out) {
                self.first = to;
                return;
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Sends what waits for one instance; answers false when the budget is used up.
    fn flush_one(&mut self, to: InstanceId, class: Class, out: &mut Outbox<'_>) -> bool {
        let Some(queue) = self.queues.get_mut(&to) else { return true };
        while !queue.is_empty() {
            let Some(message) = queue.next(out.available(class)) else { return false };
            if !out.send(to, class, &Body::Flows(message)) {
                // Only an instance without an address comes here: it has just gone.
                return true;
            }
        }
        true
    }
}

fn take_due(queue: &mut VecDeque<(Duration, FlowId)>, now: Duration) -> Vec<FlowId> {
    let count = queue.iter().take_while(|(due, _)| *due <= now).count();
    queue.drain(..count).map(|(_, flow)| flow).collect()
}
