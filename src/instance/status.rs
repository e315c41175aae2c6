//! What an instance says of its own state to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::lists::Versions;
use crate::peer::MemberState;

/// The state of an instance at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the instance.
    pub instance: InstanceId,
    /// Start number of the instance.
    pub incarnation: Incarnation,
    /// Failure domain that the instance stands in.
    pub failure_domain: FailureDomain,
    /// What the instance says of itself to others.
    pub state: MemberState,
    /// Whether the fabric should send packets to the instance.
    pub healthy: bool,
    /// Whether the instance was paused and may have missed changes.
    pub stale: bool,
    /// Whether the instance hears no other one and may be cut off.
    pub isolated: bool,
    /// Versions of the operators' lists in force.
    pub versions: Versions,
    /// Highest versions of the operators' lists that were refused; 0 where none was.
    pub refused_versions: Versions,
    /// Milliseconds since the platform last answered; none if it never did.
    pub platform_answered_ms_ago: Option<u64>,
    /// Instances that this one takes for live, itself among them.
    pub live_instances: usize,
    /// Flows that the instance knows.
    pub open_flows: usize,
    /// Flows refused since the start, by reason.
    pub refusals: BTreeMap<String, u64>,
}
