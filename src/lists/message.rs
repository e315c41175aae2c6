//! What instances tell each other about the operators' objects.

use serde::{Deserialize, Serialize};

use super::ListKind;
use crate::ids::Version;

/// The versions of all lists; 0 stands for a list that is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the allowances.
    pub allowances: Version,
    /// Version of the plans.
    pub plans: Version,
    /// Version of the services.
    pub services: Version,
}

impl Versions {
    /// Returns the version of one list.
    pub fn of(&self, kind: ListKind) -> Version {
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

    /// Tells whether no list is behind the other's.
    pub fn covers(&self, other: &Self) -> bool {
        ListKind::ALL.into_iter().all(|kind| self.of(kind) >= other.of(kind))
    }
}

/// A request for pieces of what the sender lacks of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The list.
    pub kind: ListKind,
    /// Version that the sender has.
    pub have: Version,
    /// Fingerprint of the payload that the sender has begun to fetch; 0 at first.
    pub payload: u64,
    /// Number of the first piece.
    pub piece: u32,
    /// Pieces from the first one on.
    pub count: u32,
}

/// A piece of a payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The list.
    pub kind: ListKind,
    /// Version that the whole payload brings.
    pub version: Version,
    /// Fingerprint of the whole payload.
    pub payload: u64,
    /// Pieces that the payload has.
    pub pieces: u32,
    /// Number of this piece.
    pub piece: u32,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A message about lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The versions that the sender has.
    Digest {
        /// The versions.
        versions: Versions,
        /// The sender wants the receiver's versions in any case.
        asks: bool,
    },
    /// The sender lacks something.
    Pull(Pull),
    /// What the receiver lacked.
    Piece(Piece),
}
