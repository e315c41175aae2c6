//! Sealing of peer messages: keyed hash, sender, sequence and protection from replay.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::Body;
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};

/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 16;
/// Messages by which a message may be overtaken before it counts as replayed. A sender
/// counts all its messages, whoever receives them: at 10,000 hops a second this allows for
/// 0.8 s of reordering.
const WINDOW: u64 = 8_192;
/// Bits in a word of the window.
const WORD: u64 = 64;
/// Senders that are remembered at most, 1 KiB each.
const MOST_SENDERS: usize = 4_096;

/// What stands before the tag.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope<B> {
    from: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    body: B,
}

/// Why a peer message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
pub enum OpenError {
    /// The message is shorter than its tag.
    #[display("truncated")]
    Truncated,
    /// The tag does not match.
    #[display("forged")]
    Forged,
    /// The message cannot be read.
    #[display("malformed")]
    Malformed,
    /// The message was received before, or is older than the window.
    #[display("replayed")]
    Replayed,
}

/// Sequence numbers received from one sender.
#[derive(Debug)]
struct Received {
    incarnation: Incarnation,
    highest: u64,
    /// A ring of bits: bit n modulo the window is set if the message n was received.
    seen: Box<[u64]>,
    /// When the sender was last heard, in messages opened.
    heard: u64,
}

impl Received {
    fn new(incarnation: Incarnation) -> Self {
        let seen = vec![0; (WINDOW / WORD) as usize].into_boxed_slice();
        Self { incarnation, highest: 0, seen, heard: 0 }
    }

    fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(incarnation);
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.bit(sequence) {
            return false;
        }
        self.set(sequence);
        true
    }

    /// Moves the window up, and clears the bits that now stand for other messages.
    fn advance(&mut self, to: u64) {
        if to - self.highest >= WINDOW {
            self.seen.fill(0);
        } else {
            for sequence in self.highest + 1..=to {
                let (word, bit) = place(sequence);
                self.seen[word] &= !bit;
            }
        }
        self.highest = to;
    }

    fn bit(&self, sequence: u64) -> bool {
        let (word, bit) = place(sequence);
        self.seen[word] & bit != 0
    }

    fn set(&mut self, sequence: u64) {
        let (word, bit) = place(sequence);
        self.seen[word] |= bit;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let at = sequence % WINDOW;
    ((at / WORD) as usize, 1 << (at % WORD))
}

/// Seals and opens messages with the key that all instances share.
#[derive(Debug)]
pub struct Sealer {
    key: [u8; 32],
    me: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    received: HashMap<InstanceId, Received>,
    opened: u64,
}

impl Sealer {
    /// Makes a sealer for one start of an instance.
    pub fn new(key: [u8; 32], me: InstanceId, incarnation: Incarnation) -> Self {
        Self { key, me, incarnation, sequence: 0, received: HashMap::default(), opened: 0 }
    }

    /// Takes a higher start number: see [`crate::membership`] on clocks that were ahead.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Seals a message.
    pub fn seal(&mut self, body: &Body) -> Vec<u8> {
        self.sequence += 1;
        let envelope = Envelope {
            from: self.me,
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
        };
        // Writing to memory fails for no type that a message has.
        let mut buf = postcard::to_stdvec(&envelope).unwrap_or_default();
        let tag = blake3::keyed_hash(&self.key, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
        buf
    }

    /// Opens a message and returns its sender.
    ///
    /// # Errors
    ///
    /// Returns why the message has to be dropped.
    pub fn open(&mut self, buf: &[u8]) -> Result<(InstanceId, Body), OpenError> {
        let split = buf.len().checked_sub(TAG_LEN).ok_or(OpenError::Truncated)?;
        let (text, tag) = buf.split_at(split);
        if !same(&blake3::keyed_hash(&self.key, text).as_bytes()[..TAG_LEN], tag) {
            return Err(OpenError::Forged);
        }
        let envelope: Envelope<Body> =
            postcard::from_bytes(text).map_err(|_| OpenError::Malformed)?;
        if !self.accept(envelope.from, envelope.incarnation, envelope.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok((envelope.from, envelope.body))
    }

    /// Returns the number of senders that are remembered.
    pub fn senders(&self) -> usize {
        self.received.len()
    }

    fn accept(&mut self, from: InstanceId, incarnation: Incarnation, sequence: u64) -> bool {
        if !self.received.contains_key(&from) && self.received.len() >= MOST_SENDERS {
            self.forget_longest_silent();
        }
        self.opened += 1;
        let received = self.received.entry(from).or_insert_with(|| Received::new(incarnation));
        let fresh = received.accept(incarnation, sequence);
        if fresh {
            received.heard = self.opened;
        }
        fresh
    }

    /// Makes room for a new sender: with replaced instances the numbers never end.
    fn forget_longest_silent(&mut self) {
        let longest = self.received.iter().min_by_key(|(_, received)| received.heard);
        if let Some(id) = longest.map(|(&id, _)| id) {
            self.received.remove(&id);
        }
    }
}

/// Compares without leaving early, so that timing tells nothing of the tag.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}
