//! The operators' object, which lists the targets to drain.

use serde::{Deserialize, Serialize};

use super::{Origin, StateUpdate};
use crate::hash::HashSet;
use crate::ids::{TargetId, Version};
use crate::placement::TargetState;
use crate::settings::Findings;

/// Name of the operators' object on the platform.
pub const OBJECT_NAME: &str = "targets";

/// Target states set by the operators, unchecked. A target that is not listed keeps its last
/// state. Other keys of the object record which operation wrote it and are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawTargetStates {
    /// Targets in any order.
    #[serde(default)]
    pub targets: Vec<RawTargetState>,
}

/// State of one target set by the operators, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTargetState {
    /// ID of the target.
    pub id: TargetId,
    /// `draining` or `serving`.
    pub state: TargetState,
    /// Version of the state; must rise with each change of this target.
    pub version: Version,
}

/// Target states set by the operators, checked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorStates {
    /// One update per listed target.
    pub updates: Vec<StateUpdate>,
}

impl TryFrom<RawTargetStates> for OperatorStates {
    type Error = Findings;

    fn try_from(raw: RawTargetStates) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut listed = HashSet::default();
        for target in &raw.targets {
            let location = format!("targets.{}", target.id);
            if !listed.insert(target.id) {
                findings.add(&location, "duplicate target ID");
            }
            if !matches!(target.state, TargetState::Serving | TargetState::Draining) {
                findings.add(format!("{location}.state"), "must be `serving` or `draining`");
            }
            if target.version == 0 {
                findings.add(format!("{location}.version"), "must be at least 1");
            }
        }
        findings.into_result(Some(Self { updates: raw.targets.iter().map(state_update).collect() }))
    }
}

fn state_update(raw: &RawTargetState) -> StateUpdate {
    StateUpdate { target: raw.id, origin: Origin::Operator, version: raw.version, state: raw.state }
}

/// Parses and checks the operators' object.
///
/// # Errors
///
/// Returns all findings, each with its location in the object.
pub fn parse_operator_states(value: &serde_json::Value) -> Result<OperatorStates, Findings> {
    let raw: RawTargetStates = serde_json::from_value(value.clone())
        .map_err(|e| Findings::single(OBJECT_NAME, e.to_string()))?;
    OperatorStates::try_from(raw)
}
