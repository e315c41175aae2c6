use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of times that the platform has come back from an older copy of its data.
pub type Era = u64;

/// Number that increases with each change of any object, within an era.
pub type Revision = u64;

/// Bits of the revision in the encoding of a [`Position`].
const REVISION_BITS: u32 = 48;

/// A point in the history of the platform's objects. Positions of a later era are later,
/// whatever their revisions.
///
/// The encoding is one number, with the era in its upper 16 bits. Releases without eras send bare
/// revisions, which decode as positions of era 0.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(from = "u64", into = "u64")]
#[display("{era}.{revision}")]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

impl Position {
    /// Creates a position.
    pub fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Returns whether anything is known at this position.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

impl From<u64> for Position {
    fn from(encoded: u64) -> Self {
        Self::new(encoded >> REVISION_BITS, encoded & ((1 << REVISION_BITS) - 1))
    }
}

impl From<Position> for u64 {
    fn from(Position { era, revision }: Position) -> Self {
        era << REVISION_BITS | revision
    }
}
