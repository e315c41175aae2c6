//! Scheduling of list and watch calls to the platform for routes, targets and instances.
//!
//! The platform counts the calls of all instances, so only a few of each failure domain watch
//! it; the others list objects when they start and when peers announce newer routes.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;
use crate::platform::{Call, PlatformError, Reply, Revision};

/// Prefix of the object names of targets.
pub const TARGETS_PREFIX: &str = "targets/";
/// Prefix of the object names of routes.
pub const ROUTES_PREFIX: &str = "routes/";
/// Prefix of the object names under which instances register.
pub const INSTANCES_PREFIX: &str = "instances/";

/// Longest time that a watch waits for a change. Short, so that a stalled connection is detected
/// before a change has to be in force.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// Time between the reply to a watch and the next watch, so that changes arrive in batches.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(350);
/// Longest pause after a list of routes or instances. It limits how often announcements by peers
/// cause another list.
const MAX_LIST_PAUSE: Duration = Duration::from_millis(400);
/// Longest delay before the first retry.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before any retry: the end of an outage is detected within this time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Consecutive failures after which the platform counts as unreachable.
const OUTAGE_FAILURES: u32 = 2;

/// List and watch calls for the objects under one prefix.
#[derive(Debug)]
struct ListWatch {
    prefix: &'static str,
    /// Revision up to which the objects are known; none before the first list.
    revision: Option<Revision>,
    /// Whether a call is in flight.
    in_flight: bool,
    backoff: Backoff,
}

impl ListWatch {
    fn new(prefix: &'static str) -> Self {
        let backoff = Backoff::new(MAX_FIRST_RETRY_DELAY, MAX_RETRY_DELAY, 0.5..=1.0);
        Self { prefix, revision: None, in_flight: false, backoff }
    }

    /// Returns the call that is due. After the first list, there is none unless the instance
    /// `watches` the prefix or wants to `list` it.
    fn due(
        &mut self,
        now: Duration,
        watches: bool,
        list: bool,
        rng: &mut SmallRng,
    ) -> Option<Call> {
        if self.in_flight || now < self.backoff.due() {
            return None;
        }
        let prefix = self.prefix.to_owned();
        let call = match self.revision {
            Some(after) if watches => {
                // Instances whose watches end at different times detect a change sooner.
                let timeout = MAX_WATCH_WAIT.mul_f64(rng.random_range(0.6..=1.0));
                Call::Watch { prefix, after, timeout }
            }
            Some(_) if !list => return None,
            _ => Call::List { prefix },
        };
        self.in_flight = true;
        Some(call)
    }

    fn on_result(
        &mut self,
        now: Duration,
        result: &Result<Reply, PlatformError>,
        rng: &mut SmallRng,
    ) {
        self.in_flight = false;
        match result {
            Ok(Reply::Changes(changes)) => {
                self.revision = Some(changes.revision);
                self.backoff.record_success(now + WATCH_BATCH_DELAY);
            }
            Ok(_) => {}
            Err(e) => {
                if !matches!(e, PlatformError::NoAnswer(_) | PlatformError::Refused(_)) {
                    // The platform cannot continue from this revision: list everything again.
                    self.revision = None;
                }
                self.backoff.record_failure(now, rng);
            }
        }
    }
}

/// What the instance currently needs from the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Interest {
    /// Whether it watches on behalf of its failure domain.
    pub watches: bool,
    /// Whether a peer has announced newer routes.
    pub routes: bool,
    /// Whether it knows no other instance.
    pub instances: bool,
}

/// All list and watch calls of an instance.
#[derive(Debug)]
pub struct ListWatches {
    routes: ListWatch,
    targets: ListWatch,
    instances: ListWatch,
    in_outage: bool,
    outage_ended: bool,
    rng: SmallRng,
}

impl ListWatches {
    /// Creates the state of an instance that has listed nothing yet.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            routes: ListWatch::new(ROUTES_PREFIX),
            targets: ListWatch::new(TARGETS_PREFIX),
            instances: ListWatch::new(INSTANCES_PREFIX),
            in_outage: false,
            outage_ended: false,
            rng,
        }
    }

    /// Returns the calls that are due.
    pub fn due(&mut self, now: Duration, interest: Interest) -> Vec<Call> {
        let routes = self.routes.due(now, interest.watches, interest.routes, &mut self.rng);
        let targets = self.targets.due(now, interest.watches, false, &mut self.rng);
        let instances = if interest.instances {
            self.instances.due(now, false, true, &mut self.rng)
        } else {
            None
        };
        routes.into_iter().chain(targets).chain(instances).collect()
    }

    /// Handles the result of a list or watch call.
    pub fn on_result(&mut self, now: Duration, call: &Call, result: &Result<Reply, PlatformError>) {
        let (Call::List { prefix } | Call::Watch { prefix, .. }) = call else { return };
        let is_list = matches!(call, Call::List { .. });
        let list_watch = match prefix.as_str() {
            ROUTES_PREFIX => &mut self.routes,
            TARGETS_PREFIX => &mut self.targets,
            INSTANCES_PREFIX => &mut self.instances,
            _ => return,
        };
        list_watch.on_result(now, result, &mut self.rng);
        if is_list && result.is_ok() && prefix != TARGETS_PREFIX {
            let pause = MAX_LIST_PAUSE.mul_f64(self.rng.random_range(0.5..=1.0));
            list_watch.backoff.set_due(now + pause);
        }
        self.update_outage(result.is_ok());
    }

    /// Lists routes and targets again, for example after a pause of the process.
    pub fn relist(&mut self, now: Duration) {
        for list_watch in [&mut self.routes, &mut self.targets] {
            list_watch.revision = None;
            list_watch.backoff.set_due(now);
        }
    }

    /// Returns whether the platform is unreachable for this instance.
    pub fn in_outage(&self) -> bool {
        self.in_outage
    }

    /// Returns whether the last call for the routes failed.
    pub fn routes_failing(&self) -> bool {
        self.routes.backoff.failures() > 0
    }

    /// Returns whether an outage of the platform has ended since the last call of this method.
    pub fn take_outage_ended(&mut self) -> bool {
        std::mem::take(&mut self.outage_ended)
    }

    fn update_outage(&mut self, answered: bool) {
        if answered && self.in_outage {
            self.in_outage = false;
            self.outage_ended = true;
            log::info!("platform_regained");
        }
        let failures = self.routes.backoff.failures().max(self.targets.backoff.failures());
        if !answered && !self.in_outage && failures >= OUTAGE_FAILURES {
            self.in_outage = true;
            log::warn!(failures = failures; "platform_lost");
        }
    }
}
