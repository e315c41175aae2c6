//! Differences between two versions of the routes, by which instances pass on a new version.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::routes::RouteEntry;
use super::{RawRoute, RawRoutes, RequestClass, ServiceWarmUp};
use crate::hash::stable_bytes;
use crate::ids::Version;

/// A route that was added or changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRoute {
    /// The route as it is now.
    pub route: RawRoute,
    /// Time within which its callers expect a response, in milliseconds; 0 if there is none.
    pub latency_target_ms: u64,
}

/// All changes of the routes between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChange {
    /// Version after which the changes start; they can be applied to any version from here on.
    pub since: Version,
    /// Version that they lead to.
    pub version: Version,
    /// Time without packets after which a flow is removed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Addresses that have no route any more.
    pub removed: Vec<SocketAddrV4>,
    /// Routes that were added or changed.
    pub changed: Vec<ChangedRoute>,
    /// Fingerprint of all routes of the new version.
    pub fingerprint: u64,
    /// What the requests of the changed routes need, in order. Earlier releases do not send this
    /// field and the one below; they cannot be read then, and the routes come from the platform.
    pub classes: Vec<RequestClass>,
    /// All services whose cold targets accept only a limited rate of new flows.
    pub warm_ups: Vec<ServiceWarmUp>,
}

/// Reason why a change cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// The routes are older than the start of the changes.
    #[display("the routes are older than the change")]
    Gap,
    /// The result is not what the sender has.
    #[display("the changed routes differ from the sender's")]
    Mismatch,
}

impl RouteChange {
    /// Returns the routes that the change leads to.
    ///
    /// # Errors
    ///
    /// Fails if the change does not fit the given routes, which then have to be fetched whole.
    pub fn apply(&self, routes: &RawRoutes) -> Result<RawRoutes, ChangeError> {
        if routes.version < self.since {
            return Err(ChangeError::Gap);
        }
        let mut by_address: BTreeMap<_, _> =
            routes.entries().map(|entry| (entry.route.address, entry)).collect();
        for address in &self.removed {
            by_address.remove(address);
        }
        for (ChangedRoute { route, latency_target_ms }, &class) in
            self.changed.iter().zip(&self.classes)
        {
            let entry = RouteEntry { route, latency_target_ms: *latency_target_ms, class };
            by_address.insert(route.address, entry);
        }
        let mut changed = RawRoutes {
            version: self.version,
            idle_timeout_ms: self.idle_timeout_ms,
            warm_ups: self.warm_ups.clone(),
            ..RawRoutes::default()
        };
        changed.set_entries(by_address.into_values());
        if fingerprint(&changed) != self.fingerprint {
            return Err(ChangeError::Mismatch);
        }
        Ok(changed)
    }
}

/// Returns the fingerprint of routes that are in the order of their addresses. It leaves out what
/// earlier releases do not know, so that they compute the same one.
pub(super) fn fingerprint(routes: &RawRoutes) -> u64 {
    // Cannot fail: serialization to memory supports every type of the routes.
    stable_bytes(&postcard::to_stdvec(&routes.unclassified()).unwrap_or_default())
}
