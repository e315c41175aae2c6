//! The operators' object: which targets they drain.

use serde::{Deserialize, Serialize};

use super::{Origin, Statement};
use crate::hash::HashSet;
use crate::ids::{TargetId, Version};
use crate::placement::TargetState;
use crate::settings::Findings;

/// Name of the operators' object about targets on the platform.
pub const OBJECT_NAME: &str = "targets";

/// What the operators want of all targets, unchecked. A target that is not listed keeps
/// what was last said of it. Other keys of the object say who wrote it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawTargetStates {
    /// The targets in any order.
    #[serde(default)]
    pub targets: Vec<RawTargetState>,
}

/// What the operators want of one target, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTargetState {
    /// Number of the target.
    pub id: TargetId,
    /// `draining` or `serving`.
    pub state: TargetState,
    /// Version of the state; rises with each change of this target.
    pub version: Version,
}

/// What the operators want of targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorStates {
    /// One statement for each target that the operators speak of.
    pub statements: Vec<Statement>,
}

impl TryFrom<RawTargetStates> for OperatorStates {
    type Error = Findings;

    fn try_from(raw: RawTargetStates) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut known = HashSet::default();
        for target in &raw.targets {
            let place = format!("targets.{}", target.id);
            if !known.insert(target.id) {
                findings.add(&place, "the number stands twice");
            }
            if !matches!(target.state, TargetState::Serving | TargetState::Draining) {
                findings.add(format!("{place}.state"), "is neither serving nor draining");
            }
            if target.version == 0 {
                findings.add(format!("{place}.version"), "is 0");
            }
        }
        findings.finish(Some(Self { statements: raw.targets.iter().map(statement).collect() }))
    }
}

fn statement(raw: &RawTargetState) -> Statement {
    Statement { target: raw.id, origin: Origin::Operator, version: raw.version, state: raw.state }
}

/// Reads and checks the operators' object.
///
/// # Errors
///
/// Returns all findings, each with its place.
pub fn from_value(value: &serde_json::Value) -> Result<OperatorStates, Findings> {
    let raw: RawTargetStates = serde_json::from_value(value.clone())
        .map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))?;
    OperatorStates::try_from(raw)
}
