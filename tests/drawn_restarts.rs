//! Targets restart while instances are killed, paused or started again, and while the platform is
//! away or comes back from a copy, all drawn from seeds. No instance may reset a flow that its target
//! holds, and callers of lost flows learn of the loss early.
//!
//! `DRAWN_SEEDS=0..300 cargo test --release --test drawn_restarts -- --nocapture` draws other seeds.

#[path = "support/target_processes.rs"]
#[allow(dead_code)]
mod processes;
#[path = "support/steering.rs"]
#[allow(dead_code)]
mod support;
#[path = "support/steering_world.rs"]
#[allow(dead_code)]
mod world;

use std::ops::Range;
use std::time::Duration;

use limpetdeck::steering::{Target, TargetKey};
use processes::*;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use support::*;
use world::*;

const INSTANCES: usize = 8;
const TARGETS: Range<TargetKey> = 1..5;
/// Time in which all instances start.
const STARTUP: Duration = Duration::from_secs(5);
/// Time over which faults begin.
const FAULTS: Duration = Duration::from_secs(20);
/// Time after the last fault.
const CALM: Duration = Duration::from_secs(12);
/// Longest time for which a target is down.
const MAX_DOWN: Duration = Duration::from_millis(2_500);
/// Longest time from the start of a target until its entry is written.
const MAX_DELAY: Duration = Duration::from_millis(1_200);
/// Seeds that are played without `DRAWN_SEEDS`.
const SEEDS: Range<u64> = 0..16;
/// Time within which the platform's changes are known to instances that reach it.
const KNOWN: Duration = Duration::from_secs(3);

/// Time after which an idle flow may be dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What happens at a time.
#[derive(Debug, Clone)]
enum Step {
    Crash(TargetKey),
    /// The process of a target starts, at an address that ends with the number.
    Start(TargetKey, u64),
    /// The target writes its entry.
    Write(TargetKey),
    Kill(usize),
    StartInstance(usize),
    Pause(usize),
    Resume(usize),
    StoreDown,
    StoreUp,
    Copy,
    Restore,
}

/// The steps of a run, by time, and whether a fault other than the restarts is among them.
struct Plan {
    steps: Vec<(Duration, Step)>,
    disturbed: bool,
}

fn millis(rng: &mut SmallRng, range: Range<u64>) -> Duration {
    ms(rng.random_range(range))
}

/// Draws restarts, some of them in quick succession or at another address, each with an entry that
/// may be late.
fn draw_restarts(rng: &mut SmallRng, steps: &mut Vec<(Duration, Step)>) {
    let mut at = STARTUP + millis(rng, 500..2_000);
    while at < STARTUP + FAULTS {
        let key = rng.random_range(TARGETS);
        let moved = rng.random_bool(0.2);
        let mut restart = at;
        for _ in 0..rng.random_range(1..=2) {
            let down = if rng.random_bool(0.2) { MAX_DOWN } else { ms(600) };
            let up = restart + millis(rng, 50..down.as_millis() as u64);
            // No two targets are ever at the same address.
            let host = if moved { 25 * (key + 3) + rng.random_range(0..25) } else { key };
            steps.push((restart, Step::Crash(key)));
            steps.push((up, Step::Start(key, host)));
            steps.push((up + millis(rng, 0..MAX_DELAY.as_millis() as u64), Step::Write(key)));
            restart = up + millis(rng, 300..2_500);
        }
        at = restart + millis(rng, 1_000..4_000);
    }
}

fn draw_plan(rng: &mut SmallRng) -> Plan {
    let mut steps = Vec::new();
    draw_restarts(rng, &mut steps);
    let restarts: Vec<_> = steps.iter().map(|(at, _)| *at).collect();
    let disturbed = rng.random_bool(0.75);
    for at in restarts {
        if !disturbed || rng.random_bool(0.7) {
            continue;
        }
        let at = at + millis(rng, 0..1_500);
        let i = rng.random_range(0..INSTANCES);
        let end = at + millis(rng, 800..4_000);
        match rng.random_range(0..5) {
            0 | 1 => steps.extend([(at, Step::Kill(i)), (end, Step::StartInstance(i))]),
            2 => steps.extend([(at, Step::Pause(i)), (end, Step::Resume(i))]),
            3 => steps.extend([(at, Step::StoreDown), (end, Step::StoreUp)]),
            _ => steps.extend([(at.saturating_sub(ms(3_000)), Step::Copy), (at, Step::Restore)]),
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    Plan { steps, disturbed }
}

/// Results of a run.
#[derive(Debug, Default)]
struct Tally {
    flows: usize,
    lost: usize,
    /// Flows that an instance reset though their target held them.
    wrongly: Vec<String>,
    /// Requests that were given up on flows that their target held.
    silent: usize,
    /// Lost flows on which a request was sent before the loss was known.
    used: usize,
    /// Lost flows whose loss never became known.
    unknown: usize,
    /// Sum of the times from the loss until it was known.
    waited: Duration,
    /// Lost flows without other faults whose loss was not known in time, and not by a request.
    late: Vec<String>,
}

struct Run {
    world: World,
    processes: Processes,
    rng: SmallRng,
    entries: Vec<Target>,
    down: bool,
    /// Targets whose entries wait for the platform.
    unwritten: Vec<TargetKey>,
    port: u16,
    paused: Vec<usize>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Self {
            world: World::seeded(seed, 2, &[false; INSTANCES]),
            processes: Processes::default(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            entries: TARGETS.map(|key| target(key, STATION)).collect(),
            down: false,
            unwritten: Vec::new(),
            port: 40_000,
            paused: Vec::new(),
        };
        run.entries.iter().for_each(|entry| run.processes.start(entry));
        run
    }

    fn entry(&mut self, key: TargetKey) -> &mut Target {
        &mut self.entries[(key - 1) as usize]
    }

    fn write(&mut self, key: TargetKey) {
        match self.down {
            true => self.unwritten.push(key),
            false => self.world.store.put_target(&self.entries[(key - 1) as usize]),
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.world.now;
        match *step {
            Step::Crash(key) => self.processes.crash(now, key),
            Step::Start(key, host) => {
                let address = target(host, STATION).address;
                let incarnation = now.as_millis() as u64;
                let entry = self.entry(key);
                (entry.address, entry.incarnation) = (address, incarnation);
                let entry = entry.clone();
                self.processes.start(&entry);
            }
            Step::Write(key) => self.write(key),
            Step::Kill(i) => {
                self.world.paused.remove(&i);
                self.world.kill(i);
            }
            Step::StartInstance(i) => {
                if self.world.nodes[i].is_none() {
                    self.world.start(i);
                }
            }
            Step::Pause(i) => {
                if self.world.nodes[i].is_some() {
                    self.world.paused.insert(i, Vec::new());
                }
            }
            Step::Resume(i) => self.world.resume(i),
            Step::StoreDown => (self.down, self.world.store.down) = (true, true),
            Step::StoreUp => {
                (self.down, self.world.store.down) = (false, false);
                std::mem::take(&mut self.unwritten).into_iter().for_each(|key| self.write(key));
            }
            Step::Copy => self.world.store.take_copy(),
            Step::Restore => {
                if !self.world.store.copy.1.is_empty() {
                    self.world.store.restore_copy();
                    // The targets write their entries again.
                    TARGETS.for_each(|key| self.write(key));
                }
            }
        }
        self.paused = self.world.paused.keys().copied().collect();
    }

    fn pick_instance(&mut self) -> Option<usize> {
        let runs = |i: &usize| self.world.nodes[*i].is_some() && !self.paused.contains(i);
        (0..INSTANCES).filter(runs).choose(&mut self.rng)
    }

    /// Opens a flow, sends requests on some, and moves some to other instances, above all those whose
    /// instance is gone.
    fn use_flows(&mut self, busy: bool) {
        if busy && let Some(instance) = self.pick_instance() {
            self.port += 1;
            self.processes.open(&mut self.world, instance, self.port);
        }
        let open = self.processes.flows.values().filter(|flow| flow.ended.is_none());
        let ports: Vec<_> = open.map(|flow| (flow.port, flow.instance, flow.pending)).collect();
        for (port, instance, pending) in ports {
            let runs = self.world.nodes[instance].is_some() && !self.paused.contains(&instance);
            let is_moved = !runs || self.rng.random_bool(0.01);
            if is_moved && let Some(other) = self.pick_instance() {
                self.processes.flows.get_mut(&port).expect("a flow").instance = other;
            }
            if pending.is_none() && self.rng.random_bool(0.02) {
                self.processes.send_request(&mut self.world, port);
            }
        }
    }

    fn play(mut self, plan: &Plan) -> Tally {
        let mut tally = Tally::default();
        let mut steps = plan.steps.iter().peekable();
        let end = STARTUP + FAULTS + CALM;
        let begin = self.world.now;
        while self.world.now < begin + end {
            let at = self.world.now - begin;
            while let Some((_, step)) = steps.next_if(|(due, _)| *due <= at) {
                self.apply(step);
            }
            self.world.run(TICK);
            self.processes.tick(&mut self.world);
            if at > STARTUP - ms(500) {
                self.use_flows(at < STARTUP + FAULTS);
            }
        }
        for flow in self.processes.flows.values() {
            count(&mut tally, flow, plan.disturbed, self.processes.is_held(flow.port));
        }
        tally
    }
}

fn count(tally: &mut Tally, flow: &Flow, disturbed: bool, is_held: bool) {
    tally.flows += 1;
    match flow.ended {
        Some((at, Ended::Wrongly)) => tally.wrongly.push(format!("{at:?}: {flow:?}")),
        Some((_, Ended::GivenUp)) if is_held => tally.silent += 1,
        _ => {}
    }
    let Some(lost) = flow.lost.filter(|lost| flow.ended.is_none_or(|(at, _)| at >= *lost)) else {
        return;
    };
    tally.lost += 1;
    tally.used += usize::from(flow.used_since);
    let Some((at, _)) = flow.ended else { return tally.unknown += 1 };
    tally.waited += at - lost;
    let due = lost + MAX_DOWN + MAX_DELAY + KNOWN;
    let is_idle = due >= flow.last_used + IDLE_TIMEOUT;
    if !disturbed && !is_idle && at > due {
        tally.late.push(format!("{flow:?}"));
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("DRAWN_SEEDS") else { return SEEDS };
    let (start, end) = text.split_once("..").expect("DRAWN_SEEDS=A..B");
    start.parse().expect("a number")..end.parse().expect("a number")
}

#[test]
fn held_flows_kept() {
    let mut wrongly = Vec::new();
    let mut late = Vec::new();
    let mut total = Tally::default();
    for seed in seeds() {
        let plan = draw_plan(&mut SmallRng::seed_from_u64(seed));
        let tally = Run::new(seed).play(&plan);
        total.flows += tally.flows;
        total.lost += tally.lost;
        total.silent += tally.silent;
        total.used += tally.used;
        total.unknown += tally.unknown;
        total.waited += tally.waited;
        wrongly.extend(tally.wrongly.into_iter().map(|flow| (seed, flow)));
        late.extend(tally.late.into_iter().map(|flow| (seed, flow)));
    }
    let mean = total.waited / (total.lost - total.unknown).max(1) as u32;
    println!(
        "flows={} lost={} reset_though_held={} silent_though_held={} used_after_loss={} \
         loss_unknown={} loss_known_after_ms={} late={}",
        total.flows,
        total.lost,
        wrongly.len(),
        total.silent,
        total.used,
        total.unknown,
        mean.as_millis(),
        late.len(),
    );
    assert!(wrongly.is_empty(), "{wrongly:#?}");
    assert!(late.is_empty(), "{late:#?}");
}
