//! One end of a flow: bytes in order, with repeats of what was lost.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use limpetdeck::steering::Token;
use limpetdeck_platform::emulator::{Segment, SegmentKind};

/// Packets in flight at most.
const WINDOW: usize = 16;
/// Most data in one packet.
const PACKET_BYTES: usize = 1_200;
/// Time after which a packet is sent again; it doubles from time to time.
const FIRST_REPEAT: Duration = Duration::from_millis(200);
/// Longest time between two repeats.
const LONGEST_REPEAT: Duration = Duration::from_millis(1_600);
/// Repeats of a packet after which its sender gives up.
const MOST_REPEATS: u32 = 8;
/// Time for which an acknowledgement may wait for a second packet.
const ACK_DELAY: Duration = Duration::from_millis(20);

/// A packet without its ends: its kind, the number of its first byte and its data.
type Outgoing = (SegmentKind, u32, Vec<u8>);

#[derive(Debug)]
struct Sent {
    packet: Outgoing,
    at: Duration,
    repeats: u32,
}

impl Sent {
    fn end(&self) -> u32 {
        self.packet.1.wrapping_add(length(&self.packet))
    }

    fn due(&self) -> Duration {
        self.at + (FIRST_REPEAT * 2u32.pow(self.repeats.min(3))).min(LONGEST_REPEAT)
    }
}

/// One end of an open flow.
#[derive(Debug)]
pub struct Stream {
    unsent: VecDeque<u8>,
    closing: bool,
    in_flight: VecDeque<Sent>,
    next: u32,
    expected: u32,
    early: BTreeMap<u32, Outgoing>,
    inbox: Vec<u8>,
    unacknowledged: u32,
    ack_due: Option<Duration>,
    /// Whether the other end has closed its side.
    pub closed: bool,
}

impl Stream {
    /// Makes an end whose first byte has the number `next`, and that expects `expected`.
    pub fn new(next: u32, expected: u32) -> Self {
        Self {
            unsent: VecDeque::new(),
            closing: false,
            in_flight: VecDeque::new(),
            next,
            expected,
            early: BTreeMap::new(),
            inbox: Vec::new(),
            unacknowledged: 0,
            ack_due: None,
            closed: false,
        }
    }

    /// Returns the number of the next byte that is expected.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// Tells whether all that was written has arrived.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty() && self.in_flight.is_empty() && !self.closing
    }

    /// Writes data.
    pub fn write(&mut self, data: &[u8]) {
        self.unsent.extend(data);
    }

    /// Closes this side behind all that was written.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Returns the data that has arrived in order.
    pub fn inbox(&mut self) -> &mut Vec<u8> {
        &mut self.inbox
    }

    /// Takes a packet of the other end.
    pub fn take(&mut self, now: Duration, segment: &Segment) {
        let acknowledged = segment.acknowledged;
        self.in_flight.retain(|sent| !reaches(acknowledged, sent.end()));
        let packet = (segment.kind, segment.sequence, segment.data.clone());
        if length(&packet) == 0 {
            return;
        }
        self.unacknowledged += 1;
        self.ack_due.get_or_insert(now + ACK_DELAY);
        if !reaches(self.expected, segment.sequence.wrapping_add(length(&packet))) {
            self.early.insert(segment.sequence, packet);
        }
        while let Some((kind, _, data)) = self.early.remove(&self.expected) {
            self.expected = self.expected.wrapping_add(length(&(kind, 0, data.clone())));
            self.inbox.extend_from_slice(&data);
            self.closed |= kind == SegmentKind::Closing;
        }
    }

    /// Returns the packets that are due from one end to the other.
    ///
    /// # Errors
    ///
    /// Fails if a packet was repeated too often.
    pub fn due(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        to: SocketAddrV4,
        token: Token,
    ) -> Result<Vec<Segment>, GivenUp> {
        let packets = self.packets(now)?;
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

    fn packets(&mut self, now: Duration) -> Result<Vec<Outgoing>, GivenUp> {
        let mut out = Vec::new();
        for sent in self.in_flight.iter_mut().filter(|sent| now >= sent.due()) {
            if sent.repeats >= MOST_REPEATS {
                return Err(GivenUp);
            }
            sent.repeats += 1;
            sent.at = now;
            out.push(sent.packet.clone());
        }
        while self.in_flight.len() < WINDOW
            && let Some(packet) = self.fresh()
        {
            out.push(packet.clone());
            self.in_flight.push_back(Sent { packet, at: now, repeats: 0 });
        }
        let ack = self.unacknowledged >= 2 || self.ack_due.is_some_and(|due| now >= due);
        if ack && out.is_empty() {
            out.push((SegmentKind::Data, self.next, Vec::new()));
        }
        if !out.is_empty() {
            self.unacknowledged = 0;
            self.ack_due = None;
        }
        Ok(out)
    }

    fn fresh(&mut self) -> Option<Outgoing> {
        let len = self.unsent.len().min(PACKET_BYTES);
        let kind = match len {
            0 if !std::mem::take(&mut self.closing) => return None,
            0 => SegmentKind::Closing,
            _ => SegmentKind::Data,
        };
        let packet = (kind, self.next, self.unsent.drain(..len).collect());
        self.next = self.next.wrapping_add(length(&packet));
        Some(packet)
    }
}

/// The other end acknowledges nothing any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp;

/// The end of a side takes up a number as well.
fn length((kind, _, data): &Outgoing) -> u32 {
    data.len() as u32 + u32::from(*kind == SegmentKind::Closing)
}

/// Tells whether the numbers up to `acknowledged` reach `end`, in numbers that wrap around.
fn reaches(acknowledged: u32, end: u32) -> bool {
    acknowledged.wrapping_sub(end) < 1 << 31
}
