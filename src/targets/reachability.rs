//! Reachability of failure domains.
//!
//! When all instances of a failure domain have failed, or none of its targets answers several
//! probers, a network partition is more likely than a failure of the whole domain. Its targets
//! then get no new flows from here until one of them answers a probe from this side. Each side of
//! a partition decides for itself and sends no state updates about it, so that none are left to
//! correct after healing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{FailureDomain, InstanceId};

/// Time for which the result of a probe counts as evidence about a path.
const EVIDENCE_TTL: Duration = Duration::from_secs(6);
/// Number of instances that must report a path as broken before the domain counts as partitioned.
const MIN_REPORTERS: usize = 2;

/// What is known of one failure domain.
#[derive(Debug, Default)]
struct DomainStatus {
    live: bool,
    last_reached: Option<Duration>,
    /// Instances that found the path broken, with the time of their last report.
    broken_reports: BTreeMap<InstanceId, Duration>,
}

/// The failure domains that have had live instances.
#[derive(Debug, Default)]
pub(super) struct DomainReachability {
    domains: BTreeMap<FailureDomain, DomainStatus>,
    unreachable: BTreeSet<FailureDomain>,
}

impl DomainReachability {
    /// Sets the failure domains that have live instances.
    pub(super) fn set_live<'a>(&mut self, domains: impl Iterator<Item = &'a FailureDomain>) {
        for status in self.domains.values_mut() {
            status.live = false;
        }
        for domain in domains {
            self.domains.entry(domain.clone()).or_default().live = true;
        }
    }

    /// Records that a target of a failure domain has answered a probe from this side.
    pub(super) fn answered(&mut self, at: Duration, domain: &FailureDomain) {
        if let Some(status) = self.domains.get_mut(domain) {
            status.last_reached = status.last_reached.max(Some(at));
        }
    }

    /// Records that the probes of an instance do not reach a failure domain.
    pub(super) fn failed(&mut self, at: Duration, by: InstanceId, domain: &FailureDomain) {
        if let Some(status) = self.domains.get_mut(domain) {
            status.broken_reports.insert(by, at);
        }
    }

    /// Returns whether an instance may consider a failure domain unreachable.
    pub(super) fn may_be_unreachable(&self, domain: &FailureDomain) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|status| !status.live || !status.broken_reports.is_empty())
    }

    /// Returns whether a failure domain has had live instances and has none now. Nothing then tells
    /// a dead target there from one that is cut off with them.
    pub(super) fn is_silent(&self, domain: &FailureDomain) -> bool {
        self.domains.get(domain).is_some_and(|status| !status.live)
    }

    pub(super) fn is_unreachable(&self, domain: &FailureDomain) -> bool {
        self.unreachable.contains(domain)
    }

    /// Re-evaluates all failure domains and returns those whose reachability has changed.
    pub(super) fn update(&mut self, now: Duration) -> Vec<FailureDomain> {
        let is_fresh = |at: Duration| now.saturating_sub(at) <= EVIDENCE_TTL;
        let mut unreachable = BTreeSet::default();
        for (domain, status) in &mut self.domains {
            status.broken_reports.retain(|_, at| is_fresh(*at));
            let likely_partitioned = !status.live || status.broken_reports.len() >= MIN_REPORTERS;
            if likely_partitioned && !status.last_reached.is_some_and(is_fresh) {
                unreachable.insert(domain.clone());
            }
        }
        let changed = unreachable.symmetric_difference(&self.unreachable).cloned().collect();
        self.unreachable = unreachable;
        changed
    }
}
