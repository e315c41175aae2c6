//! How often a target has died of late, and since when it is cold.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::placement::TargetState;

/// Time after which one death is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(300);
/// Deaths that count at most.
const MOST_DEATHS: u32 = 5;

#[derive(Debug, Default)]
struct History {
    deaths: u32,
    died: Duration,
    cold_since: Option<Duration>,
}

/// The histories of targets that were not always serving.
#[derive(Debug, Default)]
pub(super) struct Flapping {
    histories: BTreeMap<TargetId, History>,
}

impl Flapping {
    /// Notes that a target is observed in another state.
    pub(super) fn observed(&mut self, now: Duration, target: TargetId, state: TargetState) {
        let history = self.histories.entry(target).or_default();
        history.cold_since = (state == TargetState::Cold).then_some(now);
        if state == TargetState::Dead {
            history.deaths = (history.recent(now) + 1).min(MOST_DEATHS);
            history.died = now;
        }
    }

    /// Returns how many times longer than at its first death a target has to answer before
    /// it is believed.
    pub(super) fn factor(&self, now: Duration, target: TargetId) -> u32 {
        let deaths = self.histories.get(&target).map_or(0, |history| history.recent(now));
        1 << deaths.saturating_sub(1)
    }

    /// Returns for how long a target has been cold.
    pub(super) fn cold_for(&self, now: Duration, target: TargetId) -> Duration {
        let since = self.histories.get(&target).and_then(|history| history.cold_since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl History {
    fn recent(&self, now: Duration) -> u32 {
        let forgotten = now.saturating_sub(self.died).as_secs() / FORGET_AFTER.as_secs();
        self.deaths.saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX))
    }
}
