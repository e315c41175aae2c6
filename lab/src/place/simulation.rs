//! Simulates callers that reuse flows, instances, and targets with slots and queues in virtual
//! time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use limpetdeck::steering::{Candidate, DomainLoad};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Pattern, Policy};

const SERVICE: &str = "till";
const DOMAINS: usize = 3;
const TARGETS: usize = 18;
/// Targets that join under [`Pattern::Cold`].
const JOINING: usize = 6;
/// Targets that are spread over all domains under [`Pattern::Lean`]. The others leave out domain 0.
const EVENLY_SPREAD: usize = 6;
const SLOTS: u32 = 3;
const CALLERS: usize = 240;
/// Time that a target takes for a request: that of a feed in the deployments.
const PROCESSING_TIME: Duration = Duration::from_millis(40);
/// Mean time between a response and the caller's next request, which keeps targets 60% busy.
const MEAN_THINK_TIME: Duration = Duration::from_millis(255);
/// Requests on a flow before the caller opens a new one.
const REQUESTS_PER_FLOW: u32 = 20;
/// Required upper bound of the response time; a slower response is late.
const LATENCY_LIMIT: Duration = Duration::from_millis(200);
/// Interval at which instances share their loads.
const LOAD_SHARING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the load samples, the same as between the daemon's ticks.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time at which the load or the targets change, if the pattern has a change.
const CHANGE_AT: Duration = Duration::from_secs(6);
/// Duration of the burst under [`Pattern::Burst`].
const BURST_DURATION: Duration = Duration::from_secs(4);
/// Time for which a new target is slower.
const WARM_UP: Duration = Duration::from_secs(3);
/// Virtual duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(15);

/// Results of a run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Times from request to response, sorted.
    times: Vec<Duration>,
    flows: u64,
    /// Flows to a target outside the failure domain of their instance.
    remote_flows: u64,
}

impl RunResult {
    /// Returns a quantile of the response times; `q` is from 0 to 1.
    pub fn quantile(&self, q: f64) -> Duration {
        let i = ((self.times.len() - 1) as f64 * q) as usize;
        self.times[i]
    }

    /// Returns the mean response time.
    pub fn mean(&self) -> Duration {
        self.times.iter().sum::<Duration>() / self.times.len() as u32
    }

    /// Returns the share of responses that were late.
    pub fn late_share(&self) -> f64 {
        let in_time = self.times.partition_point(|&time| time <= LATENCY_LIMIT);
        1.0 - in_time as f64 / self.times.len() as f64
    }

    /// Returns the share of flows that left their failure domain.
    pub fn remote_share(&self) -> f64 {
        self.remote_flows as f64 / self.flows as f64
    }
}

impl Display for RunResult {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ms = |q| self.quantile(q).as_millis();
        write!(
            f,
            "requests={} mean_ms={:.1} p50_ms={} p99_ms={} max_ms={} late={:.4} away={:.3}",
            self.times.len(),
            self.mean().as_secs_f64() * 1_000.0,
            ms(0.5),
            ms(0.99),
            ms(1.0),
            self.late_share(),
            self.remote_share()
        )
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller sends a request.
    Request(usize),
    /// A target responds to a caller.
    Response(usize, usize),
    /// The instances share their loads.
    ShareLoads,
    /// The instances sample the loads of their domains.
    SampleLoads,
}

#[derive(Debug)]
struct Target {
    domain: usize,
    /// Factor by which requests take longer from the change on.
    slowdown: f64,
    warm_from: Duration,
    joins_at: Duration,
    busy_slots: u32,
    queue: VecDeque<usize>,
}

#[derive(Debug)]
struct Caller {
    instance: usize,
    /// Target of the open flow, and requests left on it.
    flow: Option<(usize, u32)>,
    sent: Duration,
    until: Duration,
    rng: SmallRng,
}

/// Numbers of flows and of waiting requests by instance and target.
type Loads = Vec<Vec<(u32, u32)>>;

struct Simulation {
    pattern: Pattern,
    policy: Policy,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    loads: Loads,
    /// Loads as they were last shared.
    shared: Loads,
    /// Estimates of the local domain's load by instance.
    domain_loads: Vec<DomainLoad>,
    /// Number of opened flows by instance.
    turns: Vec<usize>,
    rng: SmallRng,
    result: RunResult,
}

/// Runs a policy under a load pattern on a number of instances. The seed determines all arrivals.
pub fn run(seed: u64, instances: usize, pattern: Pattern, policy: Policy) -> RunResult {
    let mut simulation = Simulation::new(seed, instances, pattern, policy);
    while let Some(((at, _), event)) = simulation.events.pop_first()
        && at < RUN_DURATION
    {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.result.times.sort_unstable();
    simulation.result
}

impl Simulation {
    fn new(seed: u64, instances: usize, pattern: Pattern, policy: Policy) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let joining = if pattern == Pattern::Cold { JOINING } else { 0 };
        let target = |i: usize| {
            let joins = i >= TARGETS;
            let joins_at = if joins { CHANGE_AT } else { Duration::ZERO };
            // Every sixth target (15% of them), unevenly spread over the domains.
            let slowdown = if pattern == Pattern::Slow && i.is_multiple_of(6) { 4.0 } else { 1.0 };
            let warm_from = if joins { CHANGE_AT + WARM_UP } else { Duration::ZERO };
            let queue = VecDeque::new();
            let domain = match pattern {
                Pattern::Lean if i >= EVENLY_SPREAD => 1 + i % (DOMAINS - 1),
                _ => i % DOMAINS,
            };
            Target { domain, slowdown, warm_from, joins_at, busy_slots: 0, queue }
        };
        let targets: Vec<_> = (0..TARGETS + joining).map(target).collect();
        let burst_callers = if pattern == Pattern::Burst { CALLERS } else { 0 };
        let mut simulation = Self {
            pattern,
            policy,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            loads: vec![vec![(0, 0); targets.len()]; instances],
            shared: vec![vec![(0, 0); targets.len()]; instances],
            targets,
            callers: Vec::new(),
            domain_loads: (0..instances).map(|_| DomainLoad::default()).collect(),
            turns: vec![0; instances],
            rng: SmallRng::from_rng(&mut rng),
            result: RunResult { times: Vec::new(), flows: 0, remote_flows: 0 },
        };
        for i in 0..CALLERS + burst_callers {
            simulation.add_caller(i, i >= CALLERS, &mut rng);
        }
        simulation.schedule(LOAD_SHARING_INTERVAL, Event::ShareLoads);
        simulation.schedule(SAMPLE_INTERVAL, Event::SampleLoads);
        simulation
    }

    fn add_caller(&mut self, i: usize, bursts: bool, rng: &mut SmallRng) {
        let domain = i % DOMAINS;
        let nth = self.pattern.instance_index(self.turns.len() / DOMAINS, rng.random());
        let (from, until) = if bursts {
            (CHANGE_AT, CHANGE_AT + BURST_DURATION)
        } else {
            (Duration::ZERO, RUN_DURATION)
        };
        self.callers.push(Caller {
            instance: nth * DOMAINS + domain,
            flow: None,
            sent: Duration::ZERO,
            until,
            rng: SmallRng::from_rng(rng),
        });
        let begin = if bursts { Duration::from_millis(50) } else { Duration::ZERO };
        let begin = from + begin.mul_f64(rng.random()) + self.pattern.start_delay(rng.random());
        self.schedule(begin, Event::Request(i));
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(caller) => self.send(caller),
            Event::Response(target, caller) => self.respond(target, caller),
            Event::SampleLoads => self.sample_loads(),
            Event::ShareLoads => {
                self.shared = self.loads.clone();
                self.schedule(self.now + LOAD_SHARING_INTERVAL, Event::ShareLoads);
            }
        }
    }

    fn send(&mut self, i: usize) {
        let instance = self.callers[i].instance;
        let (target, left) = match self.callers[i].flow {
            Some((target, left)) if left > 0 => (target, left),
            before => {
                if let Some((before, _)) = before {
                    self.loads[instance][before].0 -= 1;
                }
                let target = self.select_target(instance);
                self.loads[instance][target].0 += 1;
                self.result.flows += 1;
                self.result.remote_flows +=
                    u64::from(self.targets[target].domain != instance % DOMAINS);
                (target, REQUESTS_PER_FLOW)
            }
        };
        self.callers[i].flow = Some((target, left - 1));
        self.callers[i].sent = self.now;
        self.loads[instance][target].1 += 1;
        self.targets[target].queue.push_back(i);
        self.process_queue(target);
    }

    fn process_queue(&mut self, t: usize) {
        while self.targets[t].busy_slots < SLOTS
            && let Some(caller) = self.targets[t].queue.pop_front()
        {
            let target = &mut self.targets[t];
            target.busy_slots += 1;
            let warm_up = if self.now < target.warm_from { 3.0 } else { 1.0 };
            let slowdown = if self.now >= CHANGE_AT { target.slowdown } else { 1.0 };
            let done = self.now + PROCESSING_TIME.mul_f64(warm_up * slowdown);
            self.schedule(done, Event::Response(t, caller));
        }
    }

    fn respond(&mut self, t: usize, i: usize) {
        self.targets[t].busy_slots -= 1;
        let caller = &mut self.callers[i];
        self.loads[caller.instance][t].1 -= 1;
        self.result.times.push(self.now - caller.sent);
        let think_time = MEAN_THINK_TIME.mul_f64(-(1.0 - caller.rng.random::<f64>()).ln());
        if self.now + think_time < caller.until {
            self.schedule(self.now + think_time, Event::Request(i));
        } else if let Some((target, _)) = caller.flow.take() {
            self.loads[self.callers[i].instance][target].0 -= 1;
        }
        self.process_queue(t);
    }

    fn select_target(&mut self, instance: usize) -> usize {
        let available = self.targets.iter().filter(|target| self.now >= target.joins_at).count();
        let candidates: Vec<_> = (0..available).map(|t| self.candidate(instance, t)).collect();
        self.turns[instance] += 1;
        let slots = candidates.iter().filter(|c| c.local).map(|c| c.slots).sum();
        let instances_per_domain = self.loads.len() / DOMAINS;
        let domain_load =
            self.domain_loads[instance].waiting_per_slot(SERVICE, instances_per_domain, slots);
        self.policy.select(&candidates, self.turns[instance], domain_load, &mut self.rng)
    }

    fn sample_loads(&mut self) {
        for (i, domain_load) in self.domain_loads.iter_mut().enumerate() {
            let local = self.targets.iter().zip(&self.loads[i]);
            let local = local.filter(|(target, _)| target.domain == i % DOMAINS);
            domain_load.sample(self.now, local.map(|(_, load)| (SERVICE, load.1)));
        }
        self.schedule(self.now + SAMPLE_INTERVAL, Event::SampleLoads);
    }

    fn candidate(&self, instance: usize, t: usize) -> Candidate {
        let target = &self.targets[t];
        let domain = instance % DOMAINS;
        let others = |all: bool| {
            (0..self.loads.len()).filter(move |&i| i != instance && (all || i % DOMAINS == domain))
        };
        let sum = |loads: &Loads, all: bool| {
            let target_loads = others(all).map(|i| loads[i][t]);
            target_loads.fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
        };
        let (flows, waiting) = match self.policy {
            Policy::Ideal => sum(&self.loads, true),
            Policy::LeastShared => sum(&self.shared, false),
            _ => (0, 0),
        };
        let own = self.loads[instance][t];
        Candidate {
            local: target.domain == domain,
            slots: SLOTS,
            flows: flows + own.0,
            waiting: waiting + own.1,
            warm_up_left: target.warm_from.saturating_sub(self.now),
        }
    }
}
