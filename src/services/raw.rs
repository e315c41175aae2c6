//! Services as operators write them and as the platform holds them.

use serde::{Deserialize, Serialize};

/// All services, unchecked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawServices {
    /// The services in any order.
    #[serde(default)]
    pub services: Vec<RawService>,
}

/// One service, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Number of the service.
    pub id: u32,
    /// Name that operators use.
    pub name: String,
    /// Address and port that callers dial.
    pub address: String,
    /// What the service weighs more: `broken-flows` or `imbalance`.
    pub weighs: String,
    /// Seconds without a packet after which a flow is ended.
    pub idle_timeout_s: u64,
    /// The targets in any order.
    pub targets: Vec<RawTarget>,
}

/// One target, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// Number of the target.
    pub id: u32,
    /// Address and port that packets are forwarded to.
    pub address: String,
    /// Failure domain that the target stands in.
    pub failure_domain: String,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Share of new flows relative to the service's other targets.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Address of the target's load report, as `IP:PORT/PATH`; without one the target is
    /// not probed.
    #[serde(default)]
    pub report: Option<String>,
}

fn default_weight() -> u32 {
    100
}
