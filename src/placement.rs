//! Which target a packet goes to, and which instance decides it.
//!
//! Every flow has an owner: the live instance that ranks first for the flow. The owner
//! binds the flow to a target at its first packet and keeps the record. The placer of a
//! service, one instance that sees all new flows of it, advises owners on load. Any other
//! instance learns bindings from the answers that pass through it.

mod choice;
mod core;
mod epochs;
mod flow_table;
mod load;
mod lookup;
mod message;
mod ranks;
mod records;
mod replication;
mod route;
mod target_view;
mod towards_caller;
mod towards_target;

pub use self::core::{Placement, PlacementConfig, Policy};
pub use choice::{choose, preferred};
pub use epochs::{Epoch, Epochs, Phase};
pub use flow_table::{Binding, FlowTable, Role};
pub use load::{Load, LoadTable};
pub use message::{Message, Record};
pub use ranks::Ranks;
pub use route::{DropReason, RefuseReason, Route, Stage, Verdict};
pub use target_view::{TargetState, TargetView, TargetViews};
