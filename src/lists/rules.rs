//! Admission rules: the operators' plans and allowances, checked and joined.

mod allowances;
mod plans;
mod prefix;

pub use allowances::{Allowance, Allowances, RawAllowance, RawAllowances, RawPlan};
pub use plans::{CustomerPlan, Plans, RawCustomer, RawPlans};
pub use prefix::Prefix;

use std::net::Ipv4Addr;

use crate::hash::{HashMap, HashSet};
use crate::ids::{Customer, PlanId, ServiceId};
use crate::services::Services;
use crate::settings::Findings;

/// Name of the object that holds the plans of customers.
pub const PLANS_OBJECT_NAME: &str = "plans";
/// Name of the object that holds the allowances of plans.
pub const ALLOWANCES_OBJECT_NAME: &str = "allowances";

/// Plans and allowances joined, with lookups for admission.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRules {
    plans: Plans,
    by_plan: HashMap<PlanId, HashMap<ServiceId, Allowance>>,
}

impl AdmissionRules {
    /// Joins the lists with the active services.
    ///
    /// The objects reach an instance one after the other. A reference to a plan or service
    /// that is not known yet is therefore no error here: it allows nothing.
    pub fn join(plans: Plans, allowances: &Allowances, services: &Services) -> Self {
        let ids: HashMap<_, _> =
            services.list().iter().map(|service| (service.name.as_str(), service.id)).collect();
        let by_plan = allowances.list().iter().map(|(plan, by_service)| {
            let known = by_service
                .iter()
                .filter_map(|(service, allowance)| Some((*ids.get(service.as_str())?, *allowance)));
            (plan.clone(), known.collect())
        });
        Self { by_plan: by_plan.collect(), plans }
    }

    /// Returns the customer whose prefix contains the caller's address.
    pub fn customer_of(&self, caller: Ipv4Addr) -> Option<&Customer> {
        self.plans.customer_of(caller).map(|found| &found.customer)
    }

    /// Returns a customer's allowance for a service; none if its plan lacks the service.
    pub fn allowance(&self, customer: &str, service: ServiceId) -> Option<Allowance> {
        let plan = self.plans.plan_of(customer)?;
        self.by_plan.get(plan)?.get(&service).copied()
    }

    /// Returns all customers in the order of their names.
    pub fn customers(&self) -> &[CustomerPlan] {
        self.plans.list()
    }
}

/// Checks the references between the lists and to the services.
///
/// # Errors
///
/// Returns all findings: customers on unknown plans, and allowances for unknown services.
pub fn cross_check(
    plans: &Plans,
    allowances: &Allowances,
    services: &Services,
) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let known_plans: HashSet<_> = allowances.list().iter().map(|(plan, _)| plan).collect();
    for customer in plans.list() {
        if !known_plans.contains(&customer.plan) {
            let location = format!("customers.{}.plan", customer.customer);
            findings.add(location, format!("there is no plan {:?}", customer.plan));
        }
    }
    let known_services: HashSet<_> = services.list().iter().map(|s| s.name.as_str()).collect();
    for (plan, by_service) in allowances.list() {
        for (service, _) in by_service {
            if !known_services.contains(service.as_str()) {
                let location = format!("plans.{plan}.services.{service}");
                findings.add(location, "there is no such service");
            }
        }
    }
    findings.into_result(Some(()))
}
