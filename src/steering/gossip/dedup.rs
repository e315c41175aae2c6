//! What was told about targets lately, so that it spreads once and ends.

use std::time::Duration;

use crate::hash::HashMap;
use crate::steering::TargetStart;

/// Time within which the same is not told again.
const TELL_EVERY: Duration = Duration::from_secs(3);

/// When something was last told of each target, or heard.
#[derive(Debug, Default)]
pub(super) struct Told(HashMap<TargetStart, Duration>);

impl Told {
    /// Returns the targets of which it was not told lately, and notes that it is now.
    pub(super) fn news(&mut self, now: Duration, targets: &[TargetStart]) -> Vec<TargetStart> {
        self.0.retain(|_, told| now < *told + TELL_EVERY);
        let news = targets.iter().filter(|&&target| self.0.insert(target, now).is_none());
        news.copied().collect()
    }
}
