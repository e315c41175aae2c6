//! Suppression of repeated announcements about targets, so that each spreads once and stops.

use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::TargetIncarnation;

/// Time within which an announcement about the same target is suppressed.
const DEDUP_WINDOW: Duration = Duration::from_secs(3);

/// When an announcement about each target was last sent or received.
#[derive(Debug, Default)]
pub(super) struct Dedup(HashMap<TargetIncarnation, Duration>);

impl Dedup {
    /// Returns the targets without an announcement within the window. The window of all given
    /// targets starts anew.
    pub(super) fn filter_new(
        &mut self,
        now: Duration,
        targets: &[TargetIncarnation],
    ) -> Vec<TargetIncarnation> {
        self.0.retain(|_, announced| now < *announced + DEDUP_WINDOW);
        let new = targets.iter().filter(|&&target| self.0.insert(target, now).is_none());
        new.copied().collect()
    }
}
