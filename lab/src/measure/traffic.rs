//! Callers and targets, with TCP modelled as far as placement can disturb it.

mod caller;
mod host;

pub use caller::{Callers, End, Kind, uses_slot};
pub use host::{FlowStart, Host, Report};

use std::net::SocketAddrV4;
use std::time::Duration;

use etherparse::PacketBuilder;
use limpetdeck::packet::Flags;

/// Time to live of the packets, in hops.
const TIME_TO_LIVE: u8 = 64;
/// First wait before an unanswered segment is sent again; doubled each time.
const FIRST_RETRANSMIT: Duration = Duration::from_millis(400);
/// Times that a segment is sent again before the flow is given up.
const RETRANSMITS: u32 = 5;

/// Something that is due later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// A caller's segment may be lost.
    CallerRetransmit { caller: usize, stamp: u32 },
    /// A caller looks whether its flow still lives.
    CallerWatch { caller: usize },
    /// A target's segment may be lost.
    HostRetransmit { host: usize, caller: SocketAddrV4, stamp: u32 },
    /// A target has news for a feed.
    Beat { host: usize, caller: SocketAddrV4, opening: u32 },
    /// A target has done the work of a slot.
    Done { host: usize, caller: SocketAddrV4, opening: u32 },
}

/// What callers and targets want done.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to send.
    pub packets: Vec<Vec<u8>>,
    /// What is due later, and after which time.
    pub timers: Vec<(Duration, Timer)>,
}

/// The numbers of one end of a connection.
#[derive(Debug, Clone, Copy, Default)]
struct Numbers {
    /// Next byte to send.
    next: u32,
    /// First byte that is not acknowledged.
    unacknowledged: u32,
    /// Next byte expected from the other end.
    expected: u32,
}

impl Numbers {
    fn settled(&self) -> bool {
        self.next == self.unacknowledged
    }

    /// Takes an acknowledgment; answers false if it is for bytes that were never sent.
    fn acknowledge(&mut self, acknowledgment: u32) -> bool {
        let sent = self.next.wrapping_sub(self.unacknowledged);
        let covered = acknowledgment.wrapping_sub(self.unacknowledged);
        if covered <= sent {
            self.unacknowledged = acknowledgment;
        }
        covered <= sent || covered > u32::MAX / 2
    }
}

/// Waits twice as long each time.
fn retransmit_after(tries: u32) -> Duration {
    FIRST_RETRANSMIT * 2u32.saturating_pow(tries)
}

/// Builds a packet with real checksums.
fn packet(
    from: SocketAddrV4,
    to: SocketAddrV4,
    (sequence, acknowledgment): (u32, u32),
    flags: Flags,
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

const SYN: Flags = Flags { syn: true, ack: false, fin: false, rst: false };
const SYN_ACK: Flags = Flags { syn: true, ack: true, fin: false, rst: false };
const ACK: Flags = Flags { syn: false, ack: true, fin: false, rst: false };
const FIN_ACK: Flags = Flags { syn: false, ack: true, fin: true, rst: false };
