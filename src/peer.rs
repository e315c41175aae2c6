//! Messages between instances, and the authentication of their sender.

mod message;
mod seal;

pub use message::{Body, Hop, MemberInfo, MemberState};
pub use seal::{OpenError, Sealer};
