//! Instances of a run: their start, stop and pause, and the execution of their actions.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use limpetdeck::ids::TargetId;
use limpetdeck::instance::{Action, Event};
use limpetdeck::placement::TargetState;
use limpetdeck::platform::{Call, PlatformError, Reply};
use limpetdeck::targets::{ProbeError, ProbeResult, StateChange};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{SimEvent, Simulation, WARM_UP};
use crate::measure::instance_model::{InstanceModel, ModelConfig, create};

/// Time between ticks of an instance.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of events queued for a paused instance.
const MAX_BACKLOG: usize = 2_000;
/// Bytes that the IPv4 and UDP headers add to a message.
const DATAGRAM_OVERHEAD: usize = 28;
/// Maximum difference between the times at which two instances receive an update.
const MAX_UPDATE_LAG: Duration = Duration::from_secs(4);
/// Time after which a probe fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time until the fabric detects that an instance went up or down.
const MAX_FABRIC_DETECTION_TIME: Duration = Duration::from_millis(1_000);
/// Minimum time until the fabric detects that an instance went up or down.
const MIN_FABRIC_DETECTION_TIME: Duration = Duration::from_millis(300);

/// Simulated instance.
pub struct SimInstance {
    /// Instance ID, from 1.
    pub id: u32,
    /// Failure domain of the instance.
    pub domain: String,
    /// Model of the running instance; `None` if it is dead.
    pub model: Option<Box<dyn InstanceModel>>,
    /// Whether the process is paused.
    pub paused: bool,
    incarnation: u64,
    backlog: VecDeque<Event>,
    in_fabric: bool,
    fabric_update_at: Option<Duration>,
    update_lag: Duration,
}

impl Simulation {
    /// Adds and starts an instance and returns its index.
    pub fn add_instance(&mut self) -> usize {
        let index = self.instances.len();
        let domains: Vec<_> =
            self.targets.iter().take(3).map(|target| target.failure_domain.clone()).collect();
        let domain = domains[index % domains.len()].clone();
        let update_lag = MAX_UPDATE_LAG.mul_f64(self.rng.random());
        self.instances.push(SimInstance {
            id: index as u32 + 1,
            domain,
            model: None,
            paused: false,
            incarnation: 0,
            backlog: VecDeque::new(),
            in_fabric: false,
            fabric_update_at: None,
            update_lag,
        });
        self.start_instance(index);
        index
    }

    /// Starts a new incarnation of an instance, without earlier state.
    pub fn start_instance(&mut self, index: usize) {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        let incarnation = instance.incarnation;
        let failure_domain = instance.domain.clone();
        let cfg = ModelConfig { id: instance.id, incarnation, failure_domain, rng };
        let model = create(self.now, self.settings.policy, cfg, &self.services, &self.placer);
        instance.model = Some(model);
        let after = TICK_INTERVAL.mul_f64(self.rng.random());
        self.schedule(after, SimEvent::Tick(index, incarnation));
        let states: Vec<_> = self.target_states.values().copied().collect();
        for change in states {
            self.schedule(after, SimEvent::TargetStateNotice(index, change));
        }
    }

    /// Kills an instance.
    pub fn kill_instance(&mut self, index: usize) {
        self.instances[index].model = None;
        self.instances[index].backlog.clear();
    }

    /// Asks an instance to stop gracefully.
    pub fn stop_instance(&mut self, index: usize) {
        self.handle_event(index, Event::Stop);
    }

    /// Resumes a paused instance and delivers its queued events.
    pub fn resume_instance(&mut self, index: usize) {
        self.instances[index].paused = false;
        self.changes.record_reachable(self.now, index);
        let backlog = std::mem::take(&mut self.instances[index].backlog);
        for event in backlog {
            self.handle_event(index, event);
        }
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        let Some(partition) = self.partition.take() else { return };
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.domain == partition.domain {
                self.changes.record_reachable(self.now, index);
            }
        }
    }

    /// Returns the indices of the running instances.
    pub fn running_instances(&self) -> Vec<usize> {
        let is_running = |&index: &usize| self.instances[index].model.is_some();
        (0..self.instances.len()).filter(is_running).collect()
    }

    /// Returns the extra delay with which an instance receives updates.
    pub(super) fn update_lag(&self, instance: usize) -> Duration {
        if self.uneven_updates { self.instances[instance].update_lag } else { Duration::ZERO }
    }

    pub(super) fn on_packet(&mut self, index: usize, packet: Vec<u8>) {
        if self.now >= WARM_UP {
            self.result.packets += 1;
        }
        self.handle_event(index, Event::Packet(packet));
    }

    pub(super) fn on_peer_message(&mut self, index: usize, buf: Vec<u8>) {
        self.handle_event(index, Event::Peer(buf));
    }

    pub(super) fn on_response(
        &mut self,
        index: usize,
        incarnation: u64,
        call: Call,
        result: Result<Reply, PlatformError>,
    ) {
        if self.instances[index].incarnation == incarnation {
            self.record_drain_updates(&result);
            self.handle_event(index, Event::Platform(call, result));
        }
    }

    pub(super) fn on_target_state(&mut self, index: usize, change: StateChange) {
        if let Some(model) = &mut self.instances[index].model {
            model.on_target_state(change);
        }
    }

    pub(super) fn on_probe(
        &mut self,
        index: usize,
        incarnation: u64,
        target: usize,
        result: ProbeResult,
    ) {
        if self.instances[index].incarnation != incarnation || self.instances[index].model.is_none()
        {
            return;
        }
        if result.as_ref().is_ok_and(|report| report.state == TargetState::Draining) {
            self.record_draining_known(target);
        }
        self.handle_event(index, Event::ProbeFinished(self.targets[target].id, result));
    }

    /// Probes a target; the probe times out if the target is dead or unreachable.
    fn probe_target(&mut self, index: usize, id: TargetId) {
        let Some(target) = self.targets.iter().position(|target| target.id == id) else { return };
        let domain = self.instances[index].domain.clone();
        let target_domain = self.targets[target].failure_domain.clone();
        let report =
            self.targets[target].load_report().filter(|_| self.connected(&domain, &target_domain));
        let after = match report {
            Some(_) => self.network_delay(&domain, &target_domain) * 4,
            None => PROBE_TIMEOUT,
        };
        let after = after + self.update_lag(index);
        let result = report.ok_or_else(|| ProbeError::NoAnswer("timeout".to_owned()));
        let incarnation = self.instances[index].incarnation;
        self.schedule(after, SimEvent::ProbeDone(index, incarnation, target, result));
    }

    pub(super) fn on_tick(&mut self, index: usize, incarnation: u64) {
        let instance = &self.instances[index];
        if instance.incarnation != incarnation || instance.model.is_none() {
            return;
        }
        if !instance.paused {
            self.handle_event(index, Event::Tick);
        }
        self.schedule(TICK_INTERVAL, SimEvent::Tick(index, incarnation));
    }

    /// Updates the fabric's view of live instances, with a random detection time each.
    pub(super) fn update_live_instances(&mut self) {
        for index in 0..self.instances.len() {
            let detection_time =
                self.rng.random_range(MIN_FABRIC_DETECTION_TIME..MAX_FABRIC_DETECTION_TIME);
            let instance = &mut self.instances[index];
            let healthy = instance.model.as_ref().is_some_and(|model| model.is_healthy());
            if (healthy && !instance.paused) == instance.in_fabric {
                instance.fabric_update_at = None;
            } else if self.now
                >= *instance.fabric_update_at.get_or_insert(self.now + detection_time)
            {
                instance.in_fabric = !instance.in_fabric;
                instance.fabric_update_at = None;
            }
        }
        let in_fabric = |&index: &usize| self.instances[index].in_fabric;
        self.live_instances = (0..self.instances.len()).filter(in_fabric).collect();
    }

    /// Delivers an event to an instance, or queues it while the instance is paused.
    fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let Some(model) = &mut instance.model else { return };
        if instance.paused {
            if instance.backlog.len() < MAX_BACKLOG {
                instance.backlog.push_back(event);
            }
            return;
        }
        let is_packet = matches!(event, Event::Packet(_));
        let incarnation = instance.incarnation;
        let mut out = Vec::new();
        let started_at = Instant::now();
        model.handle(now, event, &mut out);
        if is_packet && now >= WARM_UP && matches!(out[..], [Action::Fabric(_)]) {
            self.result.decision_time.add(started_at.elapsed().as_nanos() as u64);
        }
        if self.has_list_changes && !is_packet {
            let markers = model.active_markers();
            self.changes.record_active(now, (index, incarnation), markers, &mut self.result);
        }
        self.execute_actions(index, out);
    }

    fn execute_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fabric(packet) => self.route_packet(index, &packet),
                Action::Peer(to, buf) => {
                    self.record_control_bytes(index, buf.len());
                    self.send_peer(index, to, buf);
                }
                Action::Redirect(to, buf) => {
                    self.result.redirects += u64::from(self.now >= WARM_UP);
                    self.send_peer(index, to, buf);
                }
                Action::Platform(call) => self.call_platform(index, call),
                Action::Probe(target, _) => self.probe_target(index, target),
                // Only token-steering instances emit these actions, and none is simulated.
                Action::Datagram(..) | Action::CheckConnection(_) | Action::TraceSpan(_) => {}
                Action::Exit => self.kill_instance(index),
            }
        }
    }

    fn record_control_bytes(&mut self, index: usize, len: usize) {
        if self.now >= WARM_UP {
            let key = (index as u32, self.now.as_secs());
            *self.result.control_bytes_per_s.entry(key).or_default() +=
                (len + DATAGRAM_OVERHEAD) as u64;
        }
    }

    fn send_peer(&mut self, from: usize, to: SocketAddr, buf: Vec<u8>) {
        let IpAddr::V4(ip) = to.ip() else { return };
        let to = usize::from(ip.octets()[3]).wrapping_sub(1);
        if to >= self.instances.len() {
            return;
        }
        let (one, other) = (self.instances[from].domain.clone(), self.instances[to].domain.clone());
        if self.connected(&one, &other) {
            let after = self.network_delay(&one, &other);
            self.schedule(after, SimEvent::PeerMessage(to, buf));
        }
    }

    fn call_platform(&mut self, index: usize, call: Call) {
        let instance = &self.instances[index];
        let platform_cut_off = self.partition.as_ref().is_some_and(|partition| {
            partition.includes_platform && partition.domain == instance.domain
        });
        let from = (index, instance.incarnation);
        let responses = self.platform.call(self.now, from, call, !platform_cut_off);
        self.schedule_responses(responses);
    }
}
