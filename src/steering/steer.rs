//! The way of one packet: to its target, back to its caller as a reset, or nowhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use metrics::histogram;
use rand::Rng;
use rand::rngs::SmallRng;

use super::overdue::Overdue;
use super::token::TargetStart;
use super::{
    Candidate, Crowding, Directory, FlowPacket, Flows, Health, Load, NO_TOKEN, PacketKind, Route,
    RouteTable, Seen, Target, TargetKey, Token, Tokens, choose,
};
use crate::flow::FlowKey;
use crate::ids::FailureDomain;

/// Time after which a flow is forgotten if the routes give no idle timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);

/// Why a flow is refused or broken off with a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// No route has the address.
    #[display("no_route")]
    NoRoute,
    /// The flow's route was dropped.
    #[display("route_dropped")]
    RouteDropped,
    /// No target of the route's services takes new flows.
    #[display("no_target")]
    NoTarget,
    /// The flow's target has started again and knows nothing of it.
    #[display("target_restarted")]
    TargetRestarted,
    /// The flow's target has stopped: it neither answers nor accepts connections, or its
    /// address belongs to another target by now.
    #[display("target_dead")]
    TargetDead,
}

/// Why a packet goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Unforwarded {
    /// The routes or the targets are not known yet.
    #[display("not_ready")]
    NotReady,
    /// The packet carries no token, or one that matches no known target.
    #[display("unknown_token")]
    UnknownToken,
    /// No route has the address, as far as this instance knows.
    #[display("unknown_address")]
    UnknownAddress,
    /// It is a packet that only targets send.
    #[display("from_target")]
    FromTarget,
}

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// It goes to a target, with a new token if one is given.
    Forward(&'a Target, Option<Token>),
    /// Its caller gets a reset.
    Reset(Refusal),
    /// It is dropped.
    Drop(Unforwarded),
}

/// A change of what is believed of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// The target does not answer.
    Silent(TargetKey),
    /// The target answers again.
    Answers(TargetKey),
    /// The target accepts no connections either.
    Dead(TargetKey),
}

/// All that decides about packets.
#[derive(Debug)]
pub struct Steer {
    home: FailureDomain,
    /// Where the service addresses lead.
    pub routes: RouteTable,
    /// The targets.
    pub directory: Directory,
    /// The flows that pass.
    pub flows: Flows,
    health: Health,
    overdue: Overdue,
    crowding: Crowding,
    /// Instances of the own failure domain, this one among them.
    home_instances: usize,
    tokens: Tokens,
    beliefs: Vec<Belief>,
    rng: SmallRng,
}

impl Steer {
    /// Makes one that knows neither routes nor targets.
    pub fn new(home: FailureDomain, key: [u8; 32], rng: SmallRng) -> Self {
        Self {
            home,
            routes: RouteTable::default(),
            directory: Directory::default(),
            flows: Flows::default(),
            health: Health::default(),
            overdue: Overdue::default(),
            crowding: Crowding::default(),
            home_instances: 1,
            tokens: Tokens::new(key),
            beliefs: Vec::new(),
            rng,
        }
    }

    /// Tells whether enough is known to decide.
    pub fn ready(&self) -> bool {
        self.routes.version() > 0 && self.directory.complete_to() > 0
    }

    /// Takes the number of instances in the own failure domain, this one among them.
    pub fn set_home_instances(&mut self, instances: usize) {
        self.home_instances = instances;
    }

    /// Samples how crowded the own failure domain is; due about ten times a second.
    pub fn sample(&mut self, now: Duration) {
        let (directory, home) = (&self.directory, &self.home);
        let loads = self.flows.loads().filter_map(|(start, load)| {
            let target = directory.get(start).filter(|target| target.failure_domain == *home)?;
            Some((target.service.as_str(), load.waiting))
        });
        self.crowding.sample(now, loads);
    }

    /// Decides about a packet.
    pub fn decide(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        if !self.ready() {
            return Verdict::Drop(Unforwarded::NotReady);
        }
        match packet.kind {
            PacketKind::Opening { repeats } => self.open(now, packet, repeats),
            PacketKind::FromTarget => Verdict::Drop(Unforwarded::FromTarget),
            PacketKind::Within | PacketKind::Closing | PacketKind::Reset => {
                self.follow(now, packet)
            }
        }
    }

    /// Returns what has changed in the beliefs about targets since the last call.
    pub fn take_beliefs(&mut self) -> Vec<Belief> {
        std::mem::take(&mut self.beliefs)
    }

    /// Forgets what has run out; due about once a second.
    pub fn expire(&mut self, now: Duration) {
        let idle = self.routes.idle_timeout().unwrap_or(DEFAULT_IDLE);
        self.flows.expire(now, idle);
        self.directory.forget(now);
        self.health.forget(now, idle);
        self.overdue.forget(now);
    }

    fn open(&mut self, now: Duration, packet: &FlowPacket, repeats: u32) -> Verdict<'_> {
        let service = packet.flow.service;
        let before = self.flows.opening(packet.flow.id()).filter(|_| repeats > 0);
        if let Some((before, since)) = before {
            let waited = now.saturating_sub(since);
            self.note_unanswered(now, before, packet, waited);
        }
        let before = before.map(|(before, _)| before);
        let Some(route) = self.routes.at(service) else {
            return Verdict::Reset(Refusal::NoRoute);
        };
        let services = Arc::clone(&route.services);
        let again = before.filter(|&before| !self.health.is_silent(now, before));
        let again = again.filter(|&before| self.directory.get(before).is_some());
        let chosen = again.or_else(|| self.place(now, &packet.flow, &services));
        let Some(chosen) = chosen else { return Verdict::Reset(Refusal::NoTarget) };
        self.flows.note(now, packet, chosen);
        match self.directory.get(chosen) {
            Some(target) => Verdict::Forward(target, Some(self.tokens.mint(service, target))),
            None => Verdict::Reset(Refusal::NoTarget),
        }
    }

    /// Chooses the target of a new flow.
    fn place(
        &mut self,
        now: Duration,
        flow: &FlowKey,
        services: &[super::WeightedService],
    ) -> Option<TargetStart> {
        let service = pick_service(services, &mut self.rng)?;
        let (mut answering, mut silent) = (Vec::new(), Vec::new());
        for (target, cold) in self.directory.usable(now, service) {
            let start = (target.key, target.start);
            let token = self.tokens.mint(flow.service, target);
            if !self.tokens.remember(flow.service, token, target) {
                continue;
            }
            let Load { flows, waiting } = self.flows.load(start);
            let waiting = waiting + self.overdue.count(start);
            let home = target.failure_domain == self.home;
            let candidate = Candidate { home, slots: target.slots, flows, waiting, cold };
            let list = if self.health.is_silent(now, start) { &mut silent } else { &mut answering };
            list.push((start, candidate));
        }
        // If all seem silent, the way there may be at fault rather than the targets.
        let list = if answering.is_empty() { silent } else { answering };
        let candidates: Vec<_> = list.iter().map(|(_, candidate)| *candidate).collect();
        let slots = candidates.iter().filter(|c| c.home).map(|c| c.slots).sum();
        let crowding = self.crowding.per_slot(service, self.home_instances, slots);
        choose(&candidates, crowding, &mut self.rng).map(|i| list[i].0)
    }

    /// Finds the target of a packet within a flow.
    fn follow(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        let service = packet.flow.service;
        let Some(route) = self.routes.at(service) else {
            if self.routes.was_dropped(service) && packet.kind != PacketKind::Reset {
                return Verdict::Reset(Refusal::RouteDropped);
            }
            return Verdict::Drop(Unforwarded::UnknownAddress);
        };
        let Some(start) = find(&mut self.tokens, &self.directory, route, packet) else {
            return Verdict::Drop(Unforwarded::UnknownToken);
        };
        if self.directory.is_over(start) {
            return Verdict::Reset(Refusal::TargetRestarted);
        }
        if self.has_stopped(now, start) && packet.kind != PacketKind::Reset {
            self.flows.remove(packet.flow.id());
            return Verdict::Reset(Refusal::TargetDead);
        }
        match self.flows.note(now, packet, start) {
            Seen::Life(waited) => self.note_life(now, start, waited),
            Seen::Unanswered(waited) => self.note_unanswered(now, start, packet, waited),
            Seen::Nothing => {}
        }
        match self.directory.get(start) {
            Some(target) => Verdict::Forward(target, None),
            None => Verdict::Drop(Unforwarded::UnknownToken),
        }
    }

    /// Tells whether a target has stopped for certain, and has that found out if there is a
    /// doubt.
    fn has_stopped(&mut self, now: Duration, start: TargetStart) -> bool {
        if self.directory.is_gone(now, start) {
            let Some(target) = self.directory.get(start) else { return false };
            if self.directory.has_successor(target) {
                return true;
            }
            self.health.doubt(now, start, target.address.into());
        }
        self.health.is_dead(now, start)
    }

    /// Takes the outcome of an attempt to connect. Returns the targets that count as dead
    /// from now on.
    pub fn reached(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
    ) -> Vec<TargetStart> {
        let dead = self.health.reached(now, address, accepted);
        self.beliefs.extend(dead.iter().map(|&(key, _)| Belief::Dead(key)));
        dead
    }

    /// Takes the word of another instance that a target may have stopped.
    pub fn doubt(&mut self, now: Duration, start: TargetStart) {
        if let Some(target) = self.directory.get(start) {
            self.health.doubt(now, start, target.address.into());
        }
    }

    /// Takes the word of another instance that a target keeps callers waiting.
    pub fn note_overdue(&mut self, now: Duration, start: TargetStart) {
        self.overdue.note(now, start);
    }

    /// Returns the targets that have begun to keep a caller waiting, one for each caller.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetStart> {
        let overdue = self.flows.take_overdue(now);
        overdue.iter().for_each(|&start| self.overdue.note(now, start));
        overdue
    }

    /// Ends the flows whose targets have certainly stopped, and returns each with the reason.
    /// A caller that is told at once opens its next flow before it has something to send.
    pub fn take_ended(&mut self, now: Duration) -> Vec<(FlowPacket, Refusal)> {
        let mut ended = Vec::new();
        let targets: Vec<_> = self.flows.targets().collect();
        for start in targets {
            let reason = match () {
                () if self.directory.is_over(start) => Refusal::TargetRestarted,
                () if self.has_stopped(now, start) => Refusal::TargetDead,
                () => continue,
            };
            ended.extend(self.flows.take_flows(start).into_iter().map(|flow| (flow, reason)));
        }
        ended
    }

    /// Returns the addresses to which connections are to be tried.
    pub fn take_doubts(&mut self) -> Vec<SocketAddr> {
        self.health.take_doubts()
    }

    fn note_life(&mut self, now: Duration, target: TargetStart, waited: Option<Duration>) {
        if let Some(waited) = waited {
            histogram!("limpetdeck_answer_seconds").record(waited);
        }
        if self.health.life(now, target) {
            self.beliefs.push(Belief::Answers(target.0));
        }
    }

    fn note_unanswered(
        &mut self,
        now: Duration,
        target: TargetStart,
        packet: &FlowPacket,
        waited: Duration,
    ) {
        if self.health.unanswered(now, target, packet.flow.id(), waited) {
            self.beliefs.push(Belief::Silent(target.0));
        }
        if self.health.is_doubtful(target) {
            self.doubt(now, target);
        }
    }
}

/// Draws a service by weight.
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

/// Finds the target that a packet's token names: one that was met before, else among the
/// targets of the route's services, else among all.
fn find(
    tokens: &mut Tokens,
    directory: &Directory,
    route: &Route,
    packet: &FlowPacket,
) -> Option<TargetStart> {
    let (service, token) = (packet.flow.service, packet.token);
    if token == NO_TOKEN {
        return None;
    }
    if let Some(known) = tokens.known(service, token) {
        return Some(known);
    }
    let near = route.services.iter().flat_map(|s| directory.of_service(&s.service));
    if let Some(target) = tokens.find(service, token, near) {
        return Some((target.key, target.start));
    }
    tokens.find(service, token, directory.all()).map(|target| (target.key, target.start))
}
