//! Placement as one instance takes part in it: what it knows, and where a packet is sent.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::lookup::Lookups;
use super::records::Review;
use super::replication::Replicator;
use super::route::MAX_HOPS;
use super::{
    DropReason, Epochs, FlowTable, LoadTable, Ranks, Role, Route, TargetState, TargetView,
    TargetViews, Verdict,
};
use crate::flow::Classified;
use crate::ids::{FlowId, InstanceId, ServiceId, TargetId, Version};
use crate::link::Outbox;
use crate::packet::Segment;
use crate::services::{Service, Services};

/// Time in which a change of membership reaches every live instance.
const SPREAD: Duration = Duration::from_secs(5);

/// Which records are replicated, and who may forward a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Only exceptions that outlive short flows are replicated, and every instance learns
    /// bindings from answers.
    #[default]
    Epochs,
    /// Every record is replicated, and every packet goes through the flow's owner. A
    /// baseline to measure against.
    Owner,
}

/// What placement needs to know of its instance.
#[derive(Debug, Clone)]
pub struct PlacementConfig {
    /// Number of this instance.
    pub me: InstanceId,
    /// Flows that the table holds at most.
    pub flow_capacity: usize,
    /// Which records are replicated, and who may forward a packet.
    pub policy: Policy,
}

/// The ranks before the last change of membership, while the change spreads.
#[derive(Debug, Clone)]
pub(super) struct Previous {
    pub(super) ranks: Ranks,
    until: Duration,
}

/// Placement as one instance takes part in it.
#[derive(Debug, Clone)]
pub struct Placement {
    pub(super) me: InstanceId,
    pub(super) policy: Policy,
    pub(super) services: Arc<Services>,
    pub(super) epochs: Epochs,
    pub(super) ranks: Ranks,
    pub(super) previous: Option<Previous>,
    /// Live instances, ranked or not: a leaving one still answers for its flows.
    pub(super) live: Vec<InstanceId>,
    pub(super) views: TargetViews,
    pub(super) loads: LoadTable,
    pub(super) flows: FlowTable,
    pub(super) replicator: Replicator,
    pub(super) lookups: Lookups,
    pub(super) review: Review,
    pub(super) stale: bool,
}

/// A packet of a flow, towards its service or back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Packet<'a> {
    pub(super) flow: FlowId,
    pub(super) caller: SocketAddrV4,
    pub(super) service: &'a Service,
    pub(super) segment: &'a Segment,
    pub(super) route: Route,
}

impl Placement {
    /// Makes a placement that knows no service and no other instance.
    pub fn new(cfg: &PlacementConfig) -> Self {
        Self {
            me: cfg.me,
            policy: cfg.policy,
            services: Arc::default(),
            epochs: Epochs::default(),
            ranks: Ranks::new([cfg.me]),
            previous: None,
            live: vec![cfg.me],
            views: TargetViews::default(),
            loads: LoadTable::default(),
            flows: FlowTable::new(cfg.flow_capacity),
            replicator: Replicator::default(),
            lookups: Lookups::default(),
            review: Review::default(),
            stale: false,
        }
    }

    /// Takes the services that are in force. Targets that they lack keep their open flows.
    pub fn set_services(&mut self, now: Duration, version: Version, services: Arc<Services>) {
        self.services = Arc::new(services.with_former(&self.services));
        for service in self.services.list() {
            if self.epochs.adopt(now, version, service) {
                self.review.restart();
            }
        }
    }

    /// Returns the services that are in force, with the targets that were removed.
    pub fn services(&self) -> &Arc<Services> {
        &self.services
    }

    /// Takes the instances that may own flows, and all live ones.
    pub fn set_members(
        &mut self,
        now: Duration,
        owners: impl IntoIterator<Item = InstanceId>,
        live: impl IntoIterator<Item = InstanceId>,
    ) {
        self.live = live.into_iter().collect();
        self.live.sort_unstable();
        self.replicator.keep(&self.live);
        let ranks = Ranks::new(owners);
        if ranks.members() == self.ranks.members() {
            return;
        }
        let ranks = std::mem::replace(&mut self.ranks, ranks);
        self.previous = Some(Previous { ranks, until: now + SPREAD });
        self.review.restart();
    }

    /// Notes whether this instance may have missed changes.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale;
    }

    /// Takes the state of a target; answers whether it was news.
    pub fn set_target(&mut self, target: TargetId, view: TargetView) -> bool {
        let news = self.views.adopt(target, view);
        if news && view.state == TargetState::Dead {
            self.review.restart();
        }
        news
    }

    /// Returns what is known of the targets' states.
    pub fn targets(&self) -> &TargetViews {
        &self.views
    }

    /// Returns the flows that this instance knows.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Returns the loads that this instance counts as a placer.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Returns the open epochs.
    pub fn epochs(&self) -> &Epochs {
        &self.epochs
    }

    /// Ages records and loads and sends what is due; to be called about ten times a second.
    pub fn tick(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if self.previous.as_ref().is_some_and(|previous| previous.until <= now) {
            self.previous = None;
        }
        self.keep_records(now, out);
        let services = &self.services;
        let idle = |target| services.target(target).map_or(SPREAD, |(s, _)| s.idle_timeout);
        let mut ended = Vec::new();
        let mut quiet = Vec::new();
        self.flows.sweep(now, idle, |flow, binding| {
            // What was only learned may be quiet; it counts until its idle timeout.
            let learned = binding.role == Role::Learned && !binding.closing();
            if learned { quiet.push((flow, binding.target)) } else { ended.push(flow) }
        });
        ended.sort_unstable();
        quiet.sort_unstable();
        for &flow in &ended {
            self.loads.closed(now, flow);
        }
        for (flow, target) in quiet {
            self.loads.quiet(now + idle(target), flow);
        }
        let flows = &self.flows;
        self.loads.age(now, |flow| flows.contains(flow));
    }

    /// Tells whether this instance places the new flows of a service.
    pub fn places(&self, service: ServiceId) -> bool {
        self.ranks.placer(service).is_none_or(|placer| placer == self.me)
    }

    /// Returns the instance that places the new flows of a service.
    pub fn placer(&self, service: ServiceId) -> Option<InstanceId> {
        self.ranks.placer(service)
    }

    /// Returns the instance that owns a flow.
    pub fn owner(&self, flow: FlowId) -> Option<InstanceId> {
        self.ranks.of(flow, 0)
    }

    /// Decides about a packet from the fabric or from another instance.
    pub fn decide(
        &mut self,
        now: Duration,
        class: &Classified<'_>,
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
        match class.from {
            None => self.towards_target(now, packet),
            Some(target) => self.towards_caller(now, packet, target.id),
        }
    }
}
