//! Hash maps with a fast hasher, and stable hashes that must be equal on all instances.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

/// A hash map for data that never leaves the process.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// A hash set for data that never leaves the process.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Hashes bytes; the result is the same on every instance and in every release.
pub fn stable_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes two numbers; the result is the same on every instance and in every release.
pub fn stable_pair(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    xxh3_64(&bytes)
}

/// Hashes a pair of socket addresses; the result is the same on every instance and in every
/// release.
pub fn stable_addresses(a: SocketAddrV4, b: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&a.ip().octets());
    bytes[4..6].copy_from_slice(&a.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&b.ip().octets());
    bytes[10..].copy_from_slice(&b.port().to_be_bytes());
    xxh3_64(&bytes)
}
