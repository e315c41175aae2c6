//! Routes from service addresses to services, as configured by operators.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::target::ServiceName;
use crate::hash::{HashMap, HashSet};
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

/// The active routes, replaced only by a higher version.
#[derive(Debug, Default)]
pub struct RouteTable {
    raw: Option<RawRoutes>,
    by_address: HashMap<SocketAddrV4, Route>,
    /// Addresses that had a route earlier in this process and have none now.
    removed: HashSet<SocketAddrV4>,
}

impl RouteTable {
    /// Returns the active version, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.raw.as_ref().map_or(0, |raw| raw.version)
    }

    /// Returns the active routes as they were configured.
    pub fn raw(&self) -> Option<&RawRoutes> {
        self.raw.as_ref()
    }

    /// Returns the route of a service address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Returns whether an address had a route that has been removed.
    pub fn was_removed(&self, address: SocketAddrV4) -> bool {
        self.removed.contains(&address)
    }

    /// Returns the time without packets after which a flow is removed.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.raw.as_ref().map(|raw| Duration::from_millis(raw.idle_timeout_ms))
    }

    /// Activates routes if they are newer than the active ones. Returns whether they are.
    ///
    /// # Errors
    ///
    /// Returns all findings if the routes are invalid; the active routes remain.
    pub fn adopt(&mut self, raw: RawRoutes) -> Result<bool, Findings> {
        if raw.version <= self.version() {
            return Ok(false);
        }
        let by_address = validate(&raw)?;
        let previous = std::mem::replace(&mut self.by_address, by_address);
        self.removed.extend(previous.into_keys());
        self.removed.retain(|address| !self.by_address.contains_key(address));
        self.raw = Some(raw);
        Ok(true)
    }
}

fn validate(raw: &RawRoutes) -> Result<HashMap<SocketAddrV4, Route>, Findings> {
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
