//! Protocol between emulated callers and targets: one JSON object per line.

use limpetdeck::hash::stable_pair;
use serde::{Deserialize, Serialize};

/// ID of a sale or feed, unique in a run.
pub type WorkId = u64;

/// Request from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum WorkRequest {
    /// Executes a sale once.
    Sale {
        /// ID of the sale.
        id: WorkId,
    },
    /// Makes the target send a line at a fixed interval until the connection ends.
    Feed {
        /// ID of the feed.
        id: WorkId,
    },
}

/// Response from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum WorkResponse {
    /// The sale was executed.
    Done {
        /// ID of the sale.
        id: WorkId,
        /// ID of the target's service.
        service: u32,
        /// Digest of the response.
        digest: u64,
    },
    /// One line of a feed.
    Level {
        /// ID of the feed.
        id: WorkId,
        /// ID of the target's service.
        service: u32,
        /// Index of the line within the feed, from 0.
        line: u64,
        /// Digest of the line.
        digest: u64,
    },
    /// The target sheds load and did not execute the work.
    Busy {
        /// ID of the sale or feed.
        id: WorkId,
    },
}

/// Returns the digest that an intact response carries; a sale's response is line 0.
pub fn digest(id: WorkId, line: u64) -> u64 {
    stable_pair(id, line)
}

/// Encodes a message as a line of JSON.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut buf = serde_json::to_vec(message).unwrap_or_default();
    buf.push(b'\n');
    buf
}

/// Buffer that splits received bytes into lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    buf: Vec<u8>,
}

impl LineBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes the next complete line and decodes it; returns `None` if there is none yet.
    pub fn take_message<T: for<'de> Deserialize<'de>>(&mut self) -> Option<serde_json::Result<T>> {
        let end = self.buf.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = self.buf.drain(..=end).collect();
        Some(serde_json::from_slice(&line))
    }
}
