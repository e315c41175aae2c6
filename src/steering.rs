//! Token-based steering, for transports whose packets carry a token.
//!
//! An instance adds a token that identifies the target to the first packet of a flow, and both
//! ends echo it in all later packets. Any instance that knows the targets can therefore forward
//! any packet, without per-flow state and without a lookup at other instances.

mod directory;
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
mod route_classes;
mod routes;
mod target;
mod token;

pub use directory::{TargetDirectory, TargetRecord};
pub use flows::{FlowSignal, FlowTable, Load};
pub use forwarder::{DropReason, Forwarder, HealthChange, ResetReason, Verdict};
pub use gossip::Gossip;
pub use list_watch::{INSTANCES_PREFIX, Interest, ListWatches, ROUTES_PREFIX, TARGETS_PREFIX};
pub use message::Message;
pub use node::{Node, NodeConfig};
pub use packet::{FlowPacket, PacketError, PacketFormat, PacketKind};
pub use policy::admission::{
    ExpectedWait, FullPeers, LoadMeter, OpeningClass, Queueing, RefusedCallers, ReleaseRates,
    ServiceLoad,
};
pub use policy::domain_load::DomainLoad;
pub use policy::health::Health;
pub use policy::late_openings::{RouteLoad, yields};
pub use policy::selection::{Candidate, local_targets_suffice, select_target};
pub use route_change::{ChangeError, ChangedRoute, RouteChange};
pub use routes::{
    Priority, RawRoute, RawRoutes, RequestClass, Route, RouteTable, ServiceWarmUp, WarmUp,
    WeightedService,
};
pub use target::{RawTarget, Target, TargetKey, TargetState};
pub use token::{NO_TOKEN, TargetIncarnation, Token, Tokens};
