//! Status of an instance, as shown to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::lists::ListVersions;
use crate::peer::MemberState;
use crate::steering::DrainedDomain;

/// The state of an instance at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// ID of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance; higher after each restart.
    pub incarnation: Incarnation,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// State that the instance announces to the others.
    pub state: MemberState,
    /// Whether the fabric should send packets to the instance.
    pub healthy: bool,
    /// Whether the instance was paused and may have missed changes.
    pub stale: bool,
    /// Whether the instance receives no messages from others and may be behind a partition.
    pub isolated: bool,
    /// Active versions of the operators' lists.
    pub versions: ListVersions,
    /// Highest refused versions of the operators' lists; 0 where none was refused.
    pub refused_versions: ListVersions,
    /// Milliseconds since the platform last answered, or `None` if it never did.
    pub platform_answered_ms_ago: Option<u64>,
    /// Number of instances that this one considers live, including itself.
    pub live_instances: usize,
    /// Number of flows in the flow table.
    pub open_flows: usize,
    /// Number of flows refused since the start, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Failure domains that get no new flows by order of the operator. Earlier releases do not
    /// report them.
    #[serde(default)]
    pub drained_domains: Vec<DrainedDomain>,
}
