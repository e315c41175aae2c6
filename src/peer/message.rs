//! Message types that instances exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::placement::{self, Route};
use crate::{admission, lists, membership, steering, targets};

/// State that an instance announces about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Serves known flows and does not own new ones yet.
    Joining,
    /// Serves known flows and owns new ones.
    Live,
    /// Stops soon: still forwards packets, but owns no new flows.
    Leaving,
}

/// What an instance announces about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// ID of the instance.
    pub id: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// UDP address for messages from other instances.
    pub peer_address: SocketAddr,
    /// TCP address for health, metrics and JSON-RPC.
    pub metrics_address: SocketAddr,
    /// State that the instance announces.
    pub state: MemberState,
}

/// A packet that is redirected to another instance for a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RedirectedPacket {
    /// Route of the packet so far.
    pub route: Route,
    /// Trace span of the sender, 0 if the flow is not traced.
    pub span: u64,
    /// Packet as received from the fabric.
    pub packet: Vec<u8>,
}

/// A message between instances, by the component that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Redirected packet.
    Packet(RedirectedPacket),
    /// Failure detection and membership updates.
    Membership(membership::Message),
    /// Versions and contents of the operators' lists.
    Lists(lists::Message),
    /// States of targets.
    Targets(targets::Message),
    /// Bindings of flows to targets.
    Flows(placement::Message),
    /// Open and ended flows, for the placers that count them.
    Admission(admission::Message),
    /// Known targets, and the routes of service addresses.
    Steering(steering::Message),
}
