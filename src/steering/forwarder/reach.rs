//! Which failure domains can be reached, and whether the drained local one is used as a last resort.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::Forwarder;
use crate::ids::FailureDomain;
use crate::steering::policy::domain_reach::{DueProbes, Probe};
use crate::steering::token::TargetIncarnation;
use crate::steering::{OtherDomains, ReachChange, Target};

impl Forwarder {
    /// Records that a target of another failure domain has responded.
    pub(super) fn record_reached(&mut self, now: Duration, incarnation: TargetIncarnation) {
        let target = self.targets.get(incarnation);
        if let Some(target) = target.filter(|target| target.failure_domain != self.local_domain) {
            self.domain_reach.record_response(now, &target.failure_domain);
        }
    }

    /// Records that a target has not answered a packet sent at `sent`.
    pub(super) fn record_unreached(
        &mut self,
        now: Duration,
        incarnation: TargetIncarnation,
        sent: Duration,
    ) {
        let target = self.targets.get(incarnation);
        if let Some(target) = target.filter(|target| target.failure_domain != self.local_domain) {
            self.domain_reach.record_silence(now, &target.failure_domain, sent);
        }
    }

    /// Handles a peer's report that a failure domain is unreachable. Returns whether it is to be passed
    /// on.
    pub fn report_unreachable(&mut self, now: Duration, domain: &str) -> bool {
        domain != self.local_domain
            && self.targets.failure_domains().contains(domain)
            && self.domain_reach.record_report(now, domain)
    }

    /// Returns the failure domains that this instance has found unreachable since the last call.
    pub fn take_found_unreachable(&mut self) -> Vec<FailureDomain> {
        std::mem::take(&mut self.found_unreachable)
    }

    /// Returns whether the reachability of a failure domain has changed since the changes were taken.
    pub fn has_reach_changes(&self) -> bool {
        self.domain_reach.has_changes()
    }

    /// Returns the changes in the reachability of failure domains since the last call.
    pub fn take_reach_changes(&mut self) -> Vec<ReachChange> {
        self.domain_reach.take_changes()
    }

    /// Returns the number of failure domains that are unreachable.
    pub fn unreachable_domains(&self) -> usize {
        self.domain_reach.unreachable()
    }

    /// Forgets which failure domains seemed unreachable, after a pause of the process.
    pub fn reset_reach(&mut self) {
        self.domain_reach.reset();
        self.last_resort = Default::default();
    }

    /// Returns the addresses to be probed, to find out which failure domains can be reached; to be
    /// called about ten times per second.
    pub fn take_reach_probes(&mut self, now: Duration) -> Vec<SocketAddr> {
        for probe in self.domain_reach.take_timed_out(now) {
            self.record_failed_probe(now, probe);
        }
        let due = self.domain_reach.take_due_probes(now);
        due.into_iter().flat_map(|due| self.start_probes(now, &due)).collect()
    }

    fn start_probes(&mut self, now: Duration, due: &DueProbes) -> Vec<SocketAddr> {
        let targets = self.targets.eligible_in_domain(now, &due.domain);
        let chosen = targets.choose_multiple(&mut self.rng, due.count);
        let chosen: Vec<_> = chosen.into_iter().map(|t| (t.key, t.address.into())).collect();
        let mut started = Vec::new();
        for (target, address) in chosen {
            let probe = Probe { domain: due.domain.clone(), target, started: now };
            self.domain_reach.start_probe(address, probe);
            // The result of a check in flight is that of the probe too.
            if !self.health.is_checking(address) {
                self.health.begin_probe(now, address);
                started.push(address);
            }
        }
        started
    }

    /// Records the result of a connection check if it was a probe.
    pub(super) fn record_probe(&mut self, now: Duration, address: SocketAddr, accepted: bool) {
        let Some(probe) = self.domain_reach.end_probe(address) else { return };
        match accepted {
            true => self.domain_reach.record_response(now, &probe.domain),
            false => self.record_failed_probe(now, probe),
        }
    }

    fn record_failed_probe(&mut self, now: Duration, probe: Probe) {
        let targets = self.targets.eligible_in_domain(now, &probe.domain).count();
        if self.domain_reach.record_failed_probe(now, &probe, targets) {
            self.found_unreachable.push(probe.domain);
        }
    }

    /// Updates whether the drained local failure domain may be used. Returns whether the platform is
    /// to be asked for the order. `is_watcher` is set if this instance watches the platform for its
    /// failure domain.
    pub fn update_last_resort(&mut self, now: Duration, is_watcher: bool) -> bool {
        let others = if self.drains.is_drained(&self.local_domain) {
            self.other_domains(now)
        } else {
            OtherDomains::Reachable
        };
        self.last_resort.update(now, others, is_watcher, &mut self.rng)
    }

    /// Returns what this instance sees of the other failure domains that may get new flows.
    fn other_domains(&self, now: Duration) -> OtherDomains {
        let domains = self.targets.failure_domains();
        let is_other =
            |domain: &&str| **domain != *self.local_domain && !self.drains.is_drained(domain);
        let others: Vec<_> = domains.into_iter().filter(is_other).collect();
        if others.is_empty() || !others.iter().all(|d| self.domain_reach.is_doubtful(now, d)) {
            OtherDomains::Reachable
        } else if others.iter().all(|domain| self.domain_reach.is_unreachable(domain)) {
            OtherDomains::Unreachable
        } else {
            OtherDomains::Doubtful
        }
    }

    /// Returns whether a target of an unreachable failure domain could otherwise get a new flow.
    pub(super) fn is_unreachable_target(&self, target: &Target) -> bool {
        !self.drains.is_drained(&target.failure_domain)
            && self.domain_reach.is_unreachable(&target.failure_domain)
    }

    /// Forgets failure domains that have no targets any more.
    pub(super) fn expire_reach(&mut self) {
        let domains = self.targets.failure_domains();
        self.domain_reach.retain(|domain| domains.contains(domain));
    }
}
