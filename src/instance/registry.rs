//! The instance's standing with the platform: its registration and its one watch.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::platform::{Call, PlatformError, Reply, Revision};

/// Beginning of the names under which instances register.
pub(super) const INSTANCES: &str = "instances/";
/// Time between two renewals of the registration.
const RENEW_EVERY: Duration = Duration::from_secs(10);
/// Time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Longest delay before the first retry.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// Longest delay before any retry.
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// Delays between retries, drawn from the whole interval so that callers spread.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    next: Duration,
}

impl Backoff {
    fn failed(&mut self, now: Duration, rng: &mut SmallRng) {
        let longest = FIRST_RETRY * 2u32.saturating_pow(self.failures.min(16));
        let longest = longest.min(LONGEST_RETRY);
        self.failures = self.failures.saturating_add(1);
        self.next = now + longest.mul_f64(rng.random());
    }

    fn succeeded(&mut self, next: Duration) {
        self.failures = 0;
        self.next = next;
    }
}

/// Decides when to call the platform.
#[derive(Debug)]
pub(super) struct Registry {
    name: String,
    revision: Option<Revision>,
    watching: bool,
    writing: bool,
    watch: Backoff,
    renewal: Backoff,
    rng: SmallRng,
}

impl Registry {
    pub(super) fn new(id: u32, rng: SmallRng) -> Self {
        Self {
            name: format!("{INSTANCES}{id}"),
            revision: None,
            watching: false,
            writing: false,
            watch: Backoff::default(),
            renewal: Backoff::default(),
            rng,
        }
    }

    /// Returns the calls that are due; `me` is what the registration says.
    pub(super) fn due(&mut self, now: Duration, me: &serde_json::Value) -> Vec<Call> {
        let mut calls = Vec::new();
        if !self.watching && now >= self.watch.next {
            self.watching = true;
            calls.push(self.read());
        }
        if !self.writing && now >= self.renewal.next {
            self.writing = true;
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
                (&mut self.renewal, now + RENEW_EVERY)
            }
            Call::List { .. } | Call::Watch { .. } => {
                self.watching = false;
                (&mut self.watch, now)
            }
            Call::Get { .. } | Call::Delete { .. } => return,
        };
        if ok {
            backoff.succeeded(next);
        } else {
            backoff.failed(now, &mut self.rng);
        }
        if let Ok(Reply::Changes(changes)) = result {
            self.revision = Some(changes.revision);
        }
        if !ok && matches!(call, Call::Watch { .. }) {
            // The platform may have restarted: its revisions mean nothing now.
            self.revision = None;
        }
    }

    fn read(&self) -> Call {
        let prefix = String::new();
        match self.revision {
            Some(after) => Call::Watch { prefix, after, wait: WATCH_WAIT },
            None => Call::List { prefix },
        }
    }
}
