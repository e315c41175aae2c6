//! The logic of one instance without I/O: events in, actions out.

mod core;
mod drop_log;
mod event;
mod platform_calls;
mod run;
mod status;

pub use core::Core;
pub use event::{Action, CheckOutcome, Event, ReloadableSettings};
pub use run::{Instance, InstanceConfig};
pub use status::Status;
