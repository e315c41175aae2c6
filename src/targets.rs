//! In which state the targets are: probing, spread of states, and what a state changes.
//!
//! Two origins state what a target does: the operators, and the instances that probe it.
//! Each has a register of its own for each target, in which versions only rise. In force is
//! the one of the two states that takes less new work.

mod flapping;
mod message;
mod object;
mod probers;
mod probing;
mod registers;
mod report;
mod report_filter;
mod spread;
mod watch;

pub use message::{Message, Origin, StateChange, Statement};
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
use self::spread::{Source, Spread, send_digest, send_states};
use crate::ids::{FailureDomain, InstanceId, TargetId, Version};
use crate::link::Outbox;
use crate::placement::TargetState;
use crate::platform::Object;
use crate::services::Services;

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
    handed_on: BTreeMap<TargetId, HandedOn>,
    news: Vec<StateChange>,
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
            handed_on: BTreeMap::default(),
            news: Vec::new(),
            reports: BTreeMap::default(),
            live: Vec::new(),
        }
    }

    /// Takes the services that are in force.
    pub fn set_services(&mut self, services: Arc<Services>) {
        self.probing.set_services(services);
    }

    /// Takes the live instances, this one among them, with their failure domains.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (InstanceId, FailureDomain)>) {
        self.probing.set_members(Members::new(members));
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
                self.reports.insert(target, report);
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
        self.conclude(now, out);
        self.spread.tell(now, &self.registers, out);
        self.spread.compare(now, &self.registers, out);
    }

    /// Returns the states that came into force since the last call.
    pub fn take_news(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.news)
    }

    /// Returns the load reports that this instance has read since the last call, the last
    /// one of each target.
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

    /// Hands on what a new statement changes.
    fn note(&mut self, now: Duration, statement: &Statement) {
        let &Statement { target, origin, version, state } = statement;
        if origin == Origin::Observed {
            self.flapping.observed(now, target, state);
            self.probing.stated(now, target);
        }
        let effective = self.registers.effective(target);
        let last = self.handed_on.entry(target).or_default();
        if last.state == effective {
            return;
        }
        *last = HandedOn { version: last.version + 1, state: effective };
        let state_name = effective.to_string();
        log::info!(
            instance = self.me,
            target = target,
            state = state_name.as_str(),
            origin = format!("{origin:?}").to_lowercase().as_str(),
            version = version;
            "target_state"
        );
        counter!("limpetdeck_target_changes_total", "state" => state_name).increment(1);
        self.news.push(StateChange { target, version: last.version, state: effective });
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
