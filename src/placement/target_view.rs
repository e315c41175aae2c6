//! The state of each target as known to this instance.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::hash::HashMap;
use crate::ids::{TargetId, Version};

/// Whether a target accepts new flows and keeps its open ones.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum TargetState {
    /// Accepts new flows.
    #[default]
    Serving,
    /// Has just started; its share of new flows rises gradually.
    Cold,
    /// Is reachable but refuses new work for now.
    Shedding,
    /// Accepts no new flows and keeps its open ones.
    Draining,
    /// Does not answer, and accepts no new flows. Only the target itself ends its open ones.
    Dead,
}

/// The state of one target, with its version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetView {
    /// State of the target.
    pub state: TargetState,
    /// Version of the state; a state with a lower version does not replace it.
    pub version: Version,
    /// When this instance received the state.
    pub since: Duration,
}

/// The states of all targets; a target without an entry is serving.
#[derive(Debug, Clone, Default)]
pub struct TargetViews {
    views: HashMap<TargetId, TargetView>,
}

impl TargetViews {
    /// Returns the state of a target.
    pub fn get(&self, target: TargetId) -> TargetView {
        self.views.get(&target).copied().unwrap_or_default()
    }

    /// Replaces the state of a target if the version is higher; returns whether it did. At equal
    /// versions the state that accepts less new work wins.
    pub fn adopt(&mut self, target: TargetId, view: TargetView) -> bool {
        let known = self.get(target);
        if (view.version, view.state) <= (known.version, known.state) {
            return false;
        }
        self.views.insert(target, view);
        true
    }

    /// Returns all received states in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (TargetId, TargetView)> {
        self.views.iter().map(|(&target, &view)| (target, view))
    }
}
