//! Admission by the operators' rules.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use super::account::Account;
use super::ends::EndsElsewhere;
use super::ledger::{End, Ledger};
use super::retry::spread;
use super::tombstones::Tombstones;
use crate::flow::Classified;
use crate::ids::{Customer, FlowId, ServiceId};
use crate::lists::{Allowance, Rules};
use crate::pipeline::{Admission, OpenFlow, Question, Refusal};
use crate::placement::{FlowTable, RefuseReason};
use crate::services::Service;

/// Least time after which a caller whose plan lacks the service may come back: only a
/// change of the lists lets it in.
const PLAN_CHANGE: Duration = Duration::from_secs(30);

/// Counts the open and new flows of each customer and service against its allowance.
///
/// While there are no rules, every flow is admitted and none is counted.
#[derive(Debug)]
pub struct RuleAdmission {
    rules: Option<Arc<Rules>>,
    ledger: Ledger,
    /// Flows that ended lately, which a report that was under way must not count again.
    ended: Tombstones,
    ends: EndsElsewhere,
    questions: Vec<Question>,
    rng: SmallRng,
}

impl RuleAdmission {
    /// Makes an admission without rules; `rng` spreads the callers that are refused.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rules: None,
            ledger: Ledger::default(),
            ended: Tombstones::default(),
            ends: EndsElsewhere::default(),
            questions: Vec::new(),
            rng,
        }
    }

    /// Returns the open flows that are counted for a customer and service.
    pub fn open(&self, service: ServiceId, customer: &str) -> u32 {
        self.ledger.account(service, customer).map_or(0, Account::open)
    }

    /// Returns the number of flows and of accounts that are held.
    pub fn held(&self) -> (usize, usize) {
        (self.ledger.flows(), self.ledger.accounts().count())
    }

    fn refuse_plan(&mut self) -> Refusal {
        let retry_after = spread(&mut self.rng, PLAN_CHANGE, f64::INFINITY, 1.0);
        Refusal { reason: RefuseReason::NotInPlan, retry_after }
    }
}

impl Admission for RuleAdmission {
    fn admit(&mut self, now: Duration, class: &Classified<'_>) -> Result<(), Refusal> {
        let Some(rules) = self.rules.clone() else { return Ok(()) };
        if self.ledger.counts(class.flow) {
            // The caller repeats its first packet, or uses the port of a flow whose end was
            // lost: the flow has its place in the count.
            return Ok(());
        }
        let service = class.service;
        let Some((customer, allowance)) = rule(&rules, *class.caller.ip(), service.id) else {
            return Err(self.refuse_plan());
        };
        let (id, account) =
            self.ledger.account_mut(now, service.id, customer, service.idle_timeout);
        account.admit(now, allowance, &mut self.rng)?;
        self.ledger.opened(now, class.flow, id);
        self.ended.remove(class.flow);
        Ok(())
    }

    fn closed(&mut self, now: Duration, service: ServiceId, flow: FlowId) {
        let news = match self.ledger.ended(now, flow) {
            End::Opened => false,
            End::Found => true,
            End::Unknown => self.rules.is_some() && !self.ended.contains(flow),
        };
        if news {
            self.ends.add(service, flow);
        }
        self.ended.add(flow);
    }

    fn take_ends(&mut self, service: ServiceId) -> Vec<FlowId> {
        self.ends.take(service)
    }

    fn set_rules(&mut self, _now: Duration, rules: Arc<Rules>) {
        self.rules = Some(rules);
    }

    fn seed(
        &mut self,
        now: Duration,
        service: &Service,
        flows: &mut dyn Iterator<Item = OpenFlow>,
    ) {
        let Some(rules) = self.rules.clone() else { return };
        for OpenFlow { flow, caller } in flows {
            if self.ledger.confirm(now, flow) || self.ended.contains(flow) {
                continue;
            }
            let Some(customer) = rules.customer_of(caller) else { continue };
            let idle_timeout = service.idle_timeout;
            let (id, _) = self.ledger.account_mut(now, service.id, customer, idle_timeout);
            self.ledger.found(now, flow, id);
        }
    }

    fn keep_services(&mut self, placed: &dyn Fn(ServiceId) -> bool) {
        self.ledger.keep_services(placed);
        self.ends.keep_services(placed);
    }

    fn take_questions(&mut self) -> Vec<Question> {
        std::mem::take(&mut self.questions)
    }

    fn tick(&mut self, now: Duration, known: &FlowTable) {
        self.ledger.sweep(now, known, &mut self.questions);
        self.ended.age(now);
    }
}

/// Finds the customer of a caller and what it may use of a service; none if nothing.
fn rule(rules: &Rules, caller: Ipv4Addr, service: ServiceId) -> Option<(&Customer, Allowance)> {
    let customer = rules.customer_of(caller)?;
    Some((customer, rules.allowance(customer, service)?))
}
