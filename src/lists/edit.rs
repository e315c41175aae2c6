//! The changes that operators make to the lists.

use serde_json::Value;

use super::rules::{RawAllowance, RawCustomer, RawPlan, cross_check};
use super::{Checked, Content, Edit, ListKind};
use crate::settings::Findings;

/// What changes in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// The list becomes this one.
    Replace(Content),
    /// A customer is added, or becomes this one.
    SetCustomer(RawCustomer),
    /// A plan gets an allowance, or the allowance becomes this one.
    SetAllowance {
        /// Name of the plan, which is added if it is new.
        plan: String,
        /// The allowance.
        allowance: RawAllowance,
    },
}

/// A change of one list, checked against the others.
#[derive(Debug, Clone)]
pub struct ListEdit {
    kind: ListKind,
    change: ListChange,
    others: Vec<Content>,
}

impl ListEdit {
    /// Makes an edit whose result has to agree with the other lists.
    pub fn new(kind: ListKind, change: ListChange, others: Vec<Content>) -> Self {
        Self { kind, change, others }
    }
}

impl Edit for ListEdit {
    fn object(&self) -> &str {
        self.kind.object()
    }

    fn edit(&self, old: &Value) -> Result<Value, Findings> {
        let old = match old {
            Value::Null => Content::empty(self.kind),
            old => Content::from_json(self.kind, old.clone())?,
        };
        let new = apply(old, &self.change);
        check_all(&new, &self.others)?;
        Ok(new.to_json())
    }
}

fn apply(old: Content, change: &ListChange) -> Content {
    match (old, change) {
        (_, ListChange::Replace(content)) => content.clone(),
        (Content::Plans(mut raw), ListChange::SetCustomer(customer)) => {
            raw.customers.retain(|known| known.name != customer.name);
            raw.customers.push(customer.clone());
            Content::Plans(raw)
        }
        (Content::Allowances(mut raw), ListChange::SetAllowance { plan, allowance }) => {
            let known = raw.plans.iter().position(|known| known.name == *plan);
            let i = known.unwrap_or_else(|| {
                raw.plans.push(RawPlan { name: plan.clone(), services: Vec::new() });
                raw.plans.len() - 1
            });
            let services = &mut raw.plans[i].services;
            services.retain(|known| known.service != allowance.service);
            services.push(allowance.clone());
            Content::Allowances(raw)
        }
        (old, _) => old,
    }
}

/// Checks a list by itself and against the others; a list that is missing is empty.
///
/// # Errors
///
/// Returns all findings, each with its place.
pub fn check_all(new: &Content, others: &[Content]) -> Result<(), Findings> {
    let mut checked = vec![new.check()?];
    // Another list that is wrong by itself is not this change's fault: it counts as empty.
    checked.extend(others.iter().filter_map(|other| other.check().ok()));
    let (mut plans, mut allowances, mut services) = Default::default();
    for list in checked.into_iter().rev() {
        match list {
            Checked::Plans(list) => plans = list,
            Checked::Allowances(list) => allowances = list,
            Checked::Services(list) => services = list,
        }
    }
    cross_check(&plans, &allowances, &services)
}
