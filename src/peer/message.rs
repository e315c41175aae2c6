//! What instances tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::placement::{self, Route};
use crate::{admission, lists, membership, steering, targets};

/// What an instance says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Serves known flows and does not own new ones yet.
    Joining,
    /// Takes part in full.
    Live,
    /// Stops soon: keeps forwarding, owns nothing new.
    Leaving,
}

/// An instance as it makes itself known to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Number of the instance.
    pub id: InstanceId,
    /// Start number of the instance.
    pub incarnation: Incarnation,
    /// Failure domain that the instance stands in.
    pub failure_domain: FailureDomain,
    /// UDP address for messages of other instances.
    pub peer_address: SocketAddr,
    /// TCP address for health, metrics and JSON-RPC.
    pub metrics_address: SocketAddr,
    /// What the instance says of itself.
    pub state: MemberState,
}

/// A packet that is passed on for a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The way of the packet so far.
    pub route: Route,
    /// Span of the sender, 0 if the flow is not traced.
    pub span: u64,
    /// The packet as it came from the fabric.
    pub packet: Vec<u8>,
}

/// A message between instances. Each part of an instance has messages of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A packet that is passed on.
    Hop(Hop),
    /// Who is live.
    Membership(membership::Message),
    /// Which versions of the lists there are, and their contents.
    Lists(lists::Message),
    /// In which state targets are.
    Targets(targets::Message),
    /// To which targets flows are bound.
    Flows(placement::Message),
    /// Which flows a new placer has to count.
    Admission(admission::Message),
    /// Which targets there are, and where the service addresses lead.
    Steering(steering::Message),
}
