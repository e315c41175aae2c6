//! Queues of flow records to replicate, sent in batches within the control budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Message, Record};
use crate::budget::Class;
use crate::ids::{FlowId, InstanceId, TargetId};
use crate::link::Outbox;
use crate::peer::Body;

/// Age at which the record of a flow is replicated; shorter flows are not replicated.
const REPLICATION_DELAY: Duration = Duration::from_secs(2);
/// Time between two checks whether a learned record was confirmed.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(5);
/// Interval between batches, so that several records share a datagram.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records or flows in one message, so that it fits in a datagram.
const MAX_BATCH_ITEMS: usize = 100;
/// Bytes of one record in a message.
const RECORD_LEN: usize = 11;
/// Bytes of a message without its records.
const MESSAGE_HEADER_LEN: usize = 40;
/// Maximum number of records, and of ended flows, queued for one instance. Beyond it the oldest
/// are dropped, and dropped records are counted; their flows can still be found by bindings
/// that other instances have learned.
const MAX_QUEUE_LEN: usize = 100_000;

/// Records and ended flows queued for one instance.
#[derive(Debug, Clone, Default)]
struct Queue {
    records: VecDeque<Record>,
    ended: VecDeque<FlowId>,
}

impl Queue {
    fn is_empty(&self) -> bool {
        self.records.is_empty() && self.ended.is_empty()
    }

    /// Removes and returns the next message of at most `max_bytes`; none if there is no room.
    fn next_message(&mut self, max_bytes: usize) -> Option<Message> {
        let max_items =
            (max_bytes.saturating_sub(MESSAGE_HEADER_LEN) / RECORD_LEN).min(MAX_BATCH_ITEMS);
        if max_items == 0 {
            return None;
        }
        if !self.records.is_empty() {
            let count = max_items.min(self.records.len());
            return Some(Message::Records(self.records.drain(..count).collect()));
        }
        let count = max_items.min(self.ended.len());
        (count > 0).then(|| Message::Ended(self.ended.drain(..count).collect()))
    }
}

/// Records and ended flows that wait to be sent to other instances.
#[derive(Debug, Clone, Default)]
pub(super) struct Replicator {
    new_flows: VecDeque<(Duration, FlowId)>,
    awaiting_confirmation: VecDeque<(Duration, FlowId)>,
    queues: BTreeMap<InstanceId, Queue>,
    next_batch: Duration,
    /// Instance to start with, so that none is starved when the budget is short.
    next_instance: InstanceId,
}

impl Replicator {
    /// Schedules the replication of a new flow's record, if the flow is still open by then.
    pub(super) fn schedule_replication(&mut self, now: Duration, flow: FlowId) {
        self.new_flows.push_back((now + REPLICATION_DELAY, flow));
    }

    /// Schedules a check whether a packet has confirmed a learned record.
    pub(super) fn schedule_confirmation(&mut self, now: Duration, flow: FlowId) {
        self.awaiting_confirmation.push_back((now + CONFIRMATION_DELAY, flow));
    }

    /// Removes and returns the flows whose replication or confirmation check is due.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<FlowId> {
        let mut due = drain_due(&mut self.new_flows, now);
        due.extend(drain_due(&mut self.awaiting_confirmation, now));
        due
    }

    /// Queues a record for an instance.
    pub(super) fn enqueue_record(&mut self, to: InstanceId, flow: FlowId, target: TargetId) {
        let queue = self.queues.entry(to).or_default();
        queue.records.push_back(Record { flow, target });
        if queue.records.len() > MAX_QUEUE_LEN {
            queue.records.pop_front();
            metrics::counter!("limpetdeck_replicas_forgotten_total").increment(1);
        }
    }

    /// Queues the end of a flow whose replica an instance holds.
    pub(super) fn enqueue_end(&mut self, to: InstanceId, flow: FlowId) {
        let queue = self.queues.entry(to).or_default();
        queue.ended.push_back(flow);
        if queue.ended.len() > MAX_QUEUE_LEN {
            queue.ended.pop_front();
        }
    }

    /// Returns whether nothing is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.values().all(Queue::is_empty)
    }

    /// Returns the number of queued records.
    pub(super) fn queued_records(&self) -> usize {
        self.queues.values().map(|queue| queue.records.len()).sum()
    }

    /// Drops the queues of instances that are not live.
    pub(super) fn retain_instances(&mut self, live: &[InstanceId]) {
        self.queues.retain(|instance, _| live.contains(instance));
    }

    /// Sends queued messages as far as the budget allows.
    pub(super) fn flush(&mut self, now: Duration, class: Class, out: &mut Outbox<'_>) {
        if now < self.next_batch {
            return;
        }
        self.next_batch = now + BATCH_INTERVAL;
        let mut order: Vec<_> = self.queues.keys().copied().collect();
        let start = order.iter().position(|&id| id >= self.next_instance).unwrap_or(0);
        order.rotate_left(start);
        for to in order {
            if !self.flush_one(to, class, out) {
                self.next_instance = to;
                return;
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Sends the messages queued for one instance; returns false when the budget is used up.
    fn flush_one(&mut self, to: InstanceId, class: Class, out: &mut Outbox<'_>) -> bool {
        let Some(queue) = self.queues.get_mut(&to) else { return true };
        while !queue.is_empty() {
            let Some(message) = queue.next_message(out.available(class)) else { return false };
            if !out.send(to, class, &Body::Flows(message)) {
                // Sending fails only if the instance has no address: it has just left.
                return true;
            }
        }
        true
    }
}

fn drain_due(queue: &mut VecDeque<(Duration, FlowId)>, now: Duration) -> Vec<FlowId> {
    let count = queue.iter().take_while(|(due, _)| *due <= now).count();
    queue.drain(..count).map(|(_, flow)| flow).collect()
}
