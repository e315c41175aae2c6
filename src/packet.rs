//! Decoding, rewriting and building of IPv4/TCP packets.

mod decode;
mod reset;
mod rewrite;

pub use decode::{DecodeError, Flags, Segment, decode};
pub use reset::{build_reset, keepalive_probe};
pub use rewrite::{RewriteError, rewrite_destination, rewrite_source};
