//! Which failure domains are out of reach.
//!
//! When all instances of a failure domain have gone silent, the way to it is rather broken
//! than all of them dead. Its targets get no new flows from here until its instances are
//! back or a probe from here reaches one of its targets. Each side of a cut judges for
//! itself, and nothing of this is stated to others, so that a cut leaves no traces.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::FailureDomain;

/// Time for which a probe that reached a failure domain proves that others can.
const REACHED_HOLDS: Duration = Duration::from_secs(6);

/// What is known of one failure domain.
#[derive(Debug, Default)]
struct Known {
    live: bool,
    reached: Option<Duration>,
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
    pub(super) fn reached(&mut self, now: Duration, domain: &FailureDomain) {
        if let Some(known) = self.known.get_mut(domain) {
            known.reached = Some(now);
        }
    }

    /// Tells whether a failure domain has gone silent.
    pub(super) fn is_silent(&self, domain: &FailureDomain) -> bool {
        self.known.get(domain).is_some_and(|known| !known.live)
    }

    /// Tells whether a failure domain is out of reach.
    pub(super) fn is_out(&self, domain: &FailureDomain) -> bool {
        self.out.contains(domain)
    }

    /// Judges anew; returns the failure domains for which the judgement changes.
    pub(super) fn update(&mut self, now: Duration) -> Vec<FailureDomain> {
        let out: BTreeSet<_> = self
            .known
            .iter()
            .filter(|(_, known)| !known.live && !known.recently_reached(now))
            .map(|(domain, _)| domain.clone())
            .collect();
        let changed = out.symmetric_difference(&self.out).cloned().collect();
        self.out = out;
        changed
    }
}

impl Known {
    fn recently_reached(&self, now: Duration) -> bool {
        self.reached.is_some_and(|at| now.saturating_sub(at) <= REACHED_HOLDS)
    }
}
