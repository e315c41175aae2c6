//! Which instances probe a target.

use std::collections::BTreeMap;

use crate::hash::stable_pair;
use crate::ids::{FailureDomain, InstanceId, TargetId};
use crate::services::Target;

/// Instances that probe one target.
const PROBERS: usize = 2;
/// Keeps the ranks of probers apart from those of owners and placers.
const SALT: u64 = 2 << 32;

/// The live instances by the failure domain that they stand in.
#[derive(Debug, Default)]
pub(super) struct Members {
    domains: BTreeMap<FailureDomain, Vec<InstanceId>>,
    all: Vec<InstanceId>,
}

impl Members {
    pub(super) fn new(members: impl IntoIterator<Item = (InstanceId, FailureDomain)>) -> Self {
        let mut found = Self::default();
        for (id, domain) in members {
            found.domains.entry(domain).or_default().push(id);
            found.all.push(id);
        }
        found.domains.values_mut().for_each(|ids| ids.sort_unstable());
        found
    }

    /// Returns the failure domains in which instances are live.
    pub(super) fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains.keys()
    }

    /// Tells at little cost that an instance is no prober of a target, as that one's failure
    /// domain has enough others.
    pub(super) fn may_probe(&self, me: InstanceId, target: &Target) -> bool {
        let near = self.domains.get(&target.failure_domain);
        near.is_none_or(|near| near.len() < PROBERS || near.binary_search(&me).is_ok())
    }

    /// Returns the probers of a target: of its own failure domain, and of others only if
    /// that one has too few.
    pub(super) fn probers(&self, target: &Target) -> Vec<InstanceId> {
        let near = self.domains.get(&target.failure_domain).map_or(&[][..], Vec::as_slice);
        let mut probers = top(near, target.id, &[]);
        if probers.len() < PROBERS {
            let far = top(&self.all, target.id, &probers);
            probers.extend(far);
            probers.truncate(PROBERS);
        }
        probers
    }
}

fn top(ids: &[InstanceId], target: TargetId, without: &[InstanceId]) -> Vec<InstanceId> {
    let score = |id: InstanceId| (stable_pair(SALT | u64::from(target), u64::from(id)), id);
    let candidates = ids.iter().copied().filter(|id| !without.contains(id));
    let mut best: Vec<(u64, InstanceId)> = Vec::with_capacity(PROBERS + 1);
    for scored in candidates.map(score) {
        best.push(scored);
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.truncate(PROBERS);
    }
    best.into_iter().map(|(_, id)| id).collect()
}
