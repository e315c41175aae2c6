//! The flow table of an instance: bounded, and expired one shard at a time.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::{FlowId, TargetId};
use crate::packet::{Segment, TcpFlags};

/// Number of shards. One is swept at a time, so that a sweep does not delay packets.
const SHARDS: usize = 64;
/// Interval at which a packet of a flow with a learned binding is passed to the owner, to confirm
/// the owner's record.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Time after which a record without a reply from the target expires.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a record is kept after its flow has begun to close.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(15);

/// How an instance came to hold a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Learned from a forwarded reply packet.
    Learned,
    /// Received from the owner, as a replica.
    Replica,
    /// Held as the owner of the flow.
    Owner,
}

/// The target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// Target that the flow is bound to.
    pub target: TargetId,
    /// Sequence number of the caller's SYN; 0 if unknown.
    pub initial_sequence: u32,
    /// When the flow was opened or first seen, or a learned binding was last refreshed, in
    /// milliseconds.
    opened: u32,
    /// When the binding was last confirmed, in milliseconds.
    confirmed: u32,
    /// Sequence number of the target's next byte after its last reply packet seen here.
    reply_sequence: u32,
    caller_ip: [u8; 4],
    caller_port: u16,
    /// How this instance came to hold the binding.
    pub role: Role,
    state_flags: u8,
}

/// Flag: the target has replied.
const REPLY_SEEN: u8 = 1;
/// Flag: the flow has begun to close.
const CLOSING: u8 = 2;
/// Flag: the replica holder has the record.
const REPLICATED: u8 = 4;
/// Flag: the record was learned, and its flow may have ended unnoticed.
const PROVISIONAL: u8 = 8;
/// Flag: a sequence number of the target is known.
const SEQUENCE_KNOWN: u8 = 16;
/// Maximum distance of a target's reset from the last sequence number seen: a window without
/// scaling.
const MAX_RESET_DISTANCE: u32 = 1 << 16;

impl Binding {
    /// Creates a binding that is opened and confirmed at `now`.
    pub fn new(now: Duration, target: TargetId, role: Role, caller: Option<SocketAddrV4>) -> Self {
        Self {
            target,
            initial_sequence: 0,
            opened: millis(now),
            confirmed: millis(now),
            reply_sequence: 0,
            caller_ip: caller.map_or([0; 4], |caller| caller.ip().octets()),
            caller_port: caller.map_or(0, |caller| caller.port()),
            role,
            state_flags: if role == Role::Owner { 0 } else { REPLY_SEEN },
        }
    }

    /// Sets the sequence number of the caller's SYN.
    pub fn with_initial_sequence(mut self, initial_sequence: u32) -> Self {
        self.initial_sequence = initial_sequence;
        self
    }

    /// Returns the caller, if a packet of the flow was seen.
    pub fn caller(&self) -> Option<SocketAddrV4> {
        let ip = Ipv4Addr::from(self.caller_ip);
        (self.caller_port != 0).then(|| SocketAddrV4::new(ip, self.caller_port))
    }

    /// Sets the caller unless it is known.
    pub fn set_caller_if_unknown(&mut self, caller: SocketAddrV4) {
        if self.caller_port == 0 {
            self.caller_ip = caller.ip().octets();
            self.caller_port = caller.port();
        }
    }

    /// Resets the idle time of the binding.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed = millis(now);
    }

    /// Confirms the binding by a reply packet of its target; it is no longer provisional.
    pub fn confirm_by_reply(&mut self, now: Duration) {
        self.confirm(now);
        self.state_flags = (self.state_flags | REPLY_SEEN) & !PROVISIONAL;
    }

    /// Returns whether a reply packet of another target supersedes this binding. A SYN-ACK
    /// never does, as a target may send it in reply to a delayed SYN; nor does a reset.
    pub fn is_superseded_by(&self, reply: TcpFlags) -> bool {
        let tentative = self.role == Role::Learned || self.provisional();
        tentative && !reply.syn && !reply.rst
    }

    /// Marks the binding as only learned: its flow may have ended unnoticed.
    pub fn mark_provisional(&mut self) {
        self.state_flags |= PROVISIONAL;
    }

    /// Returns whether the binding was learned and no reply packet has confirmed it since.
    pub fn provisional(&self) -> bool {
        self.state_flags & PROVISIONAL != 0
    }

    /// Records that the target has replied.
    pub fn mark_reply_seen(&mut self) {
        self.state_flags |= REPLY_SEEN;
    }

    /// Records the sequence numbers of a reply packet of the target.
    pub fn set_reply_sequence(&mut self, reply: &Segment) {
        let len = u32::from(reply.payload_len) + u32::from(reply.flags.syn || reply.flags.fin);
        self.reply_sequence = reply.sequence.wrapping_add(len);
        self.state_flags |= SEQUENCE_KNOWN;
    }

    /// Returns whether a reset has a sequence number that the target may have reached in this flow.
    ///
    /// A target without such a connection takes the number from the caller's packet, where it is
    /// that of the target that the caller is connected to.
    pub fn is_own_reset(&self, sequence: u32) -> bool {
        let distance = sequence.wrapping_sub(self.reply_sequence) as i32;
        self.state_flags & SEQUENCE_KNOWN != 0 && distance.unsigned_abs() <= MAX_RESET_DISTANCE
    }

    /// Marks the flow as closing.
    pub fn mark_closing(&mut self) {
        self.state_flags |= CLOSING;
    }

    /// Sets whether the replica holder has the record.
    pub fn set_replicated(&mut self, replicated: bool) {
        self.state_flags =
            if replicated { self.state_flags | REPLICATED } else { self.state_flags & !REPLICATED };
    }

    /// Returns whether the target has replied.
    pub fn reply_seen(&self) -> bool {
        self.state_flags & REPLY_SEEN != 0
    }

    /// Returns whether the flow has begun to close.
    pub fn closing(&self) -> bool {
        self.state_flags & CLOSING != 0
    }

    /// Returns whether the replica holder has the record.
    pub fn replicated(&self) -> bool {
        self.state_flags & REPLICATED != 0
    }

    /// Returns the time since the flow was opened or first seen, or the learned binding was
    /// last refreshed.
    pub fn age(&self, now: Duration) -> Duration {
        elapsed(self.opened, now)
    }

    /// Returns the time since the binding was last confirmed.
    pub fn idle_time(&self, now: Duration) -> Duration {
        elapsed(self.confirmed, now)
    }

    /// Returns whether the next packet of a learned flow should pass through the owner.
    pub fn needs_refresh(&self, now: Duration) -> bool {
        self.role == Role::Learned && self.age(now) >= REFRESH_INTERVAL
    }

    /// Records that a packet of the flow was passed to the owner at `now`.
    pub fn mark_refreshed(&mut self, now: Duration) {
        self.opened = millis(now);
    }

    fn expired(&self, now: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.closing() {
            CLOSING_TIMEOUT
        } else if !self.reply_seen() {
            HALF_OPEN_TIMEOUT
        } else if self.role == Role::Learned || self.provisional() {
            REFRESH_INTERVAL * 2
        } else {
            idle_timeout
        };
        self.idle_time(now) > limit
    }
}

/// Returns a time in milliseconds. It wraps after 49 days; only differences shorter than that
/// are used.
fn millis(now: Duration) -> u32 {
    now.as_millis() as u32
}

fn elapsed(then: u32, now: Duration) -> Duration {
    Duration::from_millis(u64::from(millis(now).wrapping_sub(then)))
}

/// A bounded table of bindings, divided into shards.
#[derive(Debug, Clone)]
pub struct FlowTable {
    shards: Vec<HashMap<FlowId, Binding>>,
    shard_capacity: usize,
    next_sweep: usize,
}

impl FlowTable {
    /// Creates a table for at most `capacity` flows, rounded up to a multiple of the number of
    /// shards.
    pub fn new(capacity: usize) -> Self {
        Self {
            shards: vec![HashMap::default(); SHARDS],
            shard_capacity: capacity.div_ceil(SHARDS),
            next_sweep: 0,
        }
    }

    /// Returns the number of bindings.
    pub fn len(&self) -> usize {
        self.shards.iter().map(HashMap::len).sum()
    }

    /// Returns whether the table holds no binding.
    pub fn is_empty(&self) -> bool {
        self.shards.iter().all(HashMap::is_empty)
    }

    /// Returns the binding of a flow.
    pub fn get(&self, flow: FlowId) -> Option<&Binding> {
        self.shards[shard(flow)].get(&flow)
    }

    /// Returns whether the table holds a flow.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.get(flow).is_some()
    }

    /// Returns the binding of a flow for modification.
    pub fn get_mut(&mut self, flow: FlowId) -> Option<&mut Binding> {
        self.shards[shard(flow)].get_mut(&flow)
    }

    /// Adds or replaces a binding. Returns false if the flow's shard is full; the record of
    /// an owner or replica holder may evict a learned binding.
    pub fn insert(&mut self, flow: FlowId, binding: Binding) -> bool {
        let capacity = self.shard_capacity;
        let shard = &mut self.shards[shard(flow)];
        if shard.len() >= capacity && !shard.contains_key(&flow) && !make_room(shard, binding.role)
        {
            return false;
        }
        shard.insert(flow, binding);
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<Binding> {
        self.shards[shard(flow)].remove(&flow)
    }

    /// Expires bindings in the next shard and calls `on_expired` for each; `idle_timeout`
    /// returns the timeout of a target.
    pub fn sweep(
        &mut self,
        now: Duration,
        idle_timeout: impl Fn(TargetId) -> Duration,
        mut on_expired: impl FnMut(FlowId, &Binding),
    ) {
        let shard = &mut self.shards[self.next_sweep];
        self.next_sweep = (self.next_sweep + 1) % SHARDS;
        shard.retain(|&flow, binding| {
            let keep = !binding.expired(now, idle_timeout(binding.target));
            if !keep {
                on_expired(flow, binding);
            }
            keep
        });
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> usize {
        SHARDS
    }

    /// Returns the flows of a shard in ascending order.
    pub fn sorted_shard(&self, shard: usize) -> Vec<FlowId> {
        let mut flows: Vec<_> = self.shards[shard].keys().copied().collect();
        flows.sort_unstable();
        flows
    }

    /// Returns the estimated memory use of the shards in bytes.
    pub fn bytes(&self) -> usize {
        // The standard library's table has one control byte for each entry.
        let entry_size = size_of::<(FlowId, Binding)>() + 1;
        self.shards.iter().map(|shard| shard.capacity() * 8 / 7 * entry_size).sum()
    }

    /// Returns all bindings in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &Binding)> {
        self.shards.iter().flatten().map(|(&flow, binding)| (flow, binding))
    }
}

fn shard(flow: FlowId) -> usize {
    // The low bits select the owner, so the shard is taken from the high ones.
    (flow >> 58) as usize % SHARDS
}

/// Evicts a learned binding to make room for a record of another role: a learned binding is
/// restored by the next reply packet.
fn make_room(shard: &mut HashMap<FlowId, Binding>, role: Role) -> bool {
    if role == Role::Learned {
        return false;
    }
    let learned = shard.iter().find(|(_, binding)| binding.role == Role::Learned);
    let Some((&flow, _)) = learned else { return false };
    shard.remove(&flow).is_some()
}
