//! What this instance believes of each target.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::hash::HashMap;
use crate::ids::{TargetId, Version};

/// Whether a target takes new flows and keeps its open ones.
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
    /// Takes new flows.
    #[default]
    Serving,
    /// Has just started and takes a rising share of new flows.
    Cold,
    /// Answers, but refuses work for now.
    Shedding,
    /// Takes no new flows and keeps its open ones.
    Draining,
    /// Is gone: its flows have ended.
    Dead,
}

/// The state of one target with the version that orders it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetView {
    /// State of the target.
    pub state: TargetState,
    /// Orders the states that this instance has heard; only a higher one replaces it.
    pub version: Version,
    /// When this instance heard of the state.
    pub since: Duration,
}

/// The states of all targets; a target that is not listed is serving.
#[derive(Debug, Clone, Default)]
pub struct TargetViews {
    views: HashMap<TargetId, TargetView>,
}

impl TargetViews {
    /// Returns what is known of a target.
    pub fn get(&self, target: TargetId) -> TargetView {
        self.views.get(&target).copied().unwrap_or_default()
    }

    /// Takes a state if its version is higher than the known one; at one version the state
    /// that takes less new work wins.
    pub fn adopt(&mut self, target: TargetId, view: TargetView) -> bool {
        let known = self.get(target);
        if (view.version, view.state) <= (known.version, known.state) {
            return false;
        }
        self.views.insert(target, view);
        true
    }

    /// Returns all states that were ever heard, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (TargetId, TargetView)> {
        self.views.iter().map(|(&target, &view)| (target, view))
    }
}
