//! Where a packet stands on its way between instances, and what is decided about it.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, TargetId};

/// Times that a packet may be passed between instances.
pub(super) const MAX_HOPS: u8 = 5;

/// Which question the receiving instance is asked about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The packet has just come from the fabric.
    Entry,
    /// Advise on the target of a new flow, or note the end of one.
    Placer,
    /// Decide as the flow's owner.
    Owner,
    /// Decide as the owner before the last change of membership.
    Previous,
    /// Count the flow on the advised target, which its owner has chosen, and forward.
    Recount,
    /// Look for the replica of a record that the owner lacks.
    Replica,
    /// Look among the flows that the service's placer has seen.
    LastResort,
}

/// The way of a packet between instances so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// What the receiver is asked.
    pub stage: Stage,
    /// Times that the packet was passed between instances.
    pub hops: u8,
    /// Target that the placer advises.
    pub advice: Option<TargetId>,
}

impl Route {
    /// The route of a packet that has just come from the fabric.
    pub const ENTRY: Self = Self { stage: Stage::Entry, hops: 0, advice: None };

    /// Returns the route after one more hop.
    pub fn next(self, stage: Stage) -> Self {
        Self { stage, hops: self.hops + 1, ..self }
    }
}

/// Why a new flow is refused; no packet of it has gone to any target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefuseReason {
    /// No target of the service takes new flows.
    #[display("no_target")]
    NoTarget,
    /// The table of flows is full.
    #[display("table_full")]
    TableFull,
    /// The flow's old target is leaving while its port is used anew.
    #[display("target_leaving")]
    TargetLeaving,
    /// The instance may be behind and has nobody to ask.
    #[display("stale")]
    Stale,
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
    /// Neither a service nor a target has the address.
    #[display("unknown_address")]
    UnknownAddress,
    /// The packet was passed between instances too often.
    #[display("hop_limit")]
    HopLimit,
    /// No instance asked knows the flow.
    #[display("unknown_flow")]
    UnknownFlow,
    /// The answer comes from a target that is not the flow's.
    #[display("wrong_target")]
    WrongTarget,
    /// No live instance can own the flow.
    #[display("no_owner")]
    NoOwner,
}

/// What is to be done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward to the target.
    ToTarget(TargetId),
    /// Forward to the caller, as coming from the service.
    ToCaller,
    /// Pass on to another instance.
    ToInstance(InstanceId, Route),
    /// Refuse the new flow: the caller gets a reset and may come back later.
    Refuse(RefuseReason, Duration),
    /// End the flow: its target is gone.
    Reset,
    /// Drop and count.
    Drop(DropReason),
}
