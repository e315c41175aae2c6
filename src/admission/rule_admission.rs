//! Admission by the operators' plans and allowances.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use super::account::Account;
use super::flow_counts::{FlowCounts, FlowOrigin};
use super::retry::draw_retry_after;
use super::tombstones::Tombstones;
use super::unreported_ends::UnreportedEnds;
use crate::flow::ClassifiedPacket;
use crate::ids::{Customer, FlowId, ServiceId};
use crate::lists::{AdmissionRules, Allowance};
use crate::pipeline::{Admission, OpenFlow, OpenFlowQuery, Refusal};
use crate::placement::{FlowTable, RefuseReason};
use crate::services::Service;

/// Lower bound of the retry delay of a caller whose plan lacks the service. It is long, as
/// only a change of the operators' lists can admit the caller.
const MIN_PLAN_RETRY: Duration = Duration::from_secs(30);

/// Counts the open and new flows of each customer and service against its allowance.
///
/// Until rules are set, every flow is admitted and none is counted.
#[derive(Debug)]
pub struct RuleAdmission {
    rules: Option<Arc<AdmissionRules>>,
    counts: FlowCounts,
    /// Recently ended flows; a report sent before their end must not count them again.
    tombstones: Tombstones,
    unreported_ends: UnreportedEnds,
    queries: Vec<OpenFlowQuery>,
    rng: SmallRng,
}

impl RuleAdmission {
    /// Creates an admission control without rules; `rng` spreads the retries of refused callers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rules: None,
            counts: FlowCounts::default(),
            tombstones: Tombstones::default(),
            unreported_ends: UnreportedEnds::default(),
            queries: Vec::new(),
            rng,
        }
    }

    /// Returns the number of open flows counted for a customer and service.
    pub fn open_flows(&self, service: ServiceId, customer: &str) -> u32 {
        self.counts.account(service, customer).map_or(0, Account::open_flows)
    }

    /// Returns the number of counted flows and of accounts.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.counts.flow_count(), self.counts.accounts().count())
    }

    fn refuse_not_in_plan(&mut self) -> Refusal {
        let retry_after = draw_retry_after(&mut self.rng, MIN_PLAN_RETRY, f64::INFINITY, 1.0);
        Refusal { reason: RefuseReason::NotInPlan, retry_after }
    }
}

impl Admission for RuleAdmission {
    fn admit(&mut self, now: Duration, class: &ClassifiedPacket<'_>) -> Result<(), Refusal> {
        let Some(rules) = self.rules.clone() else { return Ok(()) };
        if self.counts.contains(class.flow) {
            // The caller retransmits its first packet, or reuses the port of a flow whose end
            // was lost: the flow is counted already.
            return Ok(());
        }
        let service = class.service;
        let Some((customer, allowance)) = find_allowance(&rules, *class.caller.ip(), service.id)
        else {
            return Err(self.refuse_not_in_plan());
        };
        let (id, account) =
            self.counts.account_or_insert(now, service.id, customer, service.idle_timeout);
        account.admit(now, allowance, &mut self.rng)?;
        self.counts.add_opened(now, class.flow, id);
        self.tombstones.remove(class.flow);
        Ok(())
    }

    fn flow_ended(&mut self, now: Duration, service: ServiceId, flow: FlowId) {
        let needs_report = match self.counts.remove_ended(now, flow) {
            FlowOrigin::Opened => false,
            FlowOrigin::Inherited => true,
            FlowOrigin::Unknown => self.rules.is_some() && !self.tombstones.contains(flow),
        };
        if needs_report {
            self.unreported_ends.add(service, flow);
        }
        self.tombstones.add(flow);
    }

    fn take_ended_flows(&mut self, service: ServiceId) -> Vec<FlowId> {
        self.unreported_ends.take(service)
    }

    fn set_rules(&mut self, _now: Duration, rules: Arc<AdmissionRules>) {
        self.rules = Some(rules);
    }

    fn add_open_flows(
        &mut self,
        now: Duration,
        service: &Service,
        flows: &mut dyn Iterator<Item = OpenFlow>,
    ) {
        let Some(rules) = self.rules.clone() else { return };
        for OpenFlow { flow, caller } in flows {
            if self.counts.confirm(now, flow) || self.tombstones.contains(flow) {
                continue;
            }
            let Some(customer) = rules.customer_of(caller) else { continue };
            let idle_timeout = service.idle_timeout;
            let (id, _) = self.counts.account_or_insert(now, service.id, customer, idle_timeout);
            self.counts.add_inherited(now, flow, id);
        }
    }

    fn retain_services(&mut self, placed: &dyn Fn(ServiceId) -> bool) {
        self.counts.retain_services(placed);
        self.unreported_ends.retain_services(placed);
    }

    fn take_queries(&mut self) -> Vec<OpenFlowQuery> {
        std::mem::take(&mut self.queries)
    }

    fn tick(&mut self, now: Duration, flow_table: &FlowTable) {
        self.counts.sweep(now, flow_table, &mut self.queries);
        self.tombstones.rotate(now);
    }
}

/// Returns the customer of a caller and its allowance for a service, or `None` if no customer
/// matches or its plan lacks the service.
fn find_allowance(
    rules: &AdmissionRules,
    caller: Ipv4Addr,
    service: ServiceId,
) -> Option<(&Customer, Allowance)> {
    let customer = rules.customer_of(caller)?;
    Some((customer, rules.allowance(customer, service)?))
}
