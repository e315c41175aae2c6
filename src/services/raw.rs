//! Services as written by operators and stored on the platform, not yet validated.

use serde::{Deserialize, Serialize};

/// All services, not yet validated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawServices {
    /// Services in any order.
    #[serde(default)]
    pub services: Vec<RawService>,
}

/// One service, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Service ID, unique.
    pub id: u32,
    /// Name for operators; allowances refer to it.
    pub name: String,
    /// Address and port that callers connect to, as `IP:PORT`.
    pub address: String,
    /// What the selection of a target for a new flow minimizes first: `broken-flows` or
    /// `imbalance`.
    pub weighs: String,
    /// Time without packets after which a flow ends, in seconds.
    pub idle_timeout_s: u64,
    /// Targets in any order.
    pub targets: Vec<RawTarget>,
}

/// One target, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// Target ID, unique among all services.
    pub id: u32,
    /// Address and port that packets are forwarded to, as `IP:PORT`.
    pub address: String,
    /// Failure domain of the target.
    pub failure_domain: String,
    /// Number of requests that the target processes concurrently; at least 1.
    pub slots: u32,
    /// Share of new flows relative to the service's other targets, from 1 to 10000; 100 by
    /// default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Address of the load report, as `IP:PORT/PATH`; a target without one is not probed.
    #[serde(default)]
    pub report: Option<String>,
}

fn default_weight() -> u32 {
    100
}
