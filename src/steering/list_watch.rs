//! When to ask the platform for routes, targets and other instances.
//!
//! The platform counts each call of all instances. A few of each failure domain watch it;
//! the others read it when they start and when peers tell of newer routes.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;
use crate::platform::{Call, PlatformError, Reply, Revision};

/// Beginning of the names of targets.
pub const TARGETS: &str = "targets/";
/// Beginning of the names of routes.
pub const ROUTES: &str = "routes/";
/// Beginning of the names under which instances register.
pub const INSTANCES: &str = "instances/";

/// Longest time that a watch waits for a change. Short, so that a connection that has fallen
/// silent is noticed before a change has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// Time between an answer to a watch and the next one, so that changes come together.
const WATCH_PAUSE: Duration = Duration::from_millis(350);
/// Least time between two reads of routes that peers tell of.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest delay before the first retry.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest delay before any retry: an outage's end is noticed within this time.
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// Failures in a row after which the platform counts as lost.
const LOST_AFTER: u32 = 2;

/// Reads and watches of one part of the platform's objects.
#[derive(Debug)]
struct Feed {
    prefix: &'static str,
    revision: Option<Revision>,
    busy: bool,
    backoff: Backoff,
}

impl Feed {
    fn new(prefix: &'static str) -> Self {
        let backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY, 0.5..=1.0);
        Self { prefix, revision: None, busy: false, backoff }
    }

    /// Returns the call that is due. One that neither watches nor wants to read makes none
    /// once it has read.
    fn due(
        &mut self,
        now: Duration,
        watches: bool,
        wants: bool,
        rng: &mut SmallRng,
    ) -> Option<Call> {
        if self.busy || now < self.backoff.next() {
            return None;
        }
        let prefix = self.prefix.to_owned();
        let call = match self.revision {
            Some(after) if watches => {
                // Watches that end at different times notice a change sooner.
                let wait = WATCH_WAIT.mul_f64(rng.random_range(0.6..=1.0));
                Call::Watch { prefix, after, wait }
            }
            Some(_) if !wants => return None,
            _ => Call::List { prefix },
        };
        self.busy = true;
        Some(call)
    }

    fn done(&mut self, now: Duration, result: &Result<Reply, PlatformError>, rng: &mut SmallRng) {
        self.busy = false;
        match result {
            Ok(Reply::Changes(changes)) => {
                self.revision = Some(changes.revision);
                self.backoff.succeeded(now + WATCH_PAUSE);
            }
            Ok(_) => {}
            Err(e) => {
                if !matches!(e, PlatformError::NoAnswer(_) | PlatformError::Refused(_)) {
                    // The revision means nothing any more.
                    self.revision = None;
                }
                self.backoff.failed(now, rng);
            }
        }
    }
}

/// What the instance wants of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wants {
    /// It watches for its failure domain.
    pub watches: bool,
    /// A peer has told of newer routes.
    pub routes: bool,
    /// It knows no other instance.
    pub instances: bool,
}

/// All reads and watches of an instance.
#[derive(Debug)]
pub struct Feeds {
    routes: Feed,
    targets: Feed,
    instances: Feed,
    lost: bool,
    regained: bool,
    rng: SmallRng,
}

impl Feeds {
    /// Makes feeds that have read nothing.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            routes: Feed::new(ROUTES),
            targets: Feed::new(TARGETS),
            instances: Feed::new(INSTANCES),
            lost: false,
            regained: false,
            rng,
        }
    }

    /// Returns the calls that are due.
    pub fn due(&mut self, now: Duration, wants: Wants) -> Vec<Call> {
        let routes = self.routes.due(now, wants.watches, wants.routes, &mut self.rng);
        let targets = self.targets.due(now, wants.watches, false, &mut self.rng);
        let instances = if wants.instances {
            self.instances.due(now, false, true, &mut self.rng)
        } else {
            None
        };
        routes.into_iter().chain(targets).chain(instances).collect()
    }

    /// Takes the result of a read or watch.
    pub fn done(&mut self, now: Duration, call: &Call, result: &Result<Reply, PlatformError>) {
        let (Call::List { prefix } | Call::Watch { prefix, .. }) = call else { return };
        let is_list = matches!(call, Call::List { .. });
        let feed = match prefix.as_str() {
            ROUTES => &mut self.routes,
            TARGETS => &mut self.targets,
            INSTANCES => &mut self.instances,
            _ => return,
        };
        feed.done(now, result, &mut self.rng);
        if is_list && result.is_ok() && prefix != TARGETS {
            let pause = READ_PAUSE.mul_f64(self.rng.random_range(0.5..=1.0));
            feed.backoff.set_next(now + pause);
        }
        self.note_outage(result.is_ok());
    }

    /// Reads everything again, as after a pause of the process.
    pub fn refresh(&mut self, now: Duration) {
        for feed in [&mut self.routes, &mut self.targets] {
            feed.revision = None;
            feed.backoff.set_next(now);
        }
    }

    /// Tells whether the platform does not answer this instance.
    pub fn lost(&self) -> bool {
        self.lost
    }

    /// Tells whether reads of the routes fail.
    pub fn routes_fail(&self) -> bool {
        self.routes.backoff.failures() > 0
    }

    /// Tells whether the platform has answered again after an outage since the last call.
    pub fn take_regained(&mut self) -> bool {
        std::mem::take(&mut self.regained)
    }

    fn note_outage(&mut self, answered: bool) {
        if answered && self.lost {
            self.lost = false;
            self.regained = true;
            log::info!("platform_regained");
        }
        let failures = self.routes.backoff.failures().max(self.targets.backoff.failures());
        if !answered && !self.lost && failures >= LOST_AFTER {
            self.lost = true;
            log::warn!(failures = failures; "platform_lost");
        }
    }
}
