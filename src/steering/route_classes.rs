//! Routes whose targets serve requests of several priorities, and the load of their services as far
//! as admission needs it.
//!
//! The load is sampled with each tick, so that an opening below the limits costs two lookups. Other
//! routes are not tracked.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::policy::admission::{
    FullPeers, LoadMeter, OpeningClass, RefusedCallers, ReleaseRates, ServiceLoad, URGENT_IN_A_ROW,
};
use super::routes::RouteEntry;
use super::target::ServiceName;
use super::{FlowTable, Forwarder, Priority, RawRoutes, RouteTable, TargetDirectory};
use crate::hash::{HashMap, stable_bytes};
use crate::ids::{InstanceId, Version};

/// Maximum age of the sums over targets: drained ones and those that have left count no more.
const SLOTS_AGE: Duration = Duration::from_secs(1);
/// Maximum number of services in a report; each takes at most 5 bytes.
const MAX_REPORTED: usize = 6;

/// A route with a priority that not all routes to its targets have.
#[derive(Debug, Clone)]
pub(super) struct RouteClass {
    /// Priority of its requests.
    pub priority: Priority,
    urgent: bool,
    latency_target: Duration,
    timeout: Option<Duration>,
    /// Indices of its services.
    services: Vec<usize>,
}

impl RouteClass {
    /// Returns the class of an opening.
    pub(super) fn opening(&self, first_attempt: Duration) -> OpeningClass {
        let Self { urgent, latency_target, timeout, .. } = *self;
        OpeningClass { urgent, latency_target, timeout, first_attempt }
    }
}

/// Load of a service of such routes.
#[derive(Debug)]
struct TrackedService {
    name: ServiceName,
    fingerprint: u32,
    slots: u32,
    meter: LoadMeter,
    /// Urgent openings admitted in a row while others are held.
    urgent_in_a_row: u32,
}

/// A service that has become full, or is full no more.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct OverloadChange {
    /// Name of the service.
    pub service: ServiceName,
    /// Whether it is full now.
    pub full: bool,
    /// Average of the requests in flight per slot.
    pub in_flight_per_slot: f64,
}

/// The routes with classes and the load of their services.
#[derive(Debug, Default)]
pub(super) struct RouteClasses {
    version: Version,
    change_count: u64,
    slots_counted: Duration,
    instances: usize,
    local_peers: usize,
    by_address: HashMap<SocketAddrV4, RouteClass>,
    services: Vec<TrackedService>,
    changes: Vec<OverloadChange>,
    full_peers: FullPeers,
    /// Rates of release while services are full.
    pub rates: ReleaseRates,
    /// Callers that were refused lately.
    pub refused: RefusedCallers,
    /// When an opening that is not urgent was last admitted because there was room, or a service
    /// became full.
    pub other_admitted: Option<Duration>,
}

impl RouteClasses {
    /// Returns the class of a route, if its targets serve requests of other priorities too.
    pub(super) fn get(&self, service: SocketAddrV4) -> Option<&RouteClass> {
        self.by_address.get(&service)
    }

    /// Returns the load of the least busy service of a route. Requests in flight are counted only if
    /// all its services are full, or if `counted` is set.
    fn load(&self, class: &RouteClass, counted: bool, own: &OwnLoads<'_>) -> ServiceLoad {
        let services = || class.services.iter().map(|&i| &self.services[i]);
        let Some(idle) = services().find(|service| !service.meter.is_full()) else {
            return self.least(services(), own);
        };
        if counted {
            return self.least(services().filter(|service| !service.meter.is_full()), own);
        }
        ServiceLoad { slots: idle.slots, instances: self.instances, ..ServiceLoad::default() }
    }

    fn least<'a>(
        &self,
        services: impl Iterator<Item = &'a TrackedService>,
        own: &OwnLoads<'_>,
    ) -> ServiceLoad {
        let loads = services.map(|service| ServiceLoad {
            in_flight: own.in_flight(&service.name),
            slots: service.slots,
            instances: self.instances,
            full: service.meter.is_full(),
        });
        loads.min_by(|a, b| a.per_slot().total_cmp(&b.per_slot())).unwrap_or_default()
    }

    /// Returns whether openings of a route may be refused: all its services have been full for a
    /// time, and peers agree.
    pub(super) fn allows_refusal(&self, now: Duration, class: &RouteClass) -> bool {
        class.services.iter().map(|&i| &self.services[i]).all(|service| {
            let agree = self.full_peers.agree(now, service.fingerprint, self.local_peers);
            service.meter.is_settled(now) && agree
        })
    }

    /// Returns the number of peers that have reported lately that they are full at the services of a
    /// route: the lowest for any of them.
    pub(super) fn full_peers(&self, now: Duration, class: &RouteClass) -> usize {
        let services = class.services.iter().map(|&i| self.services[i].fingerprint);
        services.map(|service| self.full_peers.count(now, service)).min().unwrap_or_default()
    }

    /// Records an urgent opening that is admitted while others are held. Returns whether it is the
    /// turn of one of these.
    pub(super) fn count_urgent(&mut self, service: SocketAddrV4) -> bool {
        let Some(class) = self.by_address.get(&service) else { return false };
        let mut turn = false;
        for &i in &class.services {
            let count = &mut self.services[i].urgent_in_a_row;
            *count += 1;
            if *count >= URGENT_IN_A_ROW {
                *count = 0;
                turn = true;
            }
        }
        turn
    }

    /// Returns whether two routes share targets.
    pub(super) fn share_targets(&self, a: SocketAddrV4, b: SocketAddrV4) -> bool {
        let (Some(a), Some(b)) = (self.get(a), self.get(b)) else { return false };
        a.services.iter().any(|service| b.services.contains(service))
    }

    /// Records the report of a local peer that it is full.
    pub(super) fn record_report(&mut self, now: Duration, from: InstanceId, services: &[u32]) {
        for &service in services.iter().take(MAX_REPORTED) {
            // Bounds the memory that a peer can take.
            if self.services.iter().any(|tracked| tracked.fingerprint == service) {
                self.full_peers.record(now, service, from);
            }
        }
    }

    /// Returns the fingerprints of the services that are full.
    pub(super) fn full_services(&self) -> Vec<u32> {
        let full = self.services.iter().filter(|service| service.meter.is_full());
        full.map(|service| service.fingerprint).take(MAX_REPORTED).collect()
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<OverloadChange> {
        std::mem::take(&mut self.changes)
    }

    /// Samples the load; to be called about ten times per second. `instances` are the numbers of
    /// instances in the local and in all failure domains.
    pub(super) fn sample(
        &mut self,
        now: Duration,
        instances: (usize, usize),
        routes: &RouteTable,
        targets: &TargetDirectory,
        flows: &mut FlowTable,
    ) {
        let response_times = flows.take_response_times();
        if routes.version() != self.version {
            self.version = routes.version();
            self.set_routes(routes);
            self.slots_counted = Duration::ZERO;
        }
        if self.services.is_empty() {
            return;
        }
        (self.local_peers, self.instances) = (instances.0.saturating_sub(1), instances.1);
        let changed = targets.change_count() != self.change_count;
        if changed || now >= self.slots_counted + SLOTS_AGE {
            (self.change_count, self.slots_counted) = (targets.change_count(), now);
            for service in &mut self.services {
                let eligible = || targets.eligible(now, &service.name).map(|(target, _)| target);
                service.slots = eligible().map(|target| target.slots).sum();
                let mut domains: Vec<_> =
                    eligible().map(|target| target.failure_domain.as_str()).collect();
                domains.sort_unstable();
                domains.dedup();
                service.meter.set_domains(domains.into_iter());
            }
        }
        for (incarnation, waited) in response_times {
            let Some(target) = targets.get(incarnation) else { continue };
            let service = self.services.iter_mut().find(|service| service.name == target.service);
            if let Some(service) = service {
                service.meter.record_response(&target.failure_domain, waited);
            }
        }
        let own = OwnLoads { targets, flows };
        for service in &mut self.services {
            let load = ServiceLoad {
                in_flight: own.in_flight(&service.name),
                slots: service.slots,
                instances: self.instances,
                full: false,
            };
            if service.meter.sample(now, load) {
                // Nothing is known yet about what is admitted in overload.
                self.other_admitted = Some(now);
                self.changes.push(OverloadChange {
                    service: service.name.clone(),
                    full: service.meter.is_full(),
                    in_flight_per_slot: service.meter.average(),
                });
            }
        }
        if self.services.iter().all(|service| !service.meter.is_full()) {
            self.rates.clear();
        }
    }

    /// Finds the routes whose targets serve requests of several priorities. Services that stay keep
    /// their averages.
    fn set_routes(&mut self, routes: &RouteTable) {
        let entries: Vec<_> = routes.raw().into_iter().flat_map(RawRoutes::entries).collect();
        let mut priorities: HashMap<&str, (Priority, Priority)> = HashMap::default();
        for entry in &entries {
            let priority = entry.class.priority;
            for service in used_services(entry) {
                let (min, max) = priorities.entry(service).or_insert((priority, priority));
                (*min, *max) = ((*min).min(priority), (*max).max(priority));
            }
        }
        let mut before = std::mem::take(&mut self.services);
        self.by_address.clear();
        for entry in &entries {
            let own = entry.class.priority;
            let Some(route) = routes.get(entry.route.address) else { continue };
            let Some(latency_target) = route.latency_target else { continue };
            let shared = used_services(entry).map(|service| priorities[service]);
            let (min, max) = shared.fold((own, own), |a, b| (a.0.min(b.0), a.1.max(b.1)));
            if min == max {
                continue;
            }
            let services = used_services(entry).map(|name| self.track(name, &mut before));
            let class = RouteClass {
                priority: own,
                urgent: own == min,
                latency_target,
                timeout: route.timeout,
                services: services.collect(),
            };
            self.by_address.insert(entry.route.address, class);
        }
    }

    /// Returns the index of a service.
    fn track(&mut self, name: &str, before: &mut Vec<TrackedService>) -> usize {
        let known = self.services.iter().position(|service| service.name == name);
        known.unwrap_or_else(|| {
            let at = before.iter().position(|service| service.name == name);
            let new = || TrackedService {
                name: name.to_owned(),
                fingerprint: stable_bytes(name.as_bytes()) as u32,
                slots: 0,
                meter: LoadMeter::default(),
                urgent_in_a_row: 0,
            };
            self.services.push(at.map_or_else(new, |at| before.swap_remove(at)));
            self.services.len() - 1
        })
    }
}

fn used_services<'a>(entry: &RouteEntry<'a>) -> impl Iterator<Item = &'a str> + use<'a> {
    let used = entry.route.services.iter().filter(|service| service.weight > 0);
    used.map(|service| service.service.as_str())
}

/// The flows through this instance, by the services of their targets.
#[derive(Debug, Clone, Copy)]
struct OwnLoads<'a> {
    targets: &'a TargetDirectory,
    flows: &'a FlowTable,
}

impl OwnLoads<'_> {
    /// Counts the requests in flight at a service. Scans the targets of the flows through this
    /// instance only. Overdue responses do not count: their targets may be stuck.
    fn in_flight(&self, service: &str) -> u32 {
        let loads = self.flows.loads().filter(|(_, load)| load.waiting > load.overdue);
        let of_service = loads.filter(|&(incarnation, _)| {
            self.targets.get(incarnation).is_some_and(|target| target.service == service)
        });
        of_service.map(|(_, load)| load.waiting - load.overdue).sum()
    }
}

impl Forwarder {
    /// Returns the load of a route with classes. Requests in flight are counted if all its services
    /// are full, or if `counted` is set.
    pub(super) fn class_load(&self, service: SocketAddrV4, counted: bool) -> Option<ServiceLoad> {
        let own = OwnLoads { targets: &self.targets, flows: &self.flows };
        Some(self.classes.load(self.classes.get(service)?, counted, &own))
    }
}
