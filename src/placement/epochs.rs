//! Epochs: numbered target sets of a service.
//!
//! The target chosen for a flow in an epoch is a pure function of the flow and the epoch.
//! A flow that is bound to the chosen target of every open epoch needs no replica of its
//! record, as any instance can compute the target. All other flows are exceptions.
//!
//! A new epoch is `Prepared` until it has reached every live instance, then `Active`. The
//! oldest epoch is retired once every live owner has settled, which means that it has
//! replicated all exceptions up to the newest epoch.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::selection::hash_score;
use crate::hash::HashMap;
use crate::ids::{EpochId, FlowId, InstanceId, ServiceId, TargetId, Version};
use crate::services::Service;

/// Time in which an epoch reaches every live instance.
const PROPAGATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of open epochs of one service.
const MAX_OPEN_EPOCHS: usize = 4;

/// Propagation state of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// May not have reached every live instance.
    Prepared,
    /// Has reached every live instance.
    Active,
}

/// A numbered target set of a service, with weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Epoch {
    /// ID of the epoch: the version of the services list that opened the epoch.
    pub id: EpochId,
    targets: Vec<(TargetId, u32)>,
    opened: Duration,
}

impl Epoch {
    /// Creates an epoch from the current targets of a service.
    pub fn new(id: EpochId, service: &Service, opened: Duration) -> Self {
        let targets = service.targets.iter().filter(|target| !target.removed);
        let targets = targets.map(|target| (target.id, target.weight)).collect();
        Self { id, targets, opened }
    }

    /// Returns the target with the highest rendezvous score for a flow.
    pub fn choice(&self, flow: FlowId) -> Option<TargetId> {
        let score =
            |&(target, weight): &(TargetId, u32)| hash_score(flow, target, f64::from(weight));
        let best = self.targets.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|&(target, _)| target)
    }

    /// Returns the propagation state of the epoch.
    pub fn phase(&self, now: Duration) -> Phase {
        if now >= self.opened + PROPAGATION_TIME { Phase::Active } else { Phase::Prepared }
    }
}

/// The open epochs of one service, oldest first.
#[derive(Debug, Clone, Default)]
struct OpenEpochs {
    epochs: VecDeque<Epoch>,
    /// Newest epoch that each instance has settled.
    settled: HashMap<InstanceId, EpochId>,
}

/// The open epochs of all services.
#[derive(Debug, Clone, Default)]
pub struct Epochs {
    services: BTreeMap<ServiceId, OpenEpochs>,
}

impl Epochs {
    /// Opens a new epoch if the targets of a service have changed; returns whether it did.
    pub fn adopt(&mut self, now: Duration, version: Version, service: &Service) -> bool {
        let id = EpochId::try_from(version).unwrap_or(EpochId::MAX);
        let epoch = Epoch::new(id, service, now);
        let open = &mut self.services.entry(service.id).or_default().epochs;
        if open.back().is_some_and(|newest| newest.targets == epoch.targets || newest.id >= id) {
            return false;
        }
        if open.len() == MAX_OPEN_EPOCHS {
            // Changes are batched: the newest epoch is replaced, as no record depends on it
            // alone yet.
            open.pop_back();
        }
        open.push_back(epoch);
        true
    }

    /// Returns the target of a flow without a record: the one chosen in the oldest open epoch.
    pub fn fallback(&self, service: ServiceId, flow: FlowId) -> Option<TargetId> {
        self.services.get(&service)?.epochs.front()?.choice(flow)
    }

    /// Returns whether a flow is an exception: its target differs from the chosen one in some
    /// open epoch, or the service has no epochs.
    pub fn is_exception(&self, service: ServiceId, flow: FlowId, target: TargetId) -> bool {
        let open = self.services.get(&service).map(|open| &open.epochs);
        open.is_none_or(|open| open.iter().any(|epoch| epoch.choice(flow) != Some(target)))
    }

    /// Returns the newest epoch of each service that has several open epochs, if the newest
    /// one is active.
    pub fn unsettled(&self, now: Duration) -> Vec<(ServiceId, EpochId)> {
        let several = self.services.iter().filter(|(_, open)| open.epochs.len() > 1);
        let newest = several.filter_map(|(&service, open)| Some((service, open.epochs.back()?)));
        let active = newest.filter(|(_, epoch)| epoch.phase(now) == Phase::Active);
        active.map(|(service, epoch)| (service, epoch.id)).collect()
    }

    /// Records that an instance has replicated all exceptions up to an epoch.
    pub fn settle(&mut self, service: ServiceId, epoch: EpochId, instance: InstanceId) {
        if let Some(open) = self.services.get_mut(&service) {
            let settled = open.settled.entry(instance).or_default();
            *settled = (*settled).max(epoch);
        }
    }

    /// Retires all epochs older than the newest one that every owner has settled.
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

    /// Returns the IDs of the open epochs of a service, oldest first.
    pub fn open(&self, service: ServiceId) -> Vec<EpochId> {
        let open = self.services.get(&service);
        open.map_or(Vec::new(), |open| open.epochs.iter().map(|epoch| epoch.id).collect())
    }
}
