//! Messages between instances, and the authentication of their sender.

mod keys;
mod message;
mod seal;

pub use keys::{KeyRing, PeerKey};
pub use message::{Body, MemberInfo, MemberState, RedirectedPacket};
pub use seal::{OpenError, Sealer};
