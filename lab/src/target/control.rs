//! States that a target is set to, and its load report, which may mislead.

use std::str::FromStr;

use limpetdeck::placement::TargetState;

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

/// Reads the name of a state.
///
/// # Errors
///
/// Fails if there is no such state.
pub fn read_state(name: &str) -> Result<TargetState, String> {
    serde_json::from_value(serde_json::Value::from(name))
        .map_err(|_| format!("{name:?} is no state"))
}
