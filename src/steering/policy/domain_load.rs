//! Estimates the load of the local failure domain from the requests seen by one instance.
//!
//! In a domain that has too few targets for its callers, each of many instances sees too few
//! requests for any target to look busy. The routers distribute callers evenly, so the number of
//! requests waiting here, times the instances of the domain, is about the total.

use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::target::ServiceName;

/// Time constant of the moving average: long compared to the processing of a request, so that a
/// single request has little weight, and short compared to the lifetime of a flow.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Moving averages of the requests waiting at targets of the local domain, by service.
#[derive(Debug, Default)]
pub struct DomainLoad {
    last_sample: Duration,
    waiting: HashMap<ServiceName, f64>,
}

impl DomainLoad {
    /// Records the number of requests waiting now at each service. Services that are not given
    /// count as having none.
    pub fn sample<'a>(&mut self, now: Duration, waiting: impl Iterator<Item = (&'a str, u32)>) {
        let elapsed = now.saturating_sub(self.last_sample);
        self.last_sample = now;
        let decay = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        for average in self.waiting.values_mut() {
            *average *= decay;
        }
        for (service, waiting) in waiting {
            let added = (1.0 - decay) * f64::from(waiting);
            match self.waiting.get_mut(service) {
                Some(average) => *average += added,
                None => {
                    self.waiting.insert(service.to_owned(), added);
                }
            }
        }
    }

    /// Estimates the waiting requests per slot of a service in the domain, given the number of
    /// instances and of slots there.
    pub fn waiting_per_slot(&self, service: &str, instances: usize, slots: u32) -> f64 {
        let waiting = self.waiting.get(service).copied().unwrap_or_default();
        waiting * instances as f64 / f64::from(slots.max(1))
    }
}
