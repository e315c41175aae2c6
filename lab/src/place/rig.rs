//! Targets with slots and queues before callers that keep flows, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use limpetdeck::steering::{Candidate, Crowding};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Pattern, Policy};

const SERVICE: &str = "till";
const DOMAINS: usize = 3;
const TARGETS: usize = 18;
/// Targets that join under [`Pattern::Cold`].
const JOINING: usize = 6;
/// Targets that are spread over all domains under [`Pattern::Lean`]; the others leave out one.
const LEAN: usize = 6;
const SLOTS: u32 = 3;
const CALLERS: usize = 240;
/// Work of a request, that of the users' feeds.
const WORK: Duration = Duration::from_millis(40);
/// Mean pause of a caller between an answer and its next request: targets are then 60% busy.
const PAUSE: Duration = Duration::from_millis(255);
/// Requests on a flow before its caller opens another one.
const REQUESTS: u32 = 20;
/// Time from which a request is late, as the users want it.
const AIM: Duration = Duration::from_millis(200);
/// Age of what instances tell each other about loads.
const SHARED_AGE: Duration = Duration::from_millis(500);
/// Time between two samples, that of the daemon's ticks.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// When a pattern's change comes, and how long it lasts.
const CHANGE: Duration = Duration::from_secs(6);
const LASTS: Duration = Duration::from_secs(4);
const COLD: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(15);

/// What came out of a run.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Times from a request to its answer, in order.
    times: Vec<Duration>,
    flows: u64,
    away: u64,
}

impl Figures {
    /// Returns a quantile of the times.
    pub fn quantile(&self, q: f64) -> Duration {
        let i = ((self.times.len() - 1) as f64 * q) as usize;
        self.times[i]
    }

    /// Returns the mean of the times.
    pub fn mean(&self) -> Duration {
        self.times.iter().sum::<Duration>() / self.times.len() as u32
    }

    /// Returns the share of requests that were late.
    pub fn late(&self) -> f64 {
        let in_aim = self.times.partition_point(|&time| time <= AIM);
        1.0 - in_aim as f64 / self.times.len() as f64
    }

    /// Returns the share of flows that left their failure domain.
    pub fn away(&self) -> f64 {
        self.away as f64 / self.flows as f64
    }
}

impl Display for Figures {
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
            self.late(),
            self.away()
        )
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller sends a request.
    Sends(usize),
    /// A target has answered a caller.
    Answered(usize, usize),
    /// The instances tell each other of loads.
    Shared,
    /// The instances sample how crowded their domains are.
    Sampled,
}

#[derive(Debug)]
struct Target {
    domain: usize,
    slow: f64,
    cold_until: Duration,
    from: Duration,
    working: u32,
    queue: VecDeque<usize>,
}

#[derive(Debug)]
struct Caller {
    instance: usize,
    /// Target and requests left of its flow.
    flow: Option<(usize, u32)>,
    sent: Duration,
    until: Duration,
    rng: SmallRng,
}

/// Flows and waiting requests by instance and target.
type Loads = Vec<Vec<(u32, u32)>>;

struct Rig {
    pattern: Pattern,
    policy: Policy,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    loads: Loads,
    shared: Loads,
    crowding: Vec<Crowding>,
    turns: Vec<usize>,
    rng: SmallRng,
    figures: Figures,
}

/// Runs a way to choose under a load, on a number of instances; all arrivals follow from the seed.
pub fn run(seed: u64, instances: usize, pattern: Pattern, policy: Policy) -> Figures {
    let mut rig = Rig::new(seed, instances, pattern, policy);
    while let Some(((at, _), event)) = rig.events.pop_first()
        && at < LENGTH
    {
        rig.now = at;
        rig.handle(event);
    }
    rig.figures.times.sort_unstable();
    rig.figures
}

impl Rig {
    fn new(seed: u64, instances: usize, pattern: Pattern, policy: Policy) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let joining = if pattern == Pattern::Cold { JOINING } else { 0 };
        let target = |i: usize| {
            let joins = i >= TARGETS;
            let from = if joins { CHANGE } else { Duration::ZERO };
            // Every sixth target: 15% of them, spread over the domains unevenly.
            let slow = if pattern == Pattern::Slow && i.is_multiple_of(6) { 4.0 } else { 1.0 };
            let cold_until = if joins { CHANGE + COLD } else { Duration::ZERO };
            let queue = VecDeque::new();
            let domain = match pattern {
                Pattern::Lean if i >= LEAN => 1 + i % (DOMAINS - 1),
                _ => i % DOMAINS,
            };
            Target { domain, slow, cold_until, from, working: 0, queue }
        };
        let targets: Vec<_> = (0..TARGETS + joining).map(target).collect();
        let more = if pattern == Pattern::Burst { CALLERS } else { 0 };
        let mut rig = Self {
            pattern,
            policy,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            loads: vec![vec![(0, 0); targets.len()]; instances],
            shared: vec![vec![(0, 0); targets.len()]; instances],
            targets,
            callers: Vec::new(),
            crowding: (0..instances).map(|_| Crowding::default()).collect(),
            turns: vec![0; instances],
            rng: SmallRng::from_rng(&mut rng),
            figures: Figures { times: Vec::new(), flows: 0, away: 0 },
        };
        for i in 0..CALLERS + more {
            rig.add_caller(i, i >= CALLERS, &mut rng);
        }
        rig.schedule(SHARED_AGE, Event::Shared);
        rig.schedule(SAMPLE_EVERY, Event::Sampled);
        rig
    }

    fn add_caller(&mut self, i: usize, bursts: bool, rng: &mut SmallRng) {
        let domain = i % DOMAINS;
        let nth = self.pattern.instance(self.turns.len() / DOMAINS, rng.random());
        let (from, until) =
            if bursts { (CHANGE, CHANGE + LASTS) } else { (Duration::ZERO, LENGTH) };
        self.callers.push(Caller {
            instance: nth * DOMAINS + domain,
            flow: None,
            sent: Duration::ZERO,
            until,
            rng: SmallRng::from_rng(rng),
        });
        let begin = if bursts { Duration::from_millis(50) } else { Duration::ZERO };
        let begin = from + begin.mul_f64(rng.random()) + self.pattern.begin(rng.random());
        self.schedule(begin, Event::Sends(i));
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sends(caller) => self.send(caller),
            Event::Answered(target, caller) => self.answer(target, caller),
            Event::Sampled => self.sample(),
            Event::Shared => {
                self.shared = self.loads.clone();
                self.schedule(self.now + SHARED_AGE, Event::Shared);
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
                let target = self.place(instance);
                self.loads[instance][target].0 += 1;
                self.figures.flows += 1;
                self.figures.away += u64::from(self.targets[target].domain != instance % DOMAINS);
                (target, REQUESTS)
            }
        };
        self.callers[i].flow = Some((target, left - 1));
        self.callers[i].sent = self.now;
        self.loads[instance][target].1 += 1;
        self.targets[target].queue.push_back(i);
        self.work(target);
    }

    fn work(&mut self, t: usize) {
        while self.targets[t].working < SLOTS
            && let Some(caller) = self.targets[t].queue.pop_front()
        {
            let target = &mut self.targets[t];
            target.working += 1;
            let cold = if self.now < target.cold_until { 3.0 } else { 1.0 };
            let slow = if self.now >= CHANGE { target.slow } else { 1.0 };
            let done = self.now + WORK.mul_f64(cold * slow);
            self.schedule(done, Event::Answered(t, caller));
        }
    }

    fn answer(&mut self, t: usize, i: usize) {
        self.targets[t].working -= 1;
        let caller = &mut self.callers[i];
        self.loads[caller.instance][t].1 -= 1;
        self.figures.times.push(self.now - caller.sent);
        let pause = PAUSE.mul_f64(-(1.0 - caller.rng.random::<f64>()).ln());
        if self.now + pause < caller.until {
            self.schedule(self.now + pause, Event::Sends(i));
        } else if let Some((target, _)) = caller.flow.take() {
            self.loads[self.callers[i].instance][target].0 -= 1;
        }
        self.work(t);
    }

    fn place(&mut self, instance: usize) -> usize {
        let there = self.targets.iter().filter(|target| self.now >= target.from).count();
        let candidates: Vec<_> = (0..there).map(|t| self.candidate(instance, t)).collect();
        self.turns[instance] += 1;
        let slots = candidates.iter().filter(|c| c.home).map(|c| c.slots).sum();
        let alike = self.loads.len() / DOMAINS;
        let crowding = self.crowding[instance].per_slot(SERVICE, alike, slots);
        self.policy.choose(&candidates, self.turns[instance], crowding, &mut self.rng)
    }

    fn sample(&mut self) {
        for (i, crowding) in self.crowding.iter_mut().enumerate() {
            let home = self.targets.iter().zip(&self.loads[i]);
            let home = home.filter(|(target, _)| target.domain == i % DOMAINS);
            crowding.sample(self.now, home.map(|(_, load)| (SERVICE, load.1)));
        }
        self.schedule(self.now + SAMPLE_EVERY, Event::Sampled);
    }

    fn candidate(&self, instance: usize, t: usize) -> Candidate {
        let target = &self.targets[t];
        let domain = instance % DOMAINS;
        let others = |all: bool| {
            (0..self.loads.len()).filter(move |&i| i != instance && (all || i % DOMAINS == domain))
        };
        let sum = |loads: &Loads, all: bool| {
            let of = others(all).map(|i| loads[i][t]);
            of.fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
        };
        let (flows, waiting) = match self.policy {
            Policy::Ideal => sum(&self.loads, true),
            Policy::LeastShared => sum(&self.shared, false),
            _ => (0, 0),
        };
        let own = self.loads[instance][t];
        Candidate {
            home: target.domain == domain,
            slots: SLOTS,
            flows: flows + own.0,
            waiting: waiting + own.1,
            cold: target.cold_until.saturating_sub(self.now),
        }
    }
}
