//! In which state the targets are: probing, spread of states, and what a state changes.
//!
//! Two origins state what a target does: the operators, and the instances that probe it.
//! Each has a register of its own for each target, in which versions only rise. In force is
//! the one of the two states that takes less new work.

mod conclusion;
mod flapping;
mod message;
mod object;
mod path;
mod probers;
mod probing;
mod reach;
mod registers;
mod report;
mod report_filter;
mod spread;
mod watch;

pub use message::{Message, Origin, StateChange, Statement, TargetReport};
pub use object::{OBJECT_NAME, OperatorStates, RawTargetState, RawTargetStates, from_value};
pub use registers::{Digest, Register, Registers};
pub use report::{ProbeError, ProbeResult, Report, read_report};
pub use report_filter::{LoadHint, ReportFilter, Seen};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::flapping::Flapping;
use self::probers::Members;
use self::probing::Probing;
use self::reach::Reach;
use self::spread::{Source, Spread, send_digest, send_states};
use crate::budget::Class;
use crate::ids::{FailureDomain, InstanceId, TargetId, Version};
use crate::link::Outbox;
use crate::peer::Body;
use crate::placement::TargetState;
use crate::platform::Object;
use crate::services::Services;

/// Time between two messages about failure domains whose reach is in doubt.
const PATHS_EVERY: Duration = Duration::from_secs(2);

/// What was last handed on about a target.
#[derive(Debug, Clone, Copy, Default)]
struct HandedOn {
    version: Version,
    state: TargetState,
}

/// The states of targets as this instance knows and spreads them.
#[derive(Debug)]
pub struct Targets {
    me: InstanceId,
    registers: Registers,
    spread: Spread,
    probing: Probing,
    flapping: Flapping,
    reach: Reach,
    next_paths: Duration,
    services: Arc<Services>,
    handed_on: BTreeMap<TargetId, HandedOn>,
    news: Vec<StateChange>,
    /// Reports that this instance has read.
    read: BTreeMap<TargetId, Report>,
    /// Reports for this instance as a placer.
    reports: BTreeMap<TargetId, Report>,
    live: Vec<InstanceId>,
}

impl Targets {
    /// Makes states of which nothing is known yet.
    pub fn new(me: InstanceId, mut rng: SmallRng) -> Self {
        Self {
            me,
            registers: Registers::default(),
            spread: Spread::new(me, SmallRng::from_rng(&mut rng)),
            probing: Probing::new(me, rng),
            flapping: Flapping::default(),
            reach: Reach::default(),
            next_paths: Duration::ZERO,
            services: Arc::default(),
            handed_on: BTreeMap::default(),
            news: Vec::new(),
            read: BTreeMap::default(),
            reports: BTreeMap::default(),
            live: Vec::new(),
        }
    }

    /// Takes the services that are in force.
    pub fn set_services(&mut self, services: Arc<Services>) {
        self.services = Arc::clone(&services);
        self.probing.set_services(services);
    }

    /// Takes the live instances, this one among them, with their failure domains.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (InstanceId, FailureDomain)>) {
        let members = Members::new(members);
        self.reach.set_live(members.domains());
        self.probing.set_members(members);
    }

    /// Takes an object that the platform gave; one that is no state is passed over.
    pub fn on_object(&mut self, now: Duration, object: &Object, out: &mut Outbox<'_>) {
        if object.name != OBJECT_NAME || object.value.is_null() {
            return;
        }
        match from_value(&object.value) {
            Ok(states) => {
                self.adopt(now, &states.statements, Source::First);
                self.spread.tell(now, &self.registers, out);
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

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::States(statements) => {
                self.adopt(now, &statements, Source::Peer);
                self.spread.tell(now, &self.registers, out);
            }
            Message::Digest { digest, answer } => self.compare(from, &digest, answer, out),
            Message::Suspect { target } => {
                self.probing.suspected(now, from, target, &self.registers, out);
            }
            Message::Path { domain, works: true } => self.reach.reached(now, &domain),
            Message::Path { domain, works: false } => self.reach.broken(now, from, &domain),
            Message::Reports(reports) => {
                self.reports.extend(reports.into_iter().map(|said| (said.target, said.report)));
            }
            Message::Opinion { target, reachable } => {
                self.probing.heard(now, from, target, reachable);
                self.conclude(now, out);
            }
        }
    }

    /// Takes the result of a probe.
    pub fn on_probed(
        &mut self,
        now: Duration,
        target: TargetId,
        result: ProbeResult,
        out: &mut Outbox<'_>,
    ) {
        self.probing.done(now, target, &result);
        match result {
            Ok(report) => {
                self.read.insert(target, report);
            }
            Err(e) => {
                counter!("limpetdeck_probes_failed_total").increment(1);
                log::debug!(target = target, error = e.to_string().as_str(); "probe_failed");
            }
        }
        self.conclude(now, out);
    }

    /// Advances time; due about ten times a second. `live` are all live instances.
    pub fn tick(&mut self, now: Duration, live: &[InstanceId], out: &mut Outbox<'_>) {
        if self.live != live {
            self.live = live.to_vec();
            self.spread.set_live(live, &self.registers, out);
        }
        self.probing.tick(now, &self.registers, out);
        self.judge_reach(now, out);
        self.conclude(now, out);
        self.spread.tell(now, &self.registers, out);
        self.spread.compare(now, &self.registers, out);
    }

    /// Returns the states that came into force since the last call.
    pub fn take_news(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.news)
    }

    /// Hands the reports that this instance has read to those that place flows on the
    /// targets; `placer` names them.
    pub fn tell_reports(
        &mut self,
        placer: impl Fn(TargetId) -> Option<InstanceId>,
        out: &mut Outbox<'_>,
    ) {
        let mut by_placer: BTreeMap<InstanceId, Vec<TargetReport>> = BTreeMap::default();
        for (target, report) in std::mem::take(&mut self.read) {
            let Some(placer) = placer(target).filter(|_| self.probing.is_first(target)) else {
                continue;
            };
            by_placer.entry(placer).or_default().push(TargetReport { target, report });
        }
        if let Some(mine) = by_placer.remove(&self.me) {
            self.reports.extend(mine.into_iter().map(|said| (said.target, said.report)));
        }
        for (placer, reports) in by_placer {
            out.send(placer, Class::Bulk, &Body::Targets(Message::Reports(reports)));
        }
    }

    /// Returns the last report of each target that reached this instance as a placer since
    /// the last call.
    pub fn take_reports(&mut self) -> BTreeMap<TargetId, Report> {
        std::mem::take(&mut self.reports)
    }

    /// Returns what is stated of the targets.
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    fn adopt(&mut self, now: Duration, statements: &[Statement], source: Source) {
        for statement in statements {
            if self.registers.adopt(statement) {
                self.spread.begin(now, statement, source);
                self.note(now, statement);
            } else if source == Source::Peer
                && self.registers.statement(statement.target, statement.origin).as_ref()
                    == Some(statement)
            {
                self.spread.heard_again(statement);
            }
        }
    }

    /// Notes a new statement.
    fn note(&mut self, now: Duration, statement: &Statement) {
        let &Statement { target, origin, version, state } = statement;
        log::info!(
            instance = self.me,
            target = target,
            origin = origin.to_string().as_str(),
            version = version,
            state = state.to_string().as_str();
            "target_stated"
        );
        if origin == Origin::Observed {
            self.flapping.observed(now, target, state);
            self.probing.stated(now, target);
        }
        self.hand_on(target);
    }

    /// Hands on the state in force of a target if it has changed.
    fn hand_on(&mut self, target: TargetId) {
        let state = self.in_force(target);
        let last = self.handed_on.entry(target).or_default();
        if last.state == state {
            return;
        }
        *last = HandedOn { version: last.version + 1, state };
        let name = state.to_string();
        log::info!(instance = self.me, target = target, state = name.as_str(); "target_state");
        counter!("limpetdeck_target_changes_total", "state" => name).increment(1);
        self.news.push(StateChange { target, version: last.version, state });
    }

    fn in_force(&self, target: TargetId) -> TargetState {
        let stated = self.registers.effective(target);
        let found = self.services.target(target);
        match found.is_some_and(|(_, target)| self.reach.is_out(&target.failure_domain)) {
            true => stated.max(TargetState::Shedding),
            false => stated,
        }
    }

    /// Judges which failure domains are out of reach.
    fn judge_reach(&mut self, now: Duration, out: &mut Outbox<'_>) {
        for (domain, at) in self.probing.reached() {
            self.reach.reached(at, domain);
        }
        for domain in self.probing.broken() {
            self.reach.broken(now, self.me, domain);
        }
        for domain in self.reach.update(now) {
            let is_out = self.reach.is_out(&domain);
            log::warn!(
                instance = self.me,
                failure_domain = domain.as_str(),
                out_of_reach = is_out;
                "failure_domain"
            );
            self.hand_on_domain(&domain);
        }
        if now >= self.next_paths {
            self.next_paths = now + PATHS_EVERY;
            self.tell_paths(now, out);
        }
    }

    /// Tells what probes show of the failure domains whose reach is in doubt.
    fn tell_paths(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let fresh = |at: Duration| now.saturating_sub(at) <= PATHS_EVERY;
        let reached = self.probing.reached().into_iter();
        let works = reached
            .filter(|(domain, at)| fresh(*at) && self.reach.in_doubt(domain))
            .map(|(domain, _)| Message::Path { domain: domain.clone(), works: true });
        let broken = self.probing.broken().iter();
        let broken = broken.map(|domain| Message::Path { domain: domain.clone(), works: false });
        for body in works.chain(broken).map(Body::Targets).collect::<Vec<_>>() {
            for peer in self.spread.audience() {
                out.send(peer, Class::Epochs, &body);
            }
        }
    }

    fn hand_on_domain(&mut self, domain: &FailureDomain) {
        let services = Arc::clone(&self.services);
        let targets = services.list().iter().flat_map(|service| &service.targets);
        for target in targets.filter(|target| target.failure_domain == *domain) {
            self.hand_on(target.id);
        }
    }

    /// States what the probes show, if it is new.
    fn conclude(&mut self, now: Duration, out: &mut Outbox<'_>) {
        let concluded = self.probing.conclude(now, &self.registers, &self.flapping);
        if concluded.is_empty() {
            return;
        }
        let statements: Vec<_> = concluded
            .into_iter()
            .map(|(target, state)| {
                let version = self.registers.get(target, Origin::Observed).version + 1;
                Statement { target, origin: Origin::Observed, version, state }
            })
            .collect();
        self.adopt(now, &statements, Source::First);
        self.spread.tell(now, &self.registers, out);
    }

    /// Sends what a peer with another digest may lack, and asks for what is lacking here.
    fn compare(&mut self, from: InstanceId, digest: &Digest, answer: bool, out: &mut Outbox<'_>) {
        if digest == self.registers.digest() {
            return;
        }
        send_states(from, &self.registers.differing(digest), out);
        if !answer {
            send_digest(from, &self.registers, true, out);
        }
    }
}
