//! Sealing of peer messages: keyed hash, sender, sequence and protection from replay.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::Body;
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};

/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 16;
/// Messages by which a message may be overtaken before it counts as replayed.
const WINDOW: u64 = 64;

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
#[derive(Debug, Default)]
struct Received {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set if the message n below the highest was received.
    seen: u64,
}

impl Received {
    fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, highest: sequence, seen: 1 };
            return true;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

/// Seals and opens messages with the key that all instances share.
#[derive(Debug)]
pub struct Sealer {
    key: [u8; 32],
    me: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    received: HashMap<InstanceId, Received>,
}

impl Sealer {
    /// Makes a sealer for one start of an instance.
    pub fn new(key: [u8; 32], me: InstanceId, incarnation: Incarnation) -> Self {
        Self { key, me, incarnation, sequence: 0, received: HashMap::default() }
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
        let received = self.received.entry(envelope.from).or_default();
        if !received.accept(envelope.incarnation, envelope.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok((envelope.from, envelope.body))
    }
}

/// Compares without leaving early, so that timing tells nothing of the tag.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}
