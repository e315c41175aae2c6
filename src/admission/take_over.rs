//! Take-over of a service by a new placer: owners tell it the flows that are open already.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{FlowId, InstanceId, ServiceId};
use crate::link::Outbox;
use crate::peer::Body;
use crate::pipeline::{Admission, OpenFlow, Question};
use crate::placement::{Binding, Placement, Role};

/// Flows in one message, so that it fits into one datagram.
const FLOWS_PER_MESSAGE: usize = 80;

/// Flows that a new placer has still to be told.
#[derive(Debug)]
struct Report {
    to: InstanceId,
    open: Vec<OpenFlow>,
    ended: Vec<FlowId>,
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
        self.reports.retain(|service, report| self.placers.get(service) == Some(&report.to));
        self.report(now, placement, admission, changed);
        admission.keep_services(&|service| placement.places(service));
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
        from: InstanceId,
        message: Message,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        match message {
            Message::Open(id, flows) => {
                let services = placement.services().list();
                if let Some(service) = services.iter().find(|service| service.id == id) {
                    admission.seed(now, service, &mut flows.into_iter());
                }
            }
            Message::Ended(id, flows) => {
                flows.into_iter().for_each(|flow| admission.closed(now, id, flow));
            }
            Message::Ask(id, flows) => self.answer(id, flows, from, placement),
        }
    }

    /// Sends what the budget allows of questions and reports; due about ten times a second.
    pub fn send(
        &mut self,
        placement: &Placement,
        admission: &mut dyn Admission,
        out: &mut Outbox<'_>,
    ) {
        ask(admission.take_questions(), placement, out);
        self.reports.retain(|&service, report| {
            while !report.is_sent() && report.send_part(service, placement, out) {}
            !report.is_sent()
        });
    }

    /// Adds the answer to what the placer has to be told.
    fn answer(
        &mut self,
        service: ServiceId,
        flows: Vec<FlowId>,
        to: InstanceId,
        placement: &Placement,
    ) {
        let known = |&flow: &FlowId| placement.flows().get(flow).is_some_and(is_owned);
        // A flow that is counted is known by its fingerprint alone.
        let open = |flow| OpenFlow { flow, caller: Ipv4Addr::UNSPECIFIED };
        let open = flows.into_iter().filter(known).map(open);
        let report =
            self.reports.entry(service).or_insert(Report { to, open: vec![], ended: vec![] });
        if report.to == to {
            report.open.extend(open);
        }
    }

    /// Tells whether no report waits.
    pub fn all_sent(&self) -> bool {
        self.reports.is_empty()
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
        for (id, open) in owned_flows(placement, services) {
            let Some(&to) = self.placers.get(&id) else { continue };
            if !placement.places(id) {
                let ended = admission.take_ends(id);
                self.reports.insert(id, Report { to, open, ended });
                continue;
            }
            let service = placement.services().list().iter().find(|service| service.id == id);
            if let Some(service) = service {
                admission.seed(now, service, &mut open.into_iter());
            }
        }
    }
}

impl Report {
    fn is_sent(&self) -> bool {
        self.open.is_empty() && self.ended.is_empty()
    }

    /// Sends the next part; answers false if it has to wait.
    fn send_part(
        &mut self,
        service: ServiceId,
        placement: &Placement,
        out: &mut Outbox<'_>,
    ) -> bool {
        // Ends go first: they make room for the open flows that are told after them.
        if !self.ended.is_empty() {
            return self.send_ends(service, out);
        }
        let rest = self.open.len().saturating_sub(FLOWS_PER_MESSAGE);
        // The part may have waited: flows may have ended, or have got other owners, since.
        let known = |open: &&OpenFlow| placement.flows().get(open.flow);
        let is_open = |open: &&OpenFlow| known(open).is_some_and(|binding| !binding.closing());
        let part: Vec<_> = self.open[rest..].iter().filter(is_open).copied().collect();
        let sent = part.is_empty() || self.send_message(Message::Open(service, part), out);
        self.open.truncate(if sent { rest } else { self.open.len() });
        sent
    }

    fn send_ends(&mut self, service: ServiceId, out: &mut Outbox<'_>) -> bool {
        let rest = self.ended.len().saturating_sub(FLOWS_PER_MESSAGE);
        let part = self.ended[rest..].to_vec();
        let sent = self.send_message(Message::Ended(service, part), out);
        self.ended.truncate(if sent { rest } else { self.ended.len() });
        sent
    }

    fn send_message(&self, message: Message, out: &mut Outbox<'_>) -> bool {
        out.send(self.to, Class::Replicas, &Body::Admission(message))
    }
}

/// Asks the owners of flows; what the budget does not allow is asked again later.
fn ask(questions: Vec<Question>, placement: &Placement, out: &mut Outbox<'_>) {
    let mut by_owner: HashMap<_, Vec<_>> = HashMap::default();
    for Question { service, flow } in questions {
        if let Some(owner) = placement.owner(flow) {
            by_owner.entry((owner, service)).or_default().push(flow);
        }
    }
    for ((owner, service), flows) in by_owner {
        for part in flows.chunks(FLOWS_PER_MESSAGE) {
            let body = Body::Admission(Message::Ask(service, part.to_vec()));
            out.send(owner, Class::Replicas, &body);
        }
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
    found
}

/// Only the owner sees every end of a flow: what was learned may be over.
fn is_owned(binding: &Binding) -> bool {
    binding.role == Role::Owner && !binding.closing()
}
