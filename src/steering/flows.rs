//! Tracks the flows through this instance by their callers' packets.
//!
//! The table need not be complete: it serves to count the load of targets and to see which of
//! them respond. After a start it fills up as packets arrive.

use std::time::Duration;

use super::token::TargetIncarnation;
use super::{FlowPacket, PacketKind};
use crate::hash::HashMap;
use crate::ids::FlowId;

/// Maximum number of tracked flows, about 80 bytes each.
const MAX_FLOWS: usize = 32_768;

/// Time after which the response to a request is overdue: more than the highest latency limit, and
/// half of the shortest request time-out of callers.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which callers open a flow or give up.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest distance of sequence numbers within one flow, well above what an end may have in flight.
const MAX_SEQUENCE_DISTANCE: u32 = 1 << 20;

/// What a packet tells about the target of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowSignal {
    /// Nothing.
    Nothing,
    /// The target has responded; holds the time from the request to its first response, if a
    /// request was pending.
    Response(Option<Duration>),
    /// The caller has repeated a packet that has had no response; holds the time since the packet
    /// was first sent.
    Unanswered(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    target: TargetIncarnation,
    /// When the last packet arrived.
    last_packet: Duration,
    /// Whether the handshake is complete.
    open: bool,
    /// Whether the caller has closed its side. The flow no longer counts as load, but stays in
    /// the table so that late packets do not look like a new flow.
    closed: bool,
    /// Sequence number after the last byte that the caller sent.
    next_sequence: u32,
    /// Sequence number of the next byte that the caller expected.
    ack: u32,
    /// When the pending request was first sent, if one is pending.
    waiting_since: Option<Duration>,
    /// Whether its response has been reported as overdue.
    overdue: bool,
    /// Whether the caller has acknowledged a response since the handshake.
    answered: bool,
}

impl Flow {
    /// Returns whether a packet's sequence number is too far from the flow's to belong to it.
    fn is_far_from(&self, packet: &FlowPacket) -> bool {
        distance(packet.sequence, self.next_sequence) > MAX_SEQUENCE_DISTANCE
    }

    /// Returns whether the flow is open here and a packet continues it. Numbers of one end alone may be
    /// near by chance, if the caller uses its port again. Opening packets acknowledge nothing.
    fn is_continued_by(&self, packet: &FlowPacket) -> bool {
        let is_opening = matches!(packet.kind, PacketKind::Opening { .. });
        let has_near_ack = is_opening || distance(packet.ack, self.ack) <= MAX_SEQUENCE_DISTANCE;
        self.open && !self.closed && has_near_ack && !self.is_far_from(packet)
    }

    /// Returns whether the flow has ended, and a packet belongs to a later one of the same addresses.
    fn is_earlier_than(&self, packet: &FlowPacket) -> bool {
        self.closed && self.is_far_from(packet)
    }
}

/// Load of a target from the flows through this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of flows that are open or being opened.
    pub flows: u32,
    /// Number of flows whose last request has had no response yet.
    pub waiting: u32,
    /// Number of flows among those whose response is overdue.
    pub overdue: u32,
}

/// Table of the flows through this instance.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: HashMap<FlowId, Flow>,
    loads: HashMap<TargetIncarnation, Load>,
}

impl FlowTable {
    /// Returns the number of tracked flows, closed ones that have not expired included.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether a packet belongs to a known flow, which may have ended.
    pub(super) fn knows(&self, packet: &FlowPacket) -> bool {
        self.flows.get(&packet.flow.id()).is_some_and(|flow| !flow.is_far_from(packet))
    }

    /// Returns whether another flow than a packet's is known between its addresses and has not ended.
    pub(super) fn knows_other(&self, packet: &FlowPacket) -> bool {
        let flow = self.flows.get(&packet.flow.id());
        flow.is_some_and(|flow| !flow.closed && flow.is_far_from(packet))
    }

    /// Returns the target of the open flow to which a packet belongs.
    pub(super) fn open_at(&self, packet: &FlowPacket) -> Option<TargetIncarnation> {
        let flow = self.flows.get(&packet.flow.id())?;
        flow.is_continued_by(packet).then_some(flow.target)
    }

    /// Returns the target of the open flow to which a packet belongs, if the target has responded
    /// since the handshake. Until then the token of a late answer may have misled this table.
    pub(super) fn answered_at(&self, packet: &FlowPacket) -> Option<TargetIncarnation> {
        let flow = self.flows.get(&packet.flow.id())?;
        let is_answered = flow.answered || sequence_after(packet.ack, flow.ack);
        self.open_at(packet).filter(|_| is_answered)
    }

    /// Returns the target of a half-open flow and when its first opening packet was sent.
    pub(super) fn half_open(&self, packet: &FlowPacket) -> Option<(TargetIncarnation, Duration)> {
        let is_same = |flow: &&Flow| !flow.open && !flow.is_far_from(packet);
        let flow = self.flows.get(&packet.flow.id()).filter(is_same)?;
        Some((flow.target, flow.waiting_since?))
    }

    /// Returns whether a packet belongs to an earlier flow with the same addresses: a flow to another
    /// target is being opened on them, with other sequence numbers.
    pub fn is_of_earlier_flow(
        &self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetIncarnation,
    ) -> bool {
        let Some(flow) = self.flows.get(&packet.flow.id()) else { return false };
        let is_opening = !flow.open && now < flow.last_packet + OPENING_TIMEOUT;
        is_opening && flow.target != target && flow.is_far_from(packet)
    }

    /// Returns the load of a target.
    pub fn load(&self, target: TargetIncarnation) -> Load {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// Updates the table for a packet that is forwarded to a target.
    pub fn record(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetIncarnation,
    ) -> FlowSignal {
        let id = packet.flow.id();
        match packet.kind {
            PacketKind::Opening { repeats } => self.record_opening(now, packet, target, repeats),
            PacketKind::Within => self.record_within(now, packet, target),
            PacketKind::Closing | PacketKind::Reset if !self.knows(packet) => FlowSignal::Nothing,
            PacketKind::Closing => {
                self.close(now, id);
                FlowSignal::Nothing
            }
            PacketKind::Reset => {
                self.remove(id);
                FlowSignal::Nothing
            }
            PacketKind::FromTarget => FlowSignal::Nothing,
        }
    }

    /// Returns the targets that have flows.
    pub(super) fn targets(&self) -> impl Iterator<Item = TargetIncarnation> {
        self.loads.keys().copied()
    }

    /// Returns the loads of the targets that have flows.
    pub(super) fn loads(&self) -> impl Iterator<Item = (TargetIncarnation, Load)> {
        self.loads.iter().map(|(&target, &load)| (target, load))
    }

    /// Forgets that the flows of a target wait for responses: it seems to be dead, so they are no load.
    pub(super) fn forget_requests(&mut self, target: TargetIncarnation) {
        for flow in self.flows.values_mut().filter(|flow| flow.target == target) {
            flow.waiting_since = None;
            flow.overdue = false;
        }
        if let Some(load) = self.loads.get_mut(&target) {
            (load.waiting, load.overdue) = (0, 0);
        }
    }

    /// Removes the flows of a target.
    pub(super) fn remove_flows(&mut self, target: TargetIncarnation) {
        self.flows.retain(|_, flow| flow.target != target);
        self.loads.remove(&target);
    }

    /// Returns the target of each open flow whose response has become overdue since the last
    /// call.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetIncarnation> {
        let is_late = |since: Duration| now >= since + OVERDUE_TIMEOUT;
        let open = self.flows.values_mut().filter(|flow| flow.open && !flow.closed);
        let overdue = open.filter(|flow| !flow.overdue && flow.waiting_since.is_some_and(is_late));
        let targets: Vec<_> = overdue
            .map(|flow| {
                flow.overdue = true;
                flow.target
            })
            .collect();
        for target in &targets {
            if let Some(load) = self.loads.get_mut(target) {
                load.overdue += 1;
            }
        }
        targets
    }

    /// Removes the flows that have had no packet for the idle timeout.
    pub fn expire(&mut self, now: Duration, idle: Duration) {
        let expired = |flow: &Flow| now >= flow.last_packet + idle;
        let expired: Vec<_> =
            self.flows.iter().filter(|(_, flow)| expired(flow)).map(|(id, _)| *id).collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.remove(&id) {
            self.subtract_load(&flow);
        }
    }

    /// Ends a flow. It stays in the table, so that late packets do not look like a new flow.
    pub(super) fn close(&mut self, now: Duration, id: FlowId) {
        if let Some(mut flow) = self.flows.get(&id).copied() {
            self.subtract_load(&flow);
            flow.closed = true;
            flow.last_packet = now;
            self.flows.insert(id, flow);
        }
    }

    fn record_opening(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetIncarnation,
        repeats: u32,
    ) -> FlowSignal {
        let id = packet.flow.id();
        let previous = self.flows.get(&id).copied();
        self.remove(id);
        let first_copy = previous.filter(|flow| repeats > 0 && !flow.is_far_from(packet));
        let first_sent = first_copy.and_then(|flow| flow.waiting_since);
        let next_sequence = packet.sequence.wrapping_add(1);
        self.insert(
            id,
            Flow {
                target,
                last_packet: now,
                open: false,
                closed: false,
                next_sequence,
                ack: 0,
                waiting_since: Some(first_sent.unwrap_or(now)),
                overdue: false,
                answered: false,
            },
        );
        FlowSignal::Nothing
    }

    fn record_within(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        target: TargetIncarnation,
    ) -> FlowSignal {
        let id = packet.flow.id();
        let end = packet.sequence.wrapping_add(u32::from(packet.data_len));
        let known = self.flows.get(&id).copied();
        let is_same = |flow: &Flow| flow.target == target && !flow.is_earlier_than(packet);
        let Some(mut flow) = known.filter(is_same) else {
            // The flow was opened through another instance, or before this one started.
            self.remove(id);
            let waiting_since = (packet.data_len > 0).then_some(now);
            let ack = packet.ack;
            let flow = Flow {
                target,
                last_packet: now,
                open: true,
                closed: false,
                next_sequence: end,
                ack,
                waiting_since,
                overdue: false,
                answered: false,
            };
            self.insert(id, flow);
            return FlowSignal::Nothing;
        };
        if flow.closed {
            return FlowSignal::Nothing;
        }
        self.subtract_load(&flow);
        flow.last_packet = now;
        let has_response = !flow.open || sequence_after(packet.ack, flow.ack);
        let has_new_data = packet.data_len > 0 && sequence_after(end, flow.next_sequence);
        let is_retransmission = packet.data_len > 0 && !has_new_data;
        let waited = flow.waiting_since.map(|since| now.saturating_sub(since));
        if has_response {
            flow.answered = flow.open;
            flow.open = true;
            flow.ack = packet.ack;
            flow.waiting_since = None;
            flow.overdue = false;
        }
        if has_new_data {
            flow.next_sequence = end;
            flow.waiting_since = flow.waiting_since.or(Some(now));
        }
        self.insert(id, flow);
        match waited {
            waited if has_response => FlowSignal::Response(waited),
            Some(waited) if is_retransmission => FlowSignal::Unanswered(waited),
            _ => FlowSignal::Nothing,
        }
    }

    fn insert(&mut self, id: FlowId, flow: Flow) {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&id) {
            return;
        }
        let load = self.loads.entry(flow.target).or_default();
        load.flows += 1;
        load.waiting += u32::from(flow.waiting_since.is_some());
        load.overdue += u32::from(flow.overdue);
        self.flows.insert(id, flow);
    }

    fn subtract_load(&mut self, flow: &Flow) {
        if flow.closed {
            return;
        }
        let Some(load) = self.loads.get_mut(&flow.target) else { return };
        load.flows = load.flows.saturating_sub(1);
        load.waiting = load.waiting.saturating_sub(u32::from(flow.waiting_since.is_some()));
        load.overdue = load.overdue.saturating_sub(u32::from(flow.overdue));
        if load.flows == 0 {
            self.loads.remove(&flow.target);
        }
    }
}

/// Returns the distance of two sequence numbers, with wrap-around.
fn distance(a: u32, b: u32) -> u32 {
    let distance = a.wrapping_sub(b);
    distance.min(distance.wrapping_neg())
}

/// Returns whether sequence number `a` comes after `b`, with wrap-around.
fn sequence_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
