//! Messages between instances that replicate the operators' lists.

use serde::{Deserialize, Serialize};

use super::ListKind;
use crate::ids::Version;

/// The versions of all lists; 0 if a list is unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersions {
    /// Version of the allowances.
    pub allowances: Version,
    /// Version of the plans.
    pub plans: Version,
    /// Version of the services.
    pub services: Version,
}

impl ListVersions {
    /// Returns the version of one list.
    pub fn get(&self, kind: ListKind) -> Version {
        match kind {
            ListKind::Allowances => self.allowances,
            ListKind::Plans => self.plans,
            ListKind::Services => self.services,
        }
    }

    /// Sets the version of one list.
    pub(crate) fn set(&mut self, kind: ListKind, version: Version) {
        match kind {
            ListKind::Allowances => self.allowances = version,
            ListKind::Plans => self.plans = version,
            ListKind::Services => self.services = version,
        }
    }

    /// Returns the higher version of each list.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            allowances: self.allowances.max(other.allowances),
            plans: self.plans.max(other.plans),
            services: self.services.max(other.services),
        }
    }

    /// Returns whether each list's version is at least the other's.
    pub fn covers(&self, other: &Self) -> bool {
        ListKind::ALL.into_iter().all(|kind| self.get(kind) >= other.get(kind))
    }
}

/// A request for pieces of the payload that updates the sender's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The list.
    pub kind: ListKind,
    /// Version that the sender has; 0 requests the full list.
    pub base: Version,
    /// Hash of the payload that is being fetched; 0 if the sender has no piece yet.
    pub payload_hash: u64,
    /// Index of the first piece, from 0.
    pub first_piece: u32,
    /// Number of consecutive pieces.
    pub count: u32,
}

/// A piece of a payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The list.
    pub kind: ListKind,
    /// Version that the payload updates the list to.
    pub version: Version,
    /// Hash of the whole payload.
    pub payload_hash: u64,
    /// Number of pieces of the payload.
    pub piece_count: u32,
    /// Index of this piece, from 0.
    pub index: u32,
    /// This piece's part of the payload.
    pub bytes: Vec<u8>,
}

/// A message of list replication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the sender's versions.
    Digest {
        /// The sender's versions.
        versions: ListVersions,
        /// Whether the receiver is to reply with its digest even if it has nothing newer.
        wants_reply: bool,
    },
    /// Requests pieces of a payload.
    Pull(Pull),
    /// Answers a pull with one piece.
    Piece(Piece),
}
