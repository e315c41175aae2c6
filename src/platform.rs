//! The platform's object API: objects with versions, conditional updates and watches.

mod api;
mod client;
mod value;

pub use api::{Call, Changes, Object, Platform, PlatformError, PlatformFuture, Reply, Revision};
pub use client::HttpPlatform;
pub use value::object_value;
