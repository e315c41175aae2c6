//! Events that an instance handles, and actions that it requests.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::ids::{FlowId, TargetId};
use crate::platform::{Call, Changes, PlatformError, Reply};
use crate::services::ReportAddress;
use crate::targets::ProbeResult;

/// What a connection check of an address has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CheckOutcome {
    /// A process accepts connections there.
    #[display("accepted")]
    Accepted,
    /// The connection was refused: no process listens there, or the network refuses it.
    #[display("refused")]
    Refused,
    /// There was no answer in time, or the network reports that the address cannot be reached.
    #[display("no_answer")]
    NoAnswer,
}

/// An input of an instance.
#[derive(Debug)]
pub enum Event {
    /// A packet has arrived from the fabric.
    Packet(Vec<u8>),
    /// A datagram has arrived from another instance.
    Peer(Vec<u8>),
    /// The platform has answered a call, or the call has failed.
    Platform(Call, Result<Reply, PlatformError>),
    /// Part of the platform's reply to a call has arrived; the rest is on its way.
    PlatformPart(Call, Changes),
    /// A connection check of an address has ended.
    ConnectionChecked(SocketAddr, CheckOutcome),
    /// A probe of a target has ended.
    ProbeFinished(TargetId, ProbeResult),
    /// No packet was waiting to be read at a time: those that are read later have arrived later. Comes about
    /// ten times a second while the instance keeps up.
    PacketsRead(Duration),
    /// Time may have passed that the clock has not counted, as the machine was suspended.
    TimeLost,
    /// Timer tick, about ten times a second.
    Tick,
    /// The instance is asked to stop gracefully.
    Stop,
    /// Settings have been reloaded.
    SettingsChanged(ReloadableSettings),
}

/// The settings that can be reloaded while an instance runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadableSettings {
    /// Peer addresses at which other instances may run; pinged most often while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Maximum duration of a graceful stop.
    pub grace: Duration,
}

/// An output of an instance, to be carried out by its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a packet to the fabric.
    Fabric(Vec<u8>),
    /// Send a packet to a target or a caller.
    Datagram(SocketAddr, Vec<u8>),
    /// Send a control message to another instance; its size is already charged to the control
    /// budget.
    Peer(SocketAddr, Vec<u8>),
    /// Redirect a packet to another instance; this is not control traffic and not charged to
    /// the control budget.
    Redirect(SocketAddr, Vec<u8>),
    /// Call the platform.
    Platform(Call),
    /// Read the load report of a target.
    Probe(TargetId, ReportAddress),
    /// Log a trace span over the handling of this event: the flow of its packet is sampled.
    TraceSpan(FlowId),
    /// Check whether an address accepts connections; [`Event::ConnectionChecked`] gives the result.
    CheckConnection(SocketAddr),
    /// End the process: the graceful stop is complete.
    Exit,
}
