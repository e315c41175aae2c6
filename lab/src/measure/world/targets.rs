//! The targets of a run: changes of state, what they report, and their balance.

use std::time::Duration;

use limpetdeck::ids::ServiceId;
use limpetdeck::packet::Segment;
use limpetdeck::placement::TargetState;
use limpetdeck::platform::{PlatformError, Reply};
use limpetdeck::targets::{OBJECT_NAME, RawTargetState, RawTargetStates, StateChange};
use rand::Rng;

use super::{SAMPLE_EVERY, WARM, What, World};
use crate::measure::figures::add_ratio;
use crate::measure::node::takes_new;
use crate::measure::settings::Policy;
use crate::measure::traffic::{Effects, Host, Kind, Report};

/// Time after a leaving is known from which its target gets no new work.
const LATE: Duration = Duration::from_secs(3);
/// Longest time in which an instance that does not probe is told of a target's state.
const TOLD_WITHIN: Duration = Duration::from_millis(1_000);

impl World {
    /// Changes the state of a target, which says so itself when it is probed.
    pub fn set_host(&mut self, index: usize, state: TargetState) {
        self.hosts[index].says = state;
        self.change_host(index, state);
    }

    /// Changes the state of a target by the operators' object; the target says nothing.
    pub fn operate_host(&mut self, index: usize, state: TargetState) {
        self.change_host(index, state);
        let id = self.hosts[index].id;
        let object = self.platform.store.get(OBJECT_NAME);
        let raw = object.and_then(|o| serde_json::from_value(o.value.clone()).ok());
        let mut raw: RawTargetStates = raw.unwrap_or_default();
        raw.targets.retain(|target| target.id != id);
        raw.targets.push(RawTargetState { id, state, version: self.states_told });
        if let Ok(value) = serde_json::to_value(raw) {
            // An unconditional write does not conflict.
            let _ = self.platform.store.put(OBJECT_NAME, None, value);
        }
        let answers = self.platform.wake(self.now);
        self.deliver(answers);
    }

    fn change_host(&mut self, index: usize, state: TargetState) {
        let host = &mut self.hosts[index];
        match state {
            TargetState::Dead => host.kill(),
            state => host.state = state,
        }
        host.leaving_known = None;
        self.central.borrow_mut().target(host.id).state = state;
        self.announce(index, state);
    }

    /// Tells the state of a target to instances that do not probe.
    fn announce(&mut self, index: usize, state: TargetState) {
        self.states_told += 1;
        let change = StateChange { target: self.hosts[index].id, version: self.states_told, state };
        self.told.insert(change.target, change);
        if self.settings.policy != Policy::Naive {
            return;
        }
        for member in self.running() {
            let after = TOLD_WITHIN.mul_f64(self.rng.random()) + self.lag(member);
            self.schedule(after, What::Told(member, change));
            if state == TargetState::Draining {
                self.later(after, move |world| world.note_leaving(index));
            }
        }
    }

    /// Notes that an instance has come to know of a target's leaving.
    pub(super) fn note_leaving(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.state == TargetState::Draining {
            host.leaving_known.get_or_insert(self.now);
        }
    }

    /// Looks whether an answer of the platform tells that targets are leaving.
    pub(super) fn note_drained(&mut self, result: &Result<Reply, PlatformError>) {
        let Ok(Reply::Changes(changes)) = result else { return };
        if changes.objects.iter().any(|object| object.name == OBJECT_NAME) {
            (0..self.hosts.len()).for_each(|index| self.note_leaving(index));
        }
    }

    pub(super) fn reach_host(&mut self, index: usize, segment: &Segment) {
        let dialled = self.callers.at(segment.source).map(|c| self.callers.list[c].service);
        let host = &mut self.hosts[index];
        let own = self.services.list().iter().find(|service| service.id == host.service);
        if dialled != own.map(|service| service.address) {
            self.figures.wrong_service += 1;
        }
        let mut out = Effects::default();
        host.receive(self.now, segment, &mut self.rng, &mut out);
        self.host_sends(index, out);
    }

    /// Takes what a target has to tell into the figures.
    pub(super) fn note_reports(&mut self, index: usize) {
        for ((address, opening), report) in std::mem::take(&mut self.hosts[index].reports) {
            let caller =
                self.callers.at(address).filter(|&c| self.callers.list[c].opening == opening);
            match report {
                Report::Opened => {
                    caller.iter().for_each(|&c| self.callers.list[c].host = Some(index));
                    self.note_new_work(index);
                }
                Report::Started(wait) => {
                    *self.figures.runs.entry((address, opening)).or_default() += 1;
                    if self.now >= WARM && crate::measure::traffic::uses_slot(address) {
                        self.figures.slot_wait.add(wait.as_micros() as u64);
                    }
                }
                Report::Finished => {
                    if caller.is_none_or(|c| {
                        !std::mem::replace(&mut self.callers.list[c].finished, true)
                    }) {
                        self.central.borrow_mut().done(self.hosts[index].id);
                    }
                }
            }
        }
    }

    fn note_new_work(&mut self, index: usize) {
        let Some(known) = self.hosts[index].leaving_known else { return };
        let delay = self.now.saturating_sub(known);
        self.figures.new_work_delay = self.figures.new_work_delay.max(delay);
        self.figures.late_new_work += u64::from(delay > LATE);
    }

    /// Looks at the balance, at the fabric and at what has waited on the platform.
    pub(super) fn sample(&mut self) {
        self.watch_members();
        let answers = self.platform.wake(self.now);
        self.deliver(answers);
        if self.now >= self.balance_from {
            let services: Vec<_> = self.services.list().iter().map(|s| s.id).collect();
            let open = services.iter().map(|&s| self.imbalance(s, Host::open));
            let open = open.fold(0.0, f64::max);
            let work = services.iter().map(|&s| self.imbalance(s, Host::work));
            let work = work.fold(0.0, f64::max);
            add_ratio(&mut self.figures.imbalance, open);
            add_ratio(&mut self.figures.slot_imbalance, work);
        }
        if self.burst.began() {
            let bursting = self.hosts.iter().map(|host| host.open_of(Kind::Burst)).sum();
            self.burst.note_open(bursting);
        }
        if self.now >= WARM && self.now.subsec_millis() == 0 {
            let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
            let largest = nodes.map(|node| node.state_bytes()).max().unwrap_or(0);
            self.figures.state_bytes = self.figures.state_bytes.max(largest);
            let open = self.hosts.iter().map(Host::open).sum();
            self.figures.open_flows = self.figures.open_flows.max(open);
        }
        self.schedule(SAMPLE_EVERY, What::Sample);
    }

    /// Returns the busiest target's part over its fair share, among those that serve.
    fn imbalance(&self, service: ServiceId, count: impl Fn(&Host) -> usize) -> f64 {
        let serving: Vec<_> = self
            .hosts
            .iter()
            .filter(|host| host.service == service && takes_new(host.state))
            .collect();
        let total: usize = serving.iter().map(|host| count(host)).sum();
        let weights: u32 = serving.iter().map(|host| host.weight).sum();
        let part = |host: &&Host| {
            let fair = total as f64 * f64::from(host.weight) / f64::from(weights);
            count(host) as f64 / fair.max(f64::MIN_POSITIVE)
        };
        serving.iter().map(part).fold(0.0, f64::max)
    }
}
