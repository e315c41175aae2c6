//! Checks of the promises, from what callers and servers observe.

use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::hash::{HashMap, HashSet};
use limpetdeck::ids::Version;
use limpetdeck::steering::RawRoutes;

use crate::emulator::caller::request_number;
use crate::emulator::protocol::{RequestId, RequestKind};
use crate::emulator::server::FlowKey;

/// Required upper bound of the time until a change of routes is in force.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Required upper bound of the time for which a draining server still gets new flows.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Tolerance for version regressions: a packet may be in transit for this long.
const REGRESSION_TOLERANCE: Duration = Duration::from_millis(250);
/// Time for which instances have to keep an open flow.
pub const REQUIRED_FLOW_LIFETIME: Duration = Duration::from_secs(60);
/// Required limit of an instance's resident memory, set by the smallest machines in use.
const MAX_MEMORY_KB: u64 = 69_000;
/// Required limit of an instance's open file descriptors: those of the smallest machines in use,
/// less those that are reserved for files.
const MAX_DESCRIPTORS: usize = 2_670;

/// A broken promise.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Time of the observation.
    pub at: Duration,
    /// Name of the promise.
    pub promise: &'static str,
    /// The observation, as text.
    pub seen: String,
    /// Address and port of the flow's caller, under which the instances log the flow.
    pub caller: Option<SocketAddrV4>,
}

/// An opening packet that a server accepted.
#[derive(Debug, Clone)]
pub struct Opening<'a> {
    /// Addresses of the flow.
    pub flow: FlowKey,
    /// Time at which the caller first sent it.
    pub sent: Duration,
    /// Service of the server.
    pub service: &'a str,
    /// Time at which the store accepted the server's draining state.
    pub draining_since: Option<Duration>,
    /// The instance that forwarded it, and how often that instance had been started.
    pub instance: (usize, u32),
    /// Whether the instance had been free of faults for the settling time.
    pub settled: bool,
    /// Whether the instance had been told to terminate.
    pub stopping: bool,
}

#[derive(Debug)]
struct WrittenRoutes {
    version: Version,
    at: Duration,
    services: HashMap<SocketAddrV4, String>,
}

/// Counters of checks and of checked events.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckCounts {
    /// Opening packets checked against the routes.
    pub openings: u64,
    /// Opening packets checked against changes that had to be in force.
    pub changes: u64,
    /// Opening packets checked against drains that had to be known.
    pub drains: u64,
    /// Opening packets from instances that stopped, checked against changes or drains.
    pub stops: u64,
    /// Opening packets from instances that had to obey an order to drain a failure domain.
    pub orders: u64,
    /// Sales that were executed.
    pub sales: u64,
    /// Requests that a server reported as not executed.
    pub not_executed: u64,
    /// Complete and correct responses.
    pub responses: u64,
}

/// State of all checks.
#[derive(Debug, Default)]
pub struct Checks {
    /// Violations so far.
    pub violations: Vec<Violation>,
    /// Counters so far.
    pub counts: CheckCounts,
    /// Routes that the store has accepted, oldest first.
    history: Vec<WrittenRoutes>,
    sent_requests: HashSet<RequestId>,
    /// Executed sales, by request without the attempt; the sets below are by attempt.
    executed_sales: HashSet<RequestId>,
    executed: HashSet<RequestId>,
    not_executed: HashSet<RequestId>,
    /// For each start of an instance, the index of the oldest routes that it may still use, and
    /// since when.
    min_versions: HashMap<(usize, u32), (usize, Duration)>,
}

impl Checks {
    /// Records routes that the store has accepted.
    pub fn record_routes(&mut self, now: Duration, routes: &RawRoutes) {
        let services = routes.routes.iter().filter_map(|route| {
            let service = route.services.first()?;
            Some((route.address, service.service.clone()))
        });
        let services = services.collect();
        self.history.push(WrittenRoutes { version: routes.version, at: now, services });
    }

    /// Returns whether the newest routes map the address to a service.
    pub fn is_routed(&self, address: SocketAddrV4) -> bool {
        self.history.last().is_some_and(|routes| routes.services.contains_key(&address))
    }

    /// Returns whether routes that were written after a time lack the address.
    pub fn was_dropped_since(&self, since: Duration, address: SocketAddrV4) -> bool {
        let lacks = |routes: &WrittenRoutes| !routes.services.contains_key(&address);
        self.history.iter().rev().take_while(|routes| routes.at >= since).any(lacks)
            || !self.is_routed(address)
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, id: RequestId) {
        self.sent_requests.insert(id);
    }

    /// Checks an opening packet that a server accepted.
    pub fn check_opening(&mut self, now: Duration, opening: &Opening<'_>) {
        self.counts.openings += 1;
        let address = opening.flow.1;
        let matches = |routes: &WrittenRoutes| {
            routes.services.get(&address).is_some_and(|service| service == opening.service)
        };
        let matching: Vec<_> =
            (0..self.history.len()).filter(|&i| matches(&self.history[i])).collect();
        let Some(&newest) = matching.last() else {
            let seen = format!("a server of {} accepted a flow to {address}", opening.service);
            return self.record_for_flow(now, "no_configuration_allows_it", seen, opening.flow);
        };
        self.counts.stops += u64::from(opening.stopping && opening.settled);
        self.check_change(now, opening, newest);
        self.check_regression(now, opening, &matching);
        if let Some(since) = opening.draining_since.filter(|_| opening.settled) {
            self.counts.drains += 1;
            if opening.sent > since + MAX_DRAIN_DELAY {
                let delay = opening.sent - since;
                let seen =
                    format!("a server accepted a new flow {delay:?} after it began to drain");
                self.record_for_flow(now, "drain", seen, opening.flow);
            }
        }
    }

    /// Checks that the flow does not follow routes that were replaced too long ago.
    fn check_change(&mut self, now: Duration, opening: &Opening<'_>, newest: usize) {
        let Some(next) = self.history.get(newest + 1).filter(|_| opening.settled) else { return };
        self.counts.changes += 1;
        if opening.sent > next.at + MAX_PROPAGATION_TIME {
            let seen = format!(
                "instance {} still uses version {}, {:?} after version {}",
                opening.instance.0,
                self.history[newest].version,
                opening.sent.saturating_sub(next.at),
                next.version,
            );
            self.record_for_flow(now, "configuration_in_force", seen, opening.flow);
        }
    }

    /// Checks that the instance does not return to routes older than those that it used before.
    fn check_regression(&mut self, now: Duration, opening: &Opening<'_>, matching: &[usize]) {
        let floor = self.min_versions.get(&opening.instance).copied();
        let (oldest, since) = floor.unwrap_or((0, now));
        if let Some(&version) = matching.iter().find(|&&i| i >= oldest) {
            if floor.is_none() || version > oldest {
                self.min_versions.insert(opening.instance, (version, now));
            }
        } else if opening.sent > since + REGRESSION_TOLERANCE {
            let seen = format!(
                "instance {} used version {}, and now uses an older one",
                opening.instance.0, self.history[oldest].version,
            );
            self.record_for_flow(now, "configuration_regresses", seen, opening.flow);
        }
    }

    /// Checks a request whose execution begins.
    pub fn check_start(&mut self, now: Duration, flow: FlowKey, id: RequestId, kind: RequestKind) {
        if !self.sent_requests.contains(&id) {
            self.record_for_flow(now, "request_nobody_sent", format!("request {id:x}"), flow);
        }
        if self.not_executed.contains(&id) {
            self.record_for_flow(now, "not_run_but_ran", format!("request {id:x}"), flow);
        }
        self.executed.insert(id);
        if !kind.is_repeatable() {
            self.counts.sales += 1;
            if !self.executed_sales.insert(request_number(id)) {
                self.record_for_flow(now, "ran_twice", format!("sale {id:x}"), flow);
            }
        }
    }

    /// Records and checks a request that a server reported as not executed.
    pub fn record_not_executed(
        &mut self,
        now: Duration,
        id: RequestId,
        caller: Option<SocketAddrV4>,
    ) {
        self.counts.not_executed += 1;
        self.not_executed.insert(id);
        if self.executed.contains(&id) {
            self.record(now, "not_run_but_ran", format!("request {id:x}"), caller);
        }
    }

    /// Checks the memory and the file descriptors of an instance against their limits.
    pub fn check_resources(
        &mut self,
        now: Duration,
        instance: usize,
        memory_kb: u64,
        descriptors: usize,
    ) {
        if memory_kb > MAX_MEMORY_KB || descriptors > MAX_DESCRIPTORS {
            let seen = format!("instance {instance}: {memory_kb} kB, {descriptors} descriptors");
            self.record(now, "resources", seen, None);
        }
    }

    /// Records and logs a violation that concerns a flow.
    pub fn record_for_flow(
        &mut self,
        now: Duration,
        promise: &'static str,
        seen: String,
        flow: FlowKey,
    ) {
        self.record(now, promise, seen, Some(flow.0));
    }

    /// Records and logs a violation.
    pub fn record(
        &mut self,
        at: Duration,
        promise: &'static str,
        seen: String,
        caller: Option<SocketAddrV4>,
    ) {
        log::error!(
            promise = promise, seen = seen.as_str(), caller = format!("{caller:?}").as_str();
            "violation"
        );
        self.violations.push(Violation { at, promise, seen, caller });
    }
}
