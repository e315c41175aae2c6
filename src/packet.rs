//! Decoding, rewriting and building of IPv4/TCP packets.

mod decode;
mod reset;
mod rewrite;

pub use decode::{DecodeError, Segment, TcpFlags, decode};
pub use reset::{build_keepalive_probe, build_reset};
pub use rewrite::{RewriteError, rewrite_destination, rewrite_source};
