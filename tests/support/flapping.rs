//! Replays targets that go down and up, with instances and pools of open flows in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::instance::CheckOutcome;
use limpetdeck::steering::{Forwarder, PacketKind, Target, TargetIncarnation, Token, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::support::*;

const STEP_MS: u64 = 10;
const TARGETS: usize = 40;
/// When the targets begin to flap, and for how long they do.
pub const FLAPPING: (u64, u64) = (3_000, 7_000);
const END_MS: u64 = 14_000;
/// Time of a request at its target.
const WORK_MS: u64 = 50;
/// Mean time between two requests on a flow.
const IDLE_MS: u64 = 1_000;
/// Mean number of requests after which a caller replaces a flow of its pool.
const REQUESTS_PER_FLOW: u32 = 5;
/// Times at which a packet is sent again, and at which its caller gives up.
const REPEATS_MS: [u64; 3] = [200, 600, 1_400];
/// Delay of a target's entry until the instances have it.
const ENTRY_DELAY_MS: u64 = 100;
/// Time after which the platform removes a silent target.
const REMOVAL_MS: u64 = 3_000;

/// What a target that comes up again is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comeback {
    /// A new process with a new key.
    NewKey,
    /// A new process with the same key.
    SameKey,
    /// The same process, whose packets were lost.
    SameProcess,
}

/// A replay, and what its callers met.
pub struct Replay {
    pub comeback: Comeback,
    pub flapping: usize,
    pub ejection: bool,
    /// Whether each of the flapping targets goes down only once.
    pub once: bool,
    pub seed: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    pub requests: usize,
    /// Requests that were sent and got no response: they may have run.
    pub failed: usize,
    /// Openings that were not accepted at the first attempt.
    pub late_openings: usize,
    /// Most flows at one target at a time, in percent of the mean.
    pub peak_load: usize,
}

struct Machine {
    entry: Target,
    up: bool,
    /// Times at which it goes down or comes up, in descending order.
    turns: Vec<u64>,
}

struct Flow {
    instance: usize,
    port: u16,
    target: TargetIncarnation,
    token: Token,
    requests: u32,
    /// Whether the flow is open, and since when a packet is pending.
    open: bool,
    pending: Option<u64>,
    /// When the target began to work on the pending request.
    begun: Option<u64>,
    next_request: u64,
}

impl Replay {
    pub fn run(&self) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut machines: Vec<_> = (0..TARGETS).map(|i| self.machine(i, &mut rng)).collect();
        let entries: Vec<_> = machines.iter().map(|machine| machine.entry.clone()).collect();
        let mut instances: Vec<_> = (0..12).map(|_| self.instance(&entries)).collect();
        let mut outcome = Outcome::default();
        let mut ports = 1..u16::MAX;
        let mut flows: Vec<Flow> = (0..360)
            .map(|i| Flow {
                instance: i % instances.len(),
                port: ports.next().expect("a port"),
                target: (0, 0),
                token: 0,
                requests: 0,
                open: false,
                pending: None,
                begun: None,
                next_request: rng.random_range(0..IDLE_MS),
            })
            .collect();
        let mut due: BTreeMap<(u64, usize), TargetEvent> = BTreeMap::new();
        let mut announced: BTreeMap<TargetIncarnation, u64> = BTreeMap::new();
        let (mut sequence, mut revision) = (0, 20);
        let mut later = |due: &mut BTreeMap<_, _>, at: u64, event: TargetEvent| {
            sequence += 1;
            due.insert((at, sequence), event);
        };
        for at in (0..END_MS).step_by(STEP_MS as usize) {
            let now = ms(at);
            for machine in &mut machines {
                if machine.turns.last().is_none_or(|turn| at < *turn) {
                    continue;
                }
                machine.turns.pop();
                machine.up = !machine.up;
                let previous = machine.entry.key;
                if machine.up && self.comeback != Comeback::SameProcess {
                    machine.entry.incarnation += at;
                    if self.comeback == Comeback::NewKey {
                        machine.entry.key += 1_000;
                    }
                    later(&mut due, at + ENTRY_DELAY_MS, TargetEvent::Entry(machine.entry.clone()));
                } else if !machine.up && self.comeback == Comeback::NewKey {
                    later(&mut due, at + REMOVAL_MS, TargetEvent::Removal(previous));
                }
            }
            while let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= at) {
                revision += 1;
                match entry.remove() {
                    TargetEvent::Entry(target) => {
                        for instance in &mut instances {
                            instance.targets.merge(now, record(revision, target.clone()));
                        }
                        // The last packets go to the new process, which resets the flows.
                        let is_up = machines.iter().any(|m| m.up && m.entry == target);
                        let is_lost = |flow: &&mut Flow| {
                            let holder = instances[flow.instance].targets.get(flow.target);
                            flow.open
                                && flow.target != (target.key, target.incarnation)
                                && holder.is_some_and(|holder| holder.address == target.address)
                        };
                        for flow in flows.iter_mut().filter(is_lost).filter(|_| is_up) {
                            outcome.failed += usize::from(flow.pending.is_some());
                            flow.reopen(at, &mut rng, &mut ports);
                        }
                    }
                    TargetEvent::Removal(key) => instances.iter_mut().for_each(|instance| {
                        instance.targets.merge(now, removal(revision, key));
                    }),
                    TargetEvent::Checked(i, address, up) => {
                        let outcome =
                            if up { CheckOutcome::Accepted } else { CheckOutcome::NoAnswer };
                        for dead in instances[i].record_connection_check(now, address, outcome) {
                            let last = announced.entry(dead).or_default();
                            if *last == 0 || at >= *last + 3_000 {
                                *last = at;
                                instances.iter_mut().for_each(|i| i.doubt_target(now, dead));
                            }
                        }
                    }
                }
            }
            let reaches = |target: TargetIncarnation, machines: &[Machine]| {
                machines.iter().any(|machine| {
                    machine.up && (machine.entry.key, machine.entry.incarnation) == target
                })
            };
            for flow in &mut flows {
                flow.step(
                    at,
                    &mut instances[flow.instance],
                    &mut outcome,
                    &mut rng,
                    &mut ports,
                    |t| reaches(t, &machines),
                );
            }
            for (i, instance) in instances.iter_mut().enumerate() {
                for address in instance.take_connection_checks() {
                    let up = machines.iter().any(|m| socket(m.entry.address) == address && m.up);
                    let delay = if up { STEP_MS } else { 250 };
                    later(&mut due, at + delay, TargetEvent::Checked(i, address, up));
                }
                if at % 100 == 0 {
                    instance.sample_load(now);
                    instance.expire(now);
                    instance.check_flow_targets(now);
                }
            }
            let mut by_target: BTreeMap<_, usize> = BTreeMap::new();
            for flow in flows.iter().filter(|flow| flow.open) {
                *by_target.entry(flow.target).or_default() += 1;
            }
            let peak = by_target.values().max().copied().unwrap_or_default();
            outcome.peak_load = outcome.peak_load.max(peak * 100 * TARGETS / flows.len());
        }
        outcome
    }

    fn machine(&self, i: usize, rng: &mut SmallRng) -> Machine {
        let entry = Target { slots: 2, ..target(i as u64 + 1, STATION) };
        let mut turns = Vec::new();
        if i < self.flapping {
            let half_period = rng.random_range(1_100..1_700) / 2;
            let begin = FLAPPING.0 + rng.random_range(0..half_period);
            turns.extend((begin..FLAPPING.0 + FLAPPING.1).step_by(half_period as usize));
            // The last turn brings the target up.
            turns.truncate(if self.once { 2 } else { turns.len() / 2 * 2 });
            turns.reverse();
        }
        Machine { entry, up: true, turns }
    }

    fn instance(&self, entries: &[Target]) -> Forwarder {
        let mut instance = forwarder(&[STATION], entries);
        instance.set_local_instances(12);
        if !self.ejection {
            instance.disable_outlier_ejection();
        }
        instance
    }
}

enum TargetEvent {
    Entry(Target),
    Removal(u64),
    Checked(usize, SocketAddr, bool),
}

impl Flow {
    fn step(
        &mut self,
        at: u64,
        instance: &mut Forwarder,
        outcome: &mut Outcome,
        rng: &mut SmallRng,
        ports: &mut std::ops::Range<u16>,
        reaches: impl Fn(TargetIncarnation) -> bool,
    ) {
        let now: Duration = ms(at);
        let waited = self.pending.map(|since| at - since);
        let repeats = waited.map_or(0, |w| REPEATS_MS.iter().filter(|&&r| w >= r).count());
        let is_sent = waited.is_none_or(|w| REPEATS_MS.contains(&w));
        if waited.is_some_and(|waited| waited >= REPEATS_MS[2]) {
            outcome.failed += usize::from(self.open);
            return self.reopen(at, rng, ports);
        }
        if !self.open {
            if is_sent {
                outcome.late_openings += usize::from(repeats == 1);
                let opening = retransmitted_opening(self.port, 1, repeats as u32);
                match instance.decide(now, &opening) {
                    Verdict::Forward(target, Some(token)) => {
                        self.target = (target.key, target.incarnation);
                        self.token = token;
                    }
                    _ => return self.reopen(at, rng, ports),
                }
                self.pending = self.pending.or(Some(at));
                if reaches(self.target) {
                    (self.open, self.pending) = (true, None);
                    let mut first = request(self.port, 1, self.token, 0);
                    first.data_len = 0;
                    instance.decide(now, &first);
                }
            }
        } else if self.begun.is_some_and(|begun| at == begun + WORK_MS) && reaches(self.target) {
            instance.decide(now, &acknowledgement(self.port, 1, self.token, self.requests));
            self.requests += 1;
            (self.pending, self.begun) = (None, None);
            self.next_request = at + rng.random_range(0..2 * IDLE_MS);
            if rng.random_ratio(1, REQUESTS_PER_FLOW) {
                let mut closing = acknowledgement(self.port, 1, self.token, self.requests);
                closing.kind = PacketKind::Closing;
                instance.decide(now, &closing);
                self.reopen(at, rng, ports);
            }
        } else if at >= self.next_request && is_sent {
            outcome.requests += usize::from(self.pending.is_none());
            self.pending = self.pending.or(Some(at));
            let packet = request(self.port, 1, self.token, self.requests);
            let verdict = instance.decide(now, &packet);
            if !matches!(verdict, Verdict::Forward(..) | Verdict::Inquire(..)) {
                outcome.failed += 1;
                return self.reopen(at, rng, ports);
            }
            if reaches(self.target) {
                self.begun = Some(at);
            }
        }
    }

    fn reopen(&mut self, at: u64, rng: &mut SmallRng, ports: &mut std::ops::Range<u16>) {
        self.port = ports.next().expect("a port");
        (self.open, self.pending, self.begun, self.requests) = (false, None, None, 0);
        self.next_request = at + rng.random_range(0..2 * IDLE_MS);
    }
}
