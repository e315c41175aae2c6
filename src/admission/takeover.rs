//! Takeover of a service by a new placer: the owners report its open flows to it.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Message;
use crate::budget::Class;
use crate::hash::HashMap;
use crate::ids::{FlowId, InstanceId, ServiceId};
use crate::link::Outbox;
use crate::peer::Body;
use crate::pipeline::{Admission, OpenFlow, OpenFlowQuery};
use crate::placement::{Binding, Placement, Role};

/// Maximum number of flows in one message, so that it fits into one datagram.
const MAX_FLOWS_PER_MESSAGE: usize = 80;

/// Flows that are yet to be reported to a placer.
#[derive(Debug)]
struct PendingReport {
    to: InstanceId,
    open_flows: Vec<OpenFlow>,
    ended_flows: Vec<FlowId>,
}

/// The current placers of all services, and the reports to placers that wait for the control
/// budget.
#[derive(Debug, Default)]
pub struct Takeovers {
    placers: HashMap<ServiceId, InstanceId>,
    reports: HashMap<ServiceId, PendingReport>,
    has_rules: bool,
}

impl Takeovers {
    /// Finds the services whose placer has changed, and counts their open flows or reports
    /// them to the new placer. Has to be called after each change of members or services.
    pub fn on_placement_change(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        let services = placement.services().list();
        let placers = services.iter().filter_map(|s| Some((s.id, placement.placer(s.id)?)));
        let placers: HashMap<_, _> = placers.collect();
        let before = std::mem::replace(&mut self.placers, placers);
        let placers = self.placers.iter();
        let changed = placers.filter(|(service, placer)| before.get(service) != Some(placer));
        let changed: Vec<_> = changed.map(|(&service, _)| service).collect();
        self.reports.retain(|service, report| self.placers.get(service) == Some(&report.to));
        self.report_open_flows(now, placement, admission, changed);
        admission.retain_services(&|service| placement.is_placer(service));
    }

    /// Counts or reports all open flows when the first rules arrive: until then, none is
    /// counted.
    pub fn on_rules(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        if std::mem::replace(&mut self.has_rules, true) {
            return;
        }
        let services = self.placers.keys().copied().collect();
        self.report_open_flows(now, placement, admission, services);
    }

    /// Handles a message from another instance.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: Message,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        match message {
            Message::OpenFlows(id, flows) => {
                let services = placement.services().list();
                if let Some(service) = services.iter().find(|service| service.id == id) {
                    admission.add_open_flows(now, service, &mut flows.into_iter());
                }
            }
            Message::EndedFlows(id, flows) => {
                flows.into_iter().for_each(|flow| admission.flow_ended(now, id, flow));
            }
            Message::Query(id, flows) => self.on_query(id, flows, from, placement),
        }
    }

    /// Sends the queries and pending reports that the budget allows; called about ten times a
    /// second.
    pub fn send(
        &mut self,
        placement: &Placement,
        admission: &mut dyn Admission,
        out: &mut Outbox<'_>,
    ) {
        send_queries(admission.take_queries(), placement, out);
        self.reports.retain(|&service, report| {
            while !report.is_sent() && report.send_next(service, placement, out) {}
            !report.is_sent()
        });
    }

    /// Extends the pending report for the placer by those of the queried flows that are open.
    fn on_query(
        &mut self,
        service: ServiceId,
        flows: Vec<FlowId>,
        to: InstanceId,
        placement: &Placement,
    ) {
        let known = |&flow: &FlowId| placement.flows().get(flow).is_some_and(is_owned_and_open);
        // The placer counts these flows already and needs no caller address.
        let open = |flow| OpenFlow { flow, caller: Ipv4Addr::UNSPECIFIED };
        let open = flows.into_iter().filter(known).map(open);
        let report = self.reports.entry(service).or_insert(PendingReport {
            to,
            open_flows: vec![],
            ended_flows: vec![],
        });
        if report.to == to {
            report.open_flows.extend(open);
        }
    }

    /// Returns whether no report is pending.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    fn report_open_flows(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
        services: Vec<ServiceId>,
    ) {
        if !self.has_rules || services.is_empty() {
            return;
        }
        for (id, open_flows) in owned_open_flows(placement, services) {
            let Some(&to) = self.placers.get(&id) else { continue };
            if !placement.is_placer(id) {
                let ended_flows = admission.take_ended_flows(id);
                self.reports.insert(id, PendingReport { to, open_flows, ended_flows });
                continue;
            }
            let service = placement.services().list().iter().find(|service| service.id == id);
            if let Some(service) = service {
                admission.add_open_flows(now, service, &mut open_flows.into_iter());
            }
        }
    }
}

impl PendingReport {
    fn is_sent(&self) -> bool {
        self.open_flows.is_empty() && self.ended_flows.is_empty()
    }

    /// Sends the next message; returns false if the budget does not allow it yet.
    fn send_next(
        &mut self,
        service: ServiceId,
        placement: &Placement,
        out: &mut Outbox<'_>,
    ) -> bool {
        // Ends go first: they free allowance for the open flows that are reported after them.
        if !self.ended_flows.is_empty() {
            return self.send_ended_flows(service, out);
        }
        let rest = self.open_flows.len().saturating_sub(MAX_FLOWS_PER_MESSAGE);
        // While the report was pending, flows may have ended or changed owners.
        let known = |open: &&OpenFlow| placement.flows().get(open.flow);
        let is_open = |open: &&OpenFlow| known(open).is_some_and(|binding| !binding.closing());
        let part: Vec<_> = self.open_flows[rest..].iter().filter(is_open).copied().collect();
        let sent = part.is_empty() || self.send_message(Message::OpenFlows(service, part), out);
        self.open_flows.truncate(if sent { rest } else { self.open_flows.len() });
        sent
    }

    fn send_ended_flows(&mut self, service: ServiceId, out: &mut Outbox<'_>) -> bool {
        let rest = self.ended_flows.len().saturating_sub(MAX_FLOWS_PER_MESSAGE);
        let part = self.ended_flows[rest..].to_vec();
        let sent = self.send_message(Message::EndedFlows(service, part), out);
        self.ended_flows.truncate(if sent { rest } else { self.ended_flows.len() });
        sent
    }

    fn send_message(&self, message: Message, out: &mut Outbox<'_>) -> bool {
        out.send(self.to, Class::Replicas, &Body::Admission(message))
    }
}

/// Sends queries to the owners of flows. Queries that exceed the budget are dropped; a later
/// sweep repeats them.
fn send_queries(queries: Vec<OpenFlowQuery>, placement: &Placement, out: &mut Outbox<'_>) {
    let mut by_owner: HashMap<_, Vec<_>> = HashMap::default();
    for OpenFlowQuery { service, flow } in queries {
        if let Some(owner) = placement.owner(flow) {
            by_owner.entry((owner, service)).or_default().push(flow);
        }
    }
    for ((owner, service), flows) in by_owner {
        for part in flows.chunks(MAX_FLOWS_PER_MESSAGE) {
            let body = Body::Admission(Message::Query(service, part.to_vec()));
            out.send(owner, Class::Replicas, &body);
        }
    }
}

/// Returns the open flows that this instance owns, by service, for the given services.
fn owned_open_flows(
    placement: &Placement,
    services: Vec<ServiceId>,
) -> HashMap<ServiceId, Vec<OpenFlow>> {
    let mut by_service: HashMap<_, Vec<_>> =
        services.into_iter().map(|id| (id, Vec::new())).collect();
    for (flow, binding) in placement.flows().iter() {
        let Some((service, _)) = placement.services().target(binding.target) else { continue };
        let Some(flows) = by_service.get_mut(&service.id) else { continue };
        if let (true, Some(caller)) = (is_owned_and_open(binding), binding.caller()) {
            flows.push(OpenFlow { flow, caller: *caller.ip() });
        }
    }
    by_service
}

/// Returns whether this instance owns the flow and the flow is open. Only the owner sees every
/// end; records from other instances may belong to ended flows.
fn is_owned_and_open(binding: &Binding) -> bool {
    binding.role == Role::Owner && !binding.closing()
}
