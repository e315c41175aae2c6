//! The placement state of one instance, and the decision where a packet is sent.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::lookup::Lookups;
use super::openings::Openings;
use super::records::Rescan;
use super::replication::Replicator;
use super::route::MAX_HOPS;
use super::{
    DropReason, Epochs, FlowTable, LoadTable, Ranks, Role, Route, Stage, TargetState, TargetView,
    TargetViews, Verdict,
};
use crate::flow::ClassifiedPacket;
use crate::ids::{FlowId, InstanceId, ServiceId, TargetId, Version};
use crate::link::Outbox;
use crate::packet::Segment;
use crate::services::{Service, Services};

/// Time in which a membership change reaches every live instance.
const PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Which flow records are replicated, and which instances may forward a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Replicates only the records of epoch exceptions, once the flows are no longer short-lived.
    /// Every instance learns bindings from reply packets and forwards by them.
    #[default]
    Epochs,
    /// Replicates every record and passes every packet through the flow's owner; a baseline
    /// for measurements.
    Owner,
}

/// Configuration of [`Placement`].
#[derive(Debug, Clone)]
pub struct PlacementConfig {
    /// ID of this instance.
    pub instance_id: InstanceId,
    /// Maximum number of flows in the flow table.
    pub flow_capacity: usize,
    /// Which flow records are replicated, and which instances may forward a packet.
    pub policy: Policy,
}

/// The ranks before the last membership change, kept while the change propagates.
#[derive(Debug, Clone)]
pub(super) struct PreviousRanks {
    pub(super) ranks: Ranks,
    expires_at: Duration,
}

/// The placement state of one instance.
#[derive(Debug, Clone)]
pub struct Placement {
    pub(super) instance_id: InstanceId,
    pub(super) policy: Policy,
    pub(super) services: Arc<Services>,
    pub(super) epochs: Epochs,
    pub(super) ranks: Ranks,
    pub(super) previous: Option<PreviousRanks>,
    /// Live instances, whether ranked or not: a leaving one still serves its flows.
    pub(super) live: Vec<InstanceId>,
    pub(super) views: TargetViews,
    pub(super) loads: LoadTable,
    pub(super) flows: FlowTable,
    pub(super) replicator: Replicator,
    pub(super) lookups: Lookups,
    openings: Openings,
    pub(super) rescan: Rescan,
    /// Whether this instance may have missed changes; it then drops opening packets.
    pub(super) stale: bool,
}

/// A packet of a flow, in either direction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Packet<'a> {
    pub(super) flow: FlowId,
    pub(super) caller: SocketAddrV4,
    pub(super) service: &'a Service,
    pub(super) segment: &'a Segment,
    pub(super) route: Route,
}

impl Placement {
    /// Creates a placement without services and other instances.
    pub fn new(cfg: &PlacementConfig) -> Self {
        Self {
            instance_id: cfg.instance_id,
            policy: cfg.policy,
            services: Arc::default(),
            epochs: Epochs::default(),
            ranks: Ranks::new([cfg.instance_id]),
            previous: None,
            live: vec![cfg.instance_id],
            views: TargetViews::default(),
            loads: LoadTable::default(),
            flows: FlowTable::new(cfg.flow_capacity),
            replicator: Replicator::default(),
            lookups: Lookups::default(),
            openings: Openings::default(),
            rescan: Rescan::default(),
            stale: false,
        }
    }

    /// Applies a new set of services. Removed targets keep their open flows.
    pub fn set_services(&mut self, now: Duration, version: Version, services: Arc<Services>) {
        self.services = Arc::new(services.with_removed(&self.services));
        for service in self.services.list() {
            if self.epochs.adopt(now, version, service) {
                self.rescan.restart();
            }
        }
    }

    /// Returns the current services, including their removed targets.
    pub fn services(&self) -> &Arc<Services> {
        &self.services
    }

    /// Applies a membership change: the instances that may own flows, and all live ones.
    pub fn set_members(
        &mut self,
        now: Duration,
        owners: impl IntoIterator<Item = InstanceId>,
        live: impl IntoIterator<Item = InstanceId>,
    ) {
        self.live = live.into_iter().collect();
        self.live.sort_unstable();
        self.replicator.retain_instances(&self.live);
        let ranks = Ranks::new(owners);
        let unchanged = ranks.members() == self.ranks.members();
        if !unchanged || !self.openings.has_started() {
            self.openings.restart(now);
        }
        if unchanged {
            return;
        }
        let ranks = std::mem::replace(&mut self.ranks, ranks);
        self.previous = Some(PreviousRanks { ranks, expires_at: now + PROPAGATION_TIME });
        self.rescan.restart();
    }

    /// Sets whether this instance may have missed changes; opening packets are dropped meanwhile.
    pub fn set_stale(&mut self, now: Duration, stale: bool) {
        self.stale = stale;
        self.openings.restart(now);
    }

    /// Applies the state of a target. Returns whether it replaced the known state.
    pub fn set_target_state(&mut self, target: TargetId, view: TargetView) -> bool {
        let was_dead = self.views.get(target).state == TargetState::Dead;
        let changed = self.views.adopt(target, view);
        if changed && was_dead && view.state != TargetState::Dead {
            self.rescan.probe_callers_of(target);
        }
        changed
    }

    /// Returns the known states of the targets.
    pub fn targets(&self) -> &TargetViews {
        &self.views
    }

    /// Returns the flow table of this instance.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Returns the target loads that this instance counts as a placer.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Returns the open epochs.
    pub fn epochs(&self) -> &Epochs {
        &self.epochs
    }

    /// Expires records and loads and sends the messages that are due. To be called about
    /// ten times a second.
    pub fn tick(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if self.previous.as_ref().is_some_and(|previous| previous.expires_at <= now) {
            self.previous = None;
        }
        self.tick_records(now, out);
        self.openings.expire(now);
        let services = &self.services;
        let idle_timeout =
            |target| services.target(target).map_or(PROPAGATION_TIME, |(s, _)| s.idle_timeout);
        let mut ended = Vec::new();
        let mut idle = Vec::new();
        self.flows.sweep(now, idle_timeout, |flow, binding| {
            // A learned binding expires earlier than its flow: the flow counts as open until
            // the idle timeout of its target.
            let learned = binding.role == Role::Learned && !binding.closing();
            if learned { idle.push((flow, binding.target)) } else { ended.push(flow) }
        });
        ended.sort_unstable();
        idle.sort_unstable();
        for &flow in &ended {
            self.loads.closed(now, flow);
        }
        for (flow, target) in idle {
            self.loads.mark_idle(now + idle_timeout(target), flow);
        }
        let flows = &self.flows;
        self.loads.expire(now, |flow| flows.contains(flow));
    }

    /// Returns whether this instance is the placer of a service.
    pub fn is_placer(&self, service: ServiceId) -> bool {
        self.ranks.placer(service).is_none_or(|placer| placer == self.instance_id)
    }

    /// Returns the placer of a service; none if no instance is ranked.
    pub fn placer(&self, service: ServiceId) -> Option<InstanceId> {
        self.ranks.placer(service)
    }

    /// Returns the owner of a flow; none if no instance is ranked.
    pub fn owner(&self, flow: FlowId) -> Option<InstanceId> {
        self.ranks.at_rank(flow, 0)
    }

    /// Decides what to do with a packet from the fabric or from another instance.
    pub fn decide(
        &mut self,
        now: Duration,
        class: &ClassifiedPacket<'_>,
        segment: &Segment,
        route: Route,
    ) -> Verdict {
        if route.hops > MAX_HOPS {
            return Verdict::Drop(DropReason::HopLimit);
        }
        let packet = Packet {
            flow: class.flow,
            caller: class.caller,
            service: class.service,
            segment,
            route,
        };
        match class.from_target {
            None if segment.flags.opens_flow() => self.decide_opening(now, packet),
            None => self.decide_forward(now, packet),
            Some(target) => self.decide_reply(now, packet, target.id),
        }
    }

    /// Returns whether the flow of an opening packet may be open: it must not be refused then.
    pub fn may_be_open(&self, now: Duration, flow: FlowId, segment: &Segment) -> bool {
        self.stale
            || self.flows.contains(flow)
            || self.openings.may_have_passed(now, flow, segment.sequence)
    }

    fn decide_opening(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let verdict = self.decide_forward(now, packet);
        let passed = match verdict {
            Verdict::ToTarget(_) => true,
            Verdict::ToInstance(_, route) => route.stage != Stage::Placer,
            _ => false,
        };
        if passed {
            self.openings.record(now, packet.flow, packet.segment.sequence);
        }
        match verdict {
            Verdict::Refuse(..) if self.may_be_open(now, packet.flow, packet.segment) => {
                Verdict::Drop(DropReason::MayBeOpen)
            }
            verdict => verdict,
        }
    }
}
