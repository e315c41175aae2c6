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
    /// or no entry if there is none. The last field, as earlier releases do not send it.
    #[serde(default)]
    pub latency_targets_ms: Vec<u64>,
}

/// The routes as releases without latency targets encode them.
#[derive(Debug, Deserialize)]
struct EarlierRoutes {
    version: Version,
    routes: Vec<RawRoute>,
    idle_timeout_ms: u64,
}

impl From<EarlierRoutes> for RawRoutes {
    fn from(EarlierRoutes { version, routes, idle_timeout_ms }: EarlierRoutes) -> Self {
        Self { version, routes, idle_timeout_ms, latency_targets_ms: Vec::new() }
    }
}

impl RawRoutes {
    /// Decodes routes that a peer has sent, which may run an earlier release.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not routes.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
            .or_else(|e| postcard::from_bytes(bytes).map(EarlierRoutes::into).map_err(|_| e))
    }

    /// Returns each route with its latency target in milliseconds, 0 if there is none.
    pub(super) fn with_latency_targets(&self) -> impl Iterator<Item = (&RawRoute, u64)> {
        let latency_targets = self.latency_targets_ms.iter().copied().chain(std::iter::repeat(0));
        self.routes.iter().zip(latency_targets)
    }

    /// Orders the routes by their addresses, so that equal routes have equal fingerprints.
    fn sort(&mut self) {
        let mut routes: Vec<_> =
            self.with_latency_targets().map(|(route, ms)| (route.clone(), ms)).collect();
        routes.sort_by_key(|(route, _)| route.address);
        (self.routes, self.latency_targets_ms) = routes.into_iter().unzip();
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

    /// Returns whether an address had a route that has been removed.
    pub fn was_removed(&self, address: SocketAddrV4) -> bool {
        self.removed.contains_key(&address)
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
        let changed = raw
            .with_latency_targets()
            .filter(|(route, _)| is_newer(&route.address, &self.changed))
            .map(|(route, latency_target_ms)| ChangedRoute {
                route: route.clone(),
                latency_target_ms,
            })
            .collect();
        let removed = self.removed.keys().copied();
        Some(RouteChange {
            since,
            version: raw.version,
            idle_timeout_ms: raw.idle_timeout_ms,
            removed: removed.filter(|address| is_newer(address, &self.removed)).collect(),
            changed,
            fingerprint: fingerprint(raw),
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
            active.with_latency_targets().map(|(route, ms)| (route.address, (route, ms))).collect();
        for (route, latency_target_ms) in raw.with_latency_targets() {
            if before.get(&route.address) != Some(&(route, latency_target_ms)) {
                self.changed.insert(route.address, raw.version);
            }
        }
    }
}

fn validate(raw: &RawRoutes) -> Result<RoutesByAddress, Findings> {
    let mut findings = Findings::default();
    let mut routes = HashMap::default();
    for (i, route) in raw.routes.iter().enumerate() {
        let services: Arc<[_]> =
            route.services.iter().filter(|service| service.weight > 0).cloned().collect();
        if services.is_empty() {
            findings.add(format!("routes[{i}].services"), "no service has a weight above 0");
        }
        let latency_target = raw.latency_targets_ms.get(i).copied().filter(|&ms| ms > 0);
        let latency_target = latency_target.map(Duration::from_millis);
        let validated = Route { name: route.name.clone(), services, latency_target };
        if routes.insert(route.address, validated).is_some() {
            let problem = format!("{} is already used by another route", route.address);
            findings.add(format!("routes[{i}].address"), problem);
        }
    }
    findings.into_result(Some(routes))
}
