//! The platform's object API in memory, with its faults.

use std::time::Duration;

use limpetdeck::platform::{Call, Object, PlatformError, Reply, Revision};

use crate::platform::{PutError, Store};

/// Time of one call when all is well.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time of one call when the platform is slow.
const SLOW_CALL_TIME: Duration = Duration::from_secs(2);
/// Time after which an instance gives an unreachable platform up.
const TIMEOUT: Duration = Duration::from_secs(3);

/// How the platform behaves.
#[derive(Debug, Clone, Default)]
pub enum Mode {
    /// Answers in milliseconds.
    #[default]
    Up,
    /// Closes each call without an answer.
    Down,
    /// Answers after seconds.
    Slow,
    /// Executes writes and closes the call without an answer.
    LoseAnswer,
    /// Answers reads with an older state.
    Stale(Box<Store>),
}

/// Who has made a call: an instance and its start.
pub type From = (usize, u64);
/// An answer that is on its way.
pub type Answer = (Duration, From, Call, Result<Reply, PlatformError>);

/// The platform and the watches that wait on it.
#[derive(Debug, Default)]
pub struct FakePlatform {
    /// The objects.
    pub store: Store,
    /// How the platform behaves.
    pub mode: Mode,
    waiting: Vec<(From, Call, Duration)>,
}

impl FakePlatform {
    /// Takes a call; the answers are those of the call and of watches that it wakes.
    pub fn call(&mut self, now: Duration, from: From, call: Call, reachable: bool) -> Vec<Answer> {
        if !reachable {
            return vec![(TIMEOUT, from, call, no_answer())];
        }
        if let Mode::Down = self.mode {
            return vec![(CALL_TIME, from, call, no_answer())];
        }
        if let Call::Watch { prefix, after, wait } = &call
            && self.reading().since(prefix, *after).objects.is_empty()
        {
            let until = now + *wait;
            self.waiting.push((from, call, until));
            return Vec::new();
        }
        let writes = matches!(call, Call::Put { .. } | Call::Delete { .. });
        let result = self.execute(&call);
        let lost = writes && matches!(self.mode, Mode::LoseAnswer);
        let mut answers = vec![(self.time(), from, call, if lost { no_answer() } else { result })];
        if writes {
            answers.extend(self.wake(now));
        }
        answers
    }

    /// Sets how the platform behaves; one that goes down ends its watches.
    pub fn set_mode(&mut self, now: Duration, mode: Mode) -> Vec<Answer> {
        self.mode = mode;
        if matches!(self.mode, Mode::Down) {
            let waiting = std::mem::take(&mut self.waiting);
            return waiting
                .into_iter()
                .map(|(from, call, _)| (CALL_TIME, from, call, no_answer()))
                .collect();
        }
        self.wake(now)
    }

    /// Answers the watches that have something to tell, or have waited long enough.
    pub fn wake(&mut self, now: Duration) -> Vec<Answer> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut answers = Vec::new();
        for (from, call, until) in waiting {
            let Call::Watch { prefix, after, .. } = &call else { continue };
            let changes = self.reading().since(prefix, *after);
            if changes.objects.is_empty() && now < until {
                self.waiting.push((from, call, until));
            } else {
                answers.push((self.time(), from, call, Ok(Reply::Changes(changes))));
            }
        }
        answers
    }

    fn time(&self) -> Duration {
        if matches!(self.mode, Mode::Slow) { SLOW_CALL_TIME } else { CALL_TIME }
    }

    fn reading(&self) -> &Store {
        if let Mode::Stale(store) = &self.mode { store } else { &self.store }
    }

    fn execute(&mut self, call: &Call) -> Result<Reply, PlatformError> {
        let written = |result: Result<Object, PutError>| match result {
            Ok(object) => Ok(Reply::Written(object.version)),
            Err(PutError::Conflict(object)) => Err(PlatformError::Conflict(Box::new(object))),
            Err(PutError::TooLarge) => Err(PlatformError::Refused("too large".to_owned())),
        };
        match call {
            Call::Get { name } => {
                let object = self.reading().get(name).cloned();
                object.map(Reply::Object).ok_or(PlatformError::NotFound)
            }
            Call::Put { name, if_version, value } => {
                written(self.store.put(name, *if_version, value.clone()))
            }
            Call::Delete { name } => written(self.store.put(name, None, serde_json::Value::Null)),
            Call::List { prefix } => Ok(Reply::Changes(self.reading().list(prefix))),
            Call::Watch { prefix, after, .. } => {
                Ok(Reply::Changes(self.reading().since(prefix, *after as Revision)))
            }
        }
    }
}

fn no_answer() -> Result<Reply, PlatformError> {
    Err(PlatformError::NoAnswer("closed".to_owned()))
}
