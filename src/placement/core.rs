//! The decisions about packets, as one instance takes them.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::route::MAX_HOPS;
use super::{
    Binding, DropReason, FlowTable, LoadTable, Message, Ranks, RefuseReason, Role, Route, Stage,
    TargetState, TargetView, TargetViews, Verdict, choose,
};
use crate::flow::Classified;
use crate::ids::{FlowId, InstanceId, ServiceId, TargetId, Version};
use crate::link::Outbox;
use crate::packet::Segment;
use crate::services::{Service, Services};

/// Time in which a change of membership reaches every live instance.
const SPREAD: Duration = Duration::from_secs(5);
/// Time after which a caller that was refused may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Which records are replicated, and who may forward a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Only exceptions that outlive short flows are replicated, and every instance learns
    /// bindings from answers.
    #[default]
    Epochs,
    /// Every record is replicated at once, and every packet goes through the flow's owner.
    /// A baseline to measure against.
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
#[derive(Debug)]
struct Previous {
    ranks: Ranks,
    until: Duration,
}

/// Placement as one instance takes part in it.
#[derive(Debug)]
pub struct Placement {
    me: InstanceId,
    policy: Policy,
    services: Arc<Services>,
    ranks: Ranks,
    previous: Option<Previous>,
    /// Live instances, ranked or not: a leaving one still answers for its flows.
    live: Vec<InstanceId>,
    views: TargetViews,
    loads: LoadTable,
    flows: FlowTable,
    stale: bool,
}

/// A packet of a flow, towards its service or back.
#[derive(Debug, Clone, Copy)]
struct Packet<'a> {
    flow: FlowId,
    caller: SocketAddrV4,
    service: &'a Service,
    segment: &'a Segment,
    route: Route,
}

impl Placement {
    /// Makes a placement that knows no service and no other instance.
    pub fn new(cfg: &PlacementConfig) -> Self {
        Self {
            me: cfg.me,
            policy: cfg.policy,
            services: Arc::default(),
            ranks: Ranks::new([cfg.me]),
            previous: None,
            live: vec![cfg.me],
            views: TargetViews::default(),
            loads: LoadTable::default(),
            flows: FlowTable::new(cfg.flow_capacity),
            stale: false,
        }
    }

    /// Takes the services that are in force.
    pub fn set_services(&mut self, _now: Duration, _version: Version, services: Arc<Services>) {
        self.services = services;
    }

    /// Returns the services that are in force.
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
        let ranks = Ranks::new(owners);
        if ranks.members() == self.ranks.members() {
            return;
        }
        let ranks = std::mem::replace(&mut self.ranks, ranks);
        self.previous = Some(Previous { ranks, until: now + SPREAD });
    }

    /// Notes whether this instance may have missed changes.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale;
    }

    /// Takes the state of a target; answers whether it was news.
    pub fn set_target(&mut self, target: TargetId, view: TargetView) -> bool {
        self.views.adopt(target, view)
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

    /// Ages records and loads; to be called about ten times a second. Returns the flows
    /// that have ended without a packet that says so.
    pub fn tick(&mut self, now: Duration, _out: &mut Outbox<'_>) -> Vec<FlowId> {
        if self.previous.as_ref().is_some_and(|previous| previous.until <= now) {
            self.previous = None;
        }
        self.loads.age(now);
        let services = &self.services;
        let idle = |target| services.target(target).map_or(SPREAD, |(s, _)| s.idle_timeout);
        let mut ended = Vec::new();
        self.flows.sweep(now, idle, |flow, _| ended.push(flow));
        for &flow in &ended {
            self.loads.closed(flow);
        }
        ended
    }

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        _now: Duration,
        _from: InstanceId,
        _message: Message,
        _out: &mut Outbox<'_>,
    ) {
    }

    /// Tells whether this instance places the new flows of a service.
    pub fn places(&self, service: ServiceId) -> bool {
        self.ranks.placer(service).is_none_or(|placer| placer == self.me)
    }

    /// Returns the instance that places the new flows of a service.
    pub fn placer(&self, service: ServiceId) -> Option<InstanceId> {
        self.ranks.placer(service)
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

    fn towards_target(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match packet.route.stage {
            Stage::Entry => self.enter(now, packet),
            Stage::Placer => self.advise(now, packet),
            Stage::Owner => self.decide_as_owner(now, packet),
            Stage::Previous => self.decide_as_previous(now, packet),
            Stage::Replica | Stage::LastResort => self.look_up(now, packet),
        }
    }

    fn enter(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        let flags = packet.segment.flags;
        if flags.opens() || flags.ends() {
            return self.pass_to_placer(now, packet);
        }
        let direct = self.policy == Policy::Epochs;
        if let (true, Some(binding)) = (direct, self.flows.get_mut(packet.flow)) {
            if !binding.needs_touch(now) {
                let target = binding.target;
                return self.to_target(target);
            }
            binding.touch(now);
        }
        self.pass_to_owner(now, packet)
    }

    fn pass_to_placer(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.me => {
                Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
            }
            _ => self.advise(now, packet),
        }
    }

    /// Counts the opening or the end of a flow, and advises the owner of a new one.
    fn advise(&mut self, now: Duration, mut packet: Packet<'_>) -> Verdict {
        if packet.segment.flags.opens() {
            packet.route.advice = self.advice(now, packet);
        } else {
            self.loads.closed(packet.flow);
        }
        self.pass_to_owner(now, packet)
    }

    fn advice(&mut self, now: Duration, packet: Packet<'_>) -> Option<TargetId> {
        if let Some(target) = self.loads.counted_on(packet.flow)
            && self.takes_new(target)
        {
            return Some(target);
        }
        let target = choose(now, packet.service, packet.flow, &self.views, &self.loads)?;
        self.loads.opened(now, packet.flow, target);
        Some(target)
    }

    fn pass_to_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        match self.ranks.of(packet.flow, 0) {
            Some(owner) if owner != self.me => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            Some(_) => self.decide_as_owner(now, packet),
            None => Verdict::Drop(DropReason::NoOwner),
        }
    }

    fn decide_as_owner(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.known(now, packet) {
            return verdict;
        }
        let owner = self.ranks.of(packet.flow, 0);
        if owner.is_some_and(|owner| owner != self.me) {
            return self.pass_to_owner(now, packet);
        }
        if let Some(previous) = self.previous_owner(packet.flow) {
            return Verdict::ToInstance(previous, packet.route.next(Stage::Previous));
        }
        if packet.segment.flags.opens() {
            return self.bind(now, packet);
        }
        self.pass_to_replica(packet)
    }

    fn decide_as_previous(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.known(now, packet) {
            return verdict;
        }
        if packet.segment.flags.opens() {
            return self.bind(now, packet);
        }
        self.pass_to_replica(packet)
    }

    fn look_up(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if let Some(verdict) = self.known(now, packet) {
            return verdict;
        }
        if let Some(target) = self.loads.counted_on(packet.flow) {
            return self.to_target(target);
        }
        if packet.route.stage == Stage::LastResort {
            return Verdict::Drop(DropReason::UnknownFlow);
        }
        match self.ranks.placer(packet.service.id) {
            Some(placer) if placer != self.me => {
                Verdict::ToInstance(placer, packet.route.next(Stage::LastResort))
            }
            _ => Verdict::Drop(DropReason::UnknownFlow),
        }
    }

    fn pass_to_replica(&mut self, packet: Packet<'_>) -> Verdict {
        let others = (0..2).filter_map(|rank| self.ranks.of(packet.flow, rank));
        match others.into_iter().find(|&other| other != self.me) {
            Some(holder) => Verdict::ToInstance(holder, packet.route.next(Stage::Replica)),
            None => Verdict::Drop(DropReason::UnknownFlow),
        }
    }

    /// The live instance that owned a flow before the last change of membership.
    fn previous_owner(&self, flow: FlowId) -> Option<InstanceId> {
        let owner = self.previous.as_ref()?.ranks.of(flow, 0)?;
        (owner != self.me && self.live.contains(&owner)).then_some(owner)
    }

    /// Decides by the binding of a flow, if there is one.
    fn known(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let segment = packet.segment;
        let binding = self.flows.get_mut(packet.flow)?;
        if segment.flags.opens() && binding.opening != segment.sequence {
            return self.reopen(now, packet);
        }
        binding.confirm(now);
        if segment.flags.ends() {
            binding.mark_closing();
        }
        let target = binding.target;
        Some(self.to_target(target))
    }

    /// Decides about a new flow that uses the port of an older one.
    ///
    /// Other instances may have learned the older binding, so the new flow keeps to its
    /// target, or is refused if that target takes no new flows.
    fn reopen(&mut self, now: Duration, packet: Packet<'_>) -> Option<Verdict> {
        let binding = *self.flows.get(packet.flow)?;
        if self.views.get(binding.target).state == TargetState::Dead {
            self.flows.remove(packet.flow);
            return None;
        }
        if !self.takes_new(binding.target) {
            return Some(Verdict::Refuse(RefuseReason::TargetLeaving, RETRY_AFTER));
        }
        let fresh = Binding::new(now, binding.target, Role::Owner, Some(packet.caller))
            .opened_with(packet.segment.sequence);
        self.flows.insert(packet.flow, fresh);
        Some(Verdict::ToTarget(binding.target))
    }

    /// Binds a new flow to a target.
    fn bind(&mut self, now: Duration, packet: Packet<'_>) -> Verdict {
        if self.stale {
            return Verdict::Refuse(RefuseReason::Stale, RETRY_AFTER);
        }
        let advised = packet.route.advice.filter(|&target| self.takes_new(target));
        let chosen =
            advised.or_else(|| choose(now, packet.service, packet.flow, &self.views, &self.loads));
        let Some(target) = chosen else {
            return Verdict::Refuse(RefuseReason::NoTarget, RETRY_AFTER);
        };
        let binding = Binding::new(now, target, Role::Owner, Some(packet.caller))
            .opened_with(packet.segment.sequence);
        if !self.flows.insert(packet.flow, binding) {
            return Verdict::Refuse(RefuseReason::TableFull, RETRY_AFTER);
        }
        Verdict::ToTarget(target)
    }

    fn takes_new(&self, target: TargetId) -> bool {
        let state = self.views.get(target).state;
        matches!(state, TargetState::Serving | TargetState::Cold)
    }

    fn to_target(&self, target: TargetId) -> Verdict {
        if self.views.get(target).state == TargetState::Dead {
            return Verdict::Reset;
        }
        Verdict::ToTarget(target)
    }

    fn towards_caller(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        match packet.route.stage {
            Stage::Entry => self.answer_enters(now, packet, from),
            Stage::Placer => self.answer_at_placer(now, packet, from),
            _ => self.answer_at_owner(now, packet, from),
        }
    }

    fn answer_enters(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        if packet.segment.flags.ends() {
            return match self.ranks.placer(packet.service.id) {
                Some(placer) if placer != self.me => {
                    Verdict::ToInstance(placer, packet.route.next(Stage::Placer))
                }
                _ => self.answer_at_placer(now, packet, from),
            };
        }
        if packet.segment.flags.syn {
            return self.answer_to_owner(now, packet, from);
        }
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.confirm(now);
                binding.mark_answered();
                if binding.needs_touch(now) {
                    binding.touch(now);
                    return self.answer_to_owner(now, packet, from);
                }
                Verdict::ToCaller
            }
            Some(_) => self.answer_to_owner(now, packet, from),
            None => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    fn answer_at_placer(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        if self.loads.counted_on(packet.flow) == Some(from) {
            self.loads.closed(packet.flow);
        }
        self.answer_to_owner(now, packet, from)
    }

    fn answer_to_owner(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        match self.ranks.of(packet.flow, 0) {
            Some(owner) if owner != self.me => {
                Verdict::ToInstance(owner, packet.route.next(Stage::Owner))
            }
            _ => self.answer_at_owner(now, packet, from),
        }
    }

    /// Lets an answer pass only if the flow is bound to the target that it comes from.
    fn answer_at_owner(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) -> Verdict {
        match self.flows.get_mut(packet.flow) {
            Some(binding) if binding.target == from => {
                binding.confirm(now);
                binding.mark_answered();
                if packet.segment.flags.rst {
                    binding.mark_closing();
                }
                Verdict::ToCaller
            }
            Some(binding) if binding.role != Role::Learned => {
                Verdict::Drop(DropReason::WrongTarget)
            }
            _ => {
                self.learn(now, packet, from);
                Verdict::ToCaller
            }
        }
    }

    fn learn(&mut self, now: Duration, packet: Packet<'_>, from: TargetId) {
        if packet.segment.flags.rst {
            return;
        }
        let mine = self.ranks.of(packet.flow, 0) == Some(self.me);
        let role = if mine { Role::Owner } else { Role::Learned };
        let mut binding = Binding::new(now, from, role, Some(packet.caller));
        binding.mark_answered();
        // A full table is no fault here: the owner still knows the flow.
        let _ = self.flows.insert(packet.flow, binding);
    }
}
