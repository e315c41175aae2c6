//! Messages between instances, and the authentication of their sender.

mod message;
mod seal;

pub use message::{Body, MemberInfo, MemberState, RedirectedPacket};
pub use seal::{OpenError, Sealer};
