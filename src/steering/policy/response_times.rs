//! Tells from response times whether requests queue at the targets of a service, without I/O.
//!
//! Load pattern: the callers of one failure domain send more than its instances' equal share of the
//! requests while slots are free elsewhere. Their requests in flight per slot look like overload, but
//! responses take no longer than usual.

use std::time::Duration;

use crate::hash::HashMap;

/// Responses after which the usual time is known.
const MIN_RESPONSES: u32 = 20;
/// Weight of a response in the recent time.
const RECENT_WEIGHT: f64 = 0.35;
/// Weight of a response in the usual time. It is small, as the time already rises before the average
/// of the requests in flight shows the load.
const USUAL_WEIGHT: f64 = 0.001;
/// Multiple of the usual time from which requests count as queueing.
const QUEUEING_RATIO: f64 = 1.5;
/// Multiple of the usual time down to which they still do, so that the state does not alternate.
const QUEUEING_UNTIL: f64 = 1.25;
/// Part of the usual time below which a response counts as a refusal by a target whose queue is full.
const REFUSAL_RATIO: f64 = 0.25;

/// Recent and usual time from a request on an open flow to its first response.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    /// Recent time by failure domain of the targets. It starts at 0, so that the slots of a domain count
    /// as free until requests go there. Starting at the usual time, 6 openings of a busy domain were
    /// refused at 112 instances while slots were free elsewhere.
    recent: HashMap<String, f64>,
    usual: f64,
    count: u32,
}

impl ResponseTimes {
    /// Records a response. The usual time is learned only while the load is normal.
    pub fn record(&mut self, domain: &str, waited: Duration, is_normal_load: bool) {
        let waited = waited.as_secs_f64();
        if self.usual().is_some_and(|usual| waited < usual.as_secs_f64() * REFUSAL_RATIO) {
            return;
        }
        if is_normal_load {
            self.count = self.count.saturating_add(1);
            self.usual += (waited - self.usual) * USUAL_WEIGHT.max(1.0 / f64::from(self.count));
        }
        if self.count > 0 {
            let recent = self.recent.entry(domain.to_owned()).or_default();
            *recent += (waited - *recent) * RECENT_WEIGHT;
        }
    }

    /// Returns the usual time, if it is known.
    pub fn usual(&self) -> Option<Duration> {
        (self.count >= MIN_RESPONSES).then(|| Duration::from_secs_f64(self.usual))
    }

    /// Forgets the failure domains that have no targets any more, and adds those that are new.
    pub fn set_domains<'a>(&mut self, domains: impl Iterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.recent);
        for domain in domains {
            let recent = before.remove(domain).unwrap_or_default();
            self.recent.insert(domain.to_owned(), recent);
        }
    }

    /// Returns whether requests queue, on average over the failure domains, if that is known. `did`
    /// tells whether they did before.
    pub fn is_queueing(&self, did: bool) -> Option<bool> {
        let ratio = if did { QUEUEING_UNTIL } else { QUEUEING_RATIO };
        let usual = self.usual()?.as_secs_f64();
        let average = self.recent.values().sum::<f64>() / self.recent.len().max(1) as f64;
        Some(average >= usual * ratio)
    }
}
