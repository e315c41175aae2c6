//! Services after their check, with the look-ups that the pipeline needs.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{RawService, RawServices, RawTarget, ReportAddress};
use crate::hash::{HashMap, HashSet};
use crate::ids::{FailureDomain, ServiceId, TargetId};
use crate::settings::Findings;

/// Least idle timeout of a service, in seconds.
const LEAST_IDLE_TIMEOUT_S: u64 = 10;
/// Longest idle timeout of a service, in seconds.
const LONGEST_IDLE_TIMEOUT_S: u64 = 7 * 24 * 3_600;
/// Largest weight of a target.
const LARGEST_WEIGHT: u32 = 10_000;

/// What a service weighs more when a new flow is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weighs {
    /// New flows keep to the hash unless their target is busy.
    BrokenFlows,
    /// New flows go to the least loaded target.
    Imbalance,
}

impl TryFrom<&str> for Weighs {
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
    /// Number of the target.
    pub id: TargetId,
    /// Address and port that packets are forwarded to.
    pub address: SocketAddrV4,
    /// Failure domain that the target stands in.
    pub failure_domain: FailureDomain,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Share of new flows relative to the service's other targets.
    pub weight: u32,
    /// Whether operators have removed the target while flows may still be open on it.
    pub former: bool,
    /// Where the target is probed, if it is.
    pub report: Option<ReportAddress>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Number of the service.
    pub id: ServiceId,
    /// Name that operators use.
    pub name: String,
    /// Address and port that callers dial.
    pub address: SocketAddrV4,
    /// What the service weighs more.
    pub weighs: Weighs,
    /// Time without a packet after which a flow is ended.
    pub idle_timeout: Duration,
    /// Targets in the order of their numbers.
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
    /// Returns all services in the order of their numbers.
    pub fn list(&self) -> &[Service] {
        &self.list
    }

    /// Finds the service that callers reach at an address.
    pub fn at(&self, address: SocketAddrV4) -> Option<&Service> {
        self.by_address.get(&address).map(|&i| &self.list[i])
    }

    /// Finds the target that has an address, and its service.
    pub fn target_at(&self, address: SocketAddrV4) -> Option<(&Service, &Target)> {
        let &(service, target) = self.by_target_address.get(&address)?;
        Some((&self.list[service], &self.list[service].targets[target]))
    }

    /// Finds a target by its number, and its service.
    pub fn target(&self, id: TargetId) -> Option<(&Service, &Target)> {
        let &(service, target) = self.by_target.get(&id)?;
        Some((&self.list[service], &self.list[service].targets[target]))
    }

    /// Returns these services with the targets that only the older ones have, marked as
    /// former: open flows on them go on, and they get no new ones.
    pub fn with_former(&self, older: &Self) -> Self {
        let mut list = self.list.clone();
        for service in &mut list {
            let Some(before) = older.list.iter().find(|other| other.id == service.id) else {
                continue;
            };
            let gone = before.targets.iter().filter(|target| !self.has(target));
            service.targets.extend(gone.map(|target| Target { former: true, ..target.clone() }));
        }
        Self::index(list)
    }

    /// Tells whether a target's number or address is in use.
    fn has(&self, target: &Target) -> bool {
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
        find_doubles(&raw, &mut findings);
        findings.finish(checked.into_iter().collect::<Option<Vec<_>>>().map(Self::index))
    }
}

fn check_service(raw: &RawService, f: &mut Findings) -> Option<Service> {
    let place = |key: &str| format!("services.{}.{key}", raw.id);
    let address = f.check(place("address"), address(&raw.address));
    let weighs = f.check(place("weighs"), Weighs::try_from(raw.weighs.as_str()));
    let idle = f.check(place("idle_timeout_s"), idle_timeout(raw.idle_timeout_s));
    let targets: Vec<_> = raw.targets.iter().map(|t| check_target(raw.id, t, f)).collect();
    Some(Service {
        id: raw.id,
        name: raw.name.clone(),
        address: address?,
        weighs: weighs?,
        idle_timeout: idle?,
        targets: targets.into_iter().collect::<Option<_>>()?,
    })
}

fn check_target(service: ServiceId, raw: &RawTarget, f: &mut Findings) -> Option<Target> {
    let place = format!("services.{service}.targets.{}", raw.id);
    if raw.slots == 0 {
        f.add(format!("{place}.slots"), "is 0");
    }
    if raw.weight == 0 || raw.weight > LARGEST_WEIGHT {
        f.add(format!("{place}.weight"), format!("is not from 1 to {LARGEST_WEIGHT}"));
    }
    let report = raw.report.as_deref().map(ReportAddress::try_from).transpose();
    let report = f.check(format!("{place}.report"), report);
    let address = f.check(format!("{place}.address"), address(&raw.address));
    Some(Target {
        id: raw.id,
        address: address?,
        failure_domain: raw.failure_domain.clone(),
        slots: raw.slots,
        weight: raw.weight,
        former: false,
        report: report?,
    })
}

/// An address or number that stands twice would let a packet reach the wrong service.
fn find_doubles(raw: &RawServices, f: &mut Findings) {
    let mut addresses = HashSet::default();
    let mut services = HashSet::default();
    let mut targets = HashSet::default();
    for service in &raw.services {
        let place = format!("services.{}", service.id);
        if !services.insert(service.id) {
            f.add(&place, "the number stands twice");
        }
        if !addresses.insert(service.address.as_str()) {
            f.add(format!("{place}.address"), "the address stands twice");
        }
        for target in &service.targets {
            let place = format!("{place}.targets.{}", target.id);
            if !targets.insert(target.id) {
                f.add(&place, "the number stands twice");
            }
            if !addresses.insert(target.address.as_str()) {
                f.add(format!("{place}.address"), "the address stands twice");
            }
        }
    }
}

fn address(raw: &str) -> Result<SocketAddrV4, String> {
    raw.parse().map_err(|_| format!("{raw:?} is not an IPv4 number and a port"))
}

fn idle_timeout(raw: u64) -> Result<Duration, String> {
    if !(LEAST_IDLE_TIMEOUT_S..=LONGEST_IDLE_TIMEOUT_S).contains(&raw) {
        return Err(format!(
            "{raw} is not from {LEAST_IDLE_TIMEOUT_S} to {LONGEST_IDLE_TIMEOUT_S} seconds"
        ));
    }
    Ok(Duration::from_secs(raw))
}
