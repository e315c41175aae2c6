//! A read-modify-write of an object on the platform that takes effect at most once.
//!
//! The write is conditional on the version that was read, and the object's history holds the
//! operation's ID. If the reply to a write is lost, reading the object back shows which
//! operation made the version that the write would have made. Repeating the write is safe
//! while the object still has the version that was read: at most one copy can take effect.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;

use super::{Operation, OperationId, OperationLog, Successor, diff_lines};
use crate::ids::Version;
use crate::platform::{Call, Object, PlatformError, Reply};
use crate::settings::Findings;

/// Upper bound of the random delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the random delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Number of writes without effect after which an update gives up. Only a read that the platform
/// replies to shows that a write had no effect, so an outage uses up no attempts.
const MAX_ATTEMPTS: u32 = 5;

/// A change of an object's value.
pub trait Edit: std::fmt::Debug {
    /// Returns the name of the object.
    fn object_name(&self) -> &str;

    /// Returns the new value for the old one, which is null if there is no object yet.
    ///
    /// # Errors
    ///
    /// Returns all findings if the result would be invalid.
    fn edit(&self, old: &Value) -> Result<Value, Findings>;
}

/// The result of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The change took effect, exactly once.
    Applied {
        /// Version that the change made.
        version: Version,
        /// Diff lines of the change.
        lines: Vec<String>,
    },
    /// The object has the wanted value already; nothing was written. Holds its version.
    Unchanged(Version),
    /// The result would be invalid; nothing was written.
    Invalid(Findings),
    /// Another operation came first; this one did not and will not take effect.
    Conflict {
        /// Diff lines that this operation would have made.
        ours: Vec<String>,
        /// Diff lines of the other operations.
        theirs: Vec<String>,
        /// Version of the object after the other operations.
        version: Version,
    },
    /// The platform refused the write.
    Refused(String),
    /// The update gave up without a usable reply, and the outcome of no write is unknown.
    Unreachable(String),
    /// A write was sent, and it is unknown whether it took or will take effect.
    Unsettled(String),
}

/// The next step of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateStep {
    /// Make this call and report its result.
    Call(Call),
    /// Nothing is due before this time.
    Wait(Duration),
    /// The update has ended.
    Done(UpdateOutcome),
}

/// The conditional write of an update.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    base: Version,
    before: Value,
    value: Value,
    lines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Read,
    Write(Write),
    /// The write's result is unknown; the object is read back.
    ReadBack(Write),
    Done(UpdateOutcome),
}

/// The state machine of one update; makes no calls itself.
#[derive(Debug, Clone)]
pub struct Update {
    id: OperationId,
    edit: Arc<dyn Edit>,
    expected_version: Option<Version>,
    deadline: Duration,
    state: State,
    /// Whether a write was sent whose reply was lost.
    in_doubt: bool,
    failures: u32,
    attempts: u32,
    not_before: Duration,
    rng: SmallRng,
}

impl Update {
    /// Creates an update that gives up at the deadline. With `expected_version` it conflicts
    /// unless the object has that version.
    pub fn new(
        id: OperationId,
        edit: Arc<dyn Edit>,
        expected_version: Option<Version>,
        deadline: Duration,
        rng: SmallRng,
    ) -> Self {
        Self {
            id,
            edit,
            expected_version,
            deadline,
            state: State::Read,
            in_doubt: false,
            failures: 0,
            attempts: 0,
            not_before: Duration::ZERO,
            rng,
        }
    }

    /// Returns the next step.
    pub fn next(&mut self, now: Duration) -> UpdateStep {
        if let State::Done(outcome) = &self.state {
            return UpdateStep::Done(outcome.clone());
        }
        if now >= self.deadline {
            let problem = "deadline exceeded".to_owned();
            let outcome = self.give_up(problem);
            return UpdateStep::Done(self.finish(outcome));
        }
        if now < self.not_before {
            return UpdateStep::Wait(self.not_before.min(self.deadline));
        }
        let name = self.edit.object_name().to_owned();
        UpdateStep::Call(match &self.state {
            State::Write(write) => {
                Call::Put { name, if_version: Some(write.base), value: write.value.clone() }
            }
            _ => Call::Get { name },
        })
    }

    /// Handles the result of the last call.
    pub fn on_result(&mut self, now: Duration, result: Result<Reply, PlatformError>) {
        let state = std::mem::replace(&mut self.state, State::Read);
        self.state = match (state, result) {
            (State::Read, Ok(Reply::Object(object))) => self.on_read(&object),
            (State::Read, Err(PlatformError::NotFound)) => self.on_read(&self.missing()),
            (State::Write(write), Ok(Reply::Written(version))) => {
                State::Done(UpdateOutcome::Applied { version, lines: write.lines })
            }
            (
                State::Write(write) | State::ReadBack(write),
                Err(PlatformError::Conflict(object)),
            ) => self.resolve(now, write, &object),
            (State::ReadBack(write), Ok(Reply::Object(object))) => {
                self.resolve(now, write, &object)
            }
            (State::ReadBack(write), Err(PlatformError::NotFound)) => {
                let missing = self.missing();
                self.resolve(now, write, &missing)
            }
            (State::Write(write), Err(PlatformError::NoAnswer(_))) => {
                self.in_doubt = true;
                self.back_off(now);
                State::ReadBack(write)
            }
            (_, Err(PlatformError::Refused(problem))) => State::Done(self.refused(problem)),
            (state, _) => {
                // A read without a usable reply is repeated until the deadline; it does not
                // count as an attempt.
                self.back_off(now);
                state
            }
        };
    }

    fn missing(&self) -> Object {
        Object { name: self.edit.object_name().to_owned(), version: 0, value: Value::Null }
    }

    /// Prepares the write from the current object.
    fn on_read(&mut self, object: &Object) -> State {
        match self.prepare_write(object) {
            Ok(state) => state,
            Err(findings) => State::Done(UpdateOutcome::Invalid(findings)),
        }
    }

    fn prepare_write(&self, object: &Object) -> Result<State, Findings> {
        let (before, operation_log) = OperationLog::split(object.value.clone())?;
        let after = self.edit.edit(&before)?;
        let lines = diff_lines(&before, &after);
        if let Some(base) = self.expected_version.filter(|&base| base != object.version) {
            let theirs = lines_since(base, &operation_log.history);
            let version = object.version;
            return Ok(State::Done(UpdateOutcome::Conflict { ours: lines, theirs, version }));
        }
        if lines.is_empty() && object.version > 0 {
            return Ok(State::Done(UpdateOutcome::Unchanged(object.version)));
        }
        let base = object.version;
        let value = operation_log.with_operation(&self.id, base + 1, &lines).join(after);
        Ok(State::Write(Write { base, before, value, lines }))
    }

    /// Determines from the current object whether the write took effect.
    fn resolve(&mut self, now: Duration, write: Write, object: &Object) -> State {
        if object.version < write.base {
            // A stale read says nothing about the write.
            self.back_off(now);
            return State::ReadBack(write);
        }
        if object.version == write.base {
            return self.retry_write(now, write);
        }
        let Ok((value, operation_log)) = OperationLog::split(object.value.clone()) else {
            return State::Done(history_too_short(object));
        };
        State::Done(match operation_log.successor(write.base, &self.id) {
            Successor::Ours(version) => UpdateOutcome::Applied { version, lines: write.lines },
            Successor::Other => UpdateOutcome::Conflict {
                theirs: diff_lines(&write.before, &value),
                ours: write.lines,
                version: object.version,
            },
            Successor::Unknown if self.in_doubt => history_too_short(object),
            Successor::Unknown => UpdateOutcome::Conflict {
                theirs: diff_lines(&write.before, &value),
                ours: write.lines,
                version: object.version,
            },
        })
    }

    /// Repeats the write, which has not taken effect although the platform has replied; this
    /// counts as an attempt.
    fn retry_write(&mut self, now: Duration, write: Write) -> State {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return State::Done(self.give_up(format!("{MAX_ATTEMPTS} writes had no effect")));
        }
        self.back_off(now);
        State::Write(write)
    }

    fn refused(&self, problem: String) -> UpdateOutcome {
        if self.in_doubt {
            UpdateOutcome::Unsettled(problem)
        } else {
            UpdateOutcome::Refused(problem)
        }
    }

    fn give_up(&self, problem: String) -> UpdateOutcome {
        if self.in_doubt {
            UpdateOutcome::Unsettled(problem)
        } else {
            UpdateOutcome::Unreachable(problem)
        }
    }

    fn finish(&mut self, outcome: UpdateOutcome) -> UpdateOutcome {
        self.state = State::Done(outcome.clone());
        outcome
    }

    /// Delays the next call by a random part of an exponentially growing bound.
    fn back_off(&mut self, now: Duration) {
        let bound = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.not_before = now + bound.min(MAX_BACKOFF).mul_f64(self.rng.random());
    }
}

fn history_too_short(object: &Object) -> UpdateOutcome {
    UpdateOutcome::Unsettled(format!(
        "version {} does not tell who made the versions before it",
        object.version
    ))
}

/// Returns the diff lines of all operations after a version.
fn lines_since(base: Version, history: &[Operation]) -> Vec<String> {
    let since = history.iter().filter(|operation| operation.version > base);
    since.flat_map(|operation| operation.lines.iter().cloned()).collect()
}
