//! Routes from service addresses to services, as configured by operators.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route_change::{ChangeError, ChangedRoute, RouteChange, fingerprint};
use super::target::ServiceName;
use crate::hash::HashMap;
use crate::ids::Version;
use crate::settings::Findings;

/// A service with its weight within a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of new flows, relative to the other services of the route; 0 gets none.
    pub weight: u32,
}

/// Priority of the requests of a route; 0 is the most urgent.
pub type Priority = u8;

/// What the requests of a route need, apart from their latency target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Time after which callers give up, in milliseconds; 0 if it is not known.
    pub timeout_ms: u64,
    /// Priority of the requests.
    pub priority: Priority,
    /// Whether a request that may have run can be sent again.
    pub repeatable: bool,
}

/// A service whose targets accept only a limited rate of new flows while they are cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWarmUp {
    /// Name of the service.
    pub service: ServiceName,
    /// Time after its start for which a target is cold, in milliseconds.
    pub duration_ms: u64,
    /// New flows that a cold target accepts in 1,000 seconds.
    pub flows_per_1000_s: u64,
}

/// Limit on the new flows to a cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time after its start for which a target is cold.
    pub duration: Duration,
    /// New flows per second that a cold target accepts, from all instances together.
    pub flows_per_s: f64,
}

/// A configured route, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoute {
    /// Name of the route.
    pub name: String,
    /// Service address that callers connect to.
    pub address: SocketAddrV4,
    /// Services that share the new flows.
    pub services: Vec<WeightedService>,
}

/// The configured routes, not yet validated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoutes {
    /// Version of the configuration; higher is newer.
    pub version: Version,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// Time without packets after which a flow is removed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time within which callers expect a response, in milliseconds, for each route in order; 0
    /// or no entry if there is none. Earlier releases do not send this field and those below.
    #[serde(default)]
    pub latency_targets_ms: Vec<u64>,
    /// What the requests of each route need, in order.
    #[serde(default)]
    pub classes: Vec<RequestClass>,
    /// Services whose cold targets accept only a limited rate of new flows.
    #[serde(default)]
    pub warm_ups: Vec<ServiceWarmUp>,
}

/// The routes as releases without request classes encode them.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct UnclassifiedRoutes {
    version: Version,
    routes: Vec<RawRoute>,
    idle_timeout_ms: u64,
    latency_targets_ms: Vec<u64>,
}

/// The routes as releases without latency targets encode them.
#[derive(Debug, Deserialize)]
struct EarlierRoutes {
    version: Version,
    routes: Vec<RawRoute>,
    idle_timeout_ms: u64,
}

impl From<UnclassifiedRoutes> for RawRoutes {
    fn from(earlier: UnclassifiedRoutes) -> Self {
        Self {
            version: earlier.version,
            routes: earlier.routes,
            idle_timeout_ms: earlier.idle_timeout_ms,
            latency_targets_ms: earlier.latency_targets_ms,
            ..Self::default()
        }
    }
}

impl From<EarlierRoutes> for RawRoutes {
    fn from(EarlierRoutes { version, routes, idle_timeout_ms }: EarlierRoutes) -> Self {
        Self { version, routes, idle_timeout_ms, ..Self::default() }
    }
}

/// A route with what is configured for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RouteEntry<'a> {
    /// The route.
    pub route: &'a RawRoute,
    /// Time within which callers expect a response, in milliseconds; 0 if there is none.
    pub latency_target_ms: u64,
    /// What the requests need.
    pub class: RequestClass,
}

impl RawRoutes {
    /// Decodes routes that a peer has sent, which may run an earlier release.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not routes.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
            .or_else(|e| postcard::from_bytes(bytes).map(UnclassifiedRoutes::into).map_err(|_| e))
            .or_else(|e| postcard::from_bytes(bytes).map(EarlierRoutes::into).map_err(|_| e))
    }

    /// Returns each route with what is configured for its requests.
    pub(super) fn entries(&self) -> impl Iterator<Item = RouteEntry<'_>> {
        let latency_targets = self.latency_targets_ms.iter().copied().chain(std::iter::repeat(0));
        let classes =
            self.classes.iter().copied().chain(std::iter::repeat(RequestClass::default()));
        self.routes.iter().zip(latency_targets).zip(classes).map(
            |((route, latency_target_ms), class)| RouteEntry { route, latency_target_ms, class },
        )
    }

    /// Replaces the routes and what is configured for their requests.
    pub(super) fn set_entries<'a>(&mut self, entries: impl Iterator<Item = RouteEntry<'a>>) {
        (self.routes, self.latency_targets_ms, self.classes) = entries
            .map(|entry| (entry.route.clone(), entry.latency_target_ms, entry.class))
            .collect();
    }

    /// Returns the routes as releases without request classes encode them.
    pub(super) fn unclassified(&self) -> UnclassifiedRoutes {
        UnclassifiedRoutes {
            version: self.version,
            routes: self.routes.clone(),
            idle_timeout_ms: self.idle_timeout_ms,
            latency_targets_ms: self.latency_targets_ms.clone(),
        }
    }

    /// Orders the routes by their addresses, so that equal routes have equal fingerprints.
    fn sort(&mut self) {
        let unsorted = self.clone();
        let mut entries: Vec<_> = unsorted.entries().collect();
        entries.sort_by_key(|entry| entry.route.address);
        self.set_entries(entries.into_iter());
    }
}

/// A validated route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Services that share the new flows; all weights are above 0.
    pub services: Arc<[WeightedService]>,
    /// Time within which callers expect a response, if the operators have set one.
    pub latency_target: Option<Duration>,
    /// Time after which callers give up, if the operators have set one.
    pub timeout: Option<Duration>,
    /// Priority of the requests.
    pub priority: Priority,
    /// Whether a request that may have run can be sent again.
    pub repeatable: bool,
}

type RoutesByAddress = HashMap<SocketAddrV4, Route>;

/// The active routes, replaced only by a higher version.
///
/// Until the first complete ones are known, those that have already arrived are used.
#[derive(Debug, Default)]
pub struct RouteTable {
    raw: Option<RawRoutes>,
    by_address: RoutesByAddress,
    /// Version of routes that are still arriving, before any complete ones; 0 if there are none.
    partial: Version,
    /// First complete version in this process.
    first: Version,
    /// The highest version that a peer has.
    announced: Version,
    /// Versions at which routes were added or changed in this process.
    changed: HashMap<SocketAddrV4, Version>,
    /// Addresses that had a route earlier in this process and have none now, with the version at
    /// which it was removed.
    removed: HashMap<SocketAddrV4, Version>,
}

impl RouteTable {
    /// Returns the active version, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.raw.as_ref().map_or(0, |raw| raw.version)
    }

    /// Returns the active routes, in the order of their addresses.
    pub fn raw(&self) -> Option<&RawRoutes> {
        self.raw.as_ref()
    }

    /// Returns the route of a service address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Returns whether the route of an address is known, or that there is none.
    pub fn is_known(&self, address: SocketAddrV4) -> bool {
        self.raw.is_some() || self.by_address.contains_key(&address)
    }

    /// Records that a peer has routes of a version.
    pub fn note_announced(&mut self, version: Version) {
        self.announced = self.announced.max(version);
    }

    /// Returns whether a peer has newer routes.
    pub fn is_behind(&self) -> bool {
        self.announced > self.version()
    }

    /// Returns whether an address had a route that has been removed.
    pub fn was_removed(&self, address: SocketAddrV4) -> bool {
        self.removed.contains_key(&address)
    }

    /// Returns whether complete routes have been received, and with them the limits of all services.
    pub fn is_complete(&self) -> bool {
        self.raw.is_some()
    }

    /// Returns the limit on new flows to cold targets of a service, if there is one. A limit of 0,
    /// which an earlier release may send, is none.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        let warm_ups = self.raw.as_ref().map(|raw| raw.warm_ups.as_slice()).unwrap_or_default();
        let mut limited = warm_ups.iter().filter(|warm_up| warm_up.flows_per_1000_s > 0);
        let warm_up = limited.find(|warm_up| warm_up.service == service)?;
        Some(WarmUp {
            duration: Duration::from_millis(warm_up.duration_ms),
            flows_per_s: warm_up.flows_per_1000_s as f64 / 1_000.0,
        })
    }

    /// Returns the time without packets after which a flow is removed.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.raw.as_ref().map(|raw| Duration::from_millis(raw.idle_timeout_ms))
    }

    /// Uses the routes of a version that is still arriving, unless there are complete ones. Returns
    /// whether there is a new one among them.
    ///
    /// # Errors
    ///
    /// Returns all findings if the routes are invalid; none of them is used.
    pub fn adopt_partial(&mut self, raw: &RawRoutes) -> Result<bool, Findings> {
        if self.raw.is_some() || raw.version < self.partial {
            return Ok(false);
        }
        let by_address = validate(raw)?;
        let has_new = by_address.keys().any(|address| !self.by_address.contains_key(address));
        if raw.version > self.partial {
            self.removed.extend(self.by_address.keys().map(|&address| (address, raw.version)));
            self.by_address.clear();
        }
        self.by_address.extend(by_address);
        self.removed.retain(|address, _| !self.by_address.contains_key(address));
        self.partial = raw.version;
        Ok(has_new)
    }

    /// Activates routes if they are newer than the active ones, and not older than those that are
    /// arriving. Returns whether they are.
    ///
    /// # Errors
    ///
    /// Returns all findings if the routes are invalid; the active routes remain.
    pub fn adopt(&mut self, mut raw: RawRoutes) -> Result<bool, Findings> {
        if raw.version <= self.version() || raw.version < self.partial {
            return Ok(false);
        }
        let by_address = validate(&raw)?;
        raw.sort();
        self.record_changes(&raw);
        let previous = std::mem::replace(&mut self.by_address, by_address);
        self.removed.extend(previous.into_keys().map(|address| (address, raw.version)));
        self.removed.retain(|address, _| !self.by_address.contains_key(address));
        self.changed.retain(|address, _| self.by_address.contains_key(address));
        self.raw = Some(raw);
        self.partial = 0;
        Ok(true)
    }

    /// Returns what has changed after a version, or `None` if that is not known.
    pub fn change_since(&self, since: Version) -> Option<RouteChange> {
        let raw = self.raw.as_ref().filter(|raw| self.first <= since && since < raw.version)?;
        let is_newer = |address: &SocketAddrV4, versions: &HashMap<_, Version>| {
            versions.get(address).is_some_and(|&version| version > since)
        };
        let newer = raw.entries().filter(|entry| is_newer(&entry.route.address, &self.changed));
        let (changed, classes) = newer
            .map(|RouteEntry { route, latency_target_ms, class }| {
                (ChangedRoute { route: route.clone(), latency_target_ms }, class)
            })
            .unzip();
        let removed = self.removed.keys().copied();
        Some(RouteChange {
            since,
            version: raw.version,
            idle_timeout_ms: raw.idle_timeout_ms,
            removed: removed.filter(|address| is_newer(address, &self.removed)).collect(),
            changed,
            fingerprint: fingerprint(raw),
            classes,
            warm_ups: raw.warm_ups.clone(),
        })
    }

    /// Applies a change to the active routes. Returns the new routes if they are newer.
    ///
    /// # Errors
    ///
    /// Fails if the change does not fit the active routes.
    pub fn apply_change(&self, change: &RouteChange) -> Result<Option<RawRoutes>, ChangeError> {
        if change.version <= self.version() {
            return Ok(None);
        }
        let raw = self.raw.as_ref().ok_or(ChangeError::Gap)?;
        change.apply(raw).map(Some)
    }

    /// Records the version of each route that differs from the active one.
    fn record_changes(&mut self, raw: &RawRoutes) {
        let Some(active) = &self.raw else {
            self.first = raw.version;
            return;
        };
        let before: HashMap<_, _> =
            active.entries().map(|entry| (entry.route.address, entry)).collect();
        for entry in raw.entries() {
            if before.get(&entry.route.address) != Some(&entry) {
                self.changed.insert(entry.route.address, raw.version);
            }
        }
    }
}

fn validate(raw: &RawRoutes) -> Result<RoutesByAddress, Findings> {
    let mut findings = Findings::default();
    let mut routes = HashMap::default();
    let milliseconds = |ms: u64| (ms > 0).then(|| Duration::from_millis(ms));
    for (i, RouteEntry { route, latency_target_ms, class }) in raw.entries().enumerate() {
        let services: Arc<[_]> =
            route.services.iter().filter(|service| service.weight > 0).cloned().collect();
        if services.is_empty() {
            findings.add(format!("routes[{i}].services"), "no service has a weight above 0");
        }
        let validated = Route {
            name: route.name.clone(),
            services,
            latency_target: milliseconds(latency_target_ms),
            timeout: milliseconds(class.timeout_ms),
            priority: class.priority,
            repeatable: class.repeatable,
        };
        if routes.insert(route.address, validated).is_some() {
            let problem = format!("{} is already used by another route", route.address);
            findings.add(format!("routes[{i}].address"), problem);
        }
    }
    findings.into_result(Some(routes))
}
