//! Where the service addresses lead, as the operators have written it.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::target::ServiceName;
use crate::hash::{HashMap, HashSet};
use crate::ids::Version;
use crate::settings::Findings;

/// A service with the share of new flows that it gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of new flows, relative to the others of the route.
    pub weight: u32,
}

/// A route as operators write it, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoute {
    /// Name of the route.
    pub name: String,
    /// Address and port that callers dial.
    pub address: SocketAddrV4,
    /// Services that share the new flows.
    pub services: Vec<WeightedService>,
}

/// The routes as operators write them, unchecked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoutes {
    /// Version of the whole.
    pub version: Version,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// Time after which an idle flow may be given up, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A route in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Services that share the new flows, none with weight 0.
    pub services: Arc<[WeightedService]>,
}

/// The routes in force. They are only ever replaced by those of a higher version.
#[derive(Debug, Default)]
pub struct RouteTable {
    raw: Option<RawRoutes>,
    by_address: HashMap<SocketAddrV4, Route>,
    /// Addresses that had a route once in the life of this process.
    dropped: HashSet<SocketAddrV4>,
}

impl RouteTable {
    /// Returns the version in force; 0 stands for none.
    pub fn version(&self) -> Version {
        self.raw.as_ref().map_or(0, |raw| raw.version)
    }

    /// Returns what the operators have written.
    pub fn raw(&self) -> Option<&RawRoutes> {
        self.raw.as_ref()
    }

    /// Returns the route of an address.
    pub fn at(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Tells whether an address had a route and has none any more.
    pub fn was_dropped(&self, address: SocketAddrV4) -> bool {
        self.dropped.contains(&address)
    }

    /// Returns the time after which an idle flow may be given up.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.raw.as_ref().map(|raw| Duration::from_millis(raw.idle_timeout_ms))
    }

    /// Puts routes in force if they are newer. Answers false if they are not.
    ///
    /// # Errors
    ///
    /// Returns all findings; what was in force stays.
    pub fn adopt(&mut self, raw: RawRoutes) -> Result<bool, Findings> {
        if raw.version <= self.version() {
            return Ok(false);
        }
        let by_address = check(&raw)?;
        let before = std::mem::replace(&mut self.by_address, by_address);
        self.dropped.extend(before.into_keys());
        self.dropped.retain(|address| !self.by_address.contains_key(address));
        self.raw = Some(raw);
        Ok(true)
    }
}

fn check(raw: &RawRoutes) -> Result<HashMap<SocketAddrV4, Route>, Findings> {
    let mut findings = Findings::default();
    let mut routes = HashMap::default();
    for (i, route) in raw.routes.iter().enumerate() {
        let services: Arc<[_]> =
            route.services.iter().filter(|service| service.weight > 0).cloned().collect();
        if services.is_empty() {
            findings.add(format!("routes[{i}].services"), "gives no service any flows");
        }
        let checked = Route { name: route.name.clone(), services };
        if routes.insert(route.address, checked).is_some() {
            let problem = format!("{} has another route already", route.address);
            findings.add(format!("routes[{i}].address"), problem);
        }
    }
    findings.finish(Some(routes))
}
