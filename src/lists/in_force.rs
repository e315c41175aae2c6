//! The lists that are in force on an instance.

use std::sync::Arc;

use super::held::Held;
use super::rules::{Allowances, Plans};
use super::{Checked, ListKind, Rules, Versions};
use crate::ids::Version;
use crate::services::Services;

/// The lists as operators wrote them, and as other parts use them.
#[derive(Debug, Default)]
pub(super) struct InForce {
    allowances: Held,
    plans: Held,
    services: Held,
    checked_allowances: Arc<Allowances>,
    checked_plans: Arc<Plans>,
    checked_services: Arc<Services>,
    fresh_services: bool,
    fresh_rules: bool,
}

impl InForce {
    pub(super) fn held(&self, kind: ListKind) -> &Held {
        match kind {
            ListKind::Allowances => &self.allowances,
            ListKind::Plans => &self.plans,
            ListKind::Services => &self.services,
        }
    }

    pub(super) fn held_mut(&mut self, kind: ListKind) -> &mut Held {
        match kind {
            ListKind::Allowances => &mut self.allowances,
            ListKind::Plans => &mut self.plans,
            ListKind::Services => &mut self.services,
        }
    }

    pub(super) fn versions(&self) -> Versions {
        Versions {
            allowances: self.allowances.version(),
            plans: self.plans.version(),
            services: self.services.version(),
        }
    }

    /// Takes a list after its check; it is held already.
    pub(super) fn put(&mut self, checked: Checked) {
        self.fresh_rules = true;
        match checked {
            Checked::Services(services) => {
                self.checked_services = services;
                self.fresh_services = true;
            }
            Checked::Plans(plans) => self.checked_plans = plans,
            Checked::Allowances(allowances) => self.checked_allowances = allowances,
        }
    }

    /// Returns the services if they have changed since the last call.
    pub(super) fn take_services(&mut self) -> Option<(Version, Arc<Services>)> {
        let fresh = std::mem::take(&mut self.fresh_services);
        fresh.then(|| (self.services.version(), Arc::clone(&self.checked_services)))
    }

    /// Returns the rules if there are plans, and a list has changed since the last call.
    pub(super) fn take_rules(&mut self) -> Option<Arc<Rules>> {
        if self.plans.version() == 0 || !std::mem::take(&mut self.fresh_rules) {
            return None;
        }
        let plans = Plans::clone(&self.checked_plans);
        Some(Arc::new(Rules::join(plans, &self.checked_allowances, &self.checked_services)))
    }
}
