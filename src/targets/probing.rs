//! The targets that this instance probes, and what it concludes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::conclusion::{Reported, next_state};
use super::path::{self, ENOUGH, Path};
use super::probers::Members;
use super::watch::Watch;
use super::{Flapping, Message, Origin, ProbeResult, Registers};
use crate::budget::Class;
use crate::ids::{FailureDomain, InstanceId, TargetId};
use crate::instance::Action;
use crate::link::Outbox;
use crate::peer::Body;
use crate::placement::TargetState;
use crate::services::{Services, Target};

/// Least time between two probes of one target.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Least time between two probes of one instance, while all go well.
const PROBE_PAUSE: Duration = Duration::from_millis(700);
/// Time between two questions to the other probers while a target does not answer.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// The same once the target has failed for long.
const ASK_SELDOM: Duration = Duration::from_secs(5);
/// Time for which a target of other probers is probed too.
const EXTRA_TIME: Duration = Duration::from_secs(10);
/// Targets of other probers that are probed when an own one fails.
const EXTRA_TARGETS: usize = 3;
/// Reports in a row before a target that died once is back.
const ALIVE_AGAIN: u32 = 3;
/// Time that a target counts as cold after it came back.
const WARM_UP: Duration = Duration::from_secs(30);

/// The probes of one instance.
#[derive(Debug)]
pub(super) struct Probing {
    me: InstanceId,
    services: Arc<Services>,
    members: Members,
    watches: BTreeMap<TargetId, Watch>,
    /// Failure domains to which the path seems broken.
    broken: BTreeSet<FailureDomain>,
    every: Duration,
    stale: bool,
    rng: SmallRng,
}

impl Probing {
    pub(super) fn new(me: InstanceId, rng: SmallRng) -> Self {
        Self {
            me,
            services: Arc::default(),
            members: Members::default(),
            watches: BTreeMap::default(),
            broken: BTreeSet::default(),
            every: PROBE_EVERY,
            stale: false,
            rng,
        }
    }

    pub(super) fn set_services(&mut self, services: Arc<Services>) {
        self.services = services;
        self.stale = true;
    }

    pub(super) fn set_members(&mut self, members: Members) {
        self.members = members;
        self.stale = true;
    }

    /// Sends the probes and questions that are due.
    pub(super) fn tick(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        if std::mem::take(&mut self.stale) {
            self.assign(now);
        }
        self.watches.retain(|_, watch| watch.until.is_none_or(|until| now < until));
        self.check_paths(now, registers);
        for (&target, watch) in &mut self.watches {
            if watch.start(now, self.every) {
                out.act(Action::Probe(target, watch.report.clone()));
            }
        }
        self.ask_others(now, registers, out);
    }

    /// Asks the other probers about targets that do not answer.
    fn ask_others(&mut self, now: Duration, registers: &Registers, out: &mut Outbox<'_>) {
        let due = |target: TargetId, watch: &Watch| {
            watch.until.is_none()
                && watch.fails()
                && now >= watch.next_ask
                && !is_known_dead(registers, target)
                && self.path(now, watch, registers) == Path::Works
        };
        let due: Vec<_> = self
            .watches
            .iter()
            .filter(|(target, watch)| due(**target, watch))
            .map(|(&target, _)| target)
            .collect();
        for target in due {
            let Some(watch) = self.watches.get_mut(&target) else { continue };
            watch.next_ask = now + if watch.settled() { ASK_SELDOM } else { ASK_EVERY };
            ask(self.me, target, watch, out);
        }
    }

    /// Returns when a target of each failure domain last answered.
    pub(super) fn reached(&self) -> BTreeMap<&FailureDomain, Duration> {
        let mut reached = BTreeMap::default();
        for watch in self.watches.values() {
            if let Some(at) = watch.answered_at() {
                let last = reached.entry(&watch.domain).or_insert(at);
                *last = at.max(*last);
            }
        }
        reached
    }

    /// Returns the failure domains to which the path seems broken.
    pub(super) fn broken(&self) -> &BTreeSet<FailureDomain> {
        &self.broken
    }

    /// Tells whether this instance is the first prober of a target.
    pub(super) fn is_first(&self, target: TargetId) -> bool {
        let watch = self.watches.get(&target).filter(|watch| watch.until.is_none());
        watch.is_some_and(|watch| watch.probers.first() == Some(&self.me))
    }

    /// Takes the result of a probe.
    pub(super) fn done(&mut self, now: Duration, target: TargetId, result: &ProbeResult) {
        if let Some(watch) = self.watches.get_mut(&target) {
            watch.done(now, result, self.every);
        }
    }

    /// Probes a target that another prober suspects, and answers with what is known.
    pub(super) fn suspected(
        &mut self,
        now: Duration,
        from: InstanceId,
        target: TargetId,
        registers: &Registers,
        out: &mut Outbox<'_>,
    ) {
        self.watch_extra(now, target);
        let Some(watch) = self.watches.get_mut(&target) else { return };
        watch.hurry(now);
        let watch = &self.watches[&target];
        let answers = !watch.fails() && watch.fresh(now, PROBE_EVERY);
        let gone = watch.unreachable() && self.path(now, watch, registers) == Path::Works;
        if answers || gone {
            let message = Message::Opinion { target, reachable: answers };
            out.send(from, Class::Epochs, &Body::Targets(message));
        }
    }

    /// Takes the opinion of another prober.
    pub(super) fn heard(
        &mut self,
        now: Duration,
        from: InstanceId,
        target: TargetId,
        reachable: bool,
    ) {
        if let Some(watch) = self.watches.get_mut(&target) {
            watch.heard(now, from, reachable);
        }
    }

    /// Notes that probers have stated something new of a target.
    pub(super) fn stated(&mut self, now: Duration, target: TargetId) {
        if let Some(watch) = self.watches.get_mut(&target) {
            watch.stated(now);
        }
    }

    /// Returns the states that differ from what is known.
    pub(super) fn conclude(
        &mut self,
        now: Duration,
        registers: &Registers,
        flapping: &Flapping,
    ) -> Vec<(TargetId, TargetState)> {
        let mut concluded = Vec::new();
        for (&target, watch) in self.watches.iter().filter(|(_, watch)| watch.until.is_none()) {
            let known = registers.get(target, Origin::Observed).state;
            let state = match watch.reported() {
                Some((state, times)) => {
                    let needed = ALIVE_AGAIN * flapping.factor(now, target);
                    let warm = flapping.cold_for(now, target) >= WARM_UP;
                    next_state(known, Reported { state, times, needed, warm })
                }
                None if self.is_dead(now, watch, registers) => TargetState::Dead,
                None => known,
            };
            if state != known {
                concluded.push((target, state));
            }
        }
        concluded
    }

    fn is_dead(&self, now: Duration, watch: &Watch, registers: &Registers) -> bool {
        watch.unreachable()
            && watch.others_agree(now, self.me)
            && self.path(now, watch, registers) == Path::Works
    }

    fn path(&self, now: Duration, watch: &Watch, registers: &Registers) -> Path {
        let age = self.every * 2;
        let alive = |id| !is_known_dead(registers, id);
        let since = self
            .watches
            .iter()
            .filter(|(id, other)| other.fresh(now, age) && other.ended_since(watch) && alive(**id));
        let since: Vec<_> = since.map(|(_, other)| other).collect();
        path::judge(now, watch, &since, || {
            let near = probed(&self.services)
                .filter(|target| target.failure_domain == watch.domain && alive(target.id));
            near.count()
        })
    }

    /// Finds out whether it is the path that is broken where targets do not answer.
    fn check_paths(&mut self, now: Duration, registers: &Registers) {
        let failing: Vec<_> = self
            .watches
            .iter()
            .filter(|(id, watch)| watch.fails() && !is_known_dead(registers, **id))
            .map(|(&id, watch)| (id, self.path(now, watch, registers)))
            .collect();
        self.broken.clear();
        let mut domains = BTreeSet::default();
        for (target, path) in failing {
            let Some(watch) = self.watches.get_mut(&target) else { continue };
            match path {
                Path::Works => watch.trust_path(now),
                Path::Broken => watch.doubt(),
                Path::Unknown => {}
            }
            let domain = watch.domain.clone();
            if path == Path::Broken {
                self.broken.insert(domain.clone());
            }
            self.hurry_others(now, target);
            domains.insert(domain);
        }
        for domain in domains {
            self.choose_extra(now, &domain, registers);
        }
    }

    /// Probes some other targets of a failure domain again that answered before this one
    /// began to fail.
    fn hurry_others(&mut self, now: Duration, target: TargetId) {
        let Some(failing) = self.watches.get(&target) else { return };
        let near = self.watches.iter().filter(|(_, other)| other.domain == failing.domain);
        let old = near.filter(|(_, other)| !other.fails()).take(ENOUGH);
        let old: Vec<_> =
            old.filter(|(_, other)| !other.ended_since(failing)).map(|(&id, _)| id).collect();
        for id in old {
            if let Some(watch) = self.watches.get_mut(&id) {
                watch.hurry(now);
            }
        }
    }

    /// Probes targets of other probers too, so that there is enough to compare with.
    fn choose_extra(&mut self, now: Duration, domain: &FailureDomain, registers: &Registers) {
        let extra = self.watches.values().filter(|watch| watch.until.is_some());
        if extra.filter(|watch| watch.domain == *domain).count() >= EXTRA_TARGETS {
            return;
        }
        let services = Arc::clone(&self.services);
        let unknown = probed(&services).filter(|target| {
            !self.watches.contains_key(&target.id) && !is_known_dead(registers, target.id)
        });
        let (near, far): (Vec<_>, Vec<_>) =
            unknown.partition(|target| target.failure_domain == *domain);
        let anywhere = near.is_empty();
        let counts =
            |watch: &&Watch| watch.until.is_some() && (anywhere || watch.domain == *domain);
        let missing = EXTRA_TARGETS.saturating_sub(self.watches.values().filter(counts).count());
        let candidates = if anywhere { far } else { near };
        let chosen = candidates.into_iter().choose_multiple(&mut self.rng, missing);
        for target in chosen {
            self.watch_extra(now, target.id);
        }
    }

    fn watch_extra(&mut self, now: Duration, target: TargetId) {
        let services = Arc::clone(&self.services);
        let Some((_, target)) = services.target(target) else { return };
        if let Some(watch) = self.watches.get_mut(&target.id) {
            if watch.until.is_some() {
                watch.until = Some(now + EXTRA_TIME);
            }
            return;
        }
        let Some(report) = target.report.clone() else { return };
        let probers = self.members.probers(target);
        let mut watch = Watch::new(report, target.failure_domain.clone(), probers, now);
        watch.until = Some(now + EXTRA_TIME);
        self.watches.insert(target.id, watch);
    }

    /// Finds the targets that this instance has to probe.
    fn assign(&mut self, now: Duration) {
        let services = Arc::clone(&self.services);
        let mut old = std::mem::take(&mut self.watches);
        for target in probed(&services) {
            if !self.members.may_probe(self.me, target) {
                continue;
            }
            let probers = self.members.probers(target);
            if probers.contains(&self.me) {
                self.assign_one(now, target, probers, old.remove(&target.id));
            }
        }
        let own = u32::try_from(self.watches.len()).unwrap_or(u32::MAX);
        self.every = PROBE_EVERY.max(PROBE_PAUSE * own);
        let extra = old.into_iter().filter(|(_, watch)| watch.until.is_some());
        self.watches.extend(extra);
    }

    /// Goes on to probe a target, or begins at a random time, so that probes spread.
    fn assign_one(
        &mut self,
        now: Duration,
        target: &Target,
        probers: Vec<InstanceId>,
        old: Option<Watch>,
    ) {
        let Some(report) = target.report.clone() else { return };
        let watch = match old.filter(|watch| watch.report == report) {
            Some(watch) => watch.assigned(probers),
            None => {
                let next = now + PROBE_EVERY.mul_f64(self.rng.random());
                Watch::new(report, target.failure_domain.clone(), probers, next)
            }
        };
        self.watches.insert(target.id, watch);
    }
}

fn is_known_dead(registers: &Registers, target: TargetId) -> bool {
    registers.get(target, Origin::Observed).state == TargetState::Dead
}

/// Returns the targets that have a load report.
fn probed(services: &Services) -> impl Iterator<Item = &Target> {
    let all = services.list().iter().flat_map(|service| &service.targets);
    all.filter(|target| target.report.is_some())
}

fn ask(me: InstanceId, target: TargetId, watch: &Watch, out: &mut Outbox<'_>) {
    let body = Body::Targets(Message::Suspect { target });
    for &other in watch.probers.iter().filter(|&&id| id != me) {
        out.send(other, Class::Epochs, &body);
    }
}
