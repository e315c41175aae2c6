//! Targets as steering knows them.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation};

/// Name of a service, as routes and targets give it.
pub(super) type ServiceName = String;

/// Number under which a target knows itself, and which travels with each of its packets.
pub type TargetKey = u64;

/// Whether a target wants new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It takes new flows.
    #[display("ready")]
    Ready,
    /// It finishes its flows and takes no new ones.
    #[display("draining")]
    Draining,
}

/// A target as the platform's object describes it, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawTarget {
    /// Number under which the target knows itself.
    pub key: TargetKey,
    /// Start number of the target.
    pub start: Incarnation,
    /// Service to which the target belongs.
    pub service: String,
    /// UDP address of the target.
    pub address: SocketAddrV4,
    /// Failure domain that the target stands in.
    pub failure_domain: String,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Whether the target wants new flows.
    pub state: TargetState,
    /// Time for which the target stays slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Number under which the target knows itself.
    pub key: TargetKey,
    /// Start number: a restarted target has a higher one and knows nothing of before.
    pub start: Incarnation,
    /// Service to which the target belongs.
    pub service: ServiceName,
    /// UDP address of the target.
    pub address: SocketAddrV4,
    /// Failure domain that the target stands in.
    pub failure_domain: FailureDomain,
    /// Requests that the target works on at once; at least 1.
    pub slots: u32,
    /// Whether the target wants new flows.
    pub state: TargetState,
    /// Time for which the target was still cold when it said so.
    pub cold: Duration,
}

impl TryFrom<RawTarget> for Target {
    type Error = String;

    fn try_from(raw: RawTarget) -> Result<Self, String> {
        if raw.key == 0 {
            return Err("its number is 0, which stands for any target".to_owned());
        }
        if raw.service.is_empty() {
            return Err("it names no service".to_owned());
        }
        if raw.slots == 0 {
            return Err("it has no slots".to_owned());
        }
        if raw.address.port() == 0 || raw.address.ip().is_unspecified() {
            return Err(format!("{} is no address to send to", raw.address));
        }
        Ok(Self {
            key: raw.key,
            start: raw.start,
            service: raw.service,
            address: raw.address,
            failure_domain: raw.failure_domain,
            slots: raw.slots,
            state: raw.state,
            cold: Duration::from_millis(raw.cold_ms),
        })
    }
}
