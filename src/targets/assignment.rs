//! Assignment of targets to the instances that probe them.

use std::collections::BTreeMap;

use crate::hash::stable_pair;
use crate::ids::{FailureDomain, InstanceId, TargetId};
use crate::services::Target;

/// Instances that probe one target.
const PROBERS_PER_TARGET: usize = 2;
/// Keeps the ranking of probers independent of those of owners and placers.
const SALT: u64 = 2 << 32;

/// Live instances by failure domain.
#[derive(Debug, Default)]
pub(super) struct Members {
    domains: BTreeMap<FailureDomain, Vec<InstanceId>>,
    all: Vec<InstanceId>,
}

impl Members {
    pub(super) fn new(members: impl IntoIterator<Item = (InstanceId, FailureDomain)>) -> Self {
        let mut live = Self::default();
        for (id, domain) in members {
            live.domains.entry(domain).or_default().push(id);
            live.all.push(id);
        }
        live.domains.values_mut().for_each(|ids| ids.sort_unstable());
        live
    }

    /// Returns the failure domains that have live instances.
    pub(super) fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains.keys()
    }

    /// Returns false if the failure domain of a target has enough probers without this
    /// instance. Cheaper than [`Self::probers`].
    pub(super) fn may_probe(&self, instance_id: InstanceId, target: &Target) -> bool {
        let same_domain = self.domains.get(&target.failure_domain);
        same_domain.is_none_or(|same_domain| {
            same_domain.len() < PROBERS_PER_TARGET
                || same_domain.binary_search(&instance_id).is_ok()
        })
    }

    /// Returns the probers of a target: instances of its own failure domain, and others only if
    /// that has too few.
    pub(super) fn probers(&self, target: &Target) -> Vec<InstanceId> {
        let same_domain = self.domains.get(&target.failure_domain).map_or(&[][..], Vec::as_slice);
        let mut probers = highest_ranked(same_domain, target.id, &[]);
        if probers.len() < PROBERS_PER_TARGET {
            let others = highest_ranked(&self.all, target.id, &probers);
            probers.extend(others);
            probers.truncate(PROBERS_PER_TARGET);
        }
        probers
    }

    /// Returns instances of other failure domains than a target's, which may reach it on a path that
    /// its probers do not share.
    pub(super) fn witnesses(&self, target: &Target, probers: &[InstanceId]) -> Vec<InstanceId> {
        let own = self.domains.get(&target.failure_domain).map_or(&[][..], Vec::as_slice);
        let is_other = |id: &InstanceId| own.binary_search(id).is_err();
        let others: Vec<_> = self.all.iter().copied().filter(is_other).collect();
        highest_ranked(&others, target.id, probers)
    }
}

fn highest_ranked(
    ids: &[InstanceId],
    target: TargetId,
    excluded: &[InstanceId],
) -> Vec<InstanceId> {
    let score = |id: InstanceId| (stable_pair(SALT | u64::from(target), u64::from(id)), id);
    let candidates = ids.iter().copied().filter(|id| !excluded.contains(id));
    let mut best: Vec<(u64, InstanceId)> = Vec::with_capacity(PROBERS_PER_TARGET + 1);
    for scored in candidates.map(score) {
        best.push(scored);
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.truncate(PROBERS_PER_TARGET);
    }
    best.into_iter().map(|(_, id)| id).collect()
}
