//! One instance without its sockets: events in, actions out.

mod drop_log;
mod event;
mod registry;
mod run;
mod status;

pub use event::{Action, Event};
pub use run::{Instance, InstanceConfig};
pub use status::Status;
