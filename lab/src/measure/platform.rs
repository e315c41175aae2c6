//! In-memory object API of the platform, with faults.

use std::time::Duration;

use limpetdeck::platform::{Call, Object, PlatformError, Reply};

use crate::platform::{PutError, Store};

/// Duration of a call in normal operation.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Duration of a call when the platform is slow.
const SLOW_CALL_TIME: Duration = Duration::from_secs(2);
/// Time after which a call to an unreachable platform fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How the platform behaves.
#[derive(Debug, Clone, Default)]
pub enum Mode {
    /// Responds within milliseconds.
    #[default]
    Up,
    /// Closes each call without a response.
    Down,
    /// Responds after seconds.
    Slow,
    /// Executes writes but closes the call without a response.
    LoseAnswer,
    /// Serves reads from an older state.
    Stale(Box<Store>),
}

/// Origin of a call: index and incarnation of an instance.
pub type ClientId = (usize, u64);
/// Response with its delay, the origin and the call.
pub type PendingResponse = (Duration, ClientId, Call, Result<Reply, PlatformError>);

/// The platform and its pending watches.
#[derive(Debug, Default)]
pub struct SimPlatform {
    /// Stored objects.
    pub store: Store,
    /// How the platform behaves.
    pub mode: Mode,
    watches: Vec<(ClientId, Call, Duration)>,
}

impl SimPlatform {
    /// Handles a call; returns its response and those of the watches that it completes.
    pub fn call(
        &mut self,
        now: Duration,
        from: ClientId,
        call: Call,
        reachable: bool,
    ) -> Vec<PendingResponse> {
        if !reachable {
            return vec![(CALL_TIMEOUT, from, call, no_answer())];
        }
        if let Mode::Down = self.mode {
            return vec![(CALL_TIME, from, call, no_answer())];
        }
        if let Call::Watch { prefix, after, timeout: wait } = &call
            && self.read_store().changed_since(prefix, after.revision).objects.is_empty()
        {
            let until = now + *wait;
            self.watches.push((from, call, until));
            return Vec::new();
        }
        let writes = matches!(call, Call::Put { .. } | Call::Delete { .. });
        let result = self.execute(&call);
        let response_lost = writes && matches!(self.mode, Mode::LoseAnswer);
        let mut responses =
            vec![(self.call_time(), from, call, if response_lost { no_answer() } else { result })];
        if writes {
            responses.extend(self.complete_watches(now));
        }
        responses
    }

    /// Sets how the platform behaves; going down closes the pending watches.
    pub fn set_mode(&mut self, now: Duration, mode: Mode) -> Vec<PendingResponse> {
        self.mode = mode;
        if matches!(self.mode, Mode::Down) {
            let watches = std::mem::take(&mut self.watches);
            return watches
                .into_iter()
                .map(|(from, call, _)| (CALL_TIME, from, call, no_answer()))
                .collect();
        }
        self.complete_watches(now)
    }

    /// Completes the watches that have changes to report or have timed out.
    pub fn complete_watches(&mut self, now: Duration) -> Vec<PendingResponse> {
        let watches = std::mem::take(&mut self.watches);
        let mut responses = Vec::new();
        for (from, call, until) in watches {
            let Call::Watch { prefix, after, .. } = &call else { continue };
            let changes = self.read_store().changed_since(prefix, after.revision);
            if changes.objects.is_empty() && now < until {
                self.watches.push((from, call, until));
            } else {
                responses.push((self.call_time(), from, call, Ok(Reply::Changes(changes))));
            }
        }
        responses
    }

    fn call_time(&self) -> Duration {
        if matches!(self.mode, Mode::Slow) { SLOW_CALL_TIME } else { CALL_TIME }
    }

    fn read_store(&self) -> &Store {
        if let Mode::Stale(store) = &self.mode { store } else { &self.store }
    }

    fn execute(&mut self, call: &Call) -> Result<Reply, PlatformError> {
        let write_reply = |result: Result<Object, PutError>| match result {
            Ok(object) => Ok(Reply::Written(object.version)),
            Err(PutError::Conflict(object)) => Err(PlatformError::Conflict(Box::new(object))),
            Err(PutError::TooLarge) => Err(PlatformError::Refused("too large".to_owned())),
        };
        match call {
            Call::Get { name } => {
                let object = self.read_store().get(name).cloned();
                object.map(Reply::Object).ok_or(PlatformError::NotFound)
            }
            Call::Put { name, if_version, value } => {
                write_reply(self.store.put(name, *if_version, value.clone()))
            }
            Call::Delete { name } => {
                write_reply(self.store.put(name, None, serde_json::Value::Null))
            }
            Call::List { prefix } => Ok(Reply::Changes(self.read_store().list(prefix))),
            Call::Watch { prefix, after, .. } => {
                Ok(Reply::Changes(self.read_store().changed_since(prefix, after.revision)))
            }
        }
    }
}

fn no_answer() -> Result<Reply, PlatformError> {
    Err(PlatformError::NoAnswer("closed".to_owned()))
}
