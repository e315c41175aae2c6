//! Records in the hands of their owners and replica holders, through all changes of rank.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Binding, Message, Placement, Policy, Record, Role, TargetState};
use crate::budget::Class;
use crate::ids::{FlowId, InstanceId, TargetId};
use crate::instance::Action;
use crate::link::Outbox;
use crate::packet::keepalive_probe;
use crate::peer::Body;

/// Shards of the flow table that are looked through in one tick after a change of ranks.
const SHARDS_PER_TICK: usize = 8;
/// Time between two repeats of what this instance has settled.
const SETTLE_EVERY: Duration = Duration::from_secs(5);

/// Work that a change of ranks, epochs or targets leaves to later ticks.
#[derive(Debug, Clone, Default)]
pub(super) struct Review {
    /// Next shard to look through; none if all were seen since the last change.
    next_shard: Option<usize>,
    next_settle: Duration,
}

impl Review {
    /// Begins anew: every record has to be looked at again.
    pub(super) fn restart(&mut self) {
        self.next_shard = Some(0);
    }

    fn done(&self) -> bool {
        self.next_shard.is_none()
    }
}

impl Placement {
    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Records(records) => {
                for record in records {
                    self.take_record(now, from, record);
                }
            }
            Message::Ended(flows) => {
                for flow in flows {
                    self.take_end(flow);
                }
            }
            Message::Lookup(flows) => self.answer_lookup(from, flows, out),
            Message::Settled(settled) => {
                for (service, epoch) in settled {
                    self.epochs.settle(service, epoch, from);
                }
            }
        }
    }

    /// Tells whether everything that others need of this instance's records was sent.
    pub fn handed_over(&self) -> bool {
        self.review.done() && self.replicator.is_empty()
    }

    /// Returns the number of records that wait to be sent to other instances.
    pub fn replicas_waiting(&self) -> usize {
        self.replicator.waiting()
    }

    /// Sends and settles what is due.
    pub(super) fn keep_records(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let me = self.me;
        let peers: Vec<_> = self.live.iter().copied().filter(|&peer| peer != me).collect();
        self.lookups.ask(now, &peers, out);
        for flow in self.replicator.grown(now) {
            if self.flows.get(flow).is_some_and(Binding::provisional) {
                self.replicator.learned(now, flow);
            } else {
                self.replicate(flow);
            }
        }
        self.review_shards(now, out);
        let class = if self.review.done() { Class::Replicas } else { Class::Bulk };
        self.replicator.flush(now, class, out);
        self.settle_epochs(now, &peers, out);
    }

    /// Queues the record of an owned flow for its replica holder, if it needs one.
    pub(super) fn replicate(&mut self, flow: FlowId) {
        let Some(holder) = self.replica_holder(flow) else { return };
        let Some(binding) = self.flows.get_mut(flow) else { return };
        let unfit = binding.closing() || binding.provisional();
        if binding.role != Role::Owner || binding.replicated() || unfit {
            return;
        }
        let target = binding.target;
        let service = self.services.target(target).map(|(service, _)| service.id);
        let exception = service.is_none_or(|s| self.epochs.is_exception(s, flow, target));
        if exception || self.policy == Policy::Owner {
            binding.set_replicated(true);
            self.replicator.tell(holder, flow, target);
        }
    }

    /// Notes the end of an owned flow with whoever holds its replica.
    pub(super) fn end_replica(&mut self, flow: FlowId) {
        let holder = self.replica_holder(flow);
        if let (Some(binding), Some(holder)) = (self.flows.get_mut(flow), holder)
            && binding.role == Role::Owner
            && binding.replicated()
        {
            binding.set_replicated(false);
            self.replicator.tell_ended(holder, flow);
        }
    }

    fn replica_holder(&self, flow: FlowId) -> Option<InstanceId> {
        let mut ranked = (0..2).filter_map(|rank| self.ranks.of(flow, rank));
        ranked.find(|&instance| instance != self.me)
    }

    fn take_record(&mut self, now: Duration, from: InstanceId, record: Record) {
        self.lookups.found(record.flow);
        let role = self.role_by_rank(record.flow);
        let known = self.flows.get(record.flow).copied();
        if let Some(known) = known
            && known.role == Role::Owner
            && known.target != record.target
            && !known.closing()
            && !known.provisional()
        {
            // The owner has seen the flow itself: what others hold is older.
            return;
        }
        let caller = known.and_then(|known| known.caller());
        let mut binding = Binding::new(now, record.target, role, caller);
        binding.mark_answered();
        // A former owner that hands over keeps the record as its replica.
        binding.set_replicated(self.replica_holder(record.flow) == Some(from));
        if self.flows.insert(record.flow, binding) && role == Role::Owner {
            self.replicate(record.flow);
        }
        self.count_found(record.flow, record.target);
    }

    fn take_end(&mut self, flow: FlowId) {
        if self.flows.get(flow).is_some_and(|binding| binding.role == Role::Replica) {
            self.flows.remove(flow);
        }
    }

    fn answer_lookup(&mut self, to: InstanceId, flows: Vec<FlowId>, out: &mut Outbox<'_>) {
        let known = flows.into_iter().filter_map(|flow| {
            let binding = self.flows.get(flow)?;
            Some(Record { flow, target: binding.target })
        });
        let records: Vec<_> = known.collect();
        if !records.is_empty() {
            out.send(to, Class::Replicas, &Body::Flows(Message::Records(records)));
        }
    }

    pub(super) fn role_by_rank(&self, flow: FlowId) -> Role {
        match (self.ranks.of(flow, 0), self.ranks.of(flow, 1)) {
            (Some(owner), _) if owner == self.me => Role::Owner,
            (_, Some(holder)) if holder == self.me => Role::Replica,
            _ => Role::Learned,
        }
    }

    /// Counts a flow that another instance placed, if this one places the service now.
    pub(super) fn count_found(&mut self, flow: FlowId, target: TargetId) {
        let Some((service, _)) = self.services.target(target) else { return };
        if self.places(service.id) {
            self.loads.found(flow, target);
        }
    }

    /// Looks through some shards: gives each record the role that its ranks ask for, hands
    /// over what others own now, and counts what this instance places now.
    fn review_shards(&mut self, now: Duration, out: &mut Outbox<'_>) {
        for _ in 0..SHARDS_PER_TICK {
            let Some(shard) = self.review.next_shard else { return };
            for flow in self.flows.sorted_shard(shard) {
                self.review_flow(now, flow, out);
            }
            let next = shard + 1;
            self.review.next_shard = (next < self.flows.shards()).then_some(next);
        }
    }

    fn review_flow(&mut self, now: Duration, flow: FlowId, out: &mut Outbox<'_>) {
        let role = self.role_by_rank(flow);
        let Some(binding) = self.flows.get_mut(flow) else { return };
        let (before, target) = (binding.role, binding.target);
        let caller = binding.caller();
        let unsent = !binding.replicated();
        if before == Role::Learned && binding.closing() {
            return;
        }
        binding.role = role;
        if role != before {
            binding.set_replicated(false);
        }
        if role != before && before == Role::Learned {
            binding.mark_provisional();
            self.replicator.learned(now, flow);
        }
        if before == Role::Owner && role != Role::Owner {
            self.hand_over(flow, target, unsent);
        }
        if role == Role::Owner {
            self.review_owned(flow, before);
        }
        self.count_found(flow, target);
        if self.views.get(target).state == TargetState::Dead
            && let Some(caller) = caller
        {
            self.probe_caller(target, caller, out);
        }
    }

    /// Replicates again what an owner holds if its replica holder has changed.
    fn review_owned(&mut self, flow: FlowId, before: Role) {
        let holder = self.replica_holder(flow);
        let held_before = self.previous.as_ref().and_then(|previous| previous.ranks.of(flow, 1));
        let holder_changed = before != Role::Owner || holder != held_before;
        if holder_changed && let Some(binding) = self.flows.get_mut(flow) {
            binding.set_replicated(false);
        }
        self.replicate(flow);
    }

    /// Sends a record to its new owner, unless that one holds the replica already.
    fn hand_over(&mut self, flow: FlowId, target: TargetId, unsent: bool) {
        let Some(owner) = self.ranks.of(flow, 0) else { return };
        let held_before = self.previous.as_ref().and_then(|previous| previous.ranks.of(flow, 1));
        if unsent || held_before != Some(owner) {
            self.replicator.tell(owner, flow, target);
        }
    }

    /// Makes a caller whose target is gone send a packet, which is then answered by a
    /// reset: a caller that only listens would wait for ever.
    fn probe_caller(&self, target: TargetId, caller: SocketAddrV4, out: &mut Outbox<'_>) {
        let Some((service, _)) = self.services.target(target) else { return };
        if let Some(probe) = keepalive_probe(service.address, caller) {
            out.act(Action::Fabric(probe));
        }
    }

    /// Tells all that this instance has replicated the exceptions of the newest epochs, and
    /// retires the epochs that all have left behind.
    fn settle_epochs(&mut self, now: Duration, peers: &[InstanceId], out: &mut Outbox<'_>) {
        let ready = self.review.done() && self.replicator.is_empty();
        if !ready || now < self.review.next_settle {
            return;
        }
        self.review.next_settle = now + SETTLE_EVERY;
        let unsettled = self.epochs.unsettled(now);
        if unsettled.is_empty() {
            return;
        }
        for &(service, epoch) in &unsettled {
            self.epochs.settle(service, epoch, self.me);
        }
        let body = Body::Flows(Message::Settled(unsettled));
        for &peer in peers {
            out.send(peer, Class::Epochs, &body);
        }
        self.epochs.retire(self.ranks.members());
    }
}
