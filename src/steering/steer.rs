//! Decides for each packet whether it is forwarded to a target, answered with a reset, or dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use metrics::histogram;
use rand::Rng;
use rand::rngs::SmallRng;

use super::overdue::OverdueResponses;
use super::token::TargetStart;
use super::{
    Candidate, Crowding, Directory, FlowPacket, FlowSignal, Flows, Health, Load, NO_TOKEN,
    PacketKind, Route, RouteTable, Target, TargetKey, Token, Tokens, choose,
};
use crate::flow::FlowKey;
use crate::ids::FailureDomain;

/// Idle timeout of flows while there are no routes to configure one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Reason for a reset sent to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// There is no route for the service address.
    #[display("no_route")]
    NoRoute,
    /// The route of the flow was removed.
    #[display("route_dropped")]
    RouteDropped,
    /// No target of the route's services accepts new flows.
    #[display("no_target")]
    NoTarget,
    /// The target has restarted and lost the flow.
    #[display("target_restarted")]
    TargetRestarted,
    /// The target is dead: it neither responds nor accepts connections, or its address is now
    /// used by another target.
    #[display("target_dead")]
    TargetDead,
}

/// Reason for dropping a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Unforwarded {
    /// The routes or targets have not been received yet.
    #[display("not_ready")]
    NotReady,
    /// The packet has no token, or one that matches no known target.
    #[display("unknown_token")]
    UnknownToken,
    /// There is no route for the service address, as far as this instance knows.
    #[display("unknown_address")]
    UnknownAddress,
    /// The packet is of a kind that only targets send.
    #[display("from_target")]
    FromTarget,
}

/// Decision about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// Forward it to the target, with a new token if there is one.
    Forward(&'a Target, Option<Token>),
    /// Send a reset to the caller.
    Reset(Refusal),
    /// Drop it.
    Drop(Unforwarded),
}

/// A change in the health of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// The target has become unresponsive.
    Silent(TargetKey),
    /// The target responds again.
    Answers(TargetKey),
    /// The target does not accept connections either.
    Dead(TargetKey),
}

/// Routes, targets and flows of an instance, and the decisions based on them.
#[derive(Debug)]
pub struct Steer {
    local_domain: FailureDomain,
    /// The active routes.
    pub routes: RouteTable,
    /// The known targets.
    pub directory: Directory,
    /// The flows through this instance.
    pub flows: Flows,
    health: Health,
    overdue: OverdueResponses,
    domain_load: Crowding,
    /// Number of instances in the local failure domain, this one included.
    local_instances: usize,
    tokens: Tokens,
    health_changes: Vec<Belief>,
    rng: SmallRng,
}

impl Steer {
    /// Creates a state without routes and targets. `home` is the local failure domain, `key` that
    /// of the tokens.
    pub fn new(home: FailureDomain, key: [u8; 32], rng: SmallRng) -> Self {
        Self {
            local_domain: home,
            routes: RouteTable::default(),
            directory: Directory::default(),
            flows: Flows::default(),
            health: Health::default(),
            overdue: OverdueResponses::default(),
            domain_load: Crowding::default(),
            local_instances: 1,
            tokens: Tokens::new(key),
            health_changes: Vec::new(),
            rng,
        }
    }

    /// Returns whether routes and targets have been received.
    pub fn ready(&self) -> bool {
        self.routes.version() > 0 && self.directory.complete_to() > 0
    }

    /// Sets the number of instances in the local failure domain, this one included.
    pub fn set_home_instances(&mut self, instances: usize) {
        self.local_instances = instances;
    }

    /// Samples the load of the local failure domain; to be called about ten times per second.
    pub fn sample(&mut self, now: Duration) {
        let (directory, local_domain) = (&self.directory, &self.local_domain);
        let loads = self.flows.loads().filter_map(|(start, load)| {
            let target =
                directory.get(start).filter(|target| target.failure_domain == *local_domain)?;
            Some((target.service.as_str(), load.waiting))
        });
        self.domain_load.sample(now, loads);
    }

    /// Decides about a packet and records it.
    pub fn decide(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        if !self.ready() {
            return Verdict::Drop(Unforwarded::NotReady);
        }
        match packet.kind {
            PacketKind::Opening { repeats } => self.open(now, packet, repeats),
            PacketKind::FromTarget => Verdict::Drop(Unforwarded::FromTarget),
            PacketKind::Within | PacketKind::Closing | PacketKind::Reset => {
                self.forward(now, packet)
            }
        }
    }

    /// Takes the changes in the health of targets since the last call.
    pub fn take_beliefs(&mut self) -> Vec<Belief> {
        std::mem::take(&mut self.health_changes)
    }

    /// Removes expired state; to be called about once per second.
    pub fn expire(&mut self, now: Duration) {
        let idle = self.routes.idle_timeout().unwrap_or(DEFAULT_IDLE_TIMEOUT);
        self.flows.expire(now, idle);
        self.directory.expire(now);
        self.health.expire(now, idle);
        self.overdue.expire(now);
    }

    fn open(&mut self, now: Duration, packet: &FlowPacket, repeats: u32) -> Verdict<'_> {
        let service = packet.flow.service;
        let previous = self.flows.half_open(packet.flow.id()).filter(|_| repeats > 0);
        if let Some((previous, since)) = previous {
            let waited = now.saturating_sub(since);
            self.record_unanswered(now, previous, packet, waited);
        }
        let previous = previous.map(|(previous, _)| previous);
        let Some(route) = self.routes.get(service) else {
            return Verdict::Reset(Refusal::NoRoute);
        };
        let services = Arc::clone(&route.services);
        let reused = previous.filter(|&previous| !self.health.is_unresponsive(now, previous));
        let reused = reused.filter(|&previous| self.directory.get(previous).is_some());
        let chosen = reused.or_else(|| self.select_target(now, &packet.flow, &services));
        let Some(chosen) = chosen else { return Verdict::Reset(Refusal::NoTarget) };
        self.flows.record(now, packet, chosen);
        match self.directory.get(chosen) {
            Some(target) => Verdict::Forward(target, Some(self.tokens.mint(service, target))),
            None => Verdict::Reset(Refusal::NoTarget),
        }
    }

    /// Selects the target of a new flow.
    fn select_target(
        &mut self,
        now: Duration,
        flow: &FlowKey,
        services: &[super::WeightedService],
    ) -> Option<TargetStart> {
        let service = pick_service(services, &mut self.rng)?;
        let (mut responsive, mut unresponsive) = (Vec::new(), Vec::new());
        for (target, cold) in self.directory.usable(now, service) {
            let start = (target.key, target.start);
            let token = self.tokens.mint(flow.service, target);
            if !self.tokens.cache(flow.service, token, target) {
                continue;
            }
            let Load { flows, waiting } = self.flows.load(start);
            let waiting = waiting + self.overdue.count(start);
            let home = target.failure_domain == self.local_domain;
            let candidate = Candidate { home, slots: target.slots, flows, waiting, cold };
            let list = if self.health.is_unresponsive(now, start) {
                &mut unresponsive
            } else {
                &mut responsive
            };
            list.push((start, candidate));
        }
        // If all seem unresponsive, the cause may be the network rather than the targets.
        let list = if responsive.is_empty() { unresponsive } else { responsive };
        let candidates: Vec<_> = list.iter().map(|(_, candidate)| *candidate).collect();
        let slots = candidates.iter().filter(|c| c.home).map(|c| c.slots).sum();
        let domain_load = self.domain_load.per_slot(service, self.local_instances, slots);
        choose(&candidates, domain_load, &mut self.rng).map(|i| list[i].0)
    }

    /// Decides about a packet of an open flow.
    fn forward(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        let service = packet.flow.service;
        let Some(route) = self.routes.get(service) else {
            if self.routes.was_removed(service) && packet.kind != PacketKind::Reset {
                return Verdict::Reset(Refusal::RouteDropped);
            }
            return Verdict::Drop(Unforwarded::UnknownAddress);
        };
        let Some(start) = find_target(&mut self.tokens, &self.directory, route, packet) else {
            return Verdict::Drop(Unforwarded::UnknownToken);
        };
        if self.directory.has_restarted(start) {
            return Verdict::Reset(Refusal::TargetRestarted);
        }
        if self.check_dead(now, start) && packet.kind != PacketKind::Reset {
            self.flows.remove(packet.flow.id());
            return Verdict::Reset(Refusal::TargetDead);
        }
        match self.flows.record(now, packet, start) {
            FlowSignal::Response(waited) => self.record_response(now, start, waited),
            FlowSignal::Unanswered(waited) => self.record_unanswered(now, start, packet, waited),
            FlowSignal::Nothing => {}
        }
        match self.directory.get(start) {
            Some(target) => Verdict::Forward(target, None),
            None => Verdict::Drop(Unforwarded::UnknownToken),
        }
    }

    /// Returns whether a target is known to be dead. Requests a connection check if it was removed.
    fn check_dead(&mut self, now: Duration, start: TargetStart) -> bool {
        if self.directory.is_removed(now, start) {
            let Some(target) = self.directory.get(start) else { return false };
            if self.directory.is_address_reused(target) {
                return true;
            }
            self.health.check_connection(now, start, target.address.into());
        }
        self.health.is_dead(now, start)
    }

    /// Records the result of a connection check. Returns the targets that count as dead from now
    /// on.
    pub fn reached(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
    ) -> Vec<TargetStart> {
        let dead = self.health.record_connection_check(now, address, accepted);
        self.health_changes.extend(dead.iter().map(|&(key, _)| Belief::Dead(key)));
        dead
    }

    /// Requests a connection check of a target that may be dead.
    pub fn doubt(&mut self, now: Duration, start: TargetStart) {
        if let Some(target) = self.directory.get(start) {
            self.health.check_connection(now, start, target.address.into());
        }
    }

    /// Records an overdue response of a target that another instance reports.
    pub fn note_overdue(&mut self, now: Duration, start: TargetStart) {
        self.overdue.record(now, start);
    }

    /// Records the responses that have become overdue since the last call, and returns the target
    /// of each.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetStart> {
        let overdue = self.flows.take_overdue(now);
        overdue.iter().for_each(|&start| self.overdue.record(now, start));
        overdue
    }

    /// Removes the flows whose targets have restarted or are dead. Returns those to be reset, with
    /// the reason. An early reset lets the caller reconnect before it has a request to send.
    pub fn take_ended(&mut self, now: Duration) -> Vec<(FlowPacket, Refusal)> {
        let mut ended = Vec::new();
        let targets: Vec<_> = self.flows.targets().collect();
        for start in targets {
            let reason = match () {
                () if self.directory.has_restarted(start) => Refusal::TargetRestarted,
                () if self.check_dead(now, start) => Refusal::TargetDead,
                () => continue,
            };
            ended.extend(self.flows.take_flows(start).into_iter().map(|flow| (flow, reason)));
        }
        ended
    }

    /// Takes the addresses whose connection checks are to be started.
    pub fn take_doubts(&mut self) -> Vec<SocketAddr> {
        self.health.take_connection_checks()
    }

    fn record_response(&mut self, now: Duration, target: TargetStart, waited: Option<Duration>) {
        if let Some(waited) = waited {
            histogram!("limpetdeck_answer_seconds").record(waited);
        }
        if self.health.record_response(now, target) {
            self.health_changes.push(Belief::Answers(target.0));
        }
    }

    fn record_unanswered(
        &mut self,
        now: Duration,
        target: TargetStart,
        packet: &FlowPacket,
        waited: Duration,
    ) {
        if self.health.record_unanswered(now, target, packet.flow.id(), waited) {
            self.health_changes.push(Belief::Silent(target.0));
        }
        if self.health.has_unanswered(target) {
            self.doubt(now, target);
        }
    }
}

/// Picks a service at random by weight, or `None` if all weights are 0.
fn pick_service<'a>(services: &'a [super::WeightedService], rng: &mut SmallRng) -> Option<&'a str> {
    let total: u32 = services.iter().map(|service| service.weight).sum();
    let mut drawn = if total == 0 { return None } else { rng.random_range(0..total) };
    for service in services {
        if drawn < service.weight {
            return Some(&service.service);
        }
        drawn -= service.weight;
    }
    None
}

/// Finds the target that a packet's token identifies: in the cache, then among the targets of the
/// route's services, then among all targets.
fn find_target(
    tokens: &mut Tokens,
    directory: &Directory,
    route: &Route,
    packet: &FlowPacket,
) -> Option<TargetStart> {
    let (service, token) = (packet.flow.service, packet.token);
    if token == NO_TOKEN {
        return None;
    }
    if let Some(cached) = tokens.lookup(service, token) {
        return Some(cached);
    }
    let of_route = route.services.iter().flat_map(|s| directory.of_service(&s.service));
    if let Some(target) = tokens.find(service, token, of_route) {
        return Some((target.key, target.start));
    }
    tokens.find(service, token, directory.all()).map(|target| (target.key, target.start))
}
