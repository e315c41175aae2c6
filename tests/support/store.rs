//! One object of the platform, with the faults that a writer can encounter.

#![allow(dead_code, reason = "not every test file uses all helpers")]

use limpetdeck::platform::{Call, Object, PlatformError, Reply};
use serde_json::Value;

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Executed and answered.
    Answered,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Lost before execution.
    RequestLost,
    /// Executed later; the answer is lost.
    Delayed,
    /// Answered with the state before the last change.
    Stale,
}

/// An object with all its past states and the writes that are delayed.
#[derive(Debug, Clone)]
pub struct Store {
    /// All states, the current one last.
    pub states: Vec<Object>,
    /// Writes that are not executed yet.
    pub delayed: Vec<Call>,
    /// Whether writes check `if_version`.
    pub conditional: bool,
}

impl Store {
    /// Creates a store without an object.
    pub fn new(name: &str) -> Self {
        let object = Object { name: name.to_owned(), version: 0, value: Value::Null };
        Self { states: vec![object], delayed: Vec::new(), conditional: true }
    }

    pub fn current(&self) -> &Object {
        self.states.last().expect("a state")
    }

    /// Makes a call with the given outcome.
    pub fn call(&mut self, call: &Call, outcome: CallOutcome) -> Result<Reply, PlatformError> {
        let lost = || Err(PlatformError::NoAnswer("lost".to_owned()));
        match outcome {
            CallOutcome::Answered => self.execute(call),
            CallOutcome::AnswerLost => {
                let _ = self.execute(call);
                lost()
            }
            CallOutcome::RequestLost => lost(),
            CallOutcome::Delayed => {
                self.delayed.push(call.clone());
                lost()
            }
            CallOutcome::Stale => read(&self.states[self.states.len().saturating_sub(2)]),
        }
    }

    /// Executes a delayed write.
    pub fn deliver(&mut self, i: usize) {
        let call = self.delayed.remove(i);
        let _ = self.execute(&call);
    }

    fn execute(&mut self, call: &Call) -> Result<Reply, PlatformError> {
        let Call::Put { name, if_version, value } = call else { return read(self.current()) };
        let version = self.current().version;
        if self.conditional && if_version.is_some_and(|wanted| wanted != version) {
            return Err(PlatformError::Conflict(Box::new(self.current().clone())));
        }
        let (name, version) = (name.clone(), version + 1);
        self.states.push(Object { name, version, value: value.clone() });
        Ok(Reply::Written(version))
    }
}

fn read(object: &Object) -> Result<Reply, PlatformError> {
    match object.version {
        0 => Err(PlatformError::NotFound),
        _ => Ok(Reply::Object(object.clone())),
    }
}
