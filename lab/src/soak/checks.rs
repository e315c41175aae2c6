//! The promises, checked from what callers and servers see.

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::{HashMap, HashSet};
use limpetdeck::ids::Version;
use limpetdeck::steering::RawRoutes;

use crate::emulator::caller::request_of;
use crate::emulator::exchange::{RequestId, RequestKind};
use crate::emulator::server::Ends;

/// Time within which a change of routes is in force, as the users ask.
const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Time within which a draining server gets no new flows any more, as the users ask.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time by which an instance may lag behind itself: a packet may wait that long on its way.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// Longest time for which an open flow is held, as the users ask.
pub const FLOW_AGE: Duration = Duration::from_secs(60);
/// Memory that an instance may take: that of the users' smallest machines, in kilobytes.
const MOST_MEMORY_KB: u64 = 69_000;
/// Descriptors that an instance may hold: those of the users' smallest machines, without the
/// ones that are set aside for files.
const MOST_DESCRIPTORS: usize = 2_670;

/// A promise that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    /// When that was seen.
    pub at: Duration,
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
    /// The flow's caller, whose address and port the instances log.
    pub caller: Option<SocketAddrV4>,
}

/// An opening packet that a server took.
#[derive(Debug, Clone)]
pub struct Opening<'a> {
    /// The flow.
    pub ends: Ends,
    /// When the caller first sent it.
    pub sent: Duration,
    /// Service of the server.
    pub service: &'a str,
    /// When the store took the word that the server drains.
    pub drains: Option<Duration>,
    /// The instance that forwarded it, and the number of its start.
    pub instance: (usize, u32),
    /// Whether the instance was free of faults for a time.
    pub in_touch: bool,
}

#[derive(Debug)]
struct Sent {
    version: Version,
    at: Duration,
    services: HashMap<SocketAddrV4, String>,
}

/// How often each promise was put to the test.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tested {
    /// Opening packets against the routes.
    pub openings: u64,
    /// Opening packets against changes that had to be in force.
    pub changes: u64,
    /// Opening packets against drains that had to be known.
    pub drains: u64,
    /// Sales that ran.
    pub sales: u64,
    /// Requests said not to have run.
    pub not_run: u64,
    /// Answers that were whole.
    pub answers: u64,
}

/// All that the checks remember.
#[derive(Debug, Default)]
pub struct Checks {
    /// What was broken.
    pub violations: Vec<Violation>,
    /// How much was tested.
    pub tested: Tested,
    sent: Vec<Sent>,
    issued: HashSet<RequestId>,
    /// Sales that ran, and the tries that ran.
    sales: HashSet<RequestId>,
    ran: HashSet<RequestId>,
    not_run: HashSet<RequestId>,
    /// For each start of an instance the oldest version that it may still go by, and when a
    /// server saw that.
    floors: HashMap<(usize, u32), (usize, Duration)>,
}

impl Checks {
    /// Notes routes that the store has taken.
    pub fn routes_sent(&mut self, now: Duration, routes: &RawRoutes) {
        let services = routes.routes.iter().filter_map(|route| {
            let service = route.services.first()?;
            Some((route.address, service.service.clone()))
        });
        let services = services.collect();
        self.sent.push(Sent { version: routes.version, at: now, services });
    }

    /// Tells whether the newest routes lead an address to a service.
    pub fn allows(&self, address: SocketAddrV4) -> bool {
        self.sent.last().is_some_and(|sent| sent.services.contains_key(&address))
    }

    /// Notes that a try was sent.
    pub fn issued(&mut self, id: RequestId) {
        self.issued.insert(id);
    }

    /// Checks an opening packet that a server took.
    pub fn opened(&mut self, now: Duration, opening: &Opening<'_>) {
        self.tested.openings += 1;
        let address = opening.ends.1;
        let fits = |sent: &Sent| {
            sent.services.get(&address).is_some_and(|service| service == opening.service)
        };
        let fitting: Vec<_> = (0..self.sent.len()).filter(|&i| fits(&self.sent[i])).collect();
        let Some(&newest) = fitting.last() else {
            let seen = format!("{} took a flow for {address}", opening.service);
            return self.broken(now, "no_configuration_allows_it", seen, opening.ends);
        };
        self.check_age(now, opening, newest);
        self.check_floor(now, opening, &fitting);
        if let Some(since) = opening.drains.filter(|_| opening.in_touch) {
            self.tested.drains += 1;
            if opening.sent > since + DRAIN_BOUND {
                let late = opening.sent - since;
                let seen = format!("a server that drains since {late:?} took a new flow");
                self.broken(now, "drain", seen, opening.ends);
            }
        }
    }

    /// The flow must not go by routes that were replaced too long ago.
    fn check_age(&mut self, now: Duration, opening: &Opening<'_>, newest: usize) {
        let Some(next) = self.sent.get(newest + 1).filter(|_| opening.in_touch) else { return };
        self.tested.changes += 1;
        if opening.sent > next.at + CHANGE_BOUND {
            let seen = format!(
                "instance {} goes by version {}, {:?} after version {}",
                opening.instance.0,
                self.sent[newest].version,
                opening.sent.saturating_sub(next.at),
                next.version,
            );
            self.broken(now, "configuration_in_force", seen, opening.ends);
        }
    }

    /// An instance must not go back to routes older than those that it went by before.
    fn check_floor(&mut self, now: Duration, opening: &Opening<'_>, fitting: &[usize]) {
        let floor = self.floors.get(&opening.instance).copied();
        let (least, since) = floor.unwrap_or((0, now));
        if let Some(&version) = fitting.iter().find(|&&i| i >= least) {
            if floor.is_none() || version > least {
                self.floors.insert(opening.instance, (version, now));
            }
        } else if opening.sent > since + REGRESSION_SLACK {
            let seen = format!(
                "instance {} went by version {} and now by an older one",
                opening.instance.0, self.sent[least].version,
            );
            self.broken(now, "configuration_regresses", seen, opening.ends);
        }
    }

    /// Checks a request that a server begins to work on.
    pub fn ran(&mut self, now: Duration, ends: Ends, id: RequestId, kind: RequestKind) {
        if !self.issued.contains(&id) {
            self.broken(now, "request_nobody_sent", format!("request {id:x}"), ends);
        }
        if self.not_run.contains(&id) {
            self.broken(now, "not_run_but_ran", format!("request {id:x}"), ends);
        }
        self.ran.insert(id);
        if !kind.is_repeatable() {
            self.tested.sales += 1;
            if !self.sales.insert(request_of(id)) {
                self.broken(now, "ran_twice", format!("sale {id:x}"), ends);
            }
        }
    }

    /// Checks a request that was said not to have run.
    pub fn said_not_run(&mut self, now: Duration, id: RequestId, caller: Option<SocketAddrV4>) {
        self.tested.not_run += 1;
        self.not_run.insert(id);
        if self.ran.contains(&id) {
            self.push(now, "not_run_but_ran", format!("request {id:x}"), caller);
        }
    }

    /// Checks what an instance takes of its machine.
    pub fn resources(&mut self, now: Duration, instance: usize, memory_kb: u64, files: usize) {
        if memory_kb > MOST_MEMORY_KB || files > MOST_DESCRIPTORS {
            let seen = format!("instance {instance}: {memory_kb} kB, {files} descriptors");
            self.push(now, "resources", seen, None);
        }
    }

    /// Notes a broken promise about a flow.
    pub fn broken(&mut self, now: Duration, promise: &'static str, seen: String, ends: Ends) {
        self.push(now, promise, seen, Some(ends.0));
    }

    /// Notes a broken promise.
    pub fn push(
        &mut self,
        at: Duration,
        promise: &'static str,
        seen: String,
        caller: Option<SocketAddrV4>,
    ) {
        log::error!(promise = promise, seen = seen.as_str(), caller = format!("{caller:?}").as_str(); "violation");
        self.violations.push(Violation { at, promise, seen, caller });
    }
}
