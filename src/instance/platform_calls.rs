//! Schedule of an instance's platform calls: its registration and its reads.
//!
//! The platform counts the calls of all instances together, so only a few instances of each
//! failure domain watch all objects. The others receive changes from peers and poll the platform
//! rarely.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;
use crate::platform::{Call, Changes, PlatformError, Position, Reply};

/// Prefix of the object names under which instances register.
pub(super) const INSTANCES_PREFIX: &str = "instances/";
/// Upper bound of the time between two renewals of an unchanged registration. Each renewal
/// wakes all watches, so renewals are rare: 800 instances make at most 18 per second.
const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(60);
/// Delay between the response to a watch and the next watch, so that changes are batched.
const WATCH_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the time between two reads by an instance that is not a watcher.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(300);
/// Time for which a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Upper bound of the delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Returns a backoff with full jitter, as 800 instances may start at the same time.
fn backoff() -> Backoff {
    Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, 0.0..=1.0)
}

/// Decides when to call the platform, and what to read and write.
#[derive(Debug)]
pub(super) struct PlatformCalls {
    name: String,
    position: Option<Position>,
    /// The registration as it was last written.
    last_written: Option<serde_json::Value>,
    read_in_flight: bool,
    write_in_flight: bool,
    is_watcher: bool,
    read_backoff: Backoff,
    renewal_backoff: Backoff,
    rng: SmallRng,
}

impl PlatformCalls {
    pub(super) fn new(id: u32, rng: SmallRng) -> Self {
        Self {
            name: format!("{INSTANCES_PREFIX}{id}"),
            position: None,
            last_written: None,
            read_in_flight: false,
            write_in_flight: false,
            is_watcher: true,
            read_backoff: backoff(),
            renewal_backoff: backoff(),
            rng,
        }
    }

    /// Returns the calls that are due. `registration` is the value to register, none if this instance
    /// stops, and `is_watcher` says whether it watches the platform for its failure domain.
    pub(super) fn due_calls(
        &mut self,
        now: Duration,
        registration: Option<&serde_json::Value>,
        is_watcher: bool,
    ) -> Vec<Call> {
        self.set_watcher(now, is_watcher);
        let mut calls = Vec::new();
        if !self.read_in_flight && now >= self.read_backoff.due() {
            self.read_in_flight = true;
            calls.push(self.read_call());
        }
        if let Some(registration) = registration
            && !self.write_in_flight
            && self.renewal_due(now, registration)
        {
            self.write_in_flight = true;
            self.last_written = Some(registration.clone());
            let name = self.name.clone();
            calls.push(Call::Put { name, if_version: None, value: registration.clone() });
        }
        calls
    }

    /// Returns the call that deletes the registration.
    pub(super) fn deregister(&self) -> Call {
        Call::Delete { name: self.name.clone() }
    }

    /// Handles the result of a call.
    pub(super) fn on_result(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
    ) {
        let ok = result.is_ok();
        let (backoff, next) = match call {
            Call::Put { .. } => {
                self.write_in_flight = false;
                (&mut self.renewal_backoff, now + jittered(MAX_RENEWAL_INTERVAL, &mut self.rng))
            }
            Call::List { .. } | Call::Watch { .. } => {
                self.read_in_flight = false;
                let delay = if self.is_watcher {
                    WATCH_DELAY
                } else {
                    jittered(MAX_POLL_INTERVAL, &mut self.rng)
                };
                (&mut self.read_backoff, now + delay)
            }
            Call::Get { .. } | Call::Delete { .. } => return,
        };
        if ok {
            backoff.record_success(next);
        } else {
            backoff.record_failure(now, &mut self.rng);
        }
        self.update_position(call, result);
    }

    /// Returns whether to write the registration. A changed one is written at once, unless the
    /// last write failed: then the backoff applies.
    fn renewal_due(&self, now: Duration, registration: &serde_json::Value) -> bool {
        let changed = self.renewal_backoff.failures() == 0
            && self.last_written.as_ref() != Some(registration);
        changed || now >= self.renewal_backoff.due()
    }

    /// Sets whether this instance watches. A new watcher reads at once, unless the last read
    /// failed: then the backoff applies.
    fn set_watcher(&mut self, now: Duration, is_watcher: bool) {
        if is_watcher && !self.is_watcher && self.read_backoff.failures() == 0 {
            self.read_backoff.set_due(now);
        }
        self.is_watcher = is_watcher;
    }

    fn update_position(&mut self, call: &Call, result: &Result<Reply, PlatformError>) {
        let is_watch = matches!(call, Call::Watch { .. });
        match result {
            Ok(Reply::Changes(changes)) if is_watch && !self.continues(changes) => {
                // The platform has restarted or returns old data: list again.
                self.position = None;
            }
            Ok(Reply::Changes(changes)) => self.position = Some(changes.position()),
            Err(_) if is_watch => self.position = None,
            _ => {}
        }
    }

    /// Returns whether changes continue from the last known position.
    fn continues(&self, changes: &Changes) -> bool {
        self.position
            .is_none_or(|known| known.era == changes.era && known.revision <= changes.revision)
    }

    fn read_call(&self) -> Call {
        let prefix = String::new();
        let wait = if self.is_watcher { WATCH_TIMEOUT } else { Duration::ZERO };
        match self.position {
            Some(after) => Call::Watch { prefix, after, timeout: wait },
            None => Call::List { prefix },
        }
    }
}

/// Returns a random duration between half of `max` and `max`, so that instances do not call at
/// the same time.
fn jittered(max: Duration, rng: &mut SmallRng) -> Duration {
    max.mul_f64(rng.random_range(0.5..=1.0))
}
