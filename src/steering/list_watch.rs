//! Scheduling of list and watch calls to the platform for routes, targets, instances and orders to
//! drain failure domains.
//!
//! The platform counts the calls of all instances, so only a few of each failure domain watch
//! it; the others list objects when they start and when peers announce newer routes that they do
//! not send.
//!
//! Others poll if no watcher seems to reach the platform. A poll is a watch that does not wait.
//!
//! Load pattern: targets change several times a second for minutes while a service is replaced,
//! and each change wakes all watchers. The watchers of a failure domain therefore take turns: each
//! pauses in proportion to their number, and tells the others what it has learned.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;
use crate::platform::{Call, Changes, Era, PlatformError, Position, Reply};

/// Prefix of the object names of targets.
pub const TARGETS_PREFIX: &str = "targets/";
/// Prefix of the object names of routes.
pub const ROUTES_PREFIX: &str = "routes/";
/// Prefix of the object names under which instances register.
pub const INSTANCES_PREFIX: &str = "instances/";
/// Prefix of the object names of orders to drain a failure domain, followed by its name.
pub const DOMAIN_DRAINS_PREFIX: &str = "domain-drains/";

/// Longest time that a watch waits for a change. Short, so that a stalled connection is detected
/// before a change has to be in force.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// Time between the reply to a watch and the next watch, for each watcher of the failure domain, so
/// that changes arrive in batches.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(350);
/// Longest pause after a list of routes or instances. It limits how often announcements by peers
/// cause another list.
const MAX_LIST_PAUSE: Duration = Duration::from_millis(400);
/// Longest delay before the first retry.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before any retry, for each watcher of the failure domain: one of them detects the
/// end of an outage within this time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Consecutive failures after which the platform counts as unreachable.
const OUTAGE_FAILURES: u32 = 2;
/// Longest delay before the objects are listed in a new era, so that the watchers do not all list
/// them at once.
const MAX_ERA_DELAY: Duration = Duration::from_millis(300);

/// List and watch calls for the objects under one prefix.
#[derive(Debug)]
struct ListWatch {
    prefix: &'static str,
    /// Position up to which the objects are known; none before the first list.
    position: Option<Position>,
    /// The call that is waited for.
    in_flight: Option<Call>,
    /// When the last call was made.
    called_at: Duration,
    /// Time up to which all changes are known by the calls that were waited for.
    read_at: Option<Duration>,
    backoff: Backoff,
}

impl ListWatch {
    fn new(prefix: &'static str) -> Self {
        let backoff = Backoff::new(MAX_FIRST_RETRY_DELAY, MAX_RETRY_DELAY, 0.5..=1.0);
        Self {
            prefix,
            position: None,
            in_flight: None,
            called_at: Duration::ZERO,
            read_at: None,
            backoff,
        }
    }

    /// Returns the call that is due. After the first list, there is none unless the instance
    /// `watches` the prefix or wants to `list` it. A watch does not continue into a new era.
    fn due(
        &mut self,
        now: Duration,
        era: Era,
        watches: bool,
        list: bool,
        rng: &mut SmallRng,
    ) -> Option<Call> {
        if self.in_flight.is_some() || now < self.backoff.due() {
            return None;
        }
        let prefix = self.prefix.to_owned();
        let call = match self.position {
            Some(after) if watches && after.era == era => {
                // Instances whose watches end at different times detect a change sooner.
                let timeout = MAX_WATCH_WAIT.mul_f64(rng.random_range(0.6..=1.0));
                Call::Watch { prefix, after, timeout }
            }
            Some(_) if !watches && !list => return None,
            _ => Call::List { prefix },
        };
        self.in_flight = Some(call.clone());
        self.called_at = now;
        Some(call)
    }

    fn on_result(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
        watchers: u32,
        rng: &mut SmallRng,
    ) {
        match result {
            Ok(Reply::Changes(changes)) => {
                self.position = Some(changes.position());
                self.read_at = Some(self.read_time(now, call, changes));
                // A watch that has waited without changes goes on at once.
                let begin = if changes.objects.is_empty() { self.called_at } else { now };
                self.backoff.record_success(begin + WATCH_BATCH_DELAY * watchers);
            }
            Ok(_) => {}
            Err(e) => {
                if !matches!(e, PlatformError::NoAnswer(_) | PlatformError::Refused(_)) {
                    // The platform cannot continue from this position: list everything again.
                    self.position = None;
                }
                let known = self.position.is_some();
                self.backoff.record_failure(now, rng);
                if known {
                    self.backoff.stretch(now, watchers);
                }
            }
        }
    }

    /// Returns a time up to which all changes are known now that a call has been answered. An answer may
    /// have been on its way for long, so this is when the call was made; only a watch that ended without
    /// changes says more, as the platform answered after the wait.
    fn read_time(&self, now: Duration, call: &Call, changes: &Changes) -> Duration {
        match call {
            Call::Watch { timeout, .. }
                if changes.objects.is_empty() && now >= self.called_at + *timeout =>
            {
                self.called_at + *timeout
            }
            _ => self.called_at,
        }
    }

    /// Handles the result of a poll, or of a call that is no longer waited for. The schedule of lists and
    /// watches stays as it is, and so does the position of a watch in flight.
    fn on_other_result(&mut self, result: &Result<Reply, PlatformError>) {
        match result {
            Ok(Reply::Changes(changes)) if self.in_flight.is_none() => {
                self.position = self.position.map(|known| known.max(changes.position()));
            }
            _ => {}
        }
    }
}

/// What the instance currently needs from the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Interest {
    /// Whether it watches on behalf of its failure domain.
    pub watches: bool,
    /// Number of instances that do so, this one included.
    pub watchers: u32,
    /// Whether a peer has announced newer routes.
    pub routes: bool,
    /// Whether it knows no other instance.
    pub instances: bool,
    /// Whether the deployment has orders to drain failure domains.
    pub domain_drains: bool,
}

/// All list and watch calls of an instance.
#[derive(Debug)]
pub struct ListWatches {
    routes: ListWatch,
    targets: ListWatch,
    instances: ListWatch,
    domain_drains: ListWatch,
    /// The latest era of the platform that is known.
    era: Era,
    /// Number of instances that share the watches, this one included.
    watchers: u32,
    in_outage: bool,
    /// Whether an outage has ended.
    ended_outage: bool,
    rng: SmallRng,
}

impl ListWatches {
    /// Creates the state of an instance that has listed nothing yet.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            routes: ListWatch::new(ROUTES_PREFIX),
            targets: ListWatch::new(TARGETS_PREFIX),
            instances: ListWatch::new(INSTANCES_PREFIX),
            domain_drains: ListWatch::new(DOMAIN_DRAINS_PREFIX),
            era: 0,
            watchers: 1,
            in_outage: false,
            ended_outage: false,
            rng,
        }
    }

    /// Returns the calls that are due.
    pub fn due(&mut self, now: Duration, interest: Interest) -> Vec<Call> {
        self.watchers = if interest.watches { interest.watchers.max(1) } else { 1 };
        let (era, rng) = (self.era, &mut self.rng);
        let routes = self.routes.due(now, era, interest.watches, interest.routes, rng);
        let targets = self.targets.due(now, era, interest.watches, false, rng);
        let instances =
            if interest.instances { self.instances.due(now, era, false, true, rng) } else { None };
        let domain_drains = if interest.domain_drains {
            self.domain_drains.due(now, era, interest.watches, false, rng)
        } else {
            None
        };
        routes.into_iter().chain(targets).chain(instances).chain(domain_drains).collect()
    }

    /// Enters a new era of the platform: watchers list all objects again, and no longer wait for
    /// calls of the earlier era.
    pub fn enter_era(&mut self, now: Duration, era: Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        let Self { routes, targets, instances, domain_drains, .. } = self;
        for list_watch in [routes, targets, instances, domain_drains] {
            // A first list that is still in flight may be of either era.
            if list_watch.position.is_some() {
                list_watch.in_flight = None;
                let delay = MAX_ERA_DELAY.mul_f64(self.rng.random());
                list_watch.backoff.set_due(now + delay);
            }
        }
    }

    /// Handles the result of a list or watch call. Returns whether its objects are to be used: not
    /// those of an earlier era, nor those of a watch that began in one and has missed changes.
    pub fn on_result(
        &mut self,
        now: Duration,
        call: &Call,
        result: &Result<Reply, PlatformError>,
    ) -> bool {
        let (Call::List { prefix } | Call::Watch { prefix, .. }) = call else { return true };
        let is_list = matches!(call, Call::List { .. });
        if let Ok(Reply::Changes(changes)) = result {
            self.enter_era(now, changes.era);
        }
        let list_watch = match prefix.as_str() {
            ROUTES_PREFIX => &mut self.routes,
            TARGETS_PREFIX => &mut self.targets,
            INSTANCES_PREFIX => &mut self.instances,
            DOMAIN_DRAINS_PREFIX => &mut self.domain_drains,
            _ => return true,
        };
        let is_awaited = list_watch.in_flight.take_if(|awaited| awaited == call).is_some();
        if is_outdated(self.era, call, result) {
            return false;
        }
        // Orders are rare and urgent: the watchers do not take turns.
        let watchers = if prefix == DOMAIN_DRAINS_PREFIX { 1 } else { self.watchers };
        if is_awaited {
            list_watch.on_result(now, call, result, watchers, &mut self.rng);
        } else {
            list_watch.on_other_result(result);
        }
        if is_list && result.is_ok() && (prefix == ROUTES_PREFIX || prefix == INSTANCES_PREFIX) {
            let pause = MAX_LIST_PAUSE.mul_f64(self.rng.random_range(0.5..=1.0));
            list_watch.backoff.set_due(now + pause);
        }
        if result.is_ok() || !is_poll(call) {
            self.update_outage(result.is_ok());
        }
        true
    }

    /// Returns the call that polls the targets after a position, or lists them if it is of an earlier
    /// era.
    pub fn poll_targets(&self, after: Position) -> Call {
        if after.era == self.era { poll(TARGETS_PREFIX, after) } else { list(TARGETS_PREFIX) }
    }

    /// Returns the calls that poll the routes and, if the deployment has them, the orders to drain
    /// failure domains.
    pub fn poll_others(&self, domain_drains: bool) -> Vec<Call> {
        let routes = match self.routes_read() {
            Some(after) => poll(ROUTES_PREFIX, after),
            None => list(ROUTES_PREFIX),
        };
        let domain_drains = domain_drains.then(|| list(DOMAIN_DRAINS_PREFIX));
        [routes].into_iter().chain(domain_drains).collect()
    }

    /// Returns the position of the current era up to which the routes have been read.
    pub fn routes_read(&self) -> Option<Position> {
        self.routes.position.filter(|position| position.era == self.era)
    }

    /// Records that a peer with the same routes has read them up to a position.
    pub fn note_routes_read(&mut self, position: Position) {
        if let Some(known) = self.routes.position.as_mut().filter(|_| position.era == self.era) {
            *known = position.max(*known);
        }
    }

    /// Returns the time up to which all changes under the prefix of a call are known by own lists and
    /// watches.
    pub fn read_time(&self, call: &Call) -> Option<Duration> {
        let (Call::List { prefix } | Call::Watch { prefix, .. }) = call else { return None };
        match prefix.as_str() {
            ROUTES_PREFIX => self.routes.read_at,
            TARGETS_PREFIX => self.targets.read_at,
            DOMAIN_DRAINS_PREFIX => self.domain_drains.read_at,
            _ => None,
        }
    }

    /// Lists routes, targets and orders again after a pause of the process, and no longer waits for
    /// calls that were made before.
    pub fn relist(&mut self, now: Duration) {
        for list_watch in [&mut self.routes, &mut self.targets, &mut self.domain_drains] {
            list_watch.position = None;
            list_watch.in_flight = None;
            list_watch.backoff.set_due(now);
        }
    }

    /// Lists the orders to drain failure domains again.
    pub fn relist_domain_drains(&mut self, now: Duration) {
        self.domain_drains.position = None;
        self.domain_drains.backoff.set_due(now);
    }

    /// Returns whether the platform is unreachable for this instance.
    pub fn in_outage(&self) -> bool {
        self.in_outage
    }

    /// Returns whether the last call for the routes failed.
    pub fn routes_failing(&self) -> bool {
        self.routes.backoff.failures() > 0
    }

    /// Returns whether the platform has become reachable again for this instance since the last call
    /// of this method.
    pub fn take_ended_outage(&mut self) -> bool {
        std::mem::take(&mut self.ended_outage)
    }

    fn update_outage(&mut self, answered: bool) {
        if answered {
            if std::mem::take(&mut self.in_outage) {
                self.ended_outage = true;
                log::info!("platform_regained");
            }
            return;
        }
        let failures = self.routes.backoff.failures().max(self.targets.backoff.failures());
        if !self.in_outage && failures >= OUTAGE_FAILURES {
            self.in_outage = true;
            log::warn!(failures = failures; "platform_lost");
        }
    }
}

fn poll(prefix: &str, after: Position) -> Call {
    Call::Watch { prefix: prefix.to_owned(), after, timeout: Duration::ZERO }
}

fn list(prefix: &str) -> Call {
    Call::List { prefix: prefix.to_owned() }
}

/// Returns whether a call is a poll.
fn is_poll(call: &Call) -> bool {
    matches!(call, Call::Watch { timeout: Duration::ZERO, .. })
}

/// Returns whether the result of a call says nothing about the current era.
fn is_outdated(era: Era, call: &Call, result: &Result<Reply, PlatformError>) -> bool {
    let began_earlier = matches!(call, Call::Watch { after, .. } if after.era < era);
    let answered_earlier = matches!(result, Ok(Reply::Changes(changes)) if changes.era < era);
    began_earlier || answered_earlier
}
