//! A fabric in virtual time: one queue of events, one source of randomness.

mod members;
mod targets;

pub use members::Member;

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

use super::burst_count::Burst;
use super::changes::Changes;
use super::figures::Figures;
use super::node::Central;
use super::platform::{Answer, FakePlatform};
use super::settings::Settings;
use super::traffic::{Callers, Effects, End, Host, Kind, Timer};
use crate::arguments::Usage;

/// Time one way between a caller and the fabric's edge.
const TO_CALLERS: Duration = Duration::from_millis(1);
/// Time one way within a failure domain.
const WITHIN_DOMAIN: Duration = Duration::from_micros(100);
/// When callers begin: the instances have found each other by then.
const TRAFFIC_FROM: Duration = Duration::from_secs(4);
/// Time in which all feeds are opened.
const RAMP: Duration = Duration::from_secs(4);
/// When measuring begins.
pub const WARM: Duration = Duration::from_secs(10);
/// Time between two looks at the balance.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// Part of the slots that is in use on average.
const SLOT_USE: f64 = 0.7;
/// Part of the feeds that is closed and opened anew each second.
const FEED_CHURN: f64 = 0.002;

/// A change to the run that comes at its time.
pub type Step = Box<dyn FnOnce(&mut World)>;

/// What happens at its time.
enum What {
    /// A packet reaches an instance from the fabric.
    Packet(usize, Vec<u8>),
    /// A message of another instance arrives.
    Peer(usize, Vec<u8>),
    /// The platform's answer arrives at the given start of an instance.
    Answer(usize, u64, Call, Result<Reply, PlatformError>),
    /// A target's state is told to an instance that does not probe.
    Told(usize, StateChange),
    /// The probe of a target ends, at the given start of an instance.
    Probed(usize, u64, usize, ProbeResult),
    /// Time passes for the given start of an instance.
    Tick(usize, u64),
    /// A packet reaches a caller.
    ToCaller(Segment),
    /// A packet reaches a target.
    ToHost(usize, Segment),
    /// Something of a caller or a target is due.
    Due(Timer),
    /// A new sale or session begins.
    Sale,
    /// One feed closes and another opens.
    Churn,
    /// Balance is looked at, and the fabric looks for live instances.
    Sample,
    /// A fault takes its next step.
    Step(Step),
}

struct Scheduled {
    at: Duration,
    sequence: u64,
    what: What,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A failure domain that is cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cut {
    /// Name of the failure domain.
    pub domain: String,
    /// Whether it is cut off from the platform too.
    pub platform: bool,
}

/// All of a run.
pub struct World {
    /// What the run is made of.
    pub settings: Settings,
    /// Virtual time.
    pub now: Duration,
    /// Randomness of the network, of the instances and of the faults.
    pub rng: SmallRng,
    /// Randomness of the load, which is the same under every policy.
    load_rng: SmallRng,
    /// The instances, dead ones among them.
    pub members: Vec<Member>,
    /// The targets.
    pub hosts: Vec<Host>,
    /// The callers.
    pub callers: Callers,
    /// The platform.
    pub platform: FakePlatform,
    /// What is counted.
    pub figures: Figures,
    /// The failure domain that is cut off.
    pub cut: Option<Cut>,
    /// Whether news reaches instances seconds apart.
    pub uneven: bool,
    /// Whether callers use ports anew.
    pub reuse_ports: bool,
    /// Whether a planned change is part of the run.
    pub planned: bool,
    /// Whether operators change lists.
    pub lists_change: bool,
    /// What operators have changed, and where it is in force.
    pub changes: Changes,
    /// What is counted about a burst.
    pub burst: Burst,
    /// Until when a fault still takes steps.
    pub busy_until: Duration,
    /// When the balance counts.
    pub balance_from: Duration,
    services: Rc<Services>,
    central: Rc<RefCell<Central>>,
    host_at: HashMap<SocketAddrV4, usize>,
    live: Vec<usize>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    states_told: u64,
    /// The last state told of each target, for instances that start later.
    told: BTreeMap<TargetId, StateChange>,
}

impl World {
    /// Makes the deployment of a run at time zero.
    ///
    /// # Errors
    ///
    /// Fails if the services are not valid.
    pub fn new(settings: Settings) -> Result<Self, Usage> {
        let services = settings.deployment.services()?;
        let mut hosts = Vec::new();
        for (service, target) in
            services.list().iter().flat_map(|s| s.targets.iter().map(move |t| (s, t)))
        {
            hosts.push(Host::new(hosts.len(), service, target, settings.service_time));
        }
        let host_at = hosts.iter().enumerate().map(|(i, host)| (host.address, i)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(settings.seed),
            load_rng: SmallRng::seed_from_u64(!settings.seed),
            members: Vec::new(),
            hosts,
            callers: Callers::default(),
            platform: FakePlatform::default(),
            figures: Figures::default(),
            cut: None,
            uneven: false,
            reuse_ports: false,
            planned: false,
            lists_change: false,
            changes: Changes::default(),
            burst: Burst::default(),
            busy_until: Duration::ZERO,
            balance_from: WARM,
            central: Rc::new(RefCell::new(Central::new(services.clone()))),
            services: Rc::new(services),
            host_at,
            live: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            states_told: 0,
            told: BTreeMap::new(),
            settings,
        };
        world.begin()?;
        Ok(world)
    }

    /// Runs until the end and returns what was counted.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > self.settings.length.max(self.busy_until) {
                break;
            }
            self.now = next.at;
            self.happen(next.what);
        }
        if self.lists_change {
            let running = self.running();
            self.changes.finish(self.now, &running, &mut self.figures);
        }
        self.burst.finish(&mut self.figures);
        self.figures
    }

    /// Takes a step after some time.
    pub fn later(&mut self, after: Duration, step: impl FnOnce(&mut Self) + 'static) {
        self.schedule(after, What::Step(Box::new(step)));
    }

    /// Lets the platform's answers travel.
    pub fn deliver(&mut self, answers: Vec<Answer>) {
        for (after, (member, start), call, result) in answers {
            let after = after + self.lag(member);
            self.schedule(after, What::Answer(member, start, call, result));
        }
    }

    fn begin(&mut self) -> Result<(), Usage> {
        let mut raw = self.settings.deployment.raw_services()?;
        for target in raw.services.iter_mut().flat_map(|service| &mut service.targets) {
            // No request is made, so only the form of the address matters.
            target.report = Some(format!("{}/report", target.address));
        }
        let value = serde_json::to_value(raw).map_err(Usage::new)?;
        // The store is empty, so the write cannot conflict.
        let _ = self.platform.store.put(limpetdeck::services::OBJECT_NAME, None, value);
        for _ in 0..self.settings.instances {
            self.add_member();
        }
        for _ in 0..self.settings.flows {
            let after = TRAFFIC_FROM + RAMP.mul_f64(self.load_rng.random());
            self.schedule(after, What::Step(Box::new(|world| world.open(Kind::Feed))));
        }
        self.schedule(TRAFFIC_FROM, What::Sale);
        self.schedule(WARM, What::Churn);
        self.schedule(Duration::ZERO, What::Sample);
        Ok(())
    }

    fn schedule(&mut self, after: Duration, what: What) {
        self.sequence += 1;
        let scheduled = Scheduled { at: self.now + after, sequence: self.sequence, what };
        self.queue.push(Reverse(scheduled));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Packet(member, packet) => self.packet(member, packet),
            What::Peer(member, buf) => self.peer(member, buf),
            What::Answer(member, start, call, result) => self.answer(member, start, call, result),
            What::Told(member, change) => self.tell(member, change),
            What::Probed(member, start, host, result) => self.probed(member, start, host, result),
            What::Tick(member, start) => self.tick(member, start),
            What::ToCaller(segment) => self.reach_caller(&segment),
            What::ToHost(host, segment) => self.reach_host(host, &segment),
            What::Due(timer) => self.due(timer),
            What::Sale => self.sale(),
            What::Churn => self.churn(),
            What::Sample => self.sample(),
            What::Step(step) => step(self),
        }
    }

    /// Gives a duration some randomness, as a network does.
    fn spread(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.rng.random_range(0.9..1.3))
    }

    fn between(&mut self, one: &str, other: &str) -> Duration {
        let time = match one == other {
            true => WITHIN_DOMAIN,
            false => self.settings.deployment.between_domains(),
        };
        self.spread(time)
    }

    fn sale(&mut self) {
        self.open(Kind::Sale);
        let slots: u32 = self.hosts.iter().map(|host| host.slots).sum();
        let rate = f64::from(slots) * SLOT_USE / self.settings.service_time.as_secs_f64();
        let gap: f64 = Exp1.sample(&mut self.load_rng);
        self.schedule(Duration::from_secs_f64(gap / rate), What::Sale);
    }

    fn churn(&mut self) {
        let rate = self.settings.flows as f64 * FEED_CHURN;
        if rate == 0.0 {
            return;
        }
        let index = self.load_rng.random_range(0..self.callers.list.len().max(1));
        if let Some(caller) = self.callers.list.get(index)
            && caller.kind == Kind::Feed
            && caller.open()
        {
            self.close(index);
            self.open(Kind::Feed);
        }
        self.schedule(Duration::from_secs_f64(1.0 / rate), What::Churn);
    }

    /// Opens a flow to a service, each as often as its slots allow.
    fn open(&mut self, kind: Kind) {
        let host = self.load_rng.random_range(0..self.hosts.len());
        let service = self.hosts[host].service;
        let services = Rc::clone(&self.services);
        let service = services.list().iter().find(|s| s.id == service);
        if let Some(service) = service {
            self.open_at(kind, service.address);
        }
    }

    /// Opens a flow to a service and returns the caller's index.
    pub fn open_at(&mut self, kind: Kind, service: SocketAddrV4) -> usize {
        let mut out = Effects::default();
        let (now, reuse) = (self.now, self.reuse_ports);
        let index = self.callers.open(now, kind, service, reuse, &mut self.load_rng, &mut out);
        self.figures.flows += 1;
        self.caller_sends(out);
        index
    }

    /// Closes a flow if it is open.
    pub fn close(&mut self, index: usize) {
        let mut out = Effects::default();
        self.callers.list[index].close(&mut out);
        self.caller_sends(out);
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

    /// Sprays a caller's packets over the instances.
    fn caller_sends(&mut self, out: Effects) {
        for packet in out.packets {
            let after = self.spread(TO_CALLERS);
            if let Some(member) = self.any_member(None) {
                self.schedule(after, What::Packet(member, packet));
            }
        }
        self.arm(out.timers);
    }

    /// Sprays a target's packets over the instances.
    fn host_sends(&mut self, host: usize, out: Effects) {
        let domain = self.hosts[host].failure_domain.clone();
        for packet in out.packets {
            let Some(member) = self.any_member(Some(&domain)) else { continue };
            let to = self.members[member].domain.clone();
            let after = self.between(&domain, &to);
            self.schedule(after, What::Packet(member, packet));
        }
        self.arm(out.timers);
        self.note_reports(host);
    }

    fn arm(&mut self, timers: Vec<(Duration, Timer)>) {
        for (after, timer) in timers {
            self.schedule(after, What::Due(timer));
        }
    }

    /// A live instance as the fabric knows it; a cut domain reaches only its own.
    fn any_member(&mut self, from: Option<&str>) -> Option<usize> {
        if let (Some(from), Some(_)) = (from, &self.cut) {
            let from = from.to_owned();
            let near: Vec<_> = self
                .live
                .iter()
                .copied()
                .filter(|&m| self.joined(&from, &self.members[m].domain))
                .collect();
            return (!near.is_empty()).then(|| near[self.rng.random_range(0..near.len())]);
        }
        let count = self.live.len();
        (count > 0).then(|| self.live[self.rng.random_range(0..count)])
    }

    /// Tells whether packets pass between two failure domains.
    fn joined(&self, one: &str, other: &str) -> bool {
        one == other || self.cut.as_ref().is_none_or(|cut| cut.domain != one && cut.domain != other)
    }

    /// A packet that an instance has sent out finds its way.
    fn route(&mut self, member: usize, packet: &[u8]) {
        let Ok(segment) = decode(packet) else { return };
        let Some(&host) = self.host_at.get(&segment.destination) else {
            let after = self.spread(TO_CALLERS);
            return self.schedule(after, What::ToCaller(segment));
        };
        let (from, to) =
            (self.members[member].domain.clone(), self.hosts[host].failure_domain.clone());
        if self.joined(&from, &to) {
            let after = self.between(&from, &to);
            self.schedule(after, What::ToHost(host, segment));
        }
    }

    fn reach_caller(&mut self, segment: &Segment) {
        if let Some(index) = self.callers.at(segment.destination) {
            let mut out = Effects::default();
            let caller = &mut self.callers.list[index];
            let before = caller.open();
            caller.receive(self.now, segment, &mut out);
            if caller.open() && !before {
                self.burst.note(self.now, caller.kind, None);
            }
            self.caller_sends(out);
            self.note_end(index);
        }
    }

    fn due(&mut self, timer: Timer) {
        let mut out = Effects::default();
        match timer {
            Timer::CallerRetransmit { caller, stamp } => {
                self.callers.list[caller].retransmit(stamp, &mut out);
                self.caller_sends(out);
                self.note_end(caller);
            }
            Timer::CallerWatch { caller } => {
                self.callers.list[caller].watch(self.now, caller, &mut out);
                self.caller_sends(out);
                self.note_end(caller);
            }
            Timer::HostRetransmit { host, caller, stamp } => {
                self.hosts[host].retransmit(caller, stamp, &mut out);
                self.host_sends(host, out);
            }
            Timer::Beat { host, caller, opening } => {
                self.hosts[host].beat(caller, opening, &mut self.rng, &mut out);
                self.host_sends(host, out);
            }
            Timer::Done { host, caller, opening } => {
                self.hosts[host].done(self.now, caller, opening, &mut out);
                self.host_sends(host, out);
            }
        }
    }

    /// Counts how a flow ended, once.
    fn note_end(&mut self, index: usize) {
        let caller = &mut self.callers.list[index];
        let Some(end) = caller.end.take() else { return };
        let (flow, host) = ((caller.address, caller.opening), caller.host);
        self.burst.note(self.now, caller.kind, Some(end));
        if caller.kind == Kind::Sale && !std::mem::replace(&mut caller.finished, true) {
            host.iter().for_each(|&host| self.central.borrow_mut().done(self.hosts[host].id));
        }
        self.central.borrow_mut().ended(caller.address, caller.service);
        let killed = host.is_some_and(|host| self.hosts[host].killed);
        match end {
            End::Complete => self.callers.release(index),
            End::Refused => {
                self.figures.refused += 1;
                self.figures.refused_flows.push(flow);
            }
            End::Broken if self.planned && !killed => self.figures.broken_planned += 1,
            End::Broken => self.figures.broken_unplanned += 1,
        }
    }
}
