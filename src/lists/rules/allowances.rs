//! Allowances: the flow limits of each plan for each service.

use serde::{Deserialize, Serialize};

use crate::hash::HashSet;
use crate::ids::PlanId;
use crate::settings::Findings;

/// The allowances of all plans, unchecked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAllowances {
    /// The plans in any order.
    #[serde(default)]
    pub plans: Vec<RawPlan>,
}

/// The allowances of one plan, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlan {
    /// Name of the plan.
    pub name: String,
    /// The allowed services, in any order.
    #[serde(default)]
    pub services: Vec<RawAllowance>,
}

/// A plan's limits for one service, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAllowance {
    /// Name of the service.
    pub service: String,
    /// Maximum open flows of each customer on the plan; at least 1.
    pub max_open_flows: u32,
    /// Maximum new flows per second of each customer on the plan; at least 1.
    pub max_new_flows_per_s: u32,
}

/// The limits of each customer on a plan for one service, over all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Maximum open flows.
    pub max_open_flows: u32,
    /// Maximum new flows per second.
    pub max_new_flows_per_s: u32,
}

/// The allowances of all plans, by the names of plans and services.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    list: Vec<(PlanId, Vec<(String, Allowance)>)>,
}

impl Allowances {
    /// Returns the plans in the order of their names, each with its services.
    pub fn list(&self) -> &[(PlanId, Vec<(String, Allowance)>)] {
        &self.list
    }
}

impl TryFrom<RawAllowances> for Allowances {
    type Error = Findings;

    fn try_from(raw: RawAllowances) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut names = HashSet::default();
        for plan in &raw.plans {
            if plan.name.is_empty() {
                findings.add("plans", "a plan's name is empty");
            }
            if !names.insert(plan.name.as_str()) {
                findings.add(format!("plans.{}", plan.name), "duplicate name");
            }
        }
        let mut list: Vec<_> =
            raw.plans.iter().map(|plan| check_plan(plan, &mut findings)).collect();
        list.sort_by(|a, b| a.0.cmp(&b.0));
        findings.into_result(Some(Self { list }))
    }
}

fn check_plan(raw: &RawPlan, f: &mut Findings) -> (PlanId, Vec<(String, Allowance)>) {
    let mut services = HashSet::default();
    for allowance in &raw.services {
        let location = format!("plans.{}.services.{}", raw.name, allowance.service);
        if !services.insert(allowance.service.as_str()) {
            f.add(&location, "duplicate service");
        }
        if allowance.max_open_flows == 0 {
            f.add(
                format!("{location}.max_open_flows"),
                "must be at least 1; to deny the service, omit it",
            );
        }
        if allowance.max_new_flows_per_s == 0 {
            f.add(
                format!("{location}.max_new_flows_per_s"),
                "must be at least 1; to deny the service, omit it",
            );
        }
    }
    let allowances = raw.services.iter().map(|raw| {
        let allowance = Allowance {
            max_open_flows: raw.max_open_flows,
            max_new_flows_per_s: raw.max_new_flows_per_s,
        };
        (raw.service.clone(), allowance)
    });
    (raw.name.clone(), allowances.collect())
}
