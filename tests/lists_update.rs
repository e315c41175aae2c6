//! Model check of the update protocol: all interleavings of the calls of two operators with a
//! bounded number of lost, delayed and stale calls.

#[path = "support/customer.rs"]
mod customer;
#[path = "support/store.rs"]
mod store;

use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use customer::{NEVER, set_customer};
use limpetdeck::lists::{OperationLog, Update, UpdateOutcome, UpdateStep};
use limpetdeck::platform::{Call, PlatformError};
use store::{CallOutcome, Store};

/// State of the model: two operators, their shared store, and the number of faults left.
#[derive(Debug, Clone)]
struct Model {
    store: Store,
    operators: [(Update, Duration); 2],
    faults_left: u32,
}

/// Results of the exploration, with the hashes of states already visited.
#[derive(Debug, Default)]
struct Tally {
    seen: HashSet<u64>,
    ends: u64,
    applied: u64,
    conflicts: u64,
    unsettled: u64,
    violations: Vec<String>,
}

impl Model {
    fn new(faults_left: u32, conditional: bool) -> Self {
        let mut store = Store::new("plans");
        store.conditional = conditional;
        let operators = ["a", "b"].map(|name| (set_customer(name, None, NEVER, 1), Duration::ZERO));
        Self { store, operators, faults_left }
    }

    fn explore(&self, tally: &mut Tally) {
        // Delays are drawn from fixed seeds, so equal states have equal successors.
        if !tally.seen.insert(text_hash(&format!("{self:?}"))) {
            return;
        }
        let mut is_end = true;
        for i in 0..self.store.delayed.len() {
            is_end = false;
            let mut next = self.clone();
            next.store.deliver(i);
            next.explore(tally);
        }
        for i in 0..self.operators.len() {
            let mut model = self.clone();
            let Some(call) = model.next_call(i) else { continue };
            is_end = false;
            for call_outcome in possible_outcomes(&call) {
                let cost = u32::from(call_outcome != CallOutcome::Answered);
                if cost > self.faults_left {
                    continue;
                }
                let mut next = model.clone();
                next.faults_left -= cost;
                let result = next.store.call(&call, call_outcome);
                let (operator, now) = &mut next.operators[i];
                operator.on_result(*now, result);
                next.explore(tally);
            }
        }
        if is_end {
            self.check_end_state(tally);
        }
    }

    /// Returns the next call of an operator, after any wait.
    fn next_call(&mut self, i: usize) -> Option<Call> {
        let (operator, now) = &mut self.operators[i];
        loop {
            match operator.next(*now) {
                UpdateStep::Call(call) => return Some(call),
                UpdateStep::Wait(until) => *now = until,
                UpdateStep::Done(_) => return None,
            }
        }
    }

    fn check_end_state(&self, tally: &mut Tally) {
        tally.ends += 1;
        let versions: Vec<_> = self.store.states.iter().map(|object| object.version).collect();
        if !versions.is_sorted_by(|a, b| a < b) {
            tally.violations.push(format!("versions not increasing: {versions:?}"));
        }
        for (id, (operator, now)) in ["a", "b"].into_iter().zip(self.operators.clone()) {
            let mut operator = operator;
            let UpdateStep::Done(outcome) = operator.next(now) else { panic!("not at an end") };
            let made = self.store.states.iter().filter(|object| made_by(object, id)).count();
            let kept =
                self.store.current().value.to_string().contains(&format!("\"name\":\"{id}\""));
            let violated = match outcome {
                UpdateOutcome::Applied { .. } => {
                    tally.applied += 1;
                    made != 1 || !kept
                }
                UpdateOutcome::Conflict { ours, theirs, .. } => {
                    tally.conflicts += 1;
                    made != 0 || kept || ours.is_empty() || theirs.is_empty()
                }
                UpdateOutcome::Unsettled(_) => {
                    tally.unsettled += 1;
                    made > 1 || (made == 1 && !kept)
                }
                _ => made != 0,
            };
            if violated {
                tally.violations.push(format!("{id}: made={made} kept={kept} {operator:?}"));
            }
        }
    }
}

fn text_hash(text: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn made_by(object: &limpetdeck::platform::Object, id: &str) -> bool {
    let (_, operation_log) = OperationLog::split(object.value.clone()).expect("an operation log");
    operation_log.operation.as_deref() == Some(id)
}

fn possible_outcomes(call: &Call) -> Vec<CallOutcome> {
    match call {
        Call::Put { .. } => {
            vec![
                CallOutcome::Answered,
                CallOutcome::AnswerLost,
                CallOutcome::RequestLost,
                CallOutcome::Delayed,
            ]
        }
        _ => vec![CallOutcome::Answered, CallOutcome::RequestLost, CallOutcome::Stale],
    }
}

#[test]
fn all_interleavings() {
    let mut tally = Tally::default();
    Model::new(4, true).explore(&mut tally);
    println!(
        "states={} ends={} applied={} conflicts={} unsettled={}",
        tally.seen.len(),
        tally.ends,
        tally.applied,
        tally.conflicts,
        tally.unsettled
    );
    assert_eq!(tally.violations, Vec::<String>::new());
    assert!(tally.applied > 0 && tally.conflicts > 0);
}

/// The same check reports lost and duplicate changes if writes are unconditional.
#[test]
fn unconditional_writes() {
    let mut tally = Tally::default();
    Model::new(1, false).explore(&mut tally);
    assert!(tally.violations.iter().any(|text| text.contains("made=2")));
    assert!(tally.violations.iter().any(|text| text.contains("made=1 kept=false")));
}

/// Runs an update against a platform that is unreachable at first. Returns the outcome and the
/// number of failed calls.
fn run_outage(outage: Duration, seed: u64) -> (UpdateOutcome, u32) {
    let mut store = Store::new("plans");
    let mut update = set_customer("a", None, Duration::from_secs(60), seed);
    let (mut now, mut failed) = (Duration::ZERO, 0);
    loop {
        match update.next(now) {
            UpdateStep::Done(outcome) => return (outcome, failed),
            UpdateStep::Wait(until) => now = until,
            UpdateStep::Call(call) => {
                now += Duration::from_millis(5);
                let unreachable = now < outage;
                failed += u32::from(unreachable);
                let call_outcome =
                    if unreachable { CallOutcome::RequestLost } else { CallOutcome::Answered };
                let result = store.call(&call, call_outcome);
                update.on_result(now, result);
            }
        }
    }
}

/// Unanswered calls do not count as attempts, so an update survives an outage shorter than its
/// deadline. If they counted against the five attempts, most of these changes would be lost.
#[test]
fn outage_survived() {
    let (mut applied, mut within_attempts) = (0, 0);
    for seed in 0..100 {
        let (outcome, failed) = run_outage(Duration::from_secs(20), seed);
        applied += u32::from(matches!(outcome, UpdateOutcome::Applied { .. }));
        within_attempts += u32::from(failed < 5);
    }
    println!("outage_s=20 applied={applied} applied_if_lost_calls_counted={within_attempts}");
    assert_eq!((applied, within_attempts), (100, 0));
    let (outcome, _) = run_outage(Duration::from_secs(61), 1);
    assert!(matches!(outcome, UpdateOutcome::Unreachable(_)), "{outcome:?}");
}

/// Writes that an answered read shows to have had no effect count as attempts, so the update
/// ends before its deadline.
#[test]
fn attempts_exhausted() {
    let mut store = Store::new("plans");
    let mut update = set_customer("a", None, NEVER, 1);
    let (mut now, mut writes) = (Duration::ZERO, 0);
    let outcome = loop {
        match update.next(now) {
            UpdateStep::Done(outcome) => break outcome,
            UpdateStep::Wait(until) => now = until,
            UpdateStep::Call(call) => {
                let write = matches!(call, Call::Put { .. });
                writes += u32::from(write);
                let call_outcome =
                    if write { CallOutcome::RequestLost } else { CallOutcome::Answered };
                let result = store.call(&call, call_outcome);
                update.on_result(now, result);
            }
        }
    };
    assert!(matches!(outcome, UpdateOutcome::Unsettled(_)), "{outcome:?}");
    assert_eq!(writes, 5);
}

#[test]
fn refused_write() {
    let mut update = set_customer("a", None, NEVER, 1);
    update.on_result(Duration::ZERO, Err(PlatformError::NotFound));
    let refused = PlatformError::Refused("too large".to_owned());
    update.on_result(Duration::ZERO, Err(refused));
    let expected = UpdateStep::Done(UpdateOutcome::Refused("too large".to_owned()));
    assert_eq!(update.next(Duration::ZERO), expected);
}
