//! A real TCP stack whose packets travel as payloads of UDP datagrams.

mod device;
mod host;
mod port;

pub use host::Host;
pub use port::Port;
