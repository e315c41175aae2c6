//! Suppression of repeated announcements about targets, so that each spreads once and stops.

use std::collections::hash_map::Entry;
use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::TargetIncarnation;

/// Time within which an announcement about the same target is suppressed.
const DEDUP_WINDOW: Duration = Duration::from_secs(3);

/// When an announcement about each target was last sent or received.
#[derive(Debug, Default)]
pub(super) struct Dedup(HashMap<TargetIncarnation, Duration>);

impl Dedup {
    /// Returns the targets without an announcement within the window, whose window starts now.
    pub(super) fn filter_new(
        &mut self,
        now: Duration,
        targets: &[TargetIncarnation],
    ) -> Vec<TargetIncarnation> {
        self.0.retain(|_, announced| now < *announced + DEDUP_WINDOW);
        let mut is_new = |target| {
            let entry = self.0.entry(target);
            let is_new = matches!(entry, Entry::Vacant(_));
            entry.or_insert(now);
            is_new
        };
        targets.iter().copied().filter(|&target| is_new(target)).collect()
    }
}
