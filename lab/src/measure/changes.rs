//! List changes and the time each takes to become active.

use std::time::Duration;

use super::run_result::RunResult;

/// Idle timeouts of the first two services in seconds, used as change markers.
pub type Markers = [u64; 2];

/// Age below which an inactive change does not count as lost.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(5);

/// A change that the platform has accepted.
#[derive(Debug, Clone, Copy)]
struct AcceptedChange {
    service: usize,
    marker: u64,
    at: Duration,
}

/// Markers that are active on an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ActiveMarkers {
    /// Incarnation of the instance that the markers belong to.
    incarnation: u64,
    markers: Markers,
    /// Time from which the instance could receive changes.
    reachable_since: Duration,
}

/// Tracks the list changes of a run.
#[derive(Debug, Default)]
pub struct ChangeTracker {
    accepted_changes: Vec<AcceptedChange>,
    /// Highest marker ever written for each service.
    highest: Markers,
    active: Vec<ActiveMarkers>,
}

impl ChangeTracker {
    /// Returns a marker for a service, higher than all previous ones and than `current`.
    pub fn next_marker(&self, service: usize, current: u64) -> u64 {
        self.highest[service].max(current) + 1
    }

    /// Records a change that the platform has accepted.
    pub fn record_accepted(&mut self, at: Duration, service: usize, marker: u64) {
        self.highest[service] = marker;
        self.accepted_changes.push(AcceptedChange { service, marker, at });
    }

    /// Records the active markers of an instance and how long each change took.
    pub fn record_active(
        &mut self,
        now: Duration,
        instance: (usize, u64),
        markers: Markers,
        f: &mut RunResult,
    ) {
        let (index, incarnation) = instance;
        let entry = self.entry_mut(index);
        if entry.incarnation != incarnation {
            *entry = ActiveMarkers { incarnation, markers: [0; 2], reachable_since: now };
        }
        let previous = std::mem::replace(&mut entry.markers, markers);
        let reachable_since = entry.reachable_since;
        if previous == markers {
            return;
        }
        f.reverts +=
            u64::from(markers.iter().zip(previous).any(|(marker, previous)| *marker < previous));
        for change in &self.accepted_changes {
            if (previous[change.service] + 1..=markers[change.service]).contains(&change.marker) {
                let activation_time = now.saturating_sub(change.at.max(reachable_since));
                f.list_change_time.get_or_insert_default().add(activation_time.as_micros() as u64);
            }
        }
    }

    /// Records that an instance can receive changes from now on.
    pub fn record_reachable(&mut self, now: Duration, index: usize) {
        self.entry_mut(index).reachable_since = now;
    }

    /// Counts the changes that are not active on every running instance at the end.
    pub fn finish(&self, now: Duration, running: &[usize], f: &mut RunResult) {
        f.list_change_time.get_or_insert_default();
        for change in
            self.accepted_changes.iter().filter(|change| now > change.at + MAX_ACTIVATION_TIME)
        {
            let is_missing = |&&index: &&usize| {
                let entry = self.active.get(index).copied().unwrap_or_default();
                now > entry.reachable_since + MAX_ACTIVATION_TIME
                    && entry.markers[change.service] < change.marker
            };
            f.lost_changes += u64::from(running.iter().any(|index| is_missing(&index)));
        }
    }

    fn entry_mut(&mut self, index: usize) -> &mut ActiveMarkers {
        if self.active.len() <= index {
            self.active.resize(index + 1, ActiveMarkers::default());
        }
        &mut self.active[index]
    }
}
