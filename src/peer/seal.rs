//! Authentication of peer messages by a keyed hash, with replay protection.

use derive_more::{Display, Error};
use metrics::counter;
use serde::{Deserialize, Serialize};

use super::{Body, KeyRing, PeerKey};
use crate::hash::HashMap;
use crate::ids::{Incarnation, InstanceId};

/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 16;
/// Sequence numbers by which a message may lag behind the highest one received before it
/// counts as replayed. A sender numbers its messages to all receivers together: at 10,000
/// redirected packets per second this allows for 0.8 s of reordering.
const REPLAY_WINDOW: u64 = 8_192;
/// Bits per word of the replay window.
const WORD_BITS: u64 = 64;
/// Maximum number of senders whose replay windows are kept, 1 KiB each.
const MAX_SENDERS: usize = 4_096;

/// The authenticated part of a message; the tag follows it.
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
    /// The message is shorter than an authentication tag.
    #[display("truncated")]
    Truncated,
    /// The authentication tag does not match.
    #[display("forged")]
    Forged,
    /// The message cannot be decoded.
    #[display("malformed")]
    Malformed,
    /// The message was received before, comes from an earlier incarnation, or is older than the
    /// replay window.
    #[display("replayed")]
    Replayed,
}

/// Replay window of one sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Ring of bits: the bit at n modulo the window is set if message n was received.
    seen: Box<[u64]>,
    /// Count of opened messages when the sender's last one was accepted.
    last_accepted_at: u64,
}

impl ReplayWindow {
    fn new(incarnation: Incarnation) -> Self {
        let seen = vec![0; (REPLAY_WINDOW / WORD_BITS) as usize].into_boxed_slice();
        Self { incarnation, highest: 0, seen, last_accepted_at: 0 }
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
        if behind >= REPLAY_WINDOW || self.is_seen(sequence) {
            return false;
        }
        self.mark_seen(sequence);
        true
    }

    /// Advances the window, and clears the bits that now stand for new messages.
    fn advance(&mut self, to: u64) {
        if to - self.highest >= REPLAY_WINDOW {
            self.seen.fill(0);
        } else {
            for sequence in self.highest + 1..=to {
                let (word, bit) = bit_position(sequence);
                self.seen[word] &= !bit;
            }
        }
        self.highest = to;
    }

    fn is_seen(&self, sequence: u64) -> bool {
        let (word, bit) = bit_position(sequence);
        self.seen[word] & bit != 0
    }

    fn mark_seen(&mut self, sequence: u64) {
        let (word, bit) = bit_position(sequence);
        self.seen[word] |= bit;
    }
}

fn bit_position(sequence: u64) -> (usize, u64) {
    let at = sequence % REPLAY_WINDOW;
    ((at / WORD_BITS) as usize, 1 << (at % WORD_BITS))
}

/// Adds authentication tags to messages and verifies them, with the keys that all instances share.
#[derive(Debug)]
pub struct Sealer {
    keys: KeyRing,
    me: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    windows: HashMap<InstanceId, ReplayWindow>,
    opened: u64,
}

impl Sealer {
    /// Creates a sealer for one incarnation of an instance.
    pub fn new(keys: impl Into<KeyRing>, me: InstanceId, incarnation: Incarnation) -> Self {
        let keys = keys.into();
        Self { keys, me, incarnation, sequence: 0, windows: HashMap::default(), opened: 0 }
    }

    /// Raises the incarnation; a lower one is ignored. Needed if an earlier start had a clock that
    /// was ahead: peers would drop this one's messages as replayed.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Encodes a message with its sender and sequence number, and appends the tag. The content
    /// is not encrypted.
    pub fn seal(&mut self, body: &Body) -> Vec<u8> {
        self.sequence += 1;
        let envelope = Envelope {
            from: self.me,
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
        };
        // Cannot fail: serialization to memory supports every type of a message.
        let mut buf = postcard::to_stdvec(&envelope).unwrap_or_default();
        buf.extend_from_slice(&tag(self.keys.current(), &buf));
        buf
    }

    /// Verifies and decodes a message; returns its sender and body.
    ///
    /// # Errors
    ///
    /// Returns the reason why the message has to be dropped.
    pub fn open(&mut self, buf: &[u8]) -> Result<(InstanceId, Body), OpenError> {
        let split = buf.len().checked_sub(TAG_LEN).ok_or(OpenError::Truncated)?;
        let (encoded, claimed) = buf.split_at(split);
        let matches = |key| constant_time_eq(&tag(key, encoded), claimed);
        let key = self.keys.all().position(matches).ok_or(OpenError::Forged)?;
        if key > 0 {
            counter!("limpetdeck_peer_messages_other_key_total").increment(1);
        }
        let envelope: Envelope<Body> =
            postcard::from_bytes(encoded).map_err(|_| OpenError::Malformed)?;
        if !self.accept(envelope.from, envelope.incarnation, envelope.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok((envelope.from, envelope.body))
    }

    /// Returns the number of senders whose replay window is kept.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn accept(&mut self, from: InstanceId, incarnation: Incarnation, sequence: u64) -> bool {
        if !self.windows.contains_key(&from) && self.windows.len() >= MAX_SENDERS {
            self.evict_longest_silent();
        }
        self.opened += 1;
        let window = self.windows.entry(from).or_insert_with(|| ReplayWindow::new(incarnation));
        let accepted = window.accept(incarnation, sequence);
        if accepted {
            window.last_accepted_at = self.opened;
        }
        accepted
    }

    /// Evicts the sender that has been silent longest. Replaced instances come with new IDs, so
    /// the number of senders would otherwise grow without limit.
    fn evict_longest_silent(&mut self) {
        let longest = self.windows.iter().min_by_key(|(_, window)| window.last_accepted_at);
        if let Some(id) = longest.map(|(&id, _)| id) {
            self.windows.remove(&id);
        }
    }
}

fn tag(key: &PeerKey, encoded: &[u8]) -> [u8; TAG_LEN] {
    let hash = blake3::keyed_hash(key, encoded);
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_LEN]);
    tag
}

/// Compares in constant time, so that timing reveals nothing about the tag.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}
