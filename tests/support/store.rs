//! One object of a platform, with the faults that a writer can meet.

#![allow(dead_code, reason = "not every user needs all of it")]

use limpetdeck::platform::{Call, Object, PlatformError, Reply};
use serde_json::Value;

/// How a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The call is executed and answered.
    Answered,
    /// The call is executed, and the answer is lost.
    AnswerLost,
    /// The call never arrives.
    RequestLost,
    /// The call arrives later; its answer is lost.
    Delayed,
    /// The call is answered with the state before the last change.
    Stale,
}

/// An object with all its past states and the writes that are still under way.
#[derive(Debug, Clone)]
pub struct Store {
    /// The states, the current one last.
    pub states: Vec<Object>,
    /// Writes that will arrive later.
    pub delayed: Vec<Call>,
    /// Whether writes look at the version at all.
    pub conditional: bool,
}

impl Store {
    /// Makes a store in which there is no object.
    pub fn new(name: &str) -> Self {
        let object = Object { name: name.to_owned(), version: 0, value: Value::Null };
        Self { states: vec![object], delayed: Vec::new(), conditional: true }
    }

    /// Returns the current state.
    pub fn current(&self) -> &Object {
        self.states.last().expect("a state")
    }

    /// Makes a call.
    pub fn call(&mut self, call: &Call, fate: Fate) -> Result<Reply, PlatformError> {
        let lost = || Err(PlatformError::NoAnswer("lost".to_owned()));
        match fate {
            Fate::Answered => self.execute(call),
            Fate::AnswerLost => {
                let _ = self.execute(call);
                lost()
            }
            Fate::RequestLost => lost(),
            Fate::Delayed => {
                self.delayed.push(call.clone());
                lost()
            }
            Fate::Stale => read(&self.states[self.states.len().saturating_sub(2)]),
        }
    }

    /// Lets a delayed write arrive.
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
