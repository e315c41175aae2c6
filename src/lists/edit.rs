//! Edits of the lists by operators.

use serde_json::Value;

use super::rules::{RawAllowance, RawCustomer, RawPlan, cross_check};
use super::{CheckedList, Edit, ListKind, RawList};
use crate::settings::Findings;

/// A change to a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// Replaces the whole list.
    Replace(RawList),
    /// Adds a customer, or replaces the one of that name.
    SetCustomer(RawCustomer),
    /// Sets a plan's allowance for one service.
    SetAllowance {
        /// Name of the plan, which is added if it is new.
        plan: String,
        /// The allowance.
        allowance: RawAllowance,
    },
}

/// An edit of one list, checked against the other lists.
#[derive(Debug, Clone)]
pub struct ListEdit {
    kind: ListKind,
    change: ListChange,
    others: Vec<RawList>,
}

impl ListEdit {
    /// Creates an edit whose result has to be consistent with the other lists.
    pub fn new(kind: ListKind, change: ListChange, others: Vec<RawList>) -> Self {
        Self { kind, change, others }
    }
}

impl Edit for ListEdit {
    fn object_name(&self) -> &str {
        self.kind.object_name()
    }

    fn edit(&self, old: &Value) -> Result<Value, Findings> {
        let old = match old {
            Value::Null => RawList::empty(self.kind),
            old => RawList::from_json(self.kind, old.clone())?,
        };
        let new = apply(old, &self.change);
        check_with_others(&new, &self.others)?;
        Ok(new.to_json())
    }
}

fn apply(old: RawList, change: &ListChange) -> RawList {
    match (old, change) {
        (_, ListChange::Replace(content)) => content.clone(),
        (RawList::Plans(mut raw), ListChange::SetCustomer(customer)) => {
            raw.customers.retain(|existing| existing.name != customer.name);
            raw.customers.push(customer.clone());
            RawList::Plans(raw)
        }
        (RawList::Allowances(mut raw), ListChange::SetAllowance { plan, allowance }) => {
            let found = raw.plans.iter().position(|existing| existing.name == *plan);
            let i = found.unwrap_or_else(|| {
                raw.plans.push(RawPlan { name: plan.clone(), services: Vec::new() });
                raw.plans.len() - 1
            });
            let services = &mut raw.plans[i].services;
            services.retain(|existing| existing.service != allowance.service);
            services.push(allowance.clone());
            RawList::Allowances(raw)
        }
        (old, _) => old,
    }
}

/// Checks a list by itself and against the other lists; a missing list counts as empty.
///
/// # Errors
///
/// Returns all findings, each with its location.
pub fn check_with_others(new: &RawList, others: &[RawList]) -> Result<(), Findings> {
    let mut checked = vec![new.check()?];
    // An invalid other list is not an error of this edit: it counts as empty.
    checked.extend(others.iter().filter_map(|other| other.check().ok()));
    let (mut plans, mut allowances, mut services) = Default::default();
    for list in checked.into_iter().rev() {
        match list {
            CheckedList::Plans(list) => plans = list,
            CheckedList::Allowances(list) => allowances = list,
            CheckedList::Services(list) => services = list,
        }
    }
    cross_check(&plans, &allowances, &services)
}
