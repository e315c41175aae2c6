//! Settings as written in the TOML file.

use serde::Deserialize;

/// The settings file of `limpetdeck-entry`, not yet validated.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Instance ID, at least 1.
    pub instance: i64,
    /// Failure domain of this instance: 1 to 64 lower-case letters, digits or hyphens.
    pub failure_domain: String,
    /// UDP address for packets from the fabric.
    pub packet_address: String,
    /// UDP address for messages from other instances.
    pub peer_address: String,
    /// TCP address for health checks, metrics and JSON-RPC.
    pub metrics_address: String,
    /// UDP address of the fabric.
    pub fabric_address: String,
    /// TCP address of the platform's object API.
    pub platform_address: String,
    /// Peer addresses at which other instances may run; pinged most often while none is known.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Key that authenticates messages between instances: 64 hexadecimal digits.
    pub peer_key: String,
    /// Further keys that messages of other instances may have, during a change of the key.
    #[serde(default)]
    pub accepted_peer_keys: Vec<String>,
    /// Control traffic that this instance may send, in bytes per second; 3000 by default.
    pub control_budget: Option<i64>,
    /// Lowest severity that is logged: `error`, `warn`, `info` (default) or `debug`.
    pub log_level: Option<String>,
    /// One in this many flows is traced; 0 traces none; 1000 by default.
    pub trace_one_in: Option<i64>,
}
