//! Emulation of what surrounds the instances on the platform: store, routers, servers, callers
//! and an impaired network. The caller of these modules provides the sockets and the time.

pub mod caller;
pub mod fleet;
pub mod network;
pub mod protocol;
pub mod router;
pub mod server;
pub mod store;
pub mod stream;
