//! The flows that an instance knows, bounded and aged out shard by shard.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::{FlowId, TargetId};
use crate::packet::Flags;

/// Shards of the table; one is swept at a time, so that a sweep never stalls packets.
const SHARDS: usize = 64;
/// Time for which a learned binding is used before the owner is told again.
const TOUCH_EVERY: Duration = Duration::from_secs(60);
/// Time for which a record without an answer is kept.
const HALF_OPEN: Duration = Duration::from_secs(10);
/// Time for which a record is kept after the flow's end.
const CLOSING: Duration = Duration::from_secs(15);

/// How an instance came to know a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Seen in an answer that passed by.
    Learned,
    /// Told by the owner, as its replica.
    Replica,
    /// Decided here, as the flow's owner.
    Owner,
}

/// The target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// Target that the flow is bound to.
    pub target: TargetId,
    /// Sequence number with which the caller opened the flow; 0 if not known.
    pub opening: u32,
    /// When the flow was opened or first seen, in milliseconds.
    opened: u32,
    /// When the binding was last confirmed, in milliseconds.
    confirmed: u32,
    caller_ip: [u8; 4],
    caller_port: u16,
    /// How the binding is known.
    pub role: Role,
    marks: u8,
}

/// Mark of a flow whose target has answered.
const ANSWERED: u8 = 1;
/// Mark of a flow that has begun to end.
const CLOSING_MARK: u8 = 2;
/// Mark of a record that the replica holder has.
const REPLICATED: u8 = 4;
/// Mark of a record that was learned, and whose flow may have ended unseen.
const PROVISIONAL: u8 = 8;

impl Binding {
    /// Makes a binding as of now.
    pub fn new(now: Duration, target: TargetId, role: Role, caller: Option<SocketAddrV4>) -> Self {
        Self {
            target,
            opening: 0,
            opened: millis(now),
            confirmed: millis(now),
            caller_ip: caller.map_or([0; 4], |caller| caller.ip().octets()),
            caller_port: caller.map_or(0, |caller| caller.port()),
            role,
            marks: if role == Role::Owner { 0 } else { ANSWERED },
        }
    }

    /// Sets the sequence number with which the caller opened the flow.
    pub fn opened_with(mut self, opening: u32) -> Self {
        self.opening = opening;
        self
    }

    /// Returns the caller, if a packet of the flow has shown it.
    pub fn caller(&self) -> Option<SocketAddrV4> {
        let ip = Ipv4Addr::from(self.caller_ip);
        (self.caller_port != 0).then(|| SocketAddrV4::new(ip, self.caller_port))
    }

    /// Notes the caller, if it was not known.
    pub fn show_caller(&mut self, caller: SocketAddrV4) {
        if self.caller_port == 0 {
            self.caller_ip = caller.ip().octets();
            self.caller_port = caller.port();
        }
    }

    /// Notes that the binding was confirmed now.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed = millis(now);
    }

    /// Notes that an answer of the target has proved the binding now.
    pub fn prove(&mut self, now: Duration) {
        self.confirm(now);
        self.marks = (self.marks | ANSWERED) & !PROVISIONAL;
    }

    /// Tells whether an answer of another target is believed rather than this binding: a
    /// first answer never is, as a target may give it to a packet that came too late.
    pub fn yields_to(&self, answer: Flags) -> bool {
        let weak = self.role == Role::Learned || self.provisional();
        weak && !answer.syn && !answer.rst
    }

    /// Notes that the binding was only learned: the flow may have ended unseen.
    pub fn mark_provisional(&mut self) {
        self.marks |= PROVISIONAL;
    }

    /// Tells whether no answer has proved the binding since it was learned.
    pub fn provisional(&self) -> bool {
        self.marks & PROVISIONAL != 0
    }

    /// Notes that the target has answered.
    pub fn mark_answered(&mut self) {
        self.marks |= ANSWERED;
    }

    /// Notes that the flow has begun to end.
    pub fn mark_closing(&mut self) {
        self.marks |= CLOSING_MARK;
    }

    /// Notes whether the replica holder has the record.
    pub fn set_replicated(&mut self, replicated: bool) {
        self.marks = if replicated { self.marks | REPLICATED } else { self.marks & !REPLICATED };
    }

    /// Tells whether the target has answered.
    pub fn answered(&self) -> bool {
        self.marks & ANSWERED != 0
    }

    /// Tells whether the flow has begun to end.
    pub fn closing(&self) -> bool {
        self.marks & CLOSING_MARK != 0
    }

    /// Tells whether the replica holder has the record.
    pub fn replicated(&self) -> bool {
        self.marks & REPLICATED != 0
    }

    /// Returns the time since the flow was opened or first seen.
    pub fn age(&self, now: Duration) -> Duration {
        since(self.opened, now)
    }

    /// Returns the time since the binding was last confirmed.
    pub fn unconfirmed(&self, now: Duration) -> Duration {
        since(self.confirmed, now)
    }

    /// Tells whether a learned binding should be shown to the owner again.
    pub fn needs_touch(&self, now: Duration) -> bool {
        self.role == Role::Learned && self.age(now) >= TOUCH_EVERY
    }

    /// Notes that the owner was shown the flow now.
    pub fn touch(&mut self, now: Duration) {
        self.opened = millis(now);
    }

    fn expired(&self, now: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.closing() {
            CLOSING
        } else if !self.answered() {
            HALF_OPEN
        } else if self.role == Role::Learned || self.provisional() {
            TOUCH_EVERY * 2
        } else {
            idle_timeout
        };
        self.unconfirmed(now) > limit
    }
}

/// Milliseconds wrap after 49 days; ages are differences and shorter than that.
fn millis(now: Duration) -> u32 {
    now.as_millis() as u32
}

fn since(then: u32, now: Duration) -> Duration {
    Duration::from_millis(u64::from(millis(now).wrapping_sub(then)))
}

/// A bounded table of bindings.
#[derive(Debug, Clone)]
pub struct FlowTable {
    shards: Vec<HashMap<FlowId, Binding>>,
    shard_capacity: usize,
    next_sweep: usize,
}

impl FlowTable {
    /// Makes a table for so many flows at most.
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

    /// Tells whether no binding is known.
    pub fn is_empty(&self) -> bool {
        self.shards.iter().all(HashMap::is_empty)
    }

    /// Finds the binding of a flow.
    pub fn get(&self, flow: FlowId) -> Option<&Binding> {
        self.shards[shard(flow)].get(&flow)
    }

    /// Tells whether a flow is known.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.get(flow).is_some()
    }

    /// Finds the binding of a flow for a change.
    pub fn get_mut(&mut self, flow: FlowId) -> Option<&mut Binding> {
        self.shards[shard(flow)].get_mut(&flow)
    }

    /// Adds or replaces a binding; a full table takes no new flow and answers false.
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

    /// Forgets a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<Binding> {
        self.shards[shard(flow)].remove(&flow)
    }

    /// Ages out one shard; the idle timeout is that of the binding's target.
    pub fn sweep(
        &mut self,
        now: Duration,
        idle_timeout: impl Fn(TargetId) -> Duration,
        mut gone: impl FnMut(FlowId, &Binding),
    ) {
        let shard = &mut self.shards[self.next_sweep];
        self.next_sweep = (self.next_sweep + 1) % SHARDS;
        shard.retain(|&flow, binding| {
            let keep = !binding.expired(now, idle_timeout(binding.target));
            if !keep {
                gone(flow, binding);
            }
            keep
        });
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> usize {
        SHARDS
    }

    /// Returns the flows of a shard in a fixed order.
    pub fn sorted_shard(&self, shard: usize) -> Vec<FlowId> {
        let mut flows: Vec<_> = self.shards[shard].keys().copied().collect();
        flows.sort_unstable();
        flows
    }

    /// Returns the memory that the bindings take, in bytes.
    pub fn bytes(&self) -> usize {
        // One byte of control for each place, as in the standard library's table.
        let place = size_of::<(FlowId, Binding)>() + 1;
        self.shards.iter().map(|shard| shard.capacity() * 8 / 7 * place).sum()
    }

    /// Returns all bindings, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &Binding)> {
        self.shards.iter().flatten().map(|(&flow, binding)| (flow, binding))
    }
}

fn shard(flow: FlowId) -> usize {
    // The low bits choose the owner, so the shard is taken from the high ones.
    (flow >> 58) as usize % SHARDS
}

/// Records are worth more than learned bindings, which any answer brings back.
fn make_room(shard: &mut HashMap<FlowId, Binding>, role: Role) -> bool {
    if role == Role::Learned {
        return false;
    }
    let learned = shard.iter().find(|(_, binding)| binding.role == Role::Learned);
    let Some((&flow, _)) = learned else { return false };
    shard.remove(&flow).is_some()
}
