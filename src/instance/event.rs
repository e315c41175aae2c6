//! What happens to an instance, and what it wants done.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FlowId, TargetId};
use crate::platform::{Call, PlatformError, Reply};
use crate::services::ReportAddress;
use crate::targets::ProbeResult;

/// Something that happens to an instance.
#[derive(Debug)]
pub enum Event {
    /// A packet has come from the fabric.
    Packet(Vec<u8>),
    /// A message has come from another instance.
    Peer(Vec<u8>),
    /// The platform has answered a call, or the call has failed.
    Platform(Call, Result<Reply, PlatformError>),
    /// It has shown whether something accepts connections at an address.
    Reached(SocketAddr, bool),
    /// A probe of a target has ended.
    Probed(TargetId, ProbeResult),
    /// Time has passed; due about ten times a second.
    Tick,
    /// The instance is asked to stop gracefully.
    Stop,
    /// Some settings have changed.
    Changed(Changeable),
}

/// The settings that an instance takes while it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changeable {
    /// Peer addresses that are tried when no instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a graceful stop has to be complete.
    pub grace: Duration,
}

/// Something that an instance wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a packet to the fabric.
    Fabric(Vec<u8>),
    /// Send a packet to a target or a caller.
    Datagram(SocketAddr, Vec<u8>),
    /// Send a control message to another instance; it was paid for from the budget.
    Peer(SocketAddr, Vec<u8>),
    /// Pass a packet on to another instance, which is no control traffic.
    PassOn(SocketAddr, Vec<u8>),
    /// Make a call of the platform.
    Platform(Call),
    /// Read the load report of a target.
    Probe(TargetId, ReportAddress),
    /// Log a span over the handling of the event: the flow of its packet is sampled.
    Traced(FlowId),
    /// Find out whether something accepts connections at an address.
    Reach(SocketAddr),
    /// End the process: the graceful stop is complete.
    Exit,
}
