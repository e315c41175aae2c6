//! The route of a packet between instances, and the verdict on it.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, TargetId};

/// Maximum number of times that a packet is redirected between instances.
pub(super) const MAX_HOPS: u8 = 5;

/// What the receiving instance has to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Handle a packet that has just arrived from the fabric.
    Entry,
    /// As the placer, suggest the target of a new flow, or record the end of a flow.
    Placer,
    /// Decide as the flow's owner.
    Owner,
    /// Decide as the owner before the last membership change.
    PreviousOwner,
    /// As the placer, count the flow on the target that its owner has selected instead of the
    /// suggested one, and forward. `Route::suggested_target` holds the selected target.
    Recount,
    /// Look up the replica of a record that the owner lacks.
    ReplicaLookup,
    /// As the placer, look up the flow among the counted ones.
    PlacerLookup,
}

/// The route of a packet between instances so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// What the receiver has to do.
    pub stage: Stage,
    /// Number of times that the packet was redirected between instances.
    pub hops: u8,
    /// Target that the placer suggests; of a reset, the target that has sent it, if an
    /// instance on the route knows its sequence number as one of that target.
    pub suggested_target: Option<TargetId>,
}

impl Route {
    /// The route of a packet that has just arrived from the fabric.
    pub const ENTRY: Self = Self { stage: Stage::Entry, hops: 0, suggested_target: None };

    /// Returns the route after one more hop.
    pub fn next(self, stage: Stage) -> Self {
        Self { stage, hops: self.hops + 1, ..self }
    }
}

/// Why a new flow is refused. No packet of it was sent to a target, so it cannot be open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefuseReason {
    /// No target of the service accepts new flows.
    #[display("no_target")]
    NoTarget,
    /// The flow table is full.
    #[display("table_full")]
    TableFull,
    /// The customer's plan does not allow the service.
    #[display("not_in_plan")]
    NotInPlan,
    /// The customer has as many open flows as the plan allows.
    #[display("open_flows")]
    OpenFlows,
    /// The customer opens flows faster than the plan allows.
    #[display("flow_rate")]
    FlowRate,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum DropReason {
    /// No service or target has the address.
    #[display("unknown_address")]
    UnknownAddress,
    /// The packet was redirected more often than the hop limit allows.
    #[display("hop_limit")]
    HopLimit,
    /// No queried instance knows the flow.
    #[display("unknown_flow")]
    UnknownFlow,
    /// The reply packet is from a target that the flow is not bound to.
    #[display("wrong_target")]
    WrongTarget,
    /// An opening packet may be a copy of one that was passed on, and its flow may be open.
    #[display("may_be_open")]
    MayBeOpen,
    /// The instance may have missed changes and has not caught up yet.
    #[display("stale")]
    Stale,
    /// No instance is ranked, so the flow has no owner.
    #[display("no_owner")]
    NoOwner,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward to the target.
    ToTarget(TargetId),
    /// Forward to the caller with the service as source address.
    ToCaller,
    /// Redirect to another instance.
    ToInstance(InstanceId, Route),
    /// Refuse the new flow with a reset; the caller may retry after the given time.
    Refuse(RefuseReason, Duration),
    /// Drop the packet and count it by reason.
    Drop(DropReason),
}
