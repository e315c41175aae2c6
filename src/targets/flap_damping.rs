//! Flap damping: how often a target has died recently, and since when it is cold.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::placement::TargetState;

/// Time after which one death no longer counts.
const DEATH_EXPIRY: Duration = Duration::from_secs(300);
/// Upper bound on the deaths that count.
const MAX_DEATHS: u32 = 5;

#[derive(Debug, Default)]
struct History {
    deaths: u32,
    last_death: Duration,
    cold_since: Option<Duration>,
}

/// Histories of the targets whose observed state has ever changed.
#[derive(Debug, Default)]
pub(super) struct FlapDamping {
    histories: BTreeMap<TargetId, History>,
}

impl FlapDamping {
    /// Records a change of a target's observed state.
    pub(super) fn record_state(&mut self, now: Duration, target: TargetId, state: TargetState) {
        let history = self.histories.entry(target).or_default();
        history.cold_since = (state == TargetState::Cold).then_some(now);
        if state == TargetState::Dead {
            history.deaths = (history.recent_deaths(now) + 1).min(MAX_DEATHS);
            history.last_death = now;
        }
    }

    /// Returns the factor by which recent deaths raise the number of reports needed to revive a
    /// target: 1 after the first death, doubled by each further one.
    pub(super) fn revival_factor(&self, now: Duration, target: TargetId) -> u32 {
        let deaths = self.histories.get(&target).map_or(0, |history| history.recent_deaths(now));
        1 << deaths.saturating_sub(1)
    }

    /// Returns for how long a target has been cold.
    pub(super) fn cold_for(&self, now: Duration, target: TargetId) -> Duration {
        let since = self.histories.get(&target).and_then(|history| history.cold_since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl History {
    fn recent_deaths(&self, now: Duration) -> u32 {
        let expired = now.saturating_sub(self.last_death).as_secs() / DEATH_EXPIRY.as_secs();
        self.deaths.saturating_sub(u32::try_from(expired).unwrap_or(u32::MAX))
    }
}
