//! States of the targets: probing, gossip of states among the instances, and the state in
//! force.
//!
//! A target's state has two origins: the operators, and the instances that probe the target.
//! Each origin has its own last-writer-wins register per target, whose version only rises. The
//! state in force is whichever of the two accepts less new work.

mod assignment;
mod flap_damping;
mod gossip;
mod message;
mod object;
mod path;
mod probe_state;
mod prober;
mod reachability;
mod registers;
mod report;
mod report_filter;
mod state_transition;

pub use message::{Message, Origin, StateChange, StateUpdate, TargetReport};
pub use object::{
    OBJECT_NAME, OperatorStates, RawTargetState, RawTargetStates, parse_operator_states,
};
pub use registers::{Digest, Register, Registers};
pub use report::{ProbeError, ProbeResult, Report, read_report};
pub use report_filter::{CountedLoad, LoadHint, ReportFilter};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::assignment::Members;
use self::flap_damping::FlapDamping;
use self::gossip::{Gossip, Source, send_digest, send_updates};
use self::prober::Prober;
use self::reachability::DomainReachability;
use crate::budget::Class;
use crate::ids::{FailureDomain, InstanceId, TargetId, Version};
use crate::link::Outbox;
use crate::peer::Body;
use crate::placement::TargetState;
use crate::platform::Object;
use crate::services::Services;

/// Time between two path reports about failure domains that may be unreachable.
const PATH_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// State of a target that was last published as a [`StateChange`].
#[derive(Debug, Clone, Copy, Default)]
struct PublishedState {
    version: Version,
    state: TargetState,
}

/// Target states as this instance knows and gossips them.
#[derive(Debug)]
pub struct Targets {
    instance_id: InstanceId,
    registers: Registers,
    gossip: Gossip,
    prober: Prober,
    flap_damping: FlapDamping,
    domains: DomainReachability,
    next_path_report: Duration,
    services: Arc<Services>,
    published: BTreeMap<TargetId, PublishedState>,
    changes: Vec<StateChange>,
    /// Load reports from this instance's own probes, not yet sent to the placers.
    probe_reports: BTreeMap<TargetId, Report>,
    /// Load reports for the targets that this instance places flows on.
    placer_reports: BTreeMap<TargetId, Report>,
    live: Vec<InstanceId>,
}

impl Targets {
    /// Creates the target states of an instance that has received no update yet.
    pub fn new(instance_id: InstanceId, mut rng: SmallRng) -> Self {
        Self {
            instance_id,
            registers: Registers::default(),
            gossip: Gossip::new(instance_id, SmallRng::from_rng(&mut rng)),
            prober: Prober::new(instance_id, rng),
            flap_damping: FlapDamping::default(),
            domains: DomainReachability::default(),
            next_path_report: Duration::ZERO,
            services: Arc::default(),
            published: BTreeMap::default(),
            changes: Vec::new(),
            probe_reports: BTreeMap::default(),
            placer_reports: BTreeMap::default(),
            live: Vec::new(),
        }
    }

    /// Sets the active services.
    pub fn set_services(&mut self, services: Arc<Services>) {
        self.services = Arc::clone(&services);
        self.prober.set_services(services);
    }

    /// Sets the live instances, including this one, with their failure domains.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (InstanceId, FailureDomain)>) {
        let members = Members::new(members);
        self.domains.set_live(members.domains());
        self.prober.set_members(members);
    }

    /// Applies the operators' object from the platform. Objects with other names are ignored.
    pub fn on_object(&mut self, now: Duration, object: &Object, out: &mut Outbox<'_>) {
        if object.name != OBJECT_NAME || object.value.is_null() {
            return;
        }
        match parse_operator_states(&object.value) {
            Ok(states) => {
                self.adopt(now, &states.updates, Source::Local);
                self.gossip.push(now, &self.registers, out);
            }
            Err(findings) => {
                counter!("limpetdeck_objects_refused_total").increment(1);
                log::warn!(
                    object = object.name.as_str(),
                    version = object.version,
                    findings = findings.to_string().as_str();
                    "object_refused"
                );
            }
        }
    }

    /// Handles a message of another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Updates(updates) => {
                self.adopt(now, &updates, Source::Peer);
                self.gossip.push(now, &self.registers, out);
            }
            Message::Digest { digest, is_reply } => self.on_digest(from, &digest, is_reply, out),
            Message::Suspect { target } => {
                self.prober.on_suspect(now, from, target, &self.registers, out);
            }
            Message::Path { domain, reachable: true } => self.domains.answered(now, &domain),
            Message::Path { domain, reachable: false } => self.domains.failed(now, from, &domain),
            Message::Reports(reports) => {
                self.placer_reports
                    .extend(reports.into_iter().map(|entry| (entry.target, entry.report)));
            }
            Message::Opinion { target, reachable } => {
                self.prober.on_opinion(now, from, target, reachable);
                self.update_observed_states(now, out);
            }
        }
    }

    /// Handles the result of a probe.
    pub fn on_probe_result(
        &mut self,
        now: Duration,
        target: TargetId,
        result: ProbeResult,
        out: &mut Outbox<'_>,
    ) {
        self.prober.record_result(now, target, &result);
        match result {
            Ok(report) => {
                self.probe_reports.insert(target, report);
            }
            Err(e) => {
                counter!("limpetdeck_probes_failed_total").increment(1);
                log::debug!(target = target, error = e.to_string().as_str(); "probe_failed");
            }
        }
        self.update_observed_states(now, out);
    }

    /// Sends what is due; to be called about ten times a second. `live` lists all live
    /// instances.
    pub fn tick(&mut self, now: Duration, live: &[InstanceId], out: &mut Outbox<'_>) {
        if self.live != live {
            self.live = live.to_vec();
            self.gossip.set_live(live, &self.registers, out);
        }
        self.prober.tick(now, &self.registers, out);
        self.update_reachability(now, out);
        self.update_observed_states(now, out);
        self.gossip.push(now, &self.registers, out);
        self.gossip.send_digest_if_due(now, &self.registers, out);
    }

    /// Returns the changes of states in force since the last call.
    pub fn take_state_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sends the load reports that this instance has read to the placers of the targets;
    /// `placer` returns the placer of a target.
    pub fn send_reports(
        &mut self,
        placer: impl Fn(TargetId) -> Option<InstanceId>,
        out: &mut Outbox<'_>,
    ) {
        let mut by_placer: BTreeMap<InstanceId, Vec<TargetReport>> = BTreeMap::default();
        for (target, report) in std::mem::take(&mut self.probe_reports) {
            let Some(placer) = placer(target).filter(|_| self.prober.is_first_prober(target))
            else {
                continue;
            };
            by_placer.entry(placer).or_default().push(TargetReport { target, report });
        }
        if let Some(own) = by_placer.remove(&self.instance_id) {
            self.placer_reports.extend(own.into_iter().map(|entry| (entry.target, entry.report)));
        }
        for (placer, reports) in by_placer {
            out.send(placer, Class::Bulk, &Body::Targets(Message::Reports(reports)));
        }
    }

    /// Returns the latest load report of each target that this instance has received as a
    /// placer since the last call.
    pub fn take_reports(&mut self) -> BTreeMap<TargetId, Report> {
        std::mem::take(&mut self.placer_reports)
    }

    /// Returns the registers of all targets.
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    fn adopt(&mut self, now: Duration, updates: &[StateUpdate], source: Source) {
        for update in updates {
            if self.registers.adopt(update) {
                self.gossip.enqueue(now, update, source);
                self.on_new_update(now, update);
            } else if source == Source::Peer
                && self.registers.state_update(update.target, update.origin).as_ref()
                    == Some(update)
            {
                self.gossip.record_duplicate(update);
            }
        }
    }

    /// Handles an update that replaced an older one in the registers.
    fn on_new_update(&mut self, now: Duration, update: &StateUpdate) {
        let &StateUpdate { target, origin, version, state } = update;
        log::info!(
            instance = self.instance_id,
            target = target,
            origin = origin.to_string().as_str(),
            version = version,
            state = state.to_string().as_str();
            "target_stated"
        );
        if origin == Origin::Observed {
            self.flap_damping.record_state(now, target, state);
            self.prober.on_state_update(now, target);
        }
        self.publish_state(target);
    }

    /// Publishes the state in force of a target if it has changed.
    fn publish_state(&mut self, target: TargetId) {
        let state = self.effective_state(target);
        let last = self.published.entry(target).or_default();
        if last.state == state {
            return;
        }
        *last = PublishedState { version: last.version + 1, state };
        let name = state.to_string();
        log::info!(instance = self.instance_id, target = target, state = name.as_str(); "target_state");
        counter!("limpetdeck_target_changes_total", "state" => name).increment(1);
        self.changes.push(StateChange { target, version: last.version, state });
    }

    fn effective_state(&self, target: TargetId) -> TargetState {
        let state = self.registers.effective(target);
        let found = self.services.target(target);
        match found.is_some_and(|(_, target)| self.domains.is_unreachable(&target.failure_domain)) {
            true => state.max(TargetState::Shedding),
            false => state,
        }
    }

    /// Determines which failure domains are unreachable.
    fn update_reachability(&mut self, now: Duration, out: &mut Outbox<'_>) {
        for (domain, at) in self.prober.last_answers() {
            self.domains.answered(at, domain);
        }
        for domain in self.prober.broken_paths() {
            self.domains.failed(now, self.instance_id, domain);
        }
        for domain in self.domains.update(now) {
            let is_unreachable = self.domains.is_unreachable(&domain);
            log::warn!(
                instance = self.instance_id,
                failure_domain = domain.as_str(),
                out_of_reach = is_unreachable;
                "failure_domain"
            );
            self.publish_domain_states(&domain);
        }
        if now >= self.next_path_report {
            self.next_path_report = now + PATH_REPORT_INTERVAL;
            self.send_path_reports(now, out);
        }
    }

    /// Reports whether this instance's probes reach the failure domains that may be
    /// unreachable.
    fn send_path_reports(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let fresh = |at: Duration| now.saturating_sub(at) <= PATH_REPORT_INTERVAL;
        let answers = self.prober.last_answers().into_iter();
        let reachable = answers
            .filter(|(domain, at)| fresh(*at) && self.domains.may_be_unreachable(domain))
            .map(|(domain, _)| Message::Path { domain: domain.clone(), reachable: true });
        let broken = self.prober.broken_paths().iter();
        let broken =
            broken.map(|domain| Message::Path { domain: domain.clone(), reachable: false });
        for body in reachable.chain(broken).map(Body::Targets).collect::<Vec<_>>() {
            for peer in self.gossip.recipients() {
                out.send(peer, Class::Epochs, &body);
            }
        }
    }

    fn publish_domain_states(&mut self, domain: &FailureDomain) {
        let services = Arc::clone(&self.services);
        let targets = services.list().iter().flat_map(|service| &service.targets);
        for target in targets.filter(|target| target.failure_domain == *domain) {
            self.publish_state(target.id);
        }
    }

    /// Updates the observed states from the results of this instance's probes.
    fn update_observed_states(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let observed = self.prober.observed_changes(now, &self.registers, &self.flap_damping);
        if observed.is_empty() {
            return;
        }
        let updates: Vec<_> = observed
            .into_iter()
            .filter(|(target, state)| {
                let found = self.services.target(*target);
                let domain = found.map(|(_, target)| &target.failure_domain);
                *state != TargetState::Dead
                    || !domain.is_some_and(|domain| self.domains.is_silent(domain))
            })
            .map(|(target, state)| {
                let version = self.registers.get(target, Origin::Observed).version + 1;
                StateUpdate { target, origin: Origin::Observed, version, state }
            })
            .collect();
        self.adopt(now, &updates, Source::Local);
        self.gossip.push(now, &self.registers, out);
    }

    /// Sends a peer whose digest differs what it may lack, and requests what is lacking here.
    fn on_digest(
        &mut self,
        from: InstanceId,
        digest: &Digest,
        is_reply: bool,
        out: &mut Outbox<'_>,
    ) {
        if digest == self.registers.digest() {
            return;
        }
        send_updates(from, &self.registers.differing(digest), out);
        if !is_reply {
            send_digest(from, &self.registers, true, out);
        }
    }
}
