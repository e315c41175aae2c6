//! Targets of a run: state changes, reported events and balance.

use std::time::Duration;

use limpetdeck::ids::ServiceId;
use limpetdeck::packet::Segment;
use limpetdeck::placement::TargetState;
use limpetdeck::platform::{PlatformError, Reply};
use limpetdeck::targets::{OBJECT_NAME, RawTargetState, RawTargetStates, StateChange};
use rand::Rng;

use super::{SAMPLE_INTERVAL, SimEvent, Simulation, WARM_UP};
use crate::measure::instance_model::accepts_new_flows;
use crate::measure::run_result::record_ratio;
use crate::measure::settings::Policy;
use crate::measure::traffic::{Effects, FlowEvent, FlowKind, SimTarget};

/// Time after a drain is first known from which new connections count as late.
const LATE_WORK_THRESHOLD: Duration = Duration::from_secs(3);
/// Maximum delay of a state notice to an instance that does not probe.
const MAX_NOTIFY_DELAY: Duration = Duration::from_millis(1_000);

impl Simulation {
    /// Changes the state of a target, which reports it when probed.
    pub fn set_target_state(&mut self, index: usize, state: TargetState) {
        self.targets[index].reported_state = state;
        self.apply_target_state(index, state);
    }

    /// Changes the state of a target through the operators' object; the target does not
    /// report it.
    pub fn set_operator_state(&mut self, index: usize, state: TargetState) {
        self.apply_target_state(index, state);
        let id = self.targets[index].id;
        let object = self.platform.store.get(OBJECT_NAME);
        let raw = object.and_then(|o| serde_json::from_value(o.value.clone()).ok());
        let mut raw: RawTargetStates = raw.unwrap_or_default();
        raw.targets.retain(|target| target.id != id);
        raw.targets.push(RawTargetState { id, state, version: self.target_state_version });
        if let Ok(value) = serde_json::to_value(raw) {
            // An unconditional write does not conflict.
            let _ = self.platform.store.put(OBJECT_NAME, None, value);
        }
        let responses = self.platform.complete_watches(self.now);
        self.schedule_responses(responses);
    }

    fn apply_target_state(&mut self, index: usize, state: TargetState) {
        let target = &mut self.targets[index];
        match state {
            TargetState::Dead => target.kill(),
            state => target.state = state,
        }
        target.draining_known_at = None;
        self.placer.borrow_mut().target_mut(target.id).state = state;
        self.notify_instances(index, state);
    }

    /// Notifies the instances that do not probe of a target's state.
    fn notify_instances(&mut self, index: usize, state: TargetState) {
        self.target_state_version += 1;
        let change = StateChange {
            target: self.targets[index].id,
            version: self.target_state_version,
            state,
        };
        self.target_states.insert(change.target, change);
        if self.settings.policy != Policy::Naive {
            return;
        }
        for instance in self.running_instances() {
            let after = MAX_NOTIFY_DELAY.mul_f64(self.rng.random()) + self.update_lag(instance);
            self.schedule(after, SimEvent::TargetStateNotice(instance, change));
            if state == TargetState::Draining {
                self.call_later(after, move |sim| sim.record_draining_known(index));
            }
        }
    }

    /// Records that an instance has learnt that a target is draining.
    pub(super) fn record_draining_known(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if target.state == TargetState::Draining {
            target.draining_known_at.get_or_insert(self.now);
        }
    }

    /// Records that drains are known if a platform response contains target states.
    pub(super) fn record_drain_updates(&mut self, result: &Result<Reply, PlatformError>) {
        let Ok(Reply::Changes(changes)) = result else { return };
        if changes.objects.iter().any(|object| object.name == OBJECT_NAME) {
            (0..self.targets.len()).for_each(|index| self.record_draining_known(index));
        }
    }

    pub(super) fn deliver_to_target(&mut self, index: usize, segment: &Segment) {
        let requested_service =
            self.callers.find(segment.source).map(|c| self.callers.list[c].service);
        let target = &mut self.targets[index];
        let own_service = self.services.list().iter().find(|service| service.id == target.service);
        if requested_service != own_service.map(|service| service.address) {
            self.result.wrong_service += 1;
        }
        let mut out = Effects::default();
        target.receive(self.now, segment, &mut self.rng, &mut out);
        self.apply_target_effects(index, out);
    }

    /// Evaluates the flow events that a target has reported.
    pub(super) fn record_flow_events(&mut self, index: usize) {
        for ((address, initial_sequence), event) in
            std::mem::take(&mut self.targets[index].flow_events)
        {
            let caller = self
                .callers
                .find(address)
                .filter(|&c| self.callers.list[c].initial_sequence == initial_sequence);
            match event {
                FlowEvent::Opened => {
                    caller.iter().for_each(|&c| self.callers.list[c].target = Some(index));
                    self.record_new_connection(index);
                }
                FlowEvent::Started(wait) => {
                    *self.result.executions.entry((address, initial_sequence)).or_default() += 1;
                    if self.now >= WARM_UP && crate::measure::traffic::uses_slot(address) {
                        self.result.slot_wait.add(wait.as_micros() as u64);
                    }
                }
                FlowEvent::Finished => {
                    if caller.is_none_or(|c| {
                        !std::mem::replace(&mut self.callers.list[c].finished, true)
                    }) {
                        self.placer.borrow_mut().work_done(self.targets[index].id);
                    }
                }
            }
        }
    }

    fn record_new_connection(&mut self, index: usize) {
        let Some(known_at) = self.targets[index].draining_known_at else { return };
        let delay = self.now.saturating_sub(known_at);
        self.result.max_new_work_delay = self.result.max_new_work_delay.max(delay);
        self.result.late_new_work += u64::from(delay > LATE_WORK_THRESHOLD);
    }

    /// Samples the balance, updates the fabric's live instances and completes watches.
    pub(super) fn sample(&mut self) {
        self.update_live_instances();
        let responses = self.platform.complete_watches(self.now);
        self.schedule_responses(responses);
        if self.now >= self.balance_from {
            let services: Vec<_> = self.services.list().iter().map(|s| s.id).collect();
            let open = services.iter().map(|&s| self.imbalance(s, SimTarget::open_connections));
            let open = open.fold(0.0, f64::max);
            let work = services.iter().map(|&s| self.imbalance(s, SimTarget::outstanding_work));
            let work = work.fold(0.0, f64::max);
            record_ratio(&mut self.result.imbalance, open);
            record_ratio(&mut self.result.slot_imbalance, work);
        }
        if self.burst.has_started() {
            let bursting =
                self.targets.iter().map(|target| target.open_connections_of(FlowKind::Burst)).sum();
            self.burst.record_open(bursting);
        }
        if self.now >= WARM_UP && self.now.subsec_millis() == 0 {
            let models = self.instances.iter().filter_map(|instance| instance.model.as_ref());
            let largest = models.map(|model| model.flow_state_bytes()).max().unwrap_or(0);
            self.result.max_state_bytes = self.result.max_state_bytes.max(largest);
            let open = self.targets.iter().map(SimTarget::open_connections).sum();
            self.result.max_open_flows = self.result.max_open_flows.max(open);
        }
        self.schedule(SAMPLE_INTERVAL, SimEvent::Sample);
    }

    /// Returns the busiest target's count divided by its fair share, over the targets that
    /// accept new flows.
    fn imbalance(&self, service: ServiceId, count: impl Fn(&SimTarget) -> usize) -> f64 {
        let serving: Vec<_> = self
            .targets
            .iter()
            .filter(|target| target.service == service && accepts_new_flows(target.state))
            .collect();
        let total: usize = serving.iter().map(|target| count(target)).sum();
        let weights: u32 = serving.iter().map(|target| target.weight).sum();
        let ratio = |target: &&SimTarget| {
            let fair = total as f64 * f64::from(target.weight) / f64::from(weights);
            count(target) as f64 / fair.max(f64::MIN_POSITIVE)
        };
        serving.iter().map(ratio).fold(0.0, f64::max)
    }
}
