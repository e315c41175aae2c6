//! The platform's object API: objects with versions, conditional updates and watches.

mod api;
mod client;
mod position;
mod value;

pub use api::{
    Call, Changes, Object, PartialReply, Platform, PlatformError, PlatformFuture, Reply,
};
pub use client::HttpPlatform;
pub use position::{Era, Position, Revision};
pub use value::object_value;
