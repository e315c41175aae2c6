//! What callers and targets say to each other: one JSON object a line.

use limpetdeck::hash::stable_pair;
use serde::{Deserialize, Serialize};

/// Number of one piece of work, unique in a run.
pub type WorkId = u64;

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Ask {
    /// Execute a sale once.
    Sale {
        /// Number of the sale.
        id: WorkId,
    },
    /// Send a line at a fixed interval until the caller leaves.
    Feed {
        /// Number of the feed.
        id: WorkId,
    },
}

/// What a target sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Tell {
    /// The sale was executed.
    Done {
        /// Number of the sale.
        id: WorkId,
        /// Number of the target's service.
        service: u32,
        /// Digest of the answer.
        digest: u64,
    },
    /// One line of a feed.
    Level {
        /// Number of the feed.
        id: WorkId,
        /// Number of the target's service.
        service: u32,
        /// Number of the line within the feed, from 0.
        line: u64,
        /// Digest of the line.
        digest: u64,
    },
    /// The target sheds load: the work did not run.
    Busy {
        /// Number of the work.
        id: WorkId,
    },
}

/// Returns the digest that a whole answer must carry.
pub fn digest(id: WorkId, line: u64) -> u64 {
    stable_pair(id, line)
}

/// Writes a message as a line.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    let mut buf = serde_json::to_vec(message).unwrap_or_default();
    buf.push(b'\n');
    buf
}

/// Collects bytes and gives whole lines.
#[derive(Debug, Default)]
pub struct Lines {
    buf: Vec<u8>,
}

impl Lines {
    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next whole line as a message; an unreadable one gives an error.
    pub fn take<T: for<'de> Deserialize<'de>>(&mut self) -> Option<serde_json::Result<T>> {
        let end = self.buf.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = self.buf.drain(..=end).collect();
        Some(serde_json::from_slice(&line))
    }
}
