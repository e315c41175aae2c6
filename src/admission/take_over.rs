//! Take-over of a service by a new placer: owners tell it the flows that are open already.

use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{InstanceId, ServiceId};
use crate::link::Outbox;
use crate::peer::Body;
use crate::pipeline::{Admission, OpenFlow};
use crate::placement::{Binding, Placement, Role};

/// Flows in one message, so that it fits into one datagram.
const FLOWS_PER_MESSAGE: usize = 80;

/// Flows that a new placer has still to be told.
#[derive(Debug)]
struct Report {
    to: InstanceId,
    flows: Vec<OpenFlow>,
}

/// The placers of all services, and the reports to new ones that wait for the budget.
#[derive(Debug, Default)]
pub struct TakeOvers {
    placers: HashMap<ServiceId, InstanceId>,
    reports: HashMap<ServiceId, Report>,
    have_rules: bool,
}

impl TakeOvers {
    /// Compares the placers with those before, and counts or reports the open flows of the
    /// services that have a new one. To be called after each change of members or services.
    pub fn compare(&mut self, now: Duration, placement: &Placement, admission: &mut dyn Admission) {
        let services = placement.services().list();
        let placers = services.iter().filter_map(|s| Some((s.id, placement.placer(s.id)?)));
        let placers: HashMap<_, _> = placers.collect();
        let before = std::mem::replace(&mut self.placers, placers);
        let placers = self.placers.iter();
        let changed = placers.filter(|(service, placer)| before.get(service) != Some(placer));
        let changed: Vec<_> = changed.map(|(&service, _)| service).collect();
        admission.keep_services(&|service| placement.places(service));
        self.reports.retain(|service, report| self.placers.get(service) == Some(&report.to));
        self.report(now, placement, admission, changed);
    }

    /// Counts or reports all open flows when the first rules come: so far none was counted.
    pub fn on_rules(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        if std::mem::replace(&mut self.have_rules, true) {
            return;
        }
        let all = self.placers.keys().copied().collect();
        self.report(now, placement, admission, all);
    }

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        message: Message,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        let Message::Open(id, flows) = message;
        let services = placement.services().list();
        if let Some(service) = services.iter().find(|service| service.id == id) {
            admission.seed(now, service, &mut flows.into_iter());
        }
    }

    /// Sends what the budget allows of the reports; due about ten times a second.
    pub fn send(&mut self, placement: &Placement, out: &mut Outbox<'_>) {
        self.reports.retain(|&service, report| {
            while !report.flows.is_empty() && report.send_part(service, placement, out) {}
            !report.flows.is_empty()
        });
    }

    fn report(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
        services: Vec<ServiceId>,
    ) {
        if !self.have_rules || services.is_empty() {
            return;
        }
        for (id, flows) in owned_flows(placement, services) {
            let Some(&to) = self.placers.get(&id) else { continue };
            let service = placement.services().list().iter().find(|service| service.id == id);
            match service {
                Some(service) if placement.places(id) => {
                    admission.seed(now, service, &mut flows.into_iter());
                }
                _ => {
                    self.reports.insert(id, Report { to, flows });
                }
            }
        }
    }
}

impl Report {
    /// Sends the next part; answers false if it has to wait.
    fn send_part(
        &mut self,
        service: ServiceId,
        placement: &Placement,
        out: &mut Outbox<'_>,
    ) -> bool {
        let rest = self.flows.len().saturating_sub(FLOWS_PER_MESSAGE);
        // The part may have waited, and flows may have ended since.
        let is_open = |open: &&OpenFlow| placement.flows().get(open.flow).is_some_and(is_owned);
        let part: Vec<_> = self.flows[rest..].iter().filter(is_open).copied().collect();
        if part.is_empty() {
            self.flows.truncate(rest);
            return true;
        }
        let body = Body::Admission(Message::Open(service, part));
        let sent = out.send(self.to, Class::Replicas, &body);
        if sent {
            self.flows.truncate(rest);
        }
        sent
    }
}

/// Returns the open flows of some services that this instance owns.
fn owned_flows(
    placement: &Placement,
    services: Vec<ServiceId>,
) -> HashMap<ServiceId, Vec<OpenFlow>> {
    let mut found: HashMap<_, Vec<_>> = services.into_iter().map(|id| (id, Vec::new())).collect();
    for (flow, binding) in placement.flows().iter() {
        let Some((service, _)) = placement.services().target(binding.target) else { continue };
        let Some(flows) = found.get_mut(&service.id) else { continue };
        if let (true, Some(caller)) = (is_owned(binding), binding.caller()) {
            flows.push(OpenFlow { flow, caller: *caller.ip() });
        }
    }
    found.retain(|_, flows| !flows.is_empty());
    found
}

/// Only the owner sees every end of a flow: what was learned may be over.
fn is_owned(binding: &Binding) -> bool {
    binding.role == Role::Owner && !binding.closing()
}
