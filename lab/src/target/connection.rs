//! One connection of a target.

use std::time::Duration;

use smoltcp::iface::SocketHandle;

use crate::protocol::{Lines, WorkId};

/// What a connection is used for.
#[derive(Debug)]
pub(super) enum Use {
    /// Nothing was asked yet.
    Idle,
    /// A sale that waits for a slot.
    Waiting(WorkId),
    /// A sale in its slot, and when it is done.
    Working(WorkId, Duration),
    /// A feed, its next line and when that is due.
    Feeding(WorkId, u64, Duration),
}

/// A connection and what it is used for.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) handle: SocketHandle,
    pub(super) lines: Lines,
    pub(super) purpose: Use,
}

impl Connection {
    pub(super) fn new(handle: SocketHandle) -> Self {
        Self { handle, lines: Lines::default(), purpose: Use::Idle }
    }

    pub(super) fn in_slot(&self) -> bool {
        matches!(self.purpose, Use::Working(..))
    }

    pub(super) fn waits(&self) -> bool {
        matches!(self.purpose, Use::Waiting(_))
    }
}
