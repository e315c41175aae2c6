//! One endpoint of a flow: in-order delivery with retransmission, as in TCP.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::steering::Token;
use limpetdeck_platform::emulator::{Segment, SegmentKind};

/// Maximum number of packets in flight.
const SEND_WINDOW_PACKETS: usize = 16;
/// Maximum length of a packet's data.
const MAX_DATA_BYTES: usize = 1_200;
/// Initial retransmission timeout; doubles with each retransmission.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound of the retransmission timeout.
const MAX_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Retransmissions of a packet after which the flow is aborted.
const MAX_RETRANSMITS: u32 = 8;
/// Time for which an acknowledgment is delayed unless a second packet arrives.
const ACK_DELAY: Duration = Duration::from_millis(20);

/// A packet without addresses: kind, sequence number and data.
type Packet = (SegmentKind, u32, Vec<u8>);

#[derive(Debug)]
struct InFlight {
    packet: Packet,
    sent_at: Duration,
    retransmits: u32,
}

impl InFlight {
    fn end(&self) -> u32 {
        self.packet.1.wrapping_add(sequence_len(&self.packet))
    }

    fn due(&self) -> Duration {
        self.sent_at
            + (INITIAL_RETRANSMIT_TIMEOUT * 2u32.pow(self.retransmits.min(3)))
                .min(MAX_RETRANSMIT_TIMEOUT)
    }
}

/// One endpoint of an open flow.
#[derive(Debug)]
pub struct Stream {
    unsent: VecDeque<u8>,
    closing: bool,
    in_flight: VecDeque<InFlight>,
    next_seq: u32,
    expected: u32,
    out_of_order: BTreeMap<u32, Packet>,
    received: Vec<u8>,
    unacked_packets: u32,
    ack_due: Option<Duration>,
    /// Whether the peer has closed its side.
    pub peer_closed: bool,
}

impl Stream {
    /// Creates an endpoint that sends from sequence number `next_seq` and expects `expected`.
    pub fn new(next_seq: u32, expected: u32) -> Self {
        Self {
            unsent: VecDeque::new(),
            closing: false,
            in_flight: VecDeque::new(),
            next_seq,
            expected,
            out_of_order: BTreeMap::new(),
            received: Vec::new(),
            unacked_packets: 0,
            ack_due: None,
            peer_closed: false,
        }
    }

    /// Returns the next expected sequence number.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// Returns whether everything written was sent and acknowledged.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty() && self.in_flight.is_empty() && !self.closing
    }

    /// Queues data for sending.
    pub fn write(&mut self, data: &[u8]) {
        self.unsent.extend(data);
    }

    /// Closes this side after all queued data.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Returns the data received in order, from which the caller removes what it has read.
    pub fn received(&mut self) -> &mut Vec<u8> {
        &mut self.received
    }

    /// Handles a packet from the peer.
    pub fn receive(&mut self, now: Duration, segment: &Segment) {
        let acknowledged = segment.acknowledged;
        self.in_flight.retain(|sent| !is_at_or_after(acknowledged, sent.end()));
        let packet = (segment.kind, segment.sequence, segment.data.clone());
        if sequence_len(&packet) == 0 {
            return;
        }
        self.unacked_packets += 1;
        self.ack_due.get_or_insert(now + ACK_DELAY);
        if !is_at_or_after(self.expected, segment.sequence.wrapping_add(sequence_len(&packet))) {
            self.out_of_order.insert(segment.sequence, packet);
        }
        while let Some((kind, _, data)) = self.out_of_order.remove(&self.expected) {
            self.expected = self.expected.wrapping_add(sequence_len(&(kind, 0, data.clone())));
            self.received.extend_from_slice(&data);
            self.peer_closed |= kind == SegmentKind::Closing;
        }
    }

    /// Returns the packets that are due, addressed `from` this endpoint `to` the peer.
    ///
    /// # Errors
    ///
    /// Fails if a packet was retransmitted too often without acknowledgment.
    pub fn due_packets(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        to: SocketAddrV4,
        token: Token,
    ) -> Result<Vec<Segment>, FlowAborted> {
        let packets = self.take_due(now)?;
        let acknowledged = self.expected;
        let segment = |(kind, sequence, data)| Segment {
            from,
            to,
            kind,
            token,
            sequence,
            acknowledged,
            data,
        };
        Ok(packets.into_iter().map(segment).collect())
    }

    fn take_due(&mut self, now: Duration) -> Result<Vec<Packet>, FlowAborted> {
        let mut out = Vec::new();
        for sent in self.in_flight.iter_mut().filter(|sent| now >= sent.due()) {
            if sent.retransmits >= MAX_RETRANSMITS {
                return Err(FlowAborted);
            }
            sent.retransmits += 1;
            sent.sent_at = now;
            out.push(sent.packet.clone());
        }
        while self.in_flight.len() < SEND_WINDOW_PACKETS
            && let Some(packet) = self.next_packet()
        {
            out.push(packet.clone());
            self.in_flight.push_back(InFlight { packet, sent_at: now, retransmits: 0 });
        }
        let ack_now = self.unacked_packets >= 2 || self.ack_due.is_some_and(|due| now >= due);
        if ack_now && out.is_empty() {
            out.push((SegmentKind::Data, self.next_seq, Vec::new()));
        }
        if !out.is_empty() {
            self.unacked_packets = 0;
            self.ack_due = None;
        }
        Ok(out)
    }

    fn next_packet(&mut self) -> Option<Packet> {
        let len = self.unsent.len().min(MAX_DATA_BYTES);
        let kind = match len {
            0 if !std::mem::take(&mut self.closing) => return None,
            0 => SegmentKind::Closing,
            _ => SegmentKind::Data,
        };
        let packet = (kind, self.next_seq, self.unsent.drain(..len).collect());
        self.next_seq = self.next_seq.wrapping_add(sequence_len(&packet));
        Some(packet)
    }
}

/// The peer no longer acknowledges packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowAborted;

/// Returns the sequence space that a packet takes; closing takes one number, like a TCP FIN.
fn sequence_len((kind, _, data): &Packet) -> u32 {
    data.len() as u32 + u32::from(*kind == SegmentKind::Closing)
}

/// Returns whether `sequence` is at or after `end`, in wrapping arithmetic.
fn is_at_or_after(sequence: u32, end: u32) -> bool {
    sequence.wrapping_sub(end) < 1 << 31
}
