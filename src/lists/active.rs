//! The active lists of an instance.

use std::sync::Arc;

use super::rules::{Allowances, Plans};
use super::versioned_list::VersionedList;
use super::{AdmissionRules, CheckedList, ListKind, ListVersions};
use crate::ids::Version;
use crate::services::Services;

/// The active lists, raw for replication and checked for use.
#[derive(Debug, Default)]
pub(super) struct ActiveLists {
    allowances: VersionedList,
    plans: VersionedList,
    services: VersionedList,
    checked_allowances: Arc<Allowances>,
    checked_plans: Arc<Plans>,
    checked_services: Arc<Services>,
    services_changed: bool,
    rules_changed: bool,
}

impl ActiveLists {
    pub(super) fn list(&self, kind: ListKind) -> &VersionedList {
        match kind {
            ListKind::Allowances => &self.allowances,
            ListKind::Plans => &self.plans,
            ListKind::Services => &self.services,
        }
    }

    pub(super) fn list_mut(&mut self, kind: ListKind) -> &mut VersionedList {
        match kind {
            ListKind::Allowances => &mut self.allowances,
            ListKind::Plans => &mut self.plans,
            ListKind::Services => &mut self.services,
        }
    }

    pub(super) fn versions(&self) -> ListVersions {
        ListVersions {
            allowances: self.allowances.version(),
            plans: self.plans.version(),
            services: self.services.version(),
        }
    }

    /// Activates a checked list whose entries are installed already.
    pub(super) fn set(&mut self, checked: CheckedList) {
        self.rules_changed = true;
        match checked {
            CheckedList::Services(services) => {
                self.checked_services = services;
                self.services_changed = true;
            }
            CheckedList::Plans(plans) => self.checked_plans = plans,
            CheckedList::Allowances(allowances) => self.checked_allowances = allowances,
        }
    }

    /// Returns the services and their version if they have changed since the last call.
    pub(super) fn take_services(&mut self) -> Option<(Version, Arc<Services>)> {
        let changed = std::mem::take(&mut self.services_changed);
        changed.then(|| (self.services.version(), Arc::clone(&self.checked_services)))
    }

    /// Returns the rules if there are plans and any list has changed since the last call.
    pub(super) fn take_rules(&mut self) -> Option<Arc<AdmissionRules>> {
        if self.plans.version() == 0 || !std::mem::take(&mut self.rules_changed) {
            return None;
        }
        let plans = Plans::clone(&self.checked_plans);
        Some(Arc::new(AdmissionRules::join(
            plans,
            &self.checked_allowances,
            &self.checked_services,
        )))
    }
}
