//! The operators' objects: adopted in rising versions, and spread among instances.

mod message;
pub mod rules;

pub use message::Message;
pub use rules::{Allowance, Rules};

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::rngs::SmallRng;

use crate::ids::{InstanceId, Version};
use crate::link::Outbox;
use crate::platform::Object;
use crate::services::{self, RawServices, Services};
use crate::settings::Findings;

/// The operators' objects as this instance has them.
#[derive(Debug)]
pub struct Lists {
    services_version: Version,
    services: Option<Arc<Services>>,
    fresh_services: bool,
    fresh_rules: Option<Arc<Rules>>,
}

impl Lists {
    /// Makes lists of which nothing is known yet.
    pub fn new(_rng: SmallRng) -> Self {
        Self { services_version: 0, services: None, fresh_services: false, fresh_rules: None }
    }

    /// Takes an object that the platform gave; one that is no list is passed over.
    pub fn on_object(&mut self, _now: Duration, object: &Object, _out: &mut Outbox<'_>) {
        if object.name == services::OBJECT_NAME && object.version > self.services_version {
            self.adopt_services(object);
        }
    }

    /// Takes a message of another instance.
    pub fn on_message(
        &mut self,
        _now: Duration,
        _from: InstanceId,
        _message: Message,
        _out: &mut Outbox<'_>,
    ) {
    }

    /// Advances time; due about ten times a second. `live` are the other live instances.
    pub fn tick(&mut self, _now: Duration, _live: &[InstanceId], _out: &mut Outbox<'_>) {}

    /// Returns the services in force with their version if they have changed since the
    /// last call.
    pub fn take_services(&mut self) -> Option<(Version, Arc<Services>)> {
        if !std::mem::take(&mut self.fresh_services) {
            return None;
        }
        Some((self.services_version, Arc::clone(self.services.as_ref()?)))
    }

    /// Returns the rules of admission if they have changed since the last call. There are
    /// none, and everything is admitted, until the operators have written plans.
    pub fn take_rules(&mut self) -> Option<Arc<Rules>> {
        self.fresh_rules.take()
    }

    /// Tells whether enough is known to serve.
    pub fn ready(&self) -> bool {
        self.services.is_some()
    }

    /// Takes the services if they are valid; else the last good ones stay.
    fn adopt_services(&mut self, object: &Object) {
        match check_services(object) {
            Ok(services) => {
                log::info!(version = object.version, services = services.list().len(); "services");
                self.services_version = object.version;
                self.services = Some(Arc::new(services));
                self.fresh_services = true;
            }
            Err(findings) => refuse(object, &findings),
        }
    }
}

fn check_services(object: &Object) -> Result<Services, Findings> {
    let raw: RawServices = serde_json::from_value(object.value.clone())
        .map_err(|e| Findings::one(&object.name, e.to_string()))?;
    Services::try_from(raw)
}

fn refuse(object: &Object, findings: &Findings) {
    counter!("limpetdeck_objects_refused_total").increment(1);
    log::warn!(
        object = object.name.as_str(),
        version = object.version,
        findings = findings.to_string().as_str();
        "object_refused"
    );
}
