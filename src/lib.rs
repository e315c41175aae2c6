//! Control logic of a layer-4 load balancer for long-lived connections.
//!
//! The decision modules are sans-I/O: they take the current time and an event and return
//! actions. They own no socket, read no clock and draw random numbers only from a generator
//! that the embedder seeds, so that the same code runs in the daemon, in tests and in the
//! measuring driver.

pub mod admission;
pub mod backoff;
pub mod budget;
pub mod command;
pub mod ctl;
pub mod daemon;
pub mod entry;
pub mod flow;
pub mod hash;
pub mod http;
pub mod ids;
pub mod instance;
pub mod link;
pub mod lists;
pub mod membership;
pub mod packet;
pub mod pause;
pub mod peer;
pub mod pipeline;
pub mod placement;
pub mod platform;
pub mod rpc;
pub mod services;
pub mod settings;
pub mod signals;
pub mod steering;
pub mod targets;
pub mod telemetry;
