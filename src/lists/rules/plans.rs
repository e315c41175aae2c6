//! Plans: the plan and the prefixes of each customer.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Prefix;
use crate::hash::{HashMap, HashSet};
use crate::ids::{Customer, PlanId};
use crate::settings::Findings;

/// The plans of all customers, unchecked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlans {
    /// The customers in any order.
    #[serde(default)]
    pub customers: Vec<RawCustomer>,
}

/// One customer, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomer {
    /// Name of the customer.
    pub name: String,
    /// Name of the plan that the customer is on.
    pub plan: String,
    /// IPv4 prefixes of the customer's callers; at least one.
    pub prefixes: Vec<String>,
}

/// One customer with its plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerPlan {
    /// Name of the customer.
    pub customer: Customer,
    /// Name of the plan that the customer is on.
    pub plan: PlanId,
    /// IPv4 prefixes of the customer's callers.
    pub prefixes: Vec<Prefix>,
}

/// The plans of all customers, with lookups by caller address and by name.
#[derive(Debug, Clone, Default)]
pub struct Plans {
    list: Vec<CustomerPlan>,
    /// All prefixes in the order of their first addresses, each with its index in `list`; no
    /// two overlap.
    by_prefix: Vec<(Prefix, usize)>,
    by_name: HashMap<Customer, usize>,
}

impl Plans {
    /// Returns all customers in the order of their names.
    pub fn list(&self) -> &[CustomerPlan] {
        &self.list
    }

    /// Returns the customer whose prefix contains the caller's address.
    pub fn customer_of(&self, caller: Ipv4Addr) -> Option<&CustomerPlan> {
        // No two prefixes overlap, so only the last one that begins at or before the caller
        // can contain it.
        let after = self.by_prefix.partition_point(|(prefix, _)| prefix.first() <= caller);
        let (prefix, customer) = self.by_prefix.get(after.checked_sub(1)?)?;
        prefix.contains(caller).then(|| &self.list[*customer])
    }

    /// Returns the plan that a customer is on.
    pub fn plan_of(&self, customer: &str) -> Option<&PlanId> {
        self.by_name.get(customer).map(|&i| &self.list[i].plan)
    }

    fn index(mut list: Vec<CustomerPlan>) -> Self {
        list.sort_by(|a, b| a.customer.cmp(&b.customer));
        let names = list.iter().enumerate();
        let by_name = names.map(|(i, found)| (found.customer.clone(), i)).collect();
        let mut by_prefix: Vec<_> = list
            .iter()
            .enumerate()
            .flat_map(|(i, found)| found.prefixes.iter().map(move |&prefix| (prefix, i)))
            .collect();
        by_prefix.sort_unstable();
        Self { list, by_prefix, by_name }
    }
}

impl TryFrom<RawPlans> for Plans {
    type Error = Findings;

    fn try_from(raw: RawPlans) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let checked: Vec<_> =
            raw.customers.iter().map(|customer| check_customer(customer, &mut findings)).collect();
        find_duplicates(&raw, &mut findings);
        let plans = Self::index(checked);
        find_overlaps(&plans, &mut findings);
        findings.into_result(Some(plans))
    }
}

fn check_customer(raw: &RawCustomer, f: &mut Findings) -> CustomerPlan {
    let location = |key: &str| format!("customers.{}.{key}", raw.name);
    if raw.name.is_empty() {
        f.add(location("name"), "is empty");
    }
    if raw.plan.is_empty() {
        f.add(location("plan"), "is empty");
    }
    if raw.prefixes.is_empty() {
        f.add(location("prefixes"), "is empty, so no caller would match");
    }
    let prefixes = raw.prefixes.iter().enumerate();
    let prefixes = prefixes
        .filter_map(|(i, text)| {
            f.ok_or_add(location(&format!("prefixes[{i}]")), Prefix::try_from(text.as_str()))
        })
        .collect();
    CustomerPlan { customer: raw.name.clone(), plan: raw.plan.clone(), prefixes }
}

fn find_duplicates(raw: &RawPlans, f: &mut Findings) {
    let mut names = HashSet::default();
    for customer in &raw.customers {
        if !names.insert(customer.name.as_str()) {
            f.add(format!("customers.{}", customer.name), "duplicate name");
        }
    }
}

/// Reports overlapping prefixes: a caller in two of them would match two customers.
fn find_overlaps(plans: &Plans, f: &mut Findings) {
    let mut widest: Option<(Prefix, usize)> = None;
    for &(prefix, owner) in &plans.by_prefix {
        match widest {
            Some((wide, other)) if wide.overlaps(&prefix) => {
                let location = format!("customers.{}.prefixes", plans.list[owner].customer);
                let other = &plans.list[other].customer;
                f.add(location, format!("{prefix} overlaps {wide} of {other}"));
            }
            _ => widest = Some((prefix, owner)),
        }
    }
}
