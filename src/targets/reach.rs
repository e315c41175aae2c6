//! Which failure domains are out of reach.
//!
//! When all instances of a failure domain have gone silent, or none of its targets answers
//! several probers, the way to it is rather broken than all of it dead. Its targets get no
//! new flows from here until one of them answers a probe from this side. Each side of a cut
//! judges for itself, and nothing of this is stated, so that a cut leaves no traces.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{FailureDomain, InstanceId};

/// Time for which what a probe has shown of a path counts.
const PROOF_HOLDS: Duration = Duration::from_secs(6);
/// Instances that must find a path broken.
const WITNESSES: usize = 2;

/// What is known of one failure domain.
#[derive(Debug, Default)]
struct Known {
    live: bool,
    reached: Option<Duration>,
    /// When which instance last found the path broken.
    broken: BTreeMap<InstanceId, Duration>,
}

/// The failure domains that had live instances at some time.
#[derive(Debug, Default)]
pub(super) struct Reach {
    known: BTreeMap<FailureDomain, Known>,
    out: BTreeSet<FailureDomain>,
}

impl Reach {
    /// Takes the failure domains that have live instances.
    pub(super) fn set_live<'a>(&mut self, domains: impl Iterator<Item = &'a FailureDomain>) {
        for known in self.known.values_mut() {
            known.live = false;
        }
        for domain in domains {
            self.known.entry(domain.clone()).or_default().live = true;
        }
    }

    /// Notes that a probe from this side has reached a target of a failure domain.
    pub(super) fn reached(&mut self, at: Duration, domain: &FailureDomain) {
        if let Some(known) = self.known.get_mut(domain) {
            known.reached = known.reached.max(Some(at));
        }
    }

    /// Notes that the probes of an instance do not reach a failure domain.
    pub(super) fn broken(&mut self, at: Duration, by: InstanceId, domain: &FailureDomain) {
        if let Some(known) = self.known.get_mut(domain) {
            known.broken.insert(by, at);
        }
    }

    /// Tells whether somebody may take a failure domain for unreachable.
    pub(super) fn in_doubt(&self, domain: &FailureDomain) -> bool {
        self.known.get(domain).is_some_and(|known| !known.live || !known.broken.is_empty())
    }

    /// Tells whether a failure domain is out of reach.
    pub(super) fn is_out(&self, domain: &FailureDomain) -> bool {
        self.out.contains(domain)
    }

    /// Judges anew; returns the failure domains for which the judgement changes.
    pub(super) fn update(&mut self, now: Duration) -> Vec<FailureDomain> {
        let holds = |at: Duration| now.saturating_sub(at) <= PROOF_HOLDS;
        let mut out = BTreeSet::default();
        for (domain, known) in &mut self.known {
            known.broken.retain(|_, at| holds(*at));
            let doubtful = !known.live || known.broken.len() >= WITNESSES;
            if doubtful && !known.reached.is_some_and(holds) {
                out.insert(domain.clone());
            }
        }
        let changed = out.symmetric_difference(&self.out).cloned().collect();
        self.out = out;
        changed
    }
}
