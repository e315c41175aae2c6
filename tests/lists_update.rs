//! The update protocol: every order of calls, losses and delays of two operators, to a depth.

#[path = "support/customer.rs"]
mod customer;
#[path = "support/store.rs"]
mod store;

use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use customer::{NEVER, set_customer};
use limpetdeck::lists::{Outcome, Stamp, Step, Update};
use limpetdeck::platform::{Call, PlatformError};
use store::{Fate, Store};

/// Two operators, the store between them, and what may still go wrong.
#[derive(Debug, Clone)]
struct World {
    store: Store,
    operators: [(Update, Duration); 2],
    faults_left: u32,
}

/// What was found; worlds that were met before are not looked at again.
#[derive(Debug, Default)]
struct Tally {
    seen: HashSet<u64>,
    ends: u64,
    applied: u64,
    conflicts: u64,
    unsettled: u64,
    faults: Vec<String>,
}

impl World {
    fn new(faults_left: u32, conditional: bool) -> Self {
        let mut store = Store::new("plans");
        store.conditional = conditional;
        let operators = ["a", "b"].map(|name| (set_customer(name, None, NEVER, 1), Duration::ZERO));
        Self { store, operators, faults_left }
    }

    fn explore(&self, tally: &mut Tally) {
        // Delays are drawn from fixed seeds, so equal worlds go on equally.
        if !tally.seen.insert(stable_text(&format!("{self:?}"))) {
            return;
        }
        let mut ended = true;
        for i in 0..self.store.delayed.len() {
            ended = false;
            let mut next = self.clone();
            next.store.deliver(i);
            next.explore(tally);
        }
        for i in 0..self.operators.len() {
            let mut world = self.clone();
            let Some(call) = world.next_call(i) else { continue };
            ended = false;
            for fate in fates(&call) {
                let cost = u32::from(fate != Fate::Answered);
                if cost > self.faults_left {
                    continue;
                }
                let mut next = world.clone();
                next.faults_left -= cost;
                let result = next.store.call(&call, fate);
                let (operator, now) = &mut next.operators[i];
                operator.on_result(*now, result);
                next.explore(tally);
            }
        }
        if ended {
            self.judge(tally);
        }
    }

    /// Returns the call that an operator makes next, after any wait.
    fn next_call(&mut self, i: usize) -> Option<Call> {
        let (operator, now) = &mut self.operators[i];
        loop {
            match operator.next(*now) {
                Step::Call(call) => return Some(call),
                Step::Wait(until) => *now = until,
                Step::Done(_) => return None,
            }
        }
    }

    fn judge(&self, tally: &mut Tally) {
        tally.ends += 1;
        let versions: Vec<_> = self.store.states.iter().map(|object| object.version).collect();
        if !versions.is_sorted_by(|a, b| a < b) {
            tally.faults.push(format!("versions fell: {versions:?}"));
        }
        for (id, (operator, now)) in ["a", "b"].into_iter().zip(self.operators.clone()) {
            let mut operator = operator;
            let Step::Done(outcome) = operator.next(now) else { panic!("not at an end") };
            let made = self.store.states.iter().filter(|object| made_by(object, id)).count();
            let kept =
                self.store.current().value.to_string().contains(&format!("\"name\":\"{id}\""));
            let fault = match outcome {
                Outcome::Applied { .. } => {
                    tally.applied += 1;
                    made != 1 || !kept
                }
                Outcome::Conflict { ours, theirs, .. } => {
                    tally.conflicts += 1;
                    made != 0 || kept || ours.is_empty() || theirs.is_empty()
                }
                Outcome::Unsettled(_) => {
                    tally.unsettled += 1;
                    made > 1 || (made == 1 && !kept)
                }
                _ => made != 0,
            };
            if fault {
                tally.faults.push(format!("{id}: made={made} kept={kept} {operator:?}"));
            }
        }
    }
}

fn stable_text(text: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn made_by(object: &limpetdeck::platform::Object, id: &str) -> bool {
    let (_, stamp) = Stamp::split(object.value.clone()).expect("a stamp");
    stamp.operation.as_deref() == Some(id)
}

fn fates(call: &Call) -> Vec<Fate> {
    match call {
        Call::Put { .. } => {
            vec![Fate::Answered, Fate::AnswerLost, Fate::RequestLost, Fate::Delayed]
        }
        _ => vec![Fate::Answered, Fate::RequestLost, Fate::Stale],
    }
}

#[test]
fn every_order() {
    let mut tally = Tally::default();
    World::new(4, true).explore(&mut tally);
    println!(
        "worlds={} ends={} applied={} conflicts={} unsettled={}",
        tally.seen.len(),
        tally.ends,
        tally.applied,
        tally.conflicts,
        tally.unsettled
    );
    assert_eq!(tally.faults, Vec::<String>::new());
    assert!(tally.applied > 0 && tally.conflicts > 0);
}

/// The same check finds lost and doubled changes if writes take effect at any version.
#[test]
fn without_condition() {
    let mut tally = Tally::default();
    World::new(1, false).explore(&mut tally);
    assert!(tally.faults.iter().any(|fault| fault.contains("made=2")));
    assert!(tally.faults.iter().any(|fault| fault.contains("made=1 kept=false")));
}

/// Runs an update against a platform that is out of reach at first. Returns how it ends, and
/// how many calls failed.
fn run_outage(outage: Duration, seed: u64) -> (Outcome, u32) {
    let mut store = Store::new("plans");
    let mut update = set_customer("a", None, Duration::from_secs(60), seed);
    let (mut now, mut failed) = (Duration::ZERO, 0);
    loop {
        match update.next(now) {
            Step::Done(outcome) => return (outcome, failed),
            Step::Wait(until) => now = until,
            Step::Call(call) => {
                now += Duration::from_millis(5);
                let out = now < outage;
                failed += u32::from(out);
                let fate = if out { Fate::RequestLost } else { Fate::Answered };
                let result = store.call(&call, fate);
                update.on_result(now, result);
            }
        }
    }
}

/// Calls without an answer spend no attempt: an outage shorter than the deadline ends well.
/// Counting them against the same five attempts would have lost most of these changes.
#[test]
fn outage_survived() {
    let (mut applied, mut within_attempts) = (0, 0);
    for seed in 0..100 {
        let (outcome, failed) = run_outage(Duration::from_secs(20), seed);
        applied += u32::from(matches!(outcome, Outcome::Applied { .. }));
        within_attempts += u32::from(failed < 5);
    }
    println!("outage_s=20 applied={applied} applied_if_lost_calls_counted={within_attempts}");
    assert_eq!((applied, within_attempts), (100, 0));
    let (outcome, _) = run_outage(Duration::from_secs(61), 1);
    assert!(matches!(outcome, Outcome::NotReached(_)), "{outcome:?}");
}

/// Answered reads that show no effect spend attempts, so that this ends before the deadline.
#[test]
fn attempts_spent() {
    let mut store = Store::new("plans");
    let mut update = set_customer("a", None, NEVER, 1);
    let (mut now, mut writes) = (Duration::ZERO, 0);
    let outcome = loop {
        match update.next(now) {
            Step::Done(outcome) => break outcome,
            Step::Wait(until) => now = until,
            Step::Call(call) => {
                let write = matches!(call, Call::Put { .. });
                writes += u32::from(write);
                let fate = if write { Fate::RequestLost } else { Fate::Answered };
                let result = store.call(&call, fate);
                update.on_result(now, result);
            }
        }
    };
    assert!(matches!(outcome, Outcome::Unsettled(_)), "{outcome:?}");
    assert_eq!(writes, 5);
}

#[test]
fn refused_write() {
    let mut update = set_customer("a", None, NEVER, 1);
    update.on_result(Duration::ZERO, Err(PlatformError::NotFound));
    let refused = PlatformError::Refused("too large".to_owned());
    update.on_result(Duration::ZERO, Err(refused));
    let expected = Step::Done(Outcome::Refused("too large".to_owned()));
    assert_eq!(update.next(Duration::ZERO), expected);
}
