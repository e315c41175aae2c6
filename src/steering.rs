//! Token-based steering, for transports whose packets carry a token.
//!
//! An instance adds a token that identifies the target to the first packet of a flow, and both
//! ends echo it in all later packets. Any instance that knows the targets can therefore forward
//! any packet, without per-flow state and without a lookup at other instances.

mod directory;
mod domain_drains;
mod flows;
mod forwarder;
mod gossip;
mod list_watch;
mod log_rate_limit;
mod message;
mod node;
mod packet;
mod policy;
mod registration;
mod route_change;
mod routes;
mod target;
mod token;

pub use directory::{TargetDirectory, TargetRecord};
pub use domain_drains::{DomainDrains, DrainOrders, DrainSnapshot, DrainedDomain};
pub use flows::{FlowSignal, FlowTable, Load};
pub use forwarder::{
    ColdTargets, Doubt, DropReason, Forwarder, HealthChange, Inquiry, ResetReason, Successors,
    UnsteadyTarget, Verdict,
};
pub use gossip::Gossip;
pub use list_watch::{
    DOMAIN_DRAINS_PREFIX, INSTANCES_PREFIX, Interest, ListWatches, ROUTES_PREFIX, TARGETS_PREFIX,
};
pub use message::{ContactReport, Message};
pub use node::{Node, NodeConfig};
pub use packet::{FlowPacket, PacketError, PacketFormat, PacketKind};
pub use policy::domain_load::DomainLoad;
pub use policy::domain_reach::{DomainReach, DueProbes, Probe, ReachChange};
pub use policy::health::Health;
pub use policy::last_resort::{LastResort, OtherDomains};
pub use policy::late_openings::{RouteLoad, yields};
pub use policy::platform_contact::{PlatformContact, PollRole};
pub use policy::selection::{Candidate, local_targets_suffice, select_target};
pub use policy::service_choice::{ServiceState, pick_service};
pub use policy::steadiness::{FailureRecords, Steadiness};
pub use policy::warm_up::InstanceView;
pub use route_change::{ChangeError, ChangedRoute, RouteChange};
pub use routes::{
    Priority, RawRoute, RawRoutes, RequestClass, Route, RouteTable, ServiceWarmUp, WarmUp,
    WeightedService,
};
pub use target::{ANY_TARGET, RawTarget, Target, TargetKey, TargetState};
pub use token::{NO_TOKEN, TargetIncarnation, Token, Tokens};
