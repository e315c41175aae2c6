//! Callers and targets, with a TCP model limited to what placement can affect.

mod caller;
mod target;

pub use caller::{Callers, FlowKind, FlowOutcome, uses_slot};
pub use target::{FlowEvent, FlowUid, SimTarget};

use std::net::SocketAddrV4;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::packet::TcpFlags;

/// Time to live of the packets, in hops.
const TIME_TO_LIVE: u8 = 64;
/// Time before the first retransmission of a segment; doubled each time.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(400);
/// Retransmissions of a segment before the flow is abandoned.
const MAX_RETRANSMITS: u32 = 5;

/// Timer of a caller or target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Retransmission timeout of a caller's segment; void if `generation` is outdated.
    CallerRetransmit { caller: usize, generation: u32 },
    /// A caller checks whether its flow has stalled.
    CallerStallCheck { caller: usize },
    /// Retransmission timeout of a target's segment; void if `generation` is outdated.
    TargetRetransmit { target: usize, caller: SocketAddrV4, generation: u32 },
    /// A target sends a packet on a feed.
    FeedMessage { target: usize, caller: SocketAddrV4, initial_sequence: u32 },
    /// A target finishes the work in a slot.
    WorkDone { target: usize, caller: SocketAddrV4, initial_sequence: u32 },
}

/// Packets to send and timers to schedule.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to send.
    pub packets: Vec<Vec<u8>>,
    /// Timers with the delay after which each fires.
    pub timers: Vec<(Duration, Timer)>,
}

/// Sequence numbers at one end of a connection.
#[derive(Debug, Clone, Copy, Default)]
struct SequenceState {
    /// Next byte to send.
    next: u32,
    /// First byte that is not acknowledged.
    unacknowledged: u32,
    /// Next byte expected from the other end.
    expected: u32,
}

impl SequenceState {
    fn all_acked(&self) -> bool {
        self.next == self.unacknowledged
    }

    /// Processes an acknowledgment. Returns false if it covers bytes that were never sent.
    fn acknowledge(&mut self, acknowledgment: u32) -> bool {
        let in_flight = self.next.wrapping_sub(self.unacknowledged);
        let newly_acknowledged = acknowledgment.wrapping_sub(self.unacknowledged);
        if newly_acknowledged <= in_flight {
            self.unacknowledged = acknowledgment;
        }
        newly_acknowledged <= in_flight || newly_acknowledged > u32::MAX / 2
    }
}

/// Returns the time before the next retransmission, with exponential backoff.
fn retransmit_timeout(retransmits: u32) -> Duration {
    INITIAL_RETRANSMIT_TIMEOUT * 2u32.saturating_pow(retransmits)
}

/// Builds a packet with valid checksums.
fn build_packet(
    from: SocketAddrV4,
    to: SocketAddrV4,
    (sequence, acknowledgment): (u32, u32),
    flags: TcpFlags,
    payload: &[u8],
) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TIME_TO_LIVE);
    let mut builder = ip.tcp(from.port(), to.port(), sequence, u16::MAX);
    if flags.syn {
        builder = builder.syn();
    }
    if flags.ack {
        builder = builder.ack(acknowledgment);
    }
    if flags.fin {
        builder = builder.fin();
    }
    let mut buf = Vec::with_capacity(builder.size(payload.len()));
    // Writing to memory fails only for payloads that IPv4 cannot carry.
    let _ = builder.write(&mut buf, payload);
    buf
}

const SYN: TcpFlags = TcpFlags { syn: true, ack: false, fin: false, rst: false };
const SYN_ACK: TcpFlags = TcpFlags { syn: true, ack: true, fin: false, rst: false };
const ACK: TcpFlags = TcpFlags { syn: false, ack: true, fin: false, rst: false };
const FIN_ACK: TcpFlags = TcpFlags { syn: false, ack: true, fin: true, rst: false };
