//! One change of an object on the platform, from the first read to its proven end.
//!
//! The write is conditional on the version that was read, and the operation's id stands in
//! the object. When the answer to a write is lost, reading the object back tells who made the
//! version that the write would have made. Writing again is safe as long as the object still
//! has the version that was read: of two copies of one write at most one can take effect.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;

use super::{Operation, OperationId, Stamp, Successor, difference};
use crate::ids::Version;
use crate::platform::{Call, Object, PlatformError, Reply};
use crate::settings::Findings;

/// Longest delay before the first retry.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest delay before any retry.
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// Times that a write is made again although the platform has answered.
const MOST_ATTEMPTS: u32 = 5;

/// What an operator wants an object to become.
pub trait Edit: std::fmt::Debug {
    /// Returns the name of the object.
    fn object(&self) -> &str;

    /// Makes the new value of the old one, which is null if there is no object yet.
    ///
    /// # Errors
    ///
    /// Returns all findings if the result would be invalid.
    fn edit(&self, old: &Value) -> Result<Value, Findings>;
}

/// How an update ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change took effect, exactly once.
    Applied {
        /// Version that the change made.
        version: Version,
        /// What it changed.
        lines: Vec<String>,
    },
    /// The object is already as wanted; nothing was written.
    Unchanged(Version),
    /// The result would be invalid; nothing was written.
    Invalid(Findings),
    /// Another change came first; this one did not and will not take effect.
    Conflict {
        /// What this change would have changed.
        ours: Vec<String>,
        /// What the other changes did.
        theirs: Vec<String>,
        /// Version of the object with the other changes.
        version: Version,
    },
    /// The platform refused the write.
    Refused(String),
    /// No answer came in time, and no write was made.
    NotReached(String),
    /// A write was made, and it is not known whether it takes effect.
    Unsettled(String),
}

/// What an update does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make a call, and tell its result.
    Call(Call),
    /// Ask again at this time.
    Wait(Duration),
    /// The update has ended.
    Done(Outcome),
}

/// The write that an update makes.
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
    Settle(Write),
    Done(Outcome),
}

/// One change of one object.
#[derive(Debug, Clone)]
pub struct Update {
    id: OperationId,
    edit: Arc<dyn Edit>,
    only_at: Option<Version>,
    deadline: Duration,
    state: State,
    /// A write was sent whose end is not known.
    in_doubt: bool,
    failures: u32,
    attempts: u32,
    not_before: Duration,
    rng: SmallRng,
}

impl Update {
    /// Makes an update that gives up at the deadline. With `only_at` it conflicts unless the
    /// object has that version.
    pub fn new(
        id: OperationId,
        edit: Arc<dyn Edit>,
        only_at: Option<Version>,
        deadline: Duration,
        rng: SmallRng,
    ) -> Self {
        Self {
            id,
            edit,
            only_at,
            deadline,
            state: State::Read,
            in_doubt: false,
            failures: 0,
            attempts: 0,
            not_before: Duration::ZERO,
            rng,
        }
    }

    /// Returns what is to be done next.
    pub fn next(&mut self, now: Duration) -> Step {
        if let State::Done(outcome) = &self.state {
            return Step::Done(outcome.clone());
        }
        if now >= self.deadline {
            let problem = "the time ran out".to_owned();
            let outcome = self.given_up(problem);
            return Step::Done(self.end(outcome));
        }
        if now < self.not_before {
            return Step::Wait(self.not_before.min(self.deadline));
        }
        let name = self.edit.object().to_owned();
        Step::Call(match &self.state {
            State::Write(write) => {
                Call::Put { name, if_version: Some(write.base), value: write.value.clone() }
            }
            _ => Call::Get { name },
        })
    }

    /// Takes the result of the last call.
    pub fn on_result(&mut self, now: Duration, result: Result<Reply, PlatformError>) {
        let state = std::mem::replace(&mut self.state, State::Read);
        self.state = match (state, result) {
            (State::Read, Ok(Reply::Object(object))) => self.read(&object),
            (State::Read, Err(PlatformError::NotFound)) => self.read(&self.missing()),
            (State::Write(write), Ok(Reply::Written(version))) => {
                State::Done(Outcome::Applied { version, lines: write.lines })
            }
            (State::Write(write) | State::Settle(write), Err(PlatformError::Conflict(object))) => {
                self.settle(now, write, &object)
            }
            (State::Settle(write), Ok(Reply::Object(object))) => self.settle(now, write, &object),
            (State::Settle(write), Err(PlatformError::NotFound)) => {
                let missing = self.missing();
                self.settle(now, write, &missing)
            }
            (State::Write(write), Err(PlatformError::NoAnswer(_))) => {
                self.in_doubt = true;
                self.failed(now);
                State::Settle(write)
            }
            (_, Err(PlatformError::Refused(problem))) => State::Done(self.refused(problem)),
            (state, _) => {
                // No usable answer to a read changes nothing, however often it happens: only
                // the deadline ends it.
                self.failed(now);
                state
            }
        };
    }

    fn missing(&self) -> Object {
        Object { name: self.edit.object().to_owned(), version: 0, value: Value::Null }
    }

    /// Works out the write from what the object is now.
    fn read(&mut self, object: &Object) -> State {
        match self.plan(object) {
            Ok(state) => state,
            Err(findings) => State::Done(Outcome::Invalid(findings)),
        }
    }

    fn plan(&self, object: &Object) -> Result<State, Findings> {
        let (before, stamp) = Stamp::split(object.value.clone())?;
        let after = self.edit.edit(&before)?;
        let lines = difference(&before, &after);
        if let Some(base) = self.only_at.filter(|&base| base != object.version) {
            let theirs = made_since(base, &stamp.history);
            let version = object.version;
            return Ok(State::Done(Outcome::Conflict { ours: lines, theirs, version }));
        }
        if lines.is_empty() && object.version > 0 {
            return Ok(State::Done(Outcome::Unchanged(object.version)));
        }
        let base = object.version;
        let value = stamp.followed_by(&self.id, base + 1, &lines).join(after);
        Ok(State::Write(Write { base, before, value, lines }))
    }

    /// Works out from the object as it is now what became of the write.
    fn settle(&mut self, now: Duration, write: Write, object: &Object) -> State {
        if object.version < write.base {
            // This is an old state; it tells nothing.
            self.failed(now);
            return State::Settle(write);
        }
        if object.version == write.base {
            return self.write_again(now, write);
        }
        let Ok((value, stamp)) = Stamp::split(object.value.clone()) else {
            return State::Done(forgotten(object));
        };
        State::Done(match stamp.successor(write.base, &self.id) {
            Successor::Ours(version) => Outcome::Applied { version, lines: write.lines },
            Successor::Other => Outcome::Conflict {
                theirs: difference(&write.before, &value),
                ours: write.lines,
                version: object.version,
            },
            Successor::Forgotten if self.in_doubt => forgotten(object),
            Successor::Forgotten => Outcome::Conflict {
                theirs: difference(&write.before, &value),
                ours: write.lines,
                version: object.version,
            },
        })
    }

    /// The platform has answered and the write has not taken effect: this spends an attempt.
    fn write_again(&mut self, now: Duration, write: Write) -> State {
        self.attempts += 1;
        if self.attempts >= MOST_ATTEMPTS {
            return State::Done(self.given_up(format!("{MOST_ATTEMPTS} writes had no effect")));
        }
        self.failed(now);
        State::Write(write)
    }

    fn refused(&self, problem: String) -> Outcome {
        if self.in_doubt { Outcome::Unsettled(problem) } else { Outcome::Refused(problem) }
    }

    fn given_up(&self, problem: String) -> Outcome {
        if self.in_doubt { Outcome::Unsettled(problem) } else { Outcome::NotReached(problem) }
    }

    fn end(&mut self, outcome: Outcome) -> Outcome {
        self.state = State::Done(outcome.clone());
        outcome
    }

    /// Delays the next call, by any part of a delay that doubles.
    fn failed(&mut self, now: Duration) {
        let longest = FIRST_RETRY * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.not_before = now + longest.min(LONGEST_RETRY).mul_f64(self.rng.random());
    }
}

fn forgotten(object: &Object) -> Outcome {
    Outcome::Unsettled(format!(
        "version {} does not tell who made the versions before it",
        object.version
    ))
}

/// Returns the lines of all operations after a version.
fn made_since(base: Version, history: &[Operation]) -> Vec<String> {
    let since = history.iter().filter(|operation| operation.version > base);
    since.flat_map(|operation| operation.lines.iter().cloned()).collect()
}
