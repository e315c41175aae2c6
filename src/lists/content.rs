//! Contents of the operators' lists: as operators write them, as entries, and checked.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::rules::{ALLOWANCES_OBJECT_NAME, Allowances, PLANS_OBJECT_NAME, Plans};
use super::rules::{RawAllowances, RawCustomer, RawPlan, RawPlans};
use crate::services::{self, RawService, RawServices, Services};
use crate::settings::Findings;

/// The lists that operators keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListKind {
    /// The flow limits of each plan.
    Allowances,
    /// The plan and prefixes of each customer.
    Plans,
    /// The services and their targets. The largest list, and therefore the last.
    Services,
}

impl ListKind {
    /// All lists, in the order in which a new instance requests them.
    pub const ALL: [Self; 3] = [Self::Allowances, Self::Plans, Self::Services];

    /// Returns the name of the platform's object.
    pub fn object_name(self) -> &'static str {
        match self {
            Self::Allowances => ALLOWANCES_OBJECT_NAME,
            Self::Plans => PLANS_OBJECT_NAME,
            Self::Services => services::OBJECT_NAME,
        }
    }

    /// Returns the list that is stored in the platform's object of this name.
    pub fn from_object_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.object_name() == name)
    }
}

/// One entry of a list; the unit of deltas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A service with its targets.
    Service(RawService),
    /// A customer with its plan.
    Customer(RawCustomer),
    /// A plan with its allowances.
    Plan(RawPlan),
}

impl Entry {
    /// Returns the key, unique within a valid list.
    pub fn key(&self) -> String {
        match self {
            Self::Service(service) => service.id.to_string(),
            Self::Customer(customer) => customer.name.clone(),
            Self::Plan(plan) => plan.name.clone(),
        }
    }
}

/// Entries of one list by key.
pub type Entries = BTreeMap<String, Entry>;

/// A list that passed its checks.
#[derive(Debug, Clone)]
pub enum CheckedList {
    /// The services.
    Services(Arc<Services>),
    /// The plans.
    Plans(Arc<Plans>),
    /// The allowances.
    Allowances(Arc<Allowances>),
}

/// A list as operators write it, unchecked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawList {
    /// The services.
    Services(RawServices),
    /// The plans.
    Plans(RawPlans),
    /// The allowances.
    Allowances(RawAllowances),
}

impl RawList {
    /// Creates a list without entries.
    pub fn empty(kind: ListKind) -> Self {
        match kind {
            ListKind::Services => Self::Services(RawServices::default()),
            ListKind::Plans => Self::Plans(RawPlans::default()),
            ListKind::Allowances => Self::Allowances(RawAllowances::default()),
        }
    }

    /// Reads a list from JSON.
    ///
    /// # Errors
    ///
    /// Returns the location at which the value does not match the list's schema.
    pub fn from_json(kind: ListKind, value: Value) -> Result<Self, Findings> {
        fn read<T: DeserializeOwned>(kind: ListKind, value: Value) -> Result<T, Findings> {
            serde_json::from_value(value)
                .map_err(|e| Findings::single(kind.object_name(), e.to_string()))
        }
        Ok(match kind {
            ListKind::Services => Self::Services(read(kind, value)?),
            ListKind::Plans => Self::Plans(read(kind, value)?),
            ListKind::Allowances => Self::Allowances(read(kind, value)?),
        })
    }

    /// Reads a list from TOML.
    ///
    /// # Errors
    ///
    /// Returns the line and column at which the text does not match the list's schema.
    pub fn from_toml(kind: ListKind, text: &str) -> Result<Self, Findings> {
        fn read<T: DeserializeOwned>(text: &str) -> Result<T, Findings> {
            toml::from_str(text).map_err(|e| Findings::from_toml(text, &e))
        }
        Ok(match kind {
            ListKind::Services => Self::Services(read(text)?),
            ListKind::Plans => Self::Plans(read(text)?),
            ListKind::Allowances => Self::Allowances(read(text)?),
        })
    }

    /// Returns the list as JSON.
    pub fn to_json(&self) -> Value {
        let value = match self {
            Self::Services(raw) => serde_json::to_value(raw),
            Self::Plans(raw) => serde_json::to_value(raw),
            Self::Allowances(raw) => serde_json::to_value(raw),
        };
        // Lists hold only strings and numbers, which JSON can always express.
        value.unwrap_or_default()
    }

    /// Returns the list as TOML.
    pub fn to_toml(&self) -> String {
        let text = match self {
            Self::Services(raw) => toml::to_string(raw),
            Self::Plans(raw) => toml::to_string(raw),
            Self::Allowances(raw) => toml::to_string(raw),
        };
        // Lists hold only strings and numbers, which TOML can always express.
        text.unwrap_or_default()
    }

    /// Returns which list this is.
    pub fn kind(&self) -> ListKind {
        match self {
            Self::Services(_) => ListKind::Services,
            Self::Plans(_) => ListKind::Plans,
            Self::Allowances(_) => ListKind::Allowances,
        }
    }

    /// Checks the list without regard to the other lists.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its location.
    pub fn check(&self) -> Result<CheckedList, Findings> {
        Ok(match self {
            Self::Services(raw) => CheckedList::Services(Arc::new(raw.clone().try_into()?)),
            Self::Plans(raw) => CheckedList::Plans(Arc::new(raw.clone().try_into()?)),
            Self::Allowances(raw) => CheckedList::Allowances(Arc::new(raw.clone().try_into()?)),
        })
    }

    /// Returns the entries by key; of entries with the same key the last one stays.
    pub fn entries(&self) -> Entries {
        let entries: Vec<_> = match self {
            Self::Services(raw) => raw.services.iter().cloned().map(Entry::Service).collect(),
            Self::Plans(raw) => raw.customers.iter().cloned().map(Entry::Customer).collect(),
            Self::Allowances(raw) => raw.plans.iter().cloned().map(Entry::Plan).collect(),
        };
        entries.into_iter().map(|entry| (entry.key(), entry)).collect()
    }

    /// Creates a list from entries; entries of other kinds are ignored.
    pub fn from_entries(kind: ListKind, entries: &Entries) -> Self {
        let mut content = Self::empty(kind);
        for entry in entries.values() {
            match (&mut content, entry.clone()) {
                (Self::Services(raw), Entry::Service(service)) => raw.services.push(service),
                (Self::Plans(raw), Entry::Customer(customer)) => raw.customers.push(customer),
                (Self::Allowances(raw), Entry::Plan(plan)) => raw.plans.push(plan),
                _ => {}
            }
        }
        content
    }
}
