//! Epochs: numbered sets of a service's targets.
//!
//! The choice for a flow in an epoch is a pure function of the flow and the epoch, so that
//! a flow whose target is the choice in every open epoch needs no replica of its record:
//! any instance finds the target without one. All other flows are exceptions.
//!
//! An epoch opens as `Prepared` and becomes `Active` when it has reached every live
//! instance. The oldest one is retired when every live owner has settled: it has
//! replicated the flows that the newest epoch makes exceptions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::choice::hash_score;
use crate::hash::HashMap;
use crate::ids::{EpochId, FlowId, InstanceId, ServiceId, TargetId, Version};
use crate::services::Service;

/// Time in which an epoch reaches every live instance.
const SPREAD: Duration = Duration::from_secs(5);
/// Epochs of one service that may be open at once.
const MOST_OPEN: usize = 4;

/// How far an epoch has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// May not have reached every live instance.
    Prepared,
    /// Has reached every live instance.
    Active,
}

/// A numbered set of a service's targets with their weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Epoch {
    /// Number of the epoch: the version of the services that opened it.
    pub id: EpochId,
    targets: Vec<(TargetId, u32)>,
    opened: Duration,
}

impl Epoch {
    /// Makes the epoch of a service's targets.
    pub fn new(id: EpochId, service: &Service, opened: Duration) -> Self {
        let targets = service.targets.iter().filter(|target| !target.former);
        let targets = targets.map(|target| (target.id, target.weight)).collect();
        Self { id, targets, opened }
    }

    /// Returns the choice for a flow.
    pub fn choice(&self, flow: FlowId) -> Option<TargetId> {
        let score =
            |&(target, weight): &(TargetId, u32)| hash_score(flow, target, f64::from(weight));
        let best = self.targets.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|&(target, _)| target)
    }

    /// Tells how far the epoch has come.
    pub fn phase(&self, now: Duration) -> Phase {
        if now >= self.opened + SPREAD { Phase::Active } else { Phase::Prepared }
    }
}

/// The open epochs of one service, the oldest first.
#[derive(Debug, Clone, Default)]
struct OpenEpochs {
    epochs: VecDeque<Epoch>,
    settled: HashMap<InstanceId, EpochId>,
}

/// The open epochs of all services.
#[derive(Debug, Clone, Default)]
pub struct Epochs {
    services: BTreeMap<ServiceId, OpenEpochs>,
}

impl Epochs {
    /// Opens an epoch for a service whose targets have changed; answers whether it did.
    pub fn adopt(&mut self, now: Duration, version: Version, service: &Service) -> bool {
        let id = EpochId::try_from(version).unwrap_or(EpochId::MAX);
        let epoch = Epoch::new(id, service, now);
        let open = &mut self.services.entry(service.id).or_default().epochs;
        if open.back().is_some_and(|newest| newest.targets == epoch.targets || newest.id >= id) {
            return false;
        }
        if open.len() == MOST_OPEN {
            // Changes are batched: no record depends on the newest epoch alone yet.
            open.pop_back();
        }
        open.push_back(epoch);
        true
    }

    /// Returns the choice in the oldest open epoch: the target of a flow without a record.
    pub fn fallback(&self, service: ServiceId, flow: FlowId) -> Option<TargetId> {
        self.services.get(&service)?.epochs.front()?.choice(flow)
    }

    /// Tells whether a flow's target cannot be found without its record.
    pub fn is_exception(&self, service: ServiceId, flow: FlowId, target: TargetId) -> bool {
        let open = self.services.get(&service).map(|open| &open.epochs);
        open.is_none_or(|open| open.iter().any(|epoch| epoch.choice(flow) != Some(target)))
    }

    /// Returns the newest epoch of each service that has more than one open, if it has
    /// reached every live instance.
    pub fn unsettled(&self, now: Duration) -> Vec<(ServiceId, EpochId)> {
        let several = self.services.iter().filter(|(_, open)| open.epochs.len() > 1);
        let newest = several.filter_map(|(&service, open)| Some((service, open.epochs.back()?)));
        let active = newest.filter(|(_, epoch)| epoch.phase(now) == Phase::Active);
        active.map(|(service, epoch)| (service, epoch.id)).collect()
    }

    /// Notes that an instance has replicated all exceptions up to an epoch.
    pub fn settle(&mut self, service: ServiceId, epoch: EpochId, instance: InstanceId) {
        if let Some(open) = self.services.get_mut(&service) {
            let settled = open.settled.entry(instance).or_default();
            *settled = (*settled).max(epoch);
        }
    }

    /// Retires the epochs before the newest one that all owners have settled.
    pub fn retire(&mut self, owners: &[InstanceId]) {
        for open in self.services.values_mut() {
            let settled = |owner| open.settled.get(owner).copied().unwrap_or(0);
            let Some(all) = owners.iter().map(settled).min() else { continue };
            while open.epochs.len() > 1 && open.epochs[1].id <= all {
                open.epochs.pop_front();
            }
            open.settled.retain(|instance, _| owners.contains(instance));
        }
    }

    /// Returns the numbers of the open epochs of a service, the oldest first.
    pub fn open(&self, service: ServiceId) -> Vec<EpochId> {
        let open = self.services.get(&service);
        open.map_or(Vec::new(), |open| open.epochs.iter().map(|epoch| epoch.id).collect())
    }
}
