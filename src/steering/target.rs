//! Targets of token-based steering.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation};

/// Name of a service in routes and targets.
pub(super) type ServiceName = String;

/// Longest name of a service or failure domain in bytes: records of targets have to fit into a message.
const MAX_NAME_LEN: usize = 253;
/// Largest number of slots of a target.
const MAX_SLOTS: u32 = 65_535;
/// Longest time until a target is warm.
const MAX_WARM_UP: Duration = Duration::from_secs(24 * 60 * 60);

/// Identifier of a target, carried in its packets.
pub type TargetKey = u64;

/// Key in packets to whichever target runs at an address.
pub const ANY_TARGET: TargetKey = 0;

/// Whether a target accepts new flows. A target that drains ends afterwards, so draining is later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new flows.
    #[display("ready")]
    Ready,
    /// Finishes its open flows and gets no new ones.
    #[display("draining")]
    Draining,
}

/// A target as read from a platform object, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawTarget {
    /// Identifier of the target; 0 is invalid.
    pub key: TargetKey,
    /// Incarnation of the target.
    #[serde(rename = "start")]
    pub incarnation: Incarnation,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// UDP address to which packets are forwarded.
    pub address: SocketAddrV4,
    /// Failure domain of the target.
    pub failure_domain: String,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Remaining time until the target is warm, in milliseconds.
    pub cold_ms: u64,
}

/// A validated target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identifier of the target; never 0.
    pub key: TargetKey,
    /// Incarnation: increases with each restart, which loses all flows of the target.
    pub incarnation: Incarnation,
    /// Name of the service that the target belongs to.
    pub service: ServiceName,
    /// UDP address to which packets are forwarded.
    pub address: SocketAddrV4,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Requests that the target processes concurrently; at least 1.
    pub slots: u32,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Remaining time until the target is warm, at the time of the platform's record.
    pub warm_up_left: Duration,
}

impl TryFrom<RawTarget> for Target {
    type Error = String;

    fn try_from(raw: RawTarget) -> Result<Self, String> {
        if raw.key == 0 {
            return Err("key is 0, which is reserved for \"any target\"".to_owned());
        }
        if raw.service.is_empty() {
            return Err("service name is empty".to_owned());
        }
        if raw.failure_domain.is_empty() {
            return Err("failure domain is empty".to_owned());
        }
        if raw.service.len().max(raw.failure_domain.len()) > MAX_NAME_LEN {
            return Err(format!("service or failure domain has more than {MAX_NAME_LEN} bytes"));
        }
        if raw.slots == 0 || raw.slots > MAX_SLOTS {
            return Err(format!("slots is {}; 1 to {MAX_SLOTS} are allowed", raw.slots));
        }
        let ip = raw.address.ip();
        if raw.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast()
        {
            return Err(format!(
                "{} is not a valid target address: no IP of one host, or port 0",
                raw.address
            ));
        }
        let warm_up_left = Duration::from_millis(raw.cold_ms);
        if warm_up_left > MAX_WARM_UP {
            return Err(format!("warm-up of {} ms is longer than a day", raw.cold_ms));
        }
        Ok(Self {
            key: raw.key,
            incarnation: raw.incarnation,
            service: raw.service,
            address: raw.address,
            failure_domain: raw.failure_domain,
            slots: raw.slots,
            state: raw.state,
            warm_up_left,
        })
    }
}
