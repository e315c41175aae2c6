//! Messages between instances, and the seal that proves where they come from.

mod message;
mod seal;

pub use message::{Body, Hop, MemberInfo, MemberState};
pub use seal::{OpenError, Sealer};
