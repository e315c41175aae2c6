//! Assignment of flows to targets, and of flow records to instances.
//!
//! Every flow has an owner: the live instance that ranks first for it in rendezvous
//! hashing. The owner binds the flow to a target at its first packet and keeps the record.
//! Each service has a placer: one instance that sees all new flows of the service, counts
//! their load and suggests a target to the owner. Other instances learn bindings from the
//! reply packets that they forward.

mod core;
mod epochs;
mod flow_table;
mod forward_path;
mod load;
mod lookup;
mod message;
mod openings;
mod ranks;
mod records;
mod replication;
mod reply_path;
mod route;
mod selection;
mod target_view;

pub use self::core::{Placement, PlacementConfig, Policy};
pub use epochs::{Epoch, Epochs, Phase};
pub use flow_table::{Binding, FlowTable, Role};
pub use load::{Load, LoadTable};
pub use message::{Message, Record};
pub use ranks::Ranks;
pub use route::{DropReason, RefuseReason, Route, Stage, Verdict};
pub use selection::{select_target, target_by_hash};
pub use target_view::{TargetState, TargetView, TargetViews};
