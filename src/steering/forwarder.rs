//! Decides for each packet whether it is forwarded to a target, answered with a reset, or dropped.

mod eligibility;
mod failures;
mod inquiry;
mod opening;
mod reach;
mod token_lookup;
mod warm_up;

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;

pub use self::failures::UnsteadyTarget;
pub use self::inquiry::{Doubt, Inquiry, Successors};
use self::token_lookup::find_target;
pub use self::warm_up::ColdTargets;
use super::policy::domain_reach::DomainReach;
use super::policy::last_resort::LastResort;
use super::policy::overdue::OverdueResponses;
use super::policy::steadiness::FailureRecords;
use super::policy::warm_up::WarmUpBudget;
use super::token::TargetIncarnation;
use super::{
    Candidate, DomainDrains, DomainLoad, FlowPacket, FlowSignal, FlowTable, Health, PacketKind,
    RouteLoad, RouteTable, Target, TargetDirectory, TargetKey, Token, Tokens, yields,
};
use crate::hash::HashMap;
use crate::ids::FailureDomain;
use crate::instance::CheckOutcome;
use crate::peer::KeyRing;

/// Targets that may get a flow, with the inputs of the selection.
type CandidateList = Vec<(TargetIncarnation, Candidate)>;

/// Idle timeout of flows while there are no routes to configure one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Reason for a reset sent to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ResetReason {
    /// There is no route for the service address.
    #[display("no_route")]
    NoRoute,
    /// The route of the flow was removed.
    #[display("route_dropped")]
    RouteDropped,
    /// No target of the route's services accepts new flows.
    #[display("no_target")]
    NoTarget,
    /// All targets of the route's services that accept new flows are in drained failure domains.
    #[display("domain_drained")]
    DomainDrained,
    /// All targets of the route's services that accept new flows are in failure domains that this
    /// instance does not reach.
    #[display("domains_unreachable")]
    DomainsUnreachable,
    /// Only cold targets without an opening budget are left.
    #[display("cold_targets")]
    ColdTargets,
}

/// Reason for dropping a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum DropReason {
    /// The routes or targets have not been received yet.
    #[display("not_ready")]
    NotReady,
    /// Whether targets may get the flow is known within the platform's time limit.
    #[display("undecided")]
    Undecided,
    /// The packet has no token, or one that matches no known target.
    #[display("unknown_token")]
    UnknownToken,
    /// There is no route for the service address, as far as this instance knows.
    #[display("unknown_address")]
    UnknownAddress,
    /// The packet is of a kind that only targets send.
    #[display("from_target")]
    FromTarget,
    /// The packet is a late copy of the opening packet of an open flow, which neither goes to another
    /// target nor is refused.
    #[display("late_copy")]
    LateCopy,
    /// No target may get the copy of an opening packet, but an earlier copy went to a target that may
    /// hold the flow.
    #[display("already_placed")]
    AlreadyPlaced,
    /// The flow cannot be served, but another copy of its opening packet may have opened it.
    #[display("may_be_open")]
    MayBeOpen,
    /// The packet is a late one of an earlier flow: its caller has, or is opening, another one on the
    /// same port, which it must not disturb.
    #[display("earlier_flow")]
    EarlierFlow,
}

/// Decision about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// Forward it to the target, with a new token if there is one.
    Forward(&'a Target, Option<Token>),
    /// Forward it to those that may answer for a target that may have ended, with a new token if there
    /// is one.
    Inquire(Inquiry<'a>, Option<Token>),
    /// Send a reset to the caller.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// A change in the health of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The target has become unresponsive.
    Unresponsive(TargetKey),
    /// The target responds again.
    Recovered(TargetKey),
    /// The target does not accept connections either.
    Dead(TargetKey),
}

/// Routes, targets and flows of an instance, and the decisions based on them.
#[derive(Debug)]
pub struct Forwarder {
    local_domain: FailureDomain,
    /// The active routes.
    pub routes: RouteTable,
    /// The known targets.
    pub targets: TargetDirectory,
    /// The failure domains that get no new flows.
    pub drains: DomainDrains,
    /// The flows through this instance.
    pub flows: FlowTable,
    health: Health,
    overdue: OverdueResponses,
    failures: FailureRecords,
    unsteady: Vec<UnsteadyTarget>,
    /// Local slots of the services that share a route.
    local_slots: HashMap<String, u32>,
    domain_load: DomainLoad,
    domain_reach: DomainReach,
    /// Failure domains found unreachable that peers do not know of yet.
    found_unreachable: Vec<FailureDomain>,
    /// Whether the drained local failure domain may be used.
    pub last_resort: LastResort,
    warm_up: WarmUpBudget,
    /// Number of instances in the local failure domain, this one included.
    local_instances: usize,
    /// Number of instances in all failure domains, this one included.
    instances: usize,
    tokens: Tokens,
    health_changes: Vec<HealthChange>,
    rng: SmallRng,
}

impl Forwarder {
    /// Creates a forwarder without routes and targets. `local_domain` is the failure domain of this
    /// instance, `keys` are those of the tokens.
    pub fn new(local_domain: FailureDomain, keys: impl Into<KeyRing>, rng: SmallRng) -> Self {
        Self {
            local_domain,
            routes: RouteTable::default(),
            targets: TargetDirectory::default(),
            drains: DomainDrains::default(),
            flows: FlowTable::default(),
            health: Health::default(),
            overdue: OverdueResponses::default(),
            failures: FailureRecords::default(),
            unsteady: Vec::new(),
            local_slots: HashMap::default(),
            domain_load: DomainLoad::default(),
            domain_reach: DomainReach::default(),
            found_unreachable: Vec::new(),
            last_resort: LastResort::default(),
            warm_up: WarmUpBudget::default(),
            local_instances: 1,
            instances: 1,
            tokens: Tokens::new(keys),
            health_changes: Vec::new(),
            rng,
        }
    }

    /// Returns whether routes and targets have been received, and the orders to drain failure domains
    /// where there are such.
    pub fn ready(&self) -> bool {
        self.routes.version() > 0 && self.targets.complete_up_to().is_known() && self.drains.ready()
    }

    /// Returns whether the targets and the route of an address have been received: routes may arrive
    /// over seconds, and those that are there are used.
    fn is_ready_for(&self, service: SocketAddrV4) -> bool {
        self.targets.complete_up_to().is_known() && self.routes.is_known(service)
    }

    /// Sets the number of instances in the local failure domain, this one included.
    pub fn set_local_instances(&mut self, instances: usize) {
        self.local_instances = instances;
    }

    /// Sets the number of instances in all failure domains, this one included.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Returns the latency target of a service address and the load of its targets, or `None` if
    /// callers do not yield there.
    pub fn route_load(
        &self,
        now: Duration,
        service: SocketAddrV4,
    ) -> Option<(Duration, RouteLoad)> {
        let route = self.routes.get(service)?;
        let latency_target = route.latency_target?;
        let mut load = RouteLoad { instances: self.instances, ..RouteLoad::default() };
        for service in route.services.iter() {
            for (target, _) in self.eligible(now, &service.service) {
                let flows = self.flows.load((target.key, target.incarnation));
                load.in_flight += flows.waiting.saturating_sub(flows.overdue);
                load.slots += target.slots;
            }
        }
        Some((latency_target, load))
    }

    /// Returns whether the caller of an opening packet yields to others for now; `age` is the time
    /// since its first copy.
    pub fn yields(&self, now: Duration, service: SocketAddrV4, age: Duration) -> bool {
        let latency_target = self.routes.get(service).and_then(|route| route.latency_target);
        // Callers that are in time need no look at the targets.
        latency_target.is_some_and(|latency_target| age > latency_target)
            && self
                .route_load(now, service)
                .is_some_and(|(latency_target, load)| yields(age, latency_target, load))
    }

    /// Samples the load of the local failure domain; to be called about ten times per second.
    pub fn sample_load(&mut self, now: Duration) {
        let (targets, local_domain) = (&self.targets, &self.local_domain);
        let loads = self.flows.loads().filter_map(|(incarnation, load)| {
            let target =
                targets.get(incarnation).filter(|target| target.failure_domain == *local_domain)?;
            let is_current = self.doubt(target).is_none();
            is_current.then_some((target.service.as_str(), load.waiting))
        });
        let loads: Vec<_> = loads.collect();
        self.domain_load.sample(now, loads.into_iter());
        self.record_restarts(now);
    }

    /// Decides about a packet and records it.
    pub fn decide(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        if !self.is_ready_for(packet.flow.service) {
            return Verdict::Drop(DropReason::NotReady);
        }
        match packet.kind {
            PacketKind::Opening { .. } if !self.drains.ready() => {
                Verdict::Drop(DropReason::NotReady)
            }
            PacketKind::Opening { repeats } => self.open(now, packet, repeats),
            PacketKind::FromTarget => Verdict::Drop(DropReason::FromTarget),
            PacketKind::Within | PacketKind::Closing | PacketKind::Reset => {
                self.forward(now, packet)
            }
        }
    }

    /// Returns the changes in the health of targets since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.health_changes)
    }

    /// Returns the time after which an idle flow may be dropped.
    pub fn idle_timeout(&self) -> Duration {
        self.routes.idle_timeout().unwrap_or(DEFAULT_IDLE_TIMEOUT)
    }

    /// Removes expired state; to be called about once per second.
    pub fn expire(&mut self, now: Duration) {
        let idle = self.idle_timeout();
        self.flows.expire(now, idle);
        self.targets.expire(now);
        self.health.expire(now, idle);
        self.overdue.expire(now);
        self.expire_warm_up(now);
        self.failures.expire(now);
        self.expire_reach();
        self.count_local_slots(now);
    }

    /// Decides about a packet of an open flow.
    fn forward(&mut self, now: Duration, packet: &FlowPacket) -> Verdict<'_> {
        let service = packet.flow.service;
        let Some(route) = self.routes.get(service) else {
            return self.without_route(packet);
        };
        let version = self.routes.version();
        let found = find_target(&mut self.tokens, &self.targets, route, version, packet);
        let Some(named) = found else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if self.flows.is_of_earlier_flow(now, packet, named) {
            return Verdict::Drop(DropReason::EarlierFlow);
        }
        // A target that answers a copy of the opening packet late does not take the flow over.
        let open_at = self.flows.answered_at(packet).filter(|(key, _)| *key != named.0);
        let incarnation = self.holder(open_at.unwrap_or(named));
        match self.flows.record(now, packet, incarnation) {
            FlowSignal::Response(waited) => self.record_response(now, incarnation, waited),
            FlowSignal::Unanswered(waited) => {
                self.record_unanswered(now, incarnation, packet, waited);
            }
            FlowSignal::Nothing => {}
        }
        let token = self.changed_token(service, named, incarnation);
        let verdict = self.aim(incarnation, token);
        verdict.unwrap_or(Verdict::Drop(DropReason::UnknownToken))
    }

    /// Decides about a packet of an open flow whose address has no route here. The flow may have been
    /// opened under newer routes that have the address again, unless it is known from before the removal.
    fn without_route(&self, packet: &FlowPacket) -> Verdict<'static> {
        let is_lost = self.routes.was_removed(packet.flow.service)
            && !self.routes.is_behind()
            && self.flows.open_at(packet).is_some();
        match packet.kind {
            PacketKind::Reset => Verdict::Drop(DropReason::UnknownAddress),
            _ if is_lost => Verdict::Reset(ResetReason::RouteDropped),
            _ => Verdict::Drop(DropReason::UnknownAddress),
        }
    }

    /// Records the result of a connection check. Returns the targets that count as dead from now
    /// on.
    pub fn record_connection_check(
        &mut self,
        now: Duration,
        address: SocketAddr,
        outcome: CheckOutcome,
    ) -> Vec<TargetIncarnation> {
        let accepted = outcome == CheckOutcome::Accepted;
        self.record_probe(now, address, accepted);
        let dead: Vec<_> =
            self.health.record_connection_check(now, address, accepted).into_iter().collect();
        self.record_check(now, address, accepted, &dead);
        dead.iter().for_each(|&target| self.flows.forget_requests(target));
        self.health_changes.extend(dead.iter().map(|&(key, _)| HealthChange::Dead(key)));
        dead
    }

    /// Requests a connection check of a target that may be dead.
    pub fn suspect_target(&mut self, now: Duration, incarnation: TargetIncarnation) {
        if let Some(target) = self.targets.get(incarnation) {
            self.health.check_connection(now, incarnation, target.address.into());
        }
    }

    /// Records an overdue response of a target that another instance reports.
    pub fn record_overdue(&mut self, now: Duration, incarnation: TargetIncarnation) {
        self.overdue.record(now, incarnation);
    }

    /// Records the responses that have become overdue since the last call, and returns the target
    /// of each.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetIncarnation> {
        let overdue = self.flows.take_overdue(now);
        overdue.iter().for_each(|&incarnation| self.overdue.record(now, incarnation));
        overdue
    }

    /// Forgets the flows of targets that have started again in place. Requests connection checks of dead
    /// ones that have flows and would get new ones; to be called about ten times per second.
    pub fn check_flow_targets(&mut self, now: Duration) {
        let targets: Vec<_> = self.flows.targets().collect();
        for incarnation in targets {
            if self.holder(incarnation) != incarnation {
                // Those that the target holds are added again with their next packets.
                self.flows.remove_flows(incarnation);
            } else if self.health.is_dead(now, incarnation)
                && self.may_get_flow(incarnation)
                && !self.targets.is_removed(now, incarnation)
            {
                self.suspect_target(now, incarnation);
            }
        }
    }

    /// Removes and returns the addresses whose connection checks are to be started.
    pub fn take_connection_checks(&mut self) -> Vec<SocketAddr> {
        self.health.take_connection_checks()
    }
}
