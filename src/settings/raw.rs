//! Settings as they stand in the TOML file.

use serde::Deserialize;

/// The settings file of `limpetdeck-entry`, unchecked.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Number of this instance.
    pub instance: i64,
    /// Name of the failure domain that this instance stands in.
    pub failure_domain: String,
    /// UDP address for packets from the fabric.
    pub packet_address: String,
    /// UDP address for messages of other instances.
    pub peer_address: String,
    /// TCP address for health, metrics and JSON-RPC.
    pub metrics_address: String,
    /// UDP address of the fabric.
    pub fabric_address: String,
    /// TCP address of the platform's object API.
    pub platform_address: String,
    /// Peer addresses that are asked when the platform is down.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Key of the messages between instances: 64 hexadecimal digits.
    pub peer_key: String,
    /// Control traffic that this instance may send, in bytes a second.
    pub control_budget: Option<i64>,
    /// Least severe level that is logged.
    pub log_level: Option<String>,
    /// One flow in this many is traced; 0 traces none.
    pub trace_one_in: Option<i64>,
}
