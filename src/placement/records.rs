//! Replication, handover and lookup of flow records between owners and replica holders.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Binding, Message, Placement, Policy, Record, Role};
use crate::budget::Class;
use crate::ids::{FlowId, InstanceId, TargetId};
use crate::instance::Action;
use crate::link::Outbox;
use crate::packet::build_keepalive_probe;
use crate::peer::Body;

/// Shards of the flow table that are rescanned in one tick.
const SHARDS_PER_TICK: usize = 8;
/// Interval at which an instance repeats which epochs it has settled.
const SETTLE_INTERVAL: Duration = Duration::from_secs(5);

/// Progress of the rescan of the flow table after a change of ranks, epochs or targets.
#[derive(Debug, Clone, Default)]
pub(super) struct Rescan {
    /// Next shard to scan; none if all were scanned since the last change.
    next_shard: Option<usize>,
    /// Targets that were dead before the scan and may have lost their flows.
    returned: BTreeSet<TargetId>,
    next_settle: Duration,
}

impl Rescan {
    /// Restarts the scan with the first shard.
    pub(super) fn restart(&mut self) {
        self.next_shard = Some(0);
    }

    /// Restarts the scan, to probe the callers of a target that is no longer dead.
    pub(super) fn probe_callers_of(&mut self, target: TargetId) {
        self.returned.insert(target);
        self.restart();
    }

    fn is_done(&self) -> bool {
        self.next_shard.is_none()
    }
}

impl Placement {
    /// Handles a message of another instance.
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
                    self.on_record(now, from, record);
                }
            }
            Message::Ended(flows) => {
                for flow in flows {
                    self.on_flow_ended(flow);
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

    /// Returns whether all records that other instances need were sent.
    pub fn handover_complete(&self) -> bool {
        self.rescan.is_done() && self.replicator.is_empty()
    }

    /// Returns the number of records queued for other instances.
    pub fn replicas_waiting(&self) -> usize {
        self.replicator.queued_records()
    }

    /// Sends the lookups, records and settled epochs that are due.
    pub(super) fn tick_records(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let me = self.instance_id;
        let peers: Vec<_> = self.live.iter().copied().filter(|&peer| peer != me).collect();
        self.lookups.send_queries(now, &peers, out);
        for flow in self.replicator.take_due(now) {
            if self.flows.get(flow).is_some_and(Binding::provisional) {
                self.replicator.schedule_confirmation(now, flow);
            } else {
                self.replicate(flow);
            }
        }
        self.rescan_shards(now, out);
        let class = if self.rescan.is_done() { Class::Replicas } else { Class::Bulk };
        self.replicator.flush(now, class, out);
        self.settle_epochs(now, &peers, out);
    }

    /// Queues the record of an owned flow for its replica holder, if it needs a replica.
    pub(super) fn replicate(&mut self, flow: FlowId) {
        let Some(holder) = self.replica_holder(flow) else { return };
        let Some(binding) = self.flows.get_mut(flow) else { return };
        let not_ready = binding.closing() || binding.provisional();
        if binding.role != Role::Owner || binding.replicated() || not_ready {
            return;
        }
        let target = binding.target;
        let service = self.services.target(target).map(|(service, _)| service.id);
        let exception = service.is_none_or(|s| self.epochs.is_exception(s, flow, target));
        if exception || self.policy == Policy::Owner {
            binding.set_replicated(true);
            self.replicator.enqueue_record(holder, flow, target);
        }
    }

    /// Queues the end of an owned flow for its replica holder.
    pub(super) fn end_replica(&mut self, flow: FlowId) {
        let holder = self.replica_holder(flow);
        if let (Some(binding), Some(holder)) = (self.flows.get_mut(flow), holder)
            && binding.role == Role::Owner
            && binding.replicated()
        {
            binding.set_replicated(false);
            self.replicator.enqueue_end(holder, flow);
        }
    }

    fn replica_holder(&self, flow: FlowId) -> Option<InstanceId> {
        let mut ranked = (0..2).filter_map(|rank| self.ranks.at_rank(flow, rank));
        ranked.find(|&instance| instance != self.instance_id)
    }

    fn on_record(&mut self, now: Duration, from: InstanceId, record: Record) {
        self.lookups.resolve(record.flow);
        let role = self.role_by_rank(record.flow);
        let known = self.flows.get(record.flow).copied();
        if let Some(known) = known
            && known.role == Role::Owner
            && known.target != record.target
            && !known.closing()
            && !known.provisional()
        {
            // The owner has handled packets of the flow itself; the received record is older.
            return;
        }
        let caller = known.and_then(|known| known.caller());
        let mut binding = Binding::new(now, record.target, role, caller);
        binding.mark_reply_seen();
        // A former owner that hands over a record keeps it as the replica.
        binding.set_replicated(self.replica_holder(record.flow) == Some(from));
        if self.flows.insert(record.flow, binding) && role == Role::Owner {
            self.replicate(record.flow);
        }
        self.count_existing(record.flow, record.target);
    }

    fn on_flow_ended(&mut self, flow: FlowId) {
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
        match (self.ranks.at_rank(flow, 0), self.ranks.at_rank(flow, 1)) {
            (Some(owner), _) if owner == self.instance_id => Role::Owner,
            (_, Some(holder)) if holder == self.instance_id => Role::Replica,
            _ => Role::Learned,
        }
    }

    /// Counts a flow that another instance has placed, if this one is the placer now.
    pub(super) fn count_existing(&mut self, flow: FlowId, target: TargetId) {
        let Some((service, _)) = self.services.target(target) else { return };
        if self.is_placer(service.id) {
            self.loads.add_existing(flow, target);
        }
    }

    /// Rescans some shards: sets the role of each record by its ranks, hands over the records
    /// that others own now, and counts the flows of services that this instance now places.
    fn rescan_shards(&mut self, now: Duration, out: &mut Outbox<'_>) {
        for _ in 0..SHARDS_PER_TICK {
            let Some(shard) = self.rescan.next_shard else { return };
            for flow in self.flows.sorted_shard(shard) {
                self.rescan_flow(now, flow, out);
            }
            let next = shard + 1;
            self.rescan.next_shard = (next < self.flows.shards()).then_some(next);
            if self.rescan.is_done() {
                self.rescan.returned.clear();
            }
        }
    }

    fn rescan_flow(&mut self, now: Duration, flow: FlowId, out: &mut Outbox<'_>) {
        let role = self.role_by_rank(flow);
        let Some(binding) = self.flows.get_mut(flow) else { return };
        let (old_role, target) = (binding.role, binding.target);
        let caller = binding.caller();
        let unreplicated = !binding.replicated();
        if old_role == Role::Learned && binding.closing() {
            return;
        }
        binding.role = role;
        if role != old_role {
            binding.set_replicated(false);
        }
        if role != old_role && old_role == Role::Learned {
            binding.mark_provisional();
            self.replicator.schedule_confirmation(now, flow);
        }
        if old_role == Role::Owner && role != Role::Owner {
            self.hand_over(flow, target, unreplicated);
        }
        if role == Role::Owner {
            self.rescan_owned(flow, old_role);
        }
        self.count_existing(flow, target);
        if self.rescan.returned.contains(&target)
            && let Some(caller) = caller
        {
            self.probe_caller(target, caller, out);
        }
    }

    /// Replicates an owned record again if its replica holder has changed.
    fn rescan_owned(&mut self, flow: FlowId, old_role: Role) {
        let holder = self.replica_holder(flow);
        let held_before =
            self.previous.as_ref().and_then(|previous| previous.ranks.at_rank(flow, 1));
        let holder_changed = old_role != Role::Owner || holder != held_before;
        if holder_changed && let Some(binding) = self.flows.get_mut(flow) {
            binding.set_replicated(false);
        }
        self.replicate(flow);
    }

    /// Sends a record to its new owner, unless that instance already holds the replica.
    fn hand_over(&mut self, flow: FlowId, target: TargetId, unreplicated: bool) {
        let Some(owner) = self.ranks.at_rank(flow, 0) else { return };
        let held_before =
            self.previous.as_ref().and_then(|previous| previous.ranks.at_rank(flow, 1));
        if unreplicated || held_before != Some(owner) {
            self.replicator.enqueue_record(owner, flow, target);
        }
    }

    /// Sends a keepalive probe to a caller whose target is back from death. The caller answers it,
    /// and the target resets the flow if it has lost it; a caller that only receives would
    /// otherwise wait forever.
    fn probe_caller(&self, target: TargetId, caller: SocketAddrV4, out: &mut Outbox<'_>) {
        let Some((service, _)) = self.services.target(target) else { return };
        if let Some(probe) = build_keepalive_probe(service.address, caller) {
            out.push(Action::Fabric(probe));
        }
    }

    /// Tells all peers that this instance has replicated the exceptions of the newest epochs,
    /// and retires the epochs older than the newest one that all owners have settled.
    fn settle_epochs(&mut self, now: Duration, peers: &[InstanceId], out: &mut Outbox<'_>) {
        let ready = self.rescan.is_done() && self.replicator.is_empty();
        if !ready || now < self.rescan.next_settle {
            return;
        }
        self.rescan.next_settle = now + SETTLE_INTERVAL;
        let unsettled = self.epochs.unsettled(now);
        if unsettled.is_empty() {
            return;
        }
        for &(service, epoch) in &unsettled {
            self.epochs.settle(service, epoch, self.instance_id);
        }
        let body = Body::Flows(Message::Settled(unsettled));
        for &peer in peers {
            out.send(peer, Class::Epochs, &body);
        }
        self.epochs.retire(self.ranks.members());
    }
}
