//! The callers and the fabric, and the exact counts that a way is held against.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::Duration;

use limpetdeck::hash::HashMap;
use limpetdeck::lists::Allowance;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::policy::{
    Answer, CUSTOMERS, DETECTION, Flow, INSTANCES, LARGER_SIDE, Network, Policy, allowance,
};

/// Virtual time of one run.
const RUN: Duration = Duration::from_secs(240);
/// When the fault of a case begins.
const FAULT: Duration = Duration::from_secs(90);
/// When a cut is healed.
const HEALED: Duration = Duration::from_secs(180);
/// Time from which flows are counted, when their number has settled.
const SETTLED: Duration = Duration::from_secs(60);
/// Mean time for which a flow is open, in seconds.
const MEAN_OPEN: f64 = 20.0;
/// Time between two answers of a target.
const ANSWER_EVERY: Duration = Duration::from_secs(2);
/// Time after which a caller repeats a packet that was lost.
const REPEAT: Duration = Duration::from_secs(1);
/// Times that a caller sends a packet.
const TRIES: u8 = 5;
/// Part of its allowance below which a customer must not be refused.
const SAFE: f64 = 0.9;
/// Time over which new flows are held against the rate, in seconds.
const RATE_WINDOW: usize = 10;

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Packets are sprayed evenly; every other customer wants more open flows than allowed.
    Steady,
    /// The same with the limit on new flows a second.
    Rate,
    /// Each customer's packets mostly reach a few instances.
    Skew,
    /// One customer wants twenty times its allowance, the others stay below theirs.
    Burst,
    /// The instance dies whose death hurts most.
    Kill,
    /// A third of the instances is cut off.
    Cut,
}

impl Case {
    /// Returns the allowance of every customer.
    pub fn allowance(self) -> Allowance {
        if self == Self::Rate { allowance(100_000, 50) } else { allowance(200, 500) }
    }

    /// Returns the new flows that a customer wants, a second.
    fn wanted(self, customer: usize) -> f64 {
        let limit = if self == Self::Rate { 50.0 } else { 200.0 / MEAN_OPEN };
        match (self, customer % 2) {
            (Self::Burst, _) if customer == 0 => 20.0 * limit,
            (Self::Burst, _) | (_, 1) => 0.8 * limit,
            _ => 1.5 * limit,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Open(u32, u8),
    Answer(u32),
    End(u32, u8),
    Tick,
    Fault,
    Heal,
    Detected,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    line: String,
    most_open: f64,
    most_new: f64,
    safe_asked: u64,
    safe_refused: u64,
    asked: u64,
    lost: u64,
    bytes: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |part: u64, of: u64| 100.0 * part as f64 / (of.max(1)) as f64;
        write!(
            f,
            "{} overshoot_open_pct={:.1} overshoot_rate_pct={:.1} wrong_refusals_pct={:.2} \
             safe_asked={} asked={} lost={} control_bytes_per_s={:.0}",
            self.line,
            100.0 * (self.most_open - 1.0).max(0.0),
            100.0 * (self.most_new - 1.0).max(0.0),
            percent(self.safe_refused, self.safe_asked),
            self.safe_asked,
            self.asked,
            self.lost,
            self.bytes as f64 / RUN.as_secs_f64() / INSTANCES as f64,
        )
    }
}

/// One run.
#[derive(Debug)]
pub struct World {
    case: Case,
    policy: Box<dyn Policy>,
    network: Network,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    next_flow: u32,
    flows: HashMap<u32, Flow>,
    open: [u32; CUSTOMERS],
    /// New flows of each customer in each second.
    new: [Vec<u32>; CUSTOMERS],
    result: Outcome,
}

impl World {
    /// Makes a run.
    pub fn new(case: Case, policy: Box<dyn Policy>, seed: u64) -> Self {
        let mut world = Self {
            case,
            policy,
            network: Network::default(),
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next_flow: 0,
            flows: HashMap::default(),
            open: [0; CUSTOMERS],
            new: std::array::from_fn(|_| vec![0; RUN.as_secs() as usize + 1]),
            result: Outcome::default(),
        };
        (0..CUSTOMERS).for_each(|customer| world.after(Duration::ZERO, Event::Arrival(customer)));
        world.after(Duration::ZERO, Event::Tick);
        if matches!(case, Case::Kill | Case::Cut) {
            world.after(FAULT, Event::Fault);
        }
        world
    }

    /// Runs to the end and returns what it has shown.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > RUN {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.result.line = format!("case={:?} way={}", self.case, self.policy.name());
        self.result.bytes = self.policy.control_bytes();
        self.result
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(customer) => self.arrival(customer),
            Event::Open(flow, tries) => self.open(flow, tries),
            Event::Answer(flow) => self.answer(flow),
            Event::End(flow, tries) => self.end(flow, tries),
            Event::Tick => {
                self.policy.tick(self.now);
                self.after(Duration::from_millis(100), Event::Tick);
            }
            Event::Fault => self.fault(),
            Event::Heal => {
                self.network.cut = false;
                self.policy.changed(self.now, &self.network);
                self.after(Duration::from_millis(500), Event::Detected);
            }
            Event::Detected => self.policy.detected(self.now, &self.network),
        }
    }

    fn fault(&mut self) {
        if self.case == Case::Kill {
            self.network.dead = Some(self.policy.weakest());
        } else {
            self.network.cut = true;
            self.after(HEALED - FAULT, Event::Heal);
        }
        self.policy.changed(self.now, &self.network);
        self.after(DETECTION, Event::Detected);
    }

    fn arrival(&mut self, customer: usize) {
        let flow = Flow {
            number: self.next_flow,
            customer,
            smaller_side: self.rng.random_range(0..INSTANCES) >= LARGER_SIDE,
        };
        self.next_flow += 1;
        self.flows.insert(flow.number, flow);
        self.open(flow.number, 1);
        let gap = self.exponential(1.0 / self.case.wanted(customer));
        self.after(gap, Event::Arrival(customer));
    }

    fn open(&mut self, number: u32, tries: u8) {
        let flow = self.flows[&number];
        let safe = self.is_safe(flow.customer);
        let at = self.spray(flow);
        let answer = self.policy.open(self.now, flow, at);
        if answer == Answer::Lost {
            self.result.lost += 1;
            if tries < TRIES {
                self.after(REPEAT, Event::Open(number, tries + 1));
            }
            return;
        }
        self.note(safe, answer == Answer::Refused);
        if answer == Answer::Admitted {
            self.opened(flow);
        }
    }

    fn note(&mut self, safe: bool, refused: bool) {
        if self.now < SETTLED {
            return;
        }
        self.result.asked += 1;
        self.result.safe_asked += u64::from(safe);
        self.result.safe_refused += u64::from(safe && refused);
    }

    fn opened(&mut self, flow: Flow) {
        let allowance = self.case.allowance();
        self.open[flow.customer] += 1;
        self.new[flow.customer][self.now.as_secs() as usize] += 1;
        let use_of_open = f64::from(self.open[flow.customer]) / f64::from(allowance.max_open_flows);
        self.result.most_open = self.result.most_open.max(use_of_open);
        self.result.most_new = self.result.most_new.max(self.use_of_rate(flow.customer));
        let open_for = self.exponential(MEAN_OPEN);
        self.after(open_for, Event::End(flow.number, 1));
        self.after(ANSWER_EVERY, Event::Answer(flow.number));
    }

    fn answer(&mut self, number: u32) {
        let Some(&flow) = self.flows.get(&number) else { return };
        let at = self.spray(flow);
        self.policy.answer(self.now, flow, at);
        self.after(ANSWER_EVERY, Event::Answer(number));
    }

    fn end(&mut self, number: u32, tries: u8) {
        let Some(&flow) = self.flows.get(&number) else { return };
        let at = self.spray(flow);
        if !self.policy.end(self.now, flow, at) && tries < TRIES {
            return self.after(REPEAT, Event::End(number, tries + 1));
        }
        self.flows.remove(&number);
        self.open[flow.customer] -= 1;
    }

    /// Tells whether a customer is below 90% of its allowance.
    fn is_safe(&self, customer: usize) -> bool {
        let open = f64::from(self.case.allowance().max_open_flows) * SAFE;
        f64::from(self.open[customer]) < open && self.use_of_rate(customer) < SAFE
    }

    /// New flows in the last seconds, as a part of what the allowance has for them.
    fn use_of_rate(&self, customer: usize) -> f64 {
        let second = self.now.as_secs() as usize;
        if second < RATE_WINDOW {
            return 0.0;
        }
        let new: u32 = self.new[customer][second - RATE_WINDOW..second].iter().sum();
        let allowed = self.case.allowance().max_new_flows_per_s * RATE_WINDOW as u32;
        f64::from(new) / f64::from(allowed)
    }

    /// Chooses the instance that the fabric hands a packet to. It notices a dead one as the
    /// instances do; until then such packets are lost.
    fn spray(&mut self, flow: Flow) -> usize {
        let near = flow.smaller_side;
        loop {
            let at = if self.case == Case::Skew {
                let rank = (self.rng.random::<f64>().powi(3) * INSTANCES as f64) as usize;
                (rank + flow.customer) % INSTANCES
            } else {
                self.rng.random_range(0..INSTANCES)
            };
            let reachable = !self.network.cut || (at >= LARGER_SIDE) == near;
            if reachable && self.network.alive(at) {
                return at;
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = 1.0 - self.rng.random::<f64>();
        Duration::from_secs_f64((-uniform.ln() * mean).min(RUN.as_secs_f64()))
    }
}
