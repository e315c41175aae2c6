//! Validated settings.

use std::net::SocketAddr;

use super::{Findings, RawSettings};
use crate::ids::{FailureDomain, InstanceId};
use crate::peer::{KeyRing, PeerKey};

/// Default of `control_budget`, in bytes per second.
const DEFAULT_CONTROL_BUDGET: u32 = 3_000;
/// Smallest control budget with which failure detection still works, in bytes per second.
const MIN_CONTROL_BUDGET: i64 = 500;
/// Largest allowed control budget, in bytes per second.
const MAX_CONTROL_BUDGET: i64 = 1_000_000;
/// Default of `trace_one_in`: one in this many flows is traced.
const DEFAULT_TRACE_ONE_IN: u32 = 1_000;
/// Longest allowed name of a failure domain, in bytes.
const MAX_NAME_LEN: usize = 64;

/// Lowest severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Events that need an operator.
    Error,
    /// Also events that may need an operator.
    Warn,
    /// Also state changes.
    Info,
    /// Also details for debugging.
    Debug,
}

impl TryFrom<&str> for LogLevel {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(format!("{text:?} is not one of error, warn, info, debug")),
        }
    }
}

/// Validated settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Instance ID, at least 1.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// UDP address for packets from the fabric.
    pub packet_address: SocketAddr,
    /// UDP address for messages from other instances.
    pub peer_address: SocketAddr,
    /// TCP address for health checks, metrics and JSON-RPC.
    pub metrics_address: SocketAddr,
    /// UDP address of the fabric.
    pub fabric_address: SocketAddr,
    /// TCP address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Peer addresses at which other instances may run; pinged most often while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate messages between instances.
    pub peer_keys: KeyRing,
    /// Control traffic that this instance may send, in bytes per second.
    pub control_budget: u32,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// One in this many flows is traced; 0 traces none.
    pub trace_one_in: u32,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Findings;

    fn try_from(raw: RawSettings) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = check(&raw, &mut findings);
        findings.into_result(settings)
    }
}

fn check(raw: &RawSettings, f: &mut Findings) -> Option<Settings> {
    let instance = f.ok_or_add("instance", parse_instance_id(raw.instance));
    let failure_domain = f.ok_or_add("failure_domain", parse_failure_domain(&raw.failure_domain));
    let packet_address = f.ok_or_add("packet_address", parse_address(&raw.packet_address));
    let peer_address = f.ok_or_add("peer_address", parse_address(&raw.peer_address));
    let metrics_address = f.ok_or_add("metrics_address", parse_address(&raw.metrics_address));
    let fabric_address = f.ok_or_add("fabric_address", parse_address(&raw.fabric_address));
    let platform_address = f.ok_or_add("platform_address", parse_address(&raw.platform_address));
    let seeds = parse_seeds(&raw.seeds, f);
    let peer_key = f.ok_or_add("peer_key", parse_peer_key(&raw.peer_key));
    let accepted = parse_accepted_keys(&raw.accepted_peer_keys, f);
    let control_budget = f.ok_or_add("control_budget", parse_control_budget(raw.control_budget));
    let level = LogLevel::try_from(raw.log_level.as_deref().unwrap_or("info"));
    let log_level = f.ok_or_add("log_level", level);
    let trace_one_in = f.ok_or_add("trace_one_in", parse_trace_one_in(raw.trace_one_in));
    if packet_address.is_some() && packet_address == peer_address {
        f.add("peer_address", "is the same as packet_address");
    }
    Some(Settings {
        instance: instance?,
        failure_domain: failure_domain?,
        packet_address: packet_address?,
        peer_address: peer_address?,
        metrics_address: metrics_address?,
        fabric_address: fabric_address?,
        platform_address: platform_address?,
        seeds,
        peer_keys: KeyRing::new(peer_key?, accepted),
        control_budget: control_budget?,
        log_level: log_level?,
        trace_one_in: trace_one_in?,
    })
}

fn parse_seeds(raw: &[String], f: &mut Findings) -> Vec<SocketAddr> {
    let checked = raw.iter().enumerate();
    checked
        .filter_map(|(i, text)| f.ok_or_add(format!("seeds[{i}]"), parse_address(text)))
        .collect()
}

fn parse_instance_id(raw: i64) -> Result<InstanceId, String> {
    match InstanceId::try_from(raw) {
        Ok(id) if id > 0 => Ok(id),
        _ => Err(format!("{raw} is not from 1 to {}", InstanceId::MAX)),
    }
}

fn parse_failure_domain(raw: &str) -> Result<FailureDomain, String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if raw.is_empty() || raw.len() > MAX_NAME_LEN || !raw.chars().all(allowed) {
        return Err(format!(
            "{raw:?} is not 1 to {MAX_NAME_LEN} lower-case letters, digits or hyphens"
        ));
    }
    Ok(raw.to_owned())
}

fn parse_address(raw: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr =
        raw.parse().map_err(|_| format!("{raw:?} is not an IP address with a port"))?;
    if address.port() == 0 {
        return Err(format!("{raw:?} has port 0"));
    }
    Ok(address)
}

fn parse_peer_key(raw: &str) -> Result<PeerKey, String> {
    let hash = blake3::Hash::from_hex(raw).map_err(|_| "is not 64 hexadecimal digits")?;
    Ok(*hash.as_bytes())
}

fn parse_accepted_keys(raw: &[String], f: &mut Findings) -> Vec<PeerKey> {
    let checked = raw.iter().enumerate();
    checked
        .filter_map(|(i, text)| {
            f.ok_or_add(format!("accepted_peer_keys[{i}]"), parse_peer_key(text))
        })
        .collect()
}

fn parse_control_budget(raw: Option<i64>) -> Result<u32, String> {
    let Some(raw) = raw else { return Ok(DEFAULT_CONTROL_BUDGET) };
    if !(MIN_CONTROL_BUDGET..=MAX_CONTROL_BUDGET).contains(&raw) {
        return Err(format!(
            "{raw} is not from {MIN_CONTROL_BUDGET} to {MAX_CONTROL_BUDGET} bytes per second"
        ));
    }
    u32::try_from(raw).map_err(|e| e.to_string())
}

fn parse_trace_one_in(raw: Option<i64>) -> Result<u32, String> {
    let Some(raw) = raw else { return Ok(DEFAULT_TRACE_ONE_IN) };
    u32::try_from(raw).map_err(|_| format!("{raw} is not from 0 to {}", u32::MAX))
}
