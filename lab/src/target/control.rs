//! States that a target is set to, and its load report, which may mislead.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What a target does with work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetMode {
    /// Takes work.
    #[default]
    Serving,
    /// Takes work slowly, as its caches are empty.
    Cold,
    /// Finishes what is open and says that it is leaving.
    Draining,
    /// Refuses work.
    Shedding,
    /// Answers nothing at all.
    Dead,
}

impl FromStr for TargetMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        serde_json::from_value(serde_json::Value::from(text))
            .map_err(|_| format!("{text:?} is no state"))
    }
}

/// How a load report answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Honesty {
    /// Tells what is.
    #[default]
    Honest,
    /// Repeats what it said when it froze.
    Frozen,
    /// Says that nothing is going on.
    Idle,
}

impl FromStr for Honesty {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "honest" => Ok(Self::Honest),
            "frozen" => Ok(Self::Frozen),
            "idle" => Ok(Self::Idle),
            _ => Err(format!("{text:?} is no way to report")),
        }
    }
}

/// The load report of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What the target does with work.
    pub state: TargetMode,
    /// Work in its slots.
    pub slots_used: u32,
    /// Work that waits for a slot.
    pub waiting: u32,
    /// Open connections.
    pub open: u32,
}
