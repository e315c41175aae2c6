//! How crowded the targets of the own failure domain are, as far as one instance can tell.
//!
//! Answers load pattern "a domain has too few targets for its callers": of many instances each
//! sees few requests, too few for any target to look busy. The routers spread callers evenly,
//! so what waits here, times the instances of the domain, is about what waits in all.

use std::time::Duration;

use super::target::ServiceName;
use crate::hash::HashMap;

/// Time over which samples are averaged: long against the work of a request, so that one that
/// is seen alone counts little, and short against the life of a flow.
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Averages of the requests that wait at targets of the own domain, by service.
#[derive(Debug, Default)]
pub struct Crowding {
    sampled: Duration,
    waiting: HashMap<ServiceName, f64>,
}

impl Crowding {
    /// Takes what waits now at each service; one that is not given has nothing waiting.
    pub fn sample<'a>(&mut self, now: Duration, waiting: impl Iterator<Item = (&'a str, u32)>) {
        let age = now.saturating_sub(self.sampled);
        self.sampled = now;
        let kept = (-age.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        for average in self.waiting.values_mut() {
            *average *= kept;
        }
        for (service, waiting) in waiting {
            let added = (1.0 - kept) * f64::from(waiting);
            match self.waiting.get_mut(service) {
                Some(average) => *average += added,
                None => {
                    self.waiting.insert(service.to_owned(), added);
                }
            }
        }
    }

    /// Estimates the requests that wait for each slot of a service in the domain, from the
    /// number of instances there and its slots.
    pub fn per_slot(&self, service: &str, instances: usize, slots: u32) -> f64 {
        let waiting = self.waiting.get(service).copied().unwrap_or_default();
        waiting * instances as f64 / f64::from(slots.max(1))
    }
}
