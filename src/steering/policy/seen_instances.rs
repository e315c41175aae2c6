//! The instances of the local failure domain that were seen recently, those included that have
//! stopped since.
//!
//! Shares of a budget are computed over this set, so that a partition or a stopped instance makes
//! the share of no other one larger.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::hash::HashSet;
use crate::ids::InstanceId;

/// Time for which an instance that is not live any more is kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Time without a new instance after which the set counts as complete: an instance that learns of
/// the others one by one would take shares that belong to those it does not know yet.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of instances, 24 bytes each; more than twice as many as the largest deployment
/// has. Further ones are not kept, and the set then counts as incomplete.
const MAX_INSTANCES: usize = 2_048;

/// Instances that were seen recently.
#[derive(Debug, Default)]
pub struct SeenInstances {
    /// When each instance was found to be no longer live; `None` for those that are.
    gone_since: BTreeMap<InstanceId, Option<Duration>>,
    last_added: Duration,
    version: u64,
}

impl SeenInstances {
    /// Records the instances that are live now.
    pub fn update(&mut self, now: Duration, live: impl Iterator<Item = InstanceId>) {
        let live: HashSet<_> = live.collect();
        for (id, gone_since) in &mut self.gone_since {
            if !live.contains(id) {
                gone_since.get_or_insert(now);
            }
        }
        for id in live {
            let is_known = self.gone_since.contains_key(&id);
            if !is_known && self.gone_since.len() >= MAX_INSTANCES {
                continue;
            }
            self.gone_since.insert(id, None);
            if !is_known {
                self.last_added = now;
                self.version += 1;
            }
        }
    }

    /// Removes the instances that have not been seen for the retention time.
    pub fn expire(&mut self, now: Duration) {
        let before = self.gone_since.len();
        let is_recent = |since: Duration| now < since + RETENTION;
        self.gone_since.retain(|_, gone_since| gone_since.is_none_or(is_recent));
        self.version += u64::from(self.gone_since.len() < before);
    }

    /// Returns whether the set has not grown for a time, nor reached its maximum size.
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.last_added + SETTLING_TIME && self.gone_since.len() < MAX_INSTANCES
    }

    /// Returns a number that rises whenever an instance is added or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the IDs of the instances, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = InstanceId> {
        self.gone_since.keys().copied()
    }
}
