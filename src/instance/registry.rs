//! The instance's standing with the platform: its registration and its reads.
//!
//! The platform counts each call of all instances. A few of each failure domain hold a
//! watch of everything; the others learn from peers, and only look in now and then.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;
use crate::platform::{Call, PlatformError, Reply, Revision};

/// Beginning of the names under which instances register.
pub(super) const INSTANCES: &str = "instances/";
/// Longest time between two renewals of a registration that has not changed. Each renewal
/// wakes all watches, so they are rare: 800 instances make 18 of them a second at most.
const RENEW_EVERY: Duration = Duration::from_secs(60);
/// Time between an answer to a watch and the next one, so that changes come together.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two reads of an instance that does not watch.
const LOOK_EVERY: Duration = Duration::from_secs(300);
/// Time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Longest delay before the first retry.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// Longest delay before any retry.
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// Retries come from the whole interval, as 800 instances may begin at the same moment.
fn backoff() -> Backoff {
    Backoff::new(FIRST_RETRY, LONGEST_RETRY, 0.0..=1.0)
}

/// Decides when to call the platform.
#[derive(Debug)]
pub(super) struct Registry {
    name: String,
    revision: Option<Revision>,
    /// The registration as it was last written.
    written: Option<serde_json::Value>,
    reading: bool,
    writing: bool,
    watches: bool,
    read: Backoff,
    renewal: Backoff,
    rng: SmallRng,
}

impl Registry {
    pub(super) fn new(id: u32, rng: SmallRng) -> Self {
        Self {
            name: format!("{INSTANCES}{id}"),
            revision: None,
            written: None,
            reading: false,
            writing: false,
            watches: true,
            read: backoff(),
            renewal: backoff(),
            rng,
        }
    }

    /// Returns the calls that are due; `me` is what the registration says, and `watches`
    /// tells whether this instance watches the platform for its failure domain.
    pub(super) fn due(
        &mut self,
        now: Duration,
        me: &serde_json::Value,
        watches: bool,
    ) -> Vec<Call> {
        self.set_watches(now, watches);
        let mut calls = Vec::new();
        if !self.reading && now >= self.read.next() {
            self.reading = true;
            calls.push(self.read_call());
        }
        if !self.writing && self.renewal_due(now, me) {
            self.writing = true;
            self.written = Some(me.clone());
            let name = self.name.clone();
            calls.push(Call::Put { name, if_version: None, value: me.clone() });
        }
        calls
    }

    /// Returns the call that ends the registration.
    pub(super) fn deregister(&self) -> Call {
        Call::Delete { name: self.name.clone() }
    }

    /// Takes the result of a call.
    pub(super) fn done(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
    ) {
        let ok = result.is_ok();
        let (backoff, next) = match call {
            Call::Put { .. } => {
                self.writing = false;
                (&mut self.renewal, now + spread(RENEW_EVERY, &mut self.rng))
            }
            Call::List { .. } | Call::Watch { .. } => {
                self.reading = false;
                let pause =
                    if self.watches { WATCH_PAUSE } else { spread(LOOK_EVERY, &mut self.rng) };
                (&mut self.read, now + pause)
            }
            Call::Get { .. } | Call::Delete { .. } => return,
        };
        if ok {
            backoff.succeeded(next);
        } else {
            backoff.failed(now, &mut self.rng);
        }
        self.note_revision(call, result);
    }

    /// A change of state is told at once, but not faster than failures allow.
    fn renewal_due(&self, now: Duration, me: &serde_json::Value) -> bool {
        let changed = self.renewal.failures() == 0 && self.written.as_ref() != Some(me);
        changed || now >= self.renewal.next()
    }

    /// An instance that begins to watch reads at once, unless reads fail just now.
    fn set_watches(&mut self, now: Duration, watches: bool) {
        if watches && !self.watches && self.read.failures() == 0 {
            self.read.set_next(now);
        }
        self.watches = watches;
    }

    fn note_revision(&mut self, call: &Call, result: &Result<Reply, PlatformError>) {
        let is_watch = matches!(call, Call::Watch { .. });
        match result {
            Ok(Reply::Changes(changes)) if is_watch && Some(changes.revision) < self.revision => {
                // The platform has restarted or answers with old data: its revisions mean
                // something else now.
                self.revision = None;
            }
            Ok(Reply::Changes(changes)) => self.revision = Some(changes.revision),
            Err(_) if is_watch => self.revision = None,
            _ => {}
        }
    }

    fn read_call(&self) -> Call {
        let prefix = String::new();
        let wait = if self.watches { WATCH_WAIT } else { Duration::ZERO };
        match self.revision {
            Some(after) => Call::Watch { prefix, after, wait },
            None => Call::List { prefix },
        }
    }
}

/// Draws from the upper half of an interval, so that callers spread.
fn spread(longest: Duration, rng: &mut SmallRng) -> Duration {
    longest.mul_f64(rng.random_range(0.5..=1.0))
}
