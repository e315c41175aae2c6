//! Checks of openings against orders to drain failure domains and against limits of cold servers.

use std::time::Duration;

use limpetdeck::steering::ServiceWarmUp;

use super::cold_targets::COLD_START;
use super::domain_orders::Knowledge;
use super::environment::{DOMAINS, Environment};
use super::proxy::LinkMode;
use crate::emulator::fleet::SERVICES;
use crate::emulator::server::FlowKey;
use crate::emulator::store::StoreMode;

impl Environment {
    /// Records which instances the store answers without delay. A paused instance hears nothing.
    pub fn record_contact(&mut self) {
        let store = self.store.borrow();
        for (i, since) in self.contact_since.iter_mut().enumerate() {
            let answered = matches!(
                store.mode(i),
                StoreMode::Well | StoreMode::LosesAnswers | StoreMode::WritesLate(_)
            );
            if !answered || self.links[i].get() != LinkMode::Whole || self.instances[i].is_paused()
            {
                *since = self.now;
            }
        }
    }

    /// Checks an opening packet that a server accepted from an instance.
    pub fn check_domain(&mut self, server: usize, instance: usize, flow: FlowKey) {
        let server = &self.fleet.servers[server];
        let (entry, now) = (&server.entry, self.now);
        let Some(domain) = DOMAINS.iter().position(|d| *d == entry.failure_domain) else { return };
        self.last_openings[domain] = now;
        let knowledge = Knowledge {
            started: self.instances[instance].started_at,
            contact_since: self.contact_since[instance],
        };
        let id = (entry.key, entry.incarnation);
        if now < server.cold_until
            && let Some(count) = self.cold_targets.record_opening(now, id)
        {
            let seen = format!("a cold server got {count} new flows within a second");
            self.checks.record_for_flow(now, "cold_limit", seen, flow);
        }
        if self.instances[instance].earlier_release {
            return;
        }
        let in_force = |domain| self.orders.in_force_since(now, domain, knowledge);
        self.checks.counts.orders += u64::from((0..DOMAINS.len()).any(|d| in_force(d).is_some()));
        if let Some(since) = in_force(domain) {
            let (name, delay) = (DOMAINS[domain], now - since);
            let seen = format!(
                "instance {instance} opened a flow to {name} {delay:?} after the order to drain it"
            );
            self.checks.record_for_flow(now, "domain_drain", seen, flow);
        }
    }

    /// Checks that each failure domain had new flows in the last part of a run of this length.
    pub fn check_domains_returned(&mut self, length: Duration, sample: Duration) {
        for (name, last) in DOMAINS.into_iter().zip(self.last_openings) {
            if last + sample < length {
                let seen = format!("{name} has had no new flow since {last:.1?}");
                self.checks.record(length, "domain_returns", seen, None);
            }
        }
    }
}

/// Returns the limits on new flows to cold servers that the operators' configuration announces.
pub fn warm_ups(flows_per_s: f64) -> Vec<ServiceWarmUp> {
    let warm_up = |(service, _): (&str, usize)| ServiceWarmUp {
        service: service.to_owned(),
        duration_ms: COLD_START.as_millis() as u64,
        flows_per_1000_s: (flows_per_s * 1_000.0) as u64,
    };
    SERVICES.into_iter().map(warm_up).collect()
}
