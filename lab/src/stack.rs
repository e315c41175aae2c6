//! TCP stack (smoltcp) whose IPv4 packets are sent as payloads of UDP datagrams.

mod device;
mod fabric_socket;
mod host;

pub use fabric_socket::FabricSocket;
pub use host::Host;
