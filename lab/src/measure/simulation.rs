//! Discrete-event simulation of a fabric in virtual time.

mod instances;
mod targets;

pub use instances::SimInstance;

use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::ids::TargetId;
use limpetdeck::packet::{Segment, decode};
use limpetdeck::platform::{Call, PlatformError, Reply};
use limpetdeck::services::Services;
use limpetdeck::targets::{ProbeResult, StateChange};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};

use super::burst_stats::BurstStats;
use super::changes::ChangeTracker;
use super::instance_model::CentralPlacer;
use super::platform::{PendingResponse, SimPlatform};
use super::run_result::RunResult;
use super::settings::Settings;
use super::traffic::{Callers, Effects, FlowKind, FlowOutcome, SimTarget, Timer};
use crate::arguments::CommandError;

/// One-way delay between a caller and the edge of the fabric.
const CALLER_DELAY: Duration = Duration::from_millis(1);
/// One-way delay within a failure domain.
const INTRA_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// Start of traffic: the instances have discovered each other by then.
const TRAFFIC_START: Duration = Duration::from_secs(4);
/// Time within which all feeds are opened.
const RAMP_UP: Duration = Duration::from_secs(4);
/// Start of measuring.
pub const WARM_UP: Duration = Duration::from_secs(10);
/// Time between samples of the balance.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Mean fraction of the slots in use.
const SLOT_UTILISATION: f64 = 0.7;
/// Fraction of the feeds that is closed and replaced per second.
const FEED_CHURN_PER_S: f64 = 0.002;

/// Action on the simulation, run at a scheduled time.
pub type Callback = Box<dyn FnOnce(&mut Simulation)>;

/// Event of the simulation.
enum SimEvent {
    /// A packet reaches an instance from the fabric.
    InstancePacket(usize, Vec<u8>),
    /// A message from another instance arrives.
    PeerMessage(usize, Vec<u8>),
    /// A response of the platform arrives at an incarnation of an instance.
    Response(usize, u64, Call, Result<Reply, PlatformError>),
    /// An instance that does not probe is notified of a target's state.
    TargetStateNotice(usize, StateChange),
    /// A probe of a target by an incarnation of an instance ends.
    ProbeDone(usize, u64, usize, ProbeResult),
    /// Periodic tick of an incarnation of an instance.
    Tick(usize, u64),
    /// A packet reaches a caller.
    CallerPacket(Segment),
    /// A packet reaches a target.
    TargetPacket(usize, Segment),
    /// A timer of a caller or target expires.
    Timer(Timer),
    /// A new sale or session starts.
    NewSale,
    /// A feed is closed and replaced by another.
    FeedChurn,
    /// The balance is sampled and the fabric updates its live instances.
    Sample,
    /// A scheduled action runs, such as the next step of a fault.
    Callback(Callback),
}

struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Partition of one failure domain from the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partition {
    /// Name of the failure domain.
    pub domain: String,
    /// Whether the domain is partitioned from the platform too.
    pub includes_platform: bool,
}

/// State of a run.
pub struct Simulation {
    /// Settings of the run.
    pub settings: Settings,
    /// Virtual time.
    pub now: Duration,
    /// Random generator of the network, the instances and the faults.
    pub rng: SmallRng,
    /// Random generator of the load, separate so that every policy gets the same load.
    load_rng: SmallRng,
    /// Instances, including dead ones.
    pub instances: Vec<SimInstance>,
    /// Targets, in the order of the services list.
    pub targets: Vec<SimTarget>,
    /// Callers and their flows.
    pub callers: Callers,
    /// In-memory platform.
    pub platform: SimPlatform,
    /// Results so far.
    pub result: RunResult,
    /// Current partition.
    pub partition: Option<Partition>,
    /// Whether updates reach instances seconds apart.
    pub uneven_updates: bool,
    /// Whether callers reuse the ports of ended flows.
    pub reuse_ports: bool,
    /// Whether the run has a planned fault.
    pub any_planned: bool,
    /// Whether operators change lists.
    pub has_list_changes: bool,
    /// List changes by operators and where they are active.
    pub changes: ChangeTracker,
    /// Statistics of a burst.
    pub burst: BurstStats,
    /// Time until which the run goes on at least, for the later steps of a rolling restart.
    pub faults_active_until: Duration,
    /// Time from which the balance is sampled.
    pub balance_from: Duration,
    services: Rc<Services>,
    placer: Rc<RefCell<CentralPlacer>>,
    target_by_address: HashMap<SocketAddrV4, usize>,
    live_instances: Vec<usize>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    target_state_version: u64,
    /// Last state announced for each target, for instances that start later.
    target_states: BTreeMap<TargetId, StateChange>,
}

impl Simulation {
    /// Creates the deployment of a run at time zero.
    ///
    /// # Errors
    ///
    /// Fails if the services are invalid.
    pub fn new(settings: Settings) -> Result<Self, CommandError> {
        let services = settings.deployment.services()?;
        let mut targets = Vec::new();
        for (service, target) in
            services.list().iter().flat_map(|s| s.targets.iter().map(move |t| (s, t)))
        {
            targets.push(SimTarget::new(targets.len(), service, target, settings.service_time));
        }
        let target_by_address =
            targets.iter().enumerate().map(|(i, target)| (target.address, i)).collect();
        let mut sim = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(settings.seed),
            load_rng: SmallRng::seed_from_u64(!settings.seed),
            instances: Vec::new(),
            targets,
            callers: Callers::default(),
            platform: SimPlatform::default(),
            result: RunResult::default(),
            partition: None,
            uneven_updates: false,
            reuse_ports: false,
            any_planned: false,
            has_list_changes: false,
            changes: ChangeTracker::default(),
            burst: BurstStats::default(),
            faults_active_until: Duration::ZERO,
            balance_from: WARM_UP,
            placer: Rc::new(RefCell::new(CentralPlacer::new(services.clone()))),
            services: Rc::new(services),
            target_by_address,
            live_instances: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            target_state_version: 0,
            target_states: BTreeMap::new(),
            settings,
        };
        sim.set_up()?;
        Ok(sim)
    }

    /// Runs to the end and returns the results.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > self.settings.length.max(self.faults_active_until) {
                break;
            }
            self.now = next.at;
            self.dispatch(next.event);
        }
        if self.has_list_changes {
            let running = self.running_instances();
            self.changes.finish(self.now, &running, &mut self.result);
        }
        self.burst.finish(&mut self.result);
        self.result
    }

    /// Schedules a callback after a delay.
    pub fn call_later(&mut self, after: Duration, callback: impl FnOnce(&mut Self) + 'static) {
        self.schedule(after, SimEvent::Callback(Box::new(callback)));
    }

    /// Schedules the delivery of platform responses.
    pub fn schedule_responses(&mut self, responses: Vec<PendingResponse>) {
        for (after, (instance, incarnation), call, result) in responses {
            let after = after + self.update_lag(instance);
            self.schedule(after, SimEvent::Response(instance, incarnation, call, result));
        }
    }

    fn set_up(&mut self) -> Result<(), CommandError> {
        let mut raw = self.settings.deployment.raw_services()?;
        for target in raw.services.iter_mut().flat_map(|service| &mut service.targets) {
            // No request is sent, so the URL only has to be well-formed.
            target.report = Some(format!("{}/report", target.address));
        }
        let value = serde_json::to_value(raw).map_err(CommandError::new)?;
        // The store is empty, so the write cannot conflict.
        let _ = self.platform.store.put(limpetdeck::services::OBJECT_NAME, None, value);
        for _ in 0..self.settings.instances {
            self.add_instance();
        }
        for _ in 0..self.settings.flows {
            let after = TRAFFIC_START + RAMP_UP.mul_f64(self.load_rng.random());
            self.schedule(after, SimEvent::Callback(Box::new(|sim| sim.open_flow(FlowKind::Feed))));
        }
        self.schedule(TRAFFIC_START, SimEvent::NewSale);
        self.schedule(WARM_UP, SimEvent::FeedChurn);
        self.schedule(Duration::ZERO, SimEvent::Sample);
        Ok(())
    }

    fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        let scheduled = ScheduledEvent { at: self.now + after, sequence: self.sequence, event };
        self.queue.push(Reverse(scheduled));
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::InstancePacket(instance, packet) => self.on_packet(instance, packet),
            SimEvent::PeerMessage(instance, buf) => self.on_peer_message(instance, buf),
            SimEvent::Response(i, inc, call, result) => self.on_response(i, inc, call, result),
            SimEvent::TargetStateNotice(instance, change) => self.on_target_state(instance, change),
            SimEvent::ProbeDone(i, inc, target, result) => self.on_probe(i, inc, target, result),
            SimEvent::Tick(instance, incarnation) => self.on_tick(instance, incarnation),
            SimEvent::CallerPacket(segment) => self.deliver_to_caller(&segment),
            SimEvent::TargetPacket(target, segment) => self.deliver_to_target(target, &segment),
            SimEvent::Timer(timer) => self.on_timer(timer),
            SimEvent::NewSale => self.start_sale(),
            SimEvent::FeedChurn => self.replace_feed(),
            SimEvent::Sample => self.sample(),
            SimEvent::Callback(callback) => callback(self),
        }
    }

    /// Adds network jitter to a delay.
    fn with_jitter(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.rng.random_range(0.9..1.3))
    }

    fn network_delay(&mut self, one: &str, other: &str) -> Duration {
        let time = match one == other {
            true => INTRA_DOMAIN_DELAY,
            false => self.settings.deployment.inter_domain_delay(),
        };
        self.with_jitter(time)
    }

    fn start_sale(&mut self) {
        self.open_flow(FlowKind::Sale);
        let slots: u32 = self.targets.iter().map(|target| target.slots).sum();
        let rate = f64::from(slots) * SLOT_UTILISATION / self.settings.service_time.as_secs_f64();
        let gap: f64 = Exp1.sample(&mut self.load_rng);
        self.schedule(Duration::from_secs_f64(gap / rate), SimEvent::NewSale);
    }

    fn replace_feed(&mut self) {
        let rate = self.settings.flows as f64 * FEED_CHURN_PER_S;
        if rate == 0.0 {
            return;
        }
        let index = self.load_rng.random_range(0..self.callers.list.len().max(1));
        if let Some(caller) = self.callers.list.get(index)
            && caller.kind == FlowKind::Feed
            && caller.is_open()
        {
            self.close_flow(index);
            self.open_flow(FlowKind::Feed);
        }
        self.schedule(Duration::from_secs_f64(1.0 / rate), SimEvent::FeedChurn);
    }

    /// Opens a flow to a random service, weighted by its number of targets.
    fn open_flow(&mut self, kind: FlowKind) {
        let target = self.load_rng.random_range(0..self.targets.len());
        let service = self.targets[target].service;
        let services = Rc::clone(&self.services);
        let service = services.list().iter().find(|s| s.id == service);
        if let Some(service) = service {
            self.open_flow_to(kind, service.address);
        }
    }

    /// Opens a flow to a service and returns the caller's index.
    pub fn open_flow_to(&mut self, kind: FlowKind, service: SocketAddrV4) -> usize {
        let mut out = Effects::default();
        let (now, reuse) = (self.now, self.reuse_ports);
        let index = self.callers.open(now, kind, service, reuse, &mut self.load_rng, &mut out);
        self.result.flows += 1;
        self.apply_caller_effects(out);
        index
    }

    /// Closes a flow if it is open.
    pub fn close_flow(&mut self, index: usize) {
        let mut out = Effects::default();
        self.callers.list[index].close(&mut out);
        self.apply_caller_effects(out);
    }

    /// Returns the address of the first service.
    pub fn first_service(&self) -> Option<SocketAddrV4> {
        self.services.list().first().map(|service| service.address)
    }

    /// Returns the names of all services, joined by spaces.
    pub fn service_names(&self) -> String {
        let names: Vec<_> = self.services.list().iter().map(|s| s.name.as_str()).collect();
        names.join(" ")
    }

    /// Sends a caller's packets to random instances and schedules its timers.
    fn apply_caller_effects(&mut self, out: Effects) {
        for packet in out.packets {
            let after = self.with_jitter(CALLER_DELAY);
            if let Some(instance) = self.random_live_instance(None) {
                self.schedule(after, SimEvent::InstancePacket(instance, packet));
            }
        }
        self.schedule_timers(out.timers);
    }

    /// Sends a target's packets to random instances, schedules its timers and records its events.
    fn apply_target_effects(&mut self, target: usize, out: Effects) {
        let domain = self.targets[target].failure_domain.clone();
        for packet in out.packets {
            let Some(instance) = self.random_live_instance(Some(&domain)) else { continue };
            let to = self.instances[instance].domain.clone();
            let after = self.network_delay(&domain, &to);
            self.schedule(after, SimEvent::InstancePacket(instance, packet));
        }
        self.schedule_timers(out.timers);
        self.record_flow_events(target);
    }

    fn schedule_timers(&mut self, timers: Vec<(Duration, Timer)>) {
        for (after, timer) in timers {
            self.schedule(after, SimEvent::Timer(timer));
        }
    }

    /// Returns a random instance from the fabric's view; during a partition, one reachable
    /// from the given failure domain.
    fn random_live_instance(&mut self, from: Option<&str>) -> Option<usize> {
        if let (Some(from), Some(_)) = (from, &self.partition) {
            let from = from.to_owned();
            let reachable: Vec<_> = self
                .live_instances
                .iter()
                .copied()
                .filter(|&i| self.connected(&from, &self.instances[i].domain))
                .collect();
            return (!reachable.is_empty())
                .then(|| reachable[self.rng.random_range(0..reachable.len())]);
        }
        let live_count = self.live_instances.len();
        (live_count > 0).then(|| self.live_instances[self.rng.random_range(0..live_count)])
    }

    /// Returns whether packets pass between two failure domains.
    fn connected(&self, one: &str, other: &str) -> bool {
        one == other
            || self
                .partition
                .as_ref()
                .is_none_or(|partition| partition.domain != one && partition.domain != other)
    }

    /// Routes a packet from an instance to its target or caller.
    fn route_packet(&mut self, instance: usize, packet: &[u8]) {
        let Ok(segment) = decode(packet) else { return };
        let Some(&target) = self.target_by_address.get(&segment.destination) else {
            let after = self.with_jitter(CALLER_DELAY);
            return self.schedule(after, SimEvent::CallerPacket(segment));
        };
        let (from, to) =
            (self.instances[instance].domain.clone(), self.targets[target].failure_domain.clone());
        if self.connected(&from, &to) {
            let after = self.network_delay(&from, &to);
            self.schedule(after, SimEvent::TargetPacket(target, segment));
        }
    }

    fn deliver_to_caller(&mut self, segment: &Segment) {
        if let Some(index) = self.callers.find(segment.destination) {
            let mut out = Effects::default();
            let caller = &mut self.callers.list[index];
            let was_open = caller.is_open();
            caller.receive(self.now, segment, &mut out);
            if caller.is_open() && !was_open {
                self.burst.record_flow(self.now, caller.kind, None);
            }
            self.apply_caller_effects(out);
            self.record_flow_end(index);
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        let mut out = Effects::default();
        match timer {
            Timer::CallerRetransmit { caller, generation } => {
                self.callers.list[caller].retransmit(generation, &mut out);
                self.apply_caller_effects(out);
                self.record_flow_end(caller);
            }
            Timer::CallerStallCheck { caller } => {
                self.callers.list[caller].check_stalled(self.now, caller, &mut out);
                self.apply_caller_effects(out);
                self.record_flow_end(caller);
            }
            Timer::TargetRetransmit { target, caller, generation } => {
                self.targets[target].retransmit(caller, generation, &mut out);
                self.apply_target_effects(target, out);
            }
            Timer::FeedMessage { target, caller, initial_sequence } => {
                self.targets[target].send_feed_message(
                    caller,
                    initial_sequence,
                    &mut self.rng,
                    &mut out,
                );
                self.apply_target_effects(target, out);
            }
            Timer::WorkDone { target, caller, initial_sequence } => {
                self.targets[target].finish_work(self.now, caller, initial_sequence, &mut out);
                self.apply_target_effects(target, out);
            }
        }
    }

    /// Counts the outcome of a flow once it has ended; later calls do nothing.
    fn record_flow_end(&mut self, index: usize) {
        let caller = &mut self.callers.list[index];
        let Some(outcome) = caller.outcome.take() else { return };
        let (flow, target) = ((caller.address, caller.initial_sequence), caller.target);
        self.burst.record_flow(self.now, caller.kind, Some(outcome));
        if caller.kind == FlowKind::Sale && !std::mem::replace(&mut caller.finished, true) {
            target.iter().for_each(|&i| self.placer.borrow_mut().work_done(self.targets[i].id));
        }
        self.placer.borrow_mut().flow_ended(caller.address, caller.service);
        let killed = target.is_some_and(|target| self.targets[target].killed_with_flows);
        match outcome {
            FlowOutcome::Completed => self.callers.release_address(index),
            FlowOutcome::Refused => {
                self.result.refused += 1;
                self.result.refused_flows.push(flow);
            }
            FlowOutcome::Broken if self.any_planned && !killed => self.result.broken_planned += 1,
            FlowOutcome::Broken => self.result.broken_unplanned += 1,
        }
    }
}
