//! The flows that pass this instance, as far as their callers' packets show them.
//!
//! Nothing depends on this table to be complete: it counts what targets have to do, and sees
//! which of them answer. An instance that has just started fills it as packets pass.

use std::time::Duration;

use super::token::TargetStart;
use super::{FlowPacket, NO_TOKEN, PacketKind};
use crate::flow::FlowKey;
use crate::hash::HashMap;
use crate::ids::FlowId;

/// Flows that are remembered at most, some 80 bytes each.
const MOST_FLOWS: usize = 32_768;

/// Time after which the answer to a request is overdue: more than the users' longest aim, and
/// half of the shortest time after which their callers give up.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);

/// What a packet shows of its flow's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Nothing.
    Nothing,
    /// The target has answered; given is the time from a request to its first answer, if the
    /// packet shows one.
    Life(Option<Duration>),
    /// What the caller sent the given time ago has not been answered.
    Unanswered(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    key: FlowKey,
    target: TargetStart,
    /// When the last packet passed.
    last: Duration,
    /// Whether the handshake is over.
    open: bool,
    /// Whether the caller has ended its side. What still comes is no work, but is
    /// remembered, so that it does not look like another flow.
    closed: bool,
    /// Number of the byte after the last one that the caller sent.
    next: u32,
    /// Number of the next byte that the caller expected.
    acknowledged: u32,
    /// When the request that waits for an answer was first sent, if one waits.
    waits_since: Option<Duration>,
    /// Whether its answer was found to be overdue.
    overdue: bool,
}

/// What a target has to do, as far as it passes here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows that are open or being opened.
    pub flows: u32,
    /// Flows whose last request has no answer yet.
    pub waiting: u32,
}

/// The flows that pass this instance.
#[derive(Debug, Default)]
pub struct Flows {
    flows: HashMap<FlowId, Flow>,
    loads: HashMap<TargetStart, Load>,
}

impl Flows {
    /// Returns the number of flows that are known.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the target to which a flow is being opened, and since when.
    pub(super) fn opening(&self, flow: FlowId) -> Option<(TargetStart, Duration)> {
        let flow = self.flows.get(&flow).filter(|flow| !flow.open)?;
        Some((flow.target, flow.waits_since?))
    }

    /// Returns what a target has to do.
    pub fn load(&self, target: TargetStart) -> Load {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// Takes a packet that goes to a target.
    pub fn note(&mut self, now: Duration, packet: &FlowPacket, target: TargetStart) -> Seen {
        let id = packet.flow.id();
        match packet.kind {
            PacketKind::Opening { repeats } => self.opened(now, packet, target, repeats),
            PacketKind::Within => self.within(now, packet, target),
            PacketKind::Closing => {
                self.close(now, id);
                Seen::Nothing
            }
            PacketKind::Reset => {
                self.remove(id);
                Seen::Nothing
            }
            PacketKind::FromTarget => Seen::Nothing,
        }
    }

    /// Returns the targets that flows go to.
    pub(super) fn targets(&self) -> impl Iterator<Item = TargetStart> {
        self.loads.keys().copied()
    }

    /// Returns what the targets that flows go to have to do.
    pub(super) fn loads(&self) -> impl Iterator<Item = (TargetStart, Load)> {
        self.loads.iter().map(|(&target, &load)| (target, load))
    }

    /// Forgets the flows of a target, and returns each as the packet that its caller would
    /// send next.
    pub(super) fn take_flows(&mut self, target: TargetStart) -> Vec<FlowPacket> {
        let ids = self.flows.iter().filter(|(_, flow)| flow.target == target).map(|(id, _)| *id);
        let ids: Vec<_> = ids.collect();
        let mut taken = Vec::new();
        for id in ids {
            if let Some(flow) = self.flows.remove(&id) {
                self.uncount(&flow);
                taken.push(flow);
            }
        }
        let next = |flow: Flow| FlowPacket {
            flow: flow.key,
            kind: PacketKind::Within,
            token: NO_TOKEN,
            sequence: flow.next,
            acknowledged: flow.acknowledged,
            data_len: 0,
        };
        taken.into_iter().filter(|flow| flow.open && !flow.closed).map(next).collect()
    }

    /// Returns the target of each open flow on which an answer has become overdue.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetStart> {
        let late = |since: Duration| now >= since + OVERDUE_AFTER;
        let open = self.flows.values_mut().filter(|flow| flow.open && !flow.closed);
        let overdue = open.filter(|flow| !flow.overdue && flow.waits_since.is_some_and(late));
        overdue
            .map(|flow| {
                flow.overdue = true;
                flow.target
            })
            .collect()
    }

    /// Forgets flows that have been silent for a time.
    pub fn expire(&mut self, now: Duration, idle: Duration) {
        let over = |flow: &Flow| now >= flow.last + idle;
        let over: Vec<_> =
            self.flows.iter().filter(|(_, flow)| over(flow)).map(|(id, _)| *id).collect();
        for id in over {
            self.remove(id);
        }
    }

    /// Forgets a flow.
    pub fn remove(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.remove(&id) {
            self.uncount(&flow);
        }
    }

    fn close(&mut self, now: Duration, id: FlowId) {
        if let Some(mut flow) = self.flows.get(&id).copied() {
            self.uncount(&flow);
            flow.closed = true;
            flow.last = now;
            self.flows.insert(id, flow);
        }
    }

    fn opened(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetStart,
        repeats: u32,
    ) -> Seen {
        let id = packet.flow.id();
        let before = self.flows.get(&id).copied();
        self.remove(id);
        let first_sent = before.filter(|_| repeats > 0).and_then(|flow| flow.waits_since);
        let next = packet.sequence.wrapping_add(1);
        self.insert(
            id,
            Flow {
                key: packet.flow,
                target,
                last: now,
                open: false,
                closed: false,
                next,
                acknowledged: 0,
                waits_since: Some(first_sent.unwrap_or(now)),
                overdue: false,
            },
        );
        Seen::Nothing
    }

    fn within(&mut self, now: Duration, packet: &FlowPacket, target: TargetStart) -> Seen {
        let id = packet.flow.id();
        let end = packet.sequence.wrapping_add(u32::from(packet.data_len));
        let Some(mut flow) = self.flows.get(&id).copied().filter(|flow| flow.target == target)
        else {
            // The flow was opened elsewhere, or before this instance started.
            self.remove(id);
            let waits_since = (packet.data_len > 0).then_some(now);
            let acknowledged = packet.acknowledged;
            let flow = Flow {
                key: packet.flow,
                target,
                last: now,
                open: true,
                closed: false,
                next: end,
                acknowledged,
                waits_since,
                overdue: false,
            };
            self.insert(id, flow);
            return Seen::Nothing;
        };
        if flow.closed {
            return Seen::Nothing;
        }
        self.uncount(&flow);
        flow.last = now;
        let answered = !flow.open || after(packet.acknowledged, flow.acknowledged);
        let fresh = packet.data_len > 0 && after(end, flow.next);
        let repeated = packet.data_len > 0 && !fresh;
        let waited = flow.waits_since.map(|since| now.saturating_sub(since));
        if answered {
            flow.open = true;
            flow.acknowledged = packet.acknowledged;
            flow.waits_since = None;
            flow.overdue = false;
        }
        if fresh {
            flow.next = end;
            flow.waits_since = flow.waits_since.or(Some(now));
        }
        self.insert(id, flow);
        match waited {
            waited if answered => Seen::Life(waited),
            Some(waited) if repeated => Seen::Unanswered(waited),
            _ => Seen::Nothing,
        }
    }

    fn insert(&mut self, id: FlowId, flow: Flow) {
        if self.flows.len() >= MOST_FLOWS && !self.flows.contains_key(&id) {
            return;
        }
        let load = self.loads.entry(flow.target).or_default();
        load.flows += 1;
        load.waiting += u32::from(flow.waits_since.is_some());
        self.flows.insert(id, flow);
    }

    fn uncount(&mut self, flow: &Flow) {
        if flow.closed {
            return;
        }
        let Some(load) = self.loads.get_mut(&flow.target) else { return };
        load.flows = load.flows.saturating_sub(1);
        load.waiting = load.waiting.saturating_sub(u32::from(flow.waits_since.is_some()));
        if load.flows == 0 {
            self.loads.remove(&flow.target);
        }
    }
}

/// Tells whether a byte comes after another one, in numbers that wrap around.
fn after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
