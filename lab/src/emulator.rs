//! What surrounds instances on the platform, emulated: its store, routers, servers and callers,
//! and the weather that datagrams meet. Sockets and time are their driver's.

pub mod caller;
pub mod exchange;
pub mod fleet;
pub mod router;
pub mod server;
pub mod store;
pub mod stream;
pub mod weather;
