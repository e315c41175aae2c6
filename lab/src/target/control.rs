//! Parameters with which the state and the load report of a target are set.

use std::str::FromStr;

use limpetdeck::placement::TargetState;

/// Mode of a load report. Only [`ReportMode::Honest`] reports the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// Reports the current values.
    #[default]
    Honest,
    /// Repeats the values of the time when this mode was set.
    Frozen,
    /// Reports the current state, but no load.
    Idle,
}

impl FromStr for ReportMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "honest" => Ok(Self::Honest),
            "frozen" => Ok(Self::Frozen),
            "idle" => Ok(Self::Idle),
            _ => Err(format!("{text:?} is not a report mode")),
        }
    }
}

/// Parses the name of a state.
///
/// # Errors
///
/// Fails if there is no state of this name.
pub fn parse_state(name: &str) -> Result<TargetState, String> {
    serde_json::from_value(serde_json::Value::from(name))
        .map_err(|_| format!("{name:?} is not a target state"))
}
