//! Validated services, with the look-ups that the packet pipeline needs.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{RawService, RawServices, RawTarget, ReportAddress};
use crate::hash::{HashMap, HashSet};
use crate::ids::{FailureDomain, ServiceId, TargetId};
use crate::settings::Findings;

/// Shortest allowed idle timeout of a service, in seconds.
const MIN_IDLE_TIMEOUT_S: u64 = 10;
/// Longest allowed idle timeout of a service, in seconds: one week.
const MAX_IDLE_TIMEOUT_S: u64 = 7 * 24 * 3_600;
/// Largest allowed weight of a target.
const MAX_WEIGHT: u32 = 10_000;

/// What the selection of a target for a new flow minimizes first: broken flows or imbalance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// A new flow goes to the target given by its hash, unless that target is busy.
    BrokenFlows,
    /// A new flow goes to the least loaded target.
    Imbalance,
}

impl TryFrom<&str> for Objective {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        match text {
            "broken-flows" => Ok(Self::BrokenFlows),
            "imbalance" => Ok(Self::Imbalance),
            _ => Err(format!("{text:?} is neither broken-flows nor imbalance")),
        }
    }
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Target ID, unique among all services.
    pub id: TargetId,
    /// Address and port that packets are forwarded to.
    pub address: SocketAddrV4,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Number of requests that the target processes concurrently; at least 1.
    pub slots: u32,
    /// Share of new flows relative to the service's other targets, from 1 to 10000.
    pub weight: u32,
    /// Whether the target is no longer in the services object, while flows may still be open on
    /// it.
    pub removed: bool,
    /// Address of the load report; `None` if the target is not probed.
    pub report: Option<ReportAddress>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Service ID, unique.
    pub id: ServiceId,
    /// Name for operators; allowances refer to it.
    pub name: String,
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
    /// Objective of the target selection for new flows.
    pub objective: Objective,
    /// Time without packets after which a flow ends.
    pub idle_timeout: Duration,
    /// Targets in the order of their IDs.
    pub targets: Vec<Target>,
}

/// All services, with look-ups by address.
#[derive(Debug, Clone, Default)]
pub struct Services {
    list: Vec<Service>,
    by_address: HashMap<SocketAddrV4, usize>,
    by_target_address: HashMap<SocketAddrV4, (usize, usize)>,
    by_target: HashMap<TargetId, (usize, usize)>,
}

impl Services {
    /// Returns all services in the order of their IDs.
    pub fn list(&self) -> &[Service] {
        &self.list
    }

    /// Returns the service with an address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&Service> {
        self.by_address.get(&address).map(|&i| &self.list[i])
    }

    /// Returns the target with an address, and its service.
    pub fn target_at(&self, address: SocketAddrV4) -> Option<(&Service, &Target)> {
        let &(service, target) = self.by_target_address.get(&address)?;
        Some((&self.list[service], &self.list[service].targets[target]))
    }

    /// Returns the target with an ID, and its service.
    pub fn target(&self, id: TargetId) -> Option<(&Service, &Target)> {
        let &(service, target) = self.by_target.get(&id)?;
        Some((&self.list[service], &self.list[service].targets[target]))
    }

    /// Returns these services together with the targets that only `older` has, which are marked
    /// as removed: their open flows continue, and they get no new ones.
    pub fn with_removed(&self, older: &Self) -> Self {
        let mut list = self.list.clone();
        for service in &mut list {
            let Some(before) = older.list.iter().find(|other| other.id == service.id) else {
                continue;
            };
            let removed = before.targets.iter().filter(|target| !self.is_in_use(target));
            service
                .targets
                .extend(removed.map(|target| Target { removed: true, ..target.clone() }));
        }
        Self::index(list)
    }

    /// Returns whether a target's ID or address is in use.
    fn is_in_use(&self, target: &Target) -> bool {
        self.by_target.contains_key(&target.id)
            || self.by_target_address.contains_key(&target.address)
            || self.by_address.contains_key(&target.address)
    }

    fn index(mut list: Vec<Service>) -> Self {
        list.sort_by_key(|service| service.id);
        let mut services = Self::default();
        for (i, service) in list.iter_mut().enumerate() {
            service.targets.sort_by_key(|target| target.id);
            services.by_address.insert(service.address, i);
            for (j, target) in service.targets.iter().enumerate() {
                services.by_target_address.insert(target.address, (i, j));
                services.by_target.insert(target.id, (i, j));
            }
        }
        services.list = list;
        services
    }
}

impl TryFrom<RawServices> for Services {
    type Error = Findings;

    fn try_from(raw: RawServices) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let checked: Vec<_> =
            raw.services.iter().map(|service| check_service(service, &mut findings)).collect();
        find_duplicates(&raw, &mut findings);
        findings.into_result(checked.into_iter().collect::<Option<Vec<_>>>().map(Self::index))
    }
}

fn check_service(raw: &RawService, f: &mut Findings) -> Option<Service> {
    let location = |key: &str| format!("services.{}.{key}", raw.id);
    let address = f.ok_or_add(location("address"), parse_address(&raw.address));
    let objective = f.ok_or_add(location("weighs"), Objective::try_from(raw.weighs.as_str()));
    let idle = f.ok_or_add(location("idle_timeout_s"), parse_idle_timeout(raw.idle_timeout_s));
    let targets: Vec<_> = raw.targets.iter().map(|t| check_target(raw.id, t, f)).collect();
    Some(Service {
        id: raw.id,
        name: raw.name.clone(),
        address: address?,
        objective: objective?,
        idle_timeout: idle?,
        targets: targets.into_iter().collect::<Option<_>>()?,
    })
}

fn check_target(service: ServiceId, raw: &RawTarget, f: &mut Findings) -> Option<Target> {
    let location = format!("services.{service}.targets.{}", raw.id);
    if raw.slots == 0 {
        f.add(format!("{location}.slots"), "is 0");
    }
    if raw.weight == 0 || raw.weight > MAX_WEIGHT {
        f.add(format!("{location}.weight"), format!("is not from 1 to {MAX_WEIGHT}"));
    }
    let report = raw.report.as_deref().map(ReportAddress::try_from).transpose();
    let report = f.ok_or_add(format!("{location}.report"), report);
    let address = f.ok_or_add(format!("{location}.address"), parse_address(&raw.address));
    Some(Target {
        id: raw.id,
        address: address?,
        failure_domain: raw.failure_domain.clone(),
        slots: raw.slots,
        weight: raw.weight,
        removed: false,
        report: report?,
    })
}

/// Finds duplicate IDs and addresses, which could send a packet to the wrong service.
fn find_duplicates(raw: &RawServices, f: &mut Findings) {
    let mut addresses = HashSet::default();
    let mut services = HashSet::default();
    let mut targets = HashSet::default();
    for service in &raw.services {
        let location = format!("services.{}", service.id);
        if !services.insert(service.id) {
            f.add(&location, "duplicate ID");
        }
        if !addresses.insert(service.address.as_str()) {
            f.add(format!("{location}.address"), "duplicate address");
        }
        for target in &service.targets {
            let location = format!("{location}.targets.{}", target.id);
            if !targets.insert(target.id) {
                f.add(&location, "duplicate ID");
            }
            if !addresses.insert(target.address.as_str()) {
                f.add(format!("{location}.address"), "duplicate address");
            }
        }
    }
}

fn parse_address(raw: &str) -> Result<SocketAddrV4, String> {
    raw.parse().map_err(|_| format!("{raw:?} is not an IPv4 address with a port"))
}

fn parse_idle_timeout(raw: u64) -> Result<Duration, String> {
    if !(MIN_IDLE_TIMEOUT_S..=MAX_IDLE_TIMEOUT_S).contains(&raw) {
        return Err(format!(
            "{raw} is not from {MIN_IDLE_TIMEOUT_S} to {MAX_IDLE_TIMEOUT_S} seconds"
        ));
    }
    Ok(Duration::from_secs(raw))
}
