//! Connections of a target.

use std::time::Duration;

use smoltcp::iface::SocketHandle;

use crate::protocol::{LineBuffer, WorkId};

/// State of a connection.
#[derive(Debug)]
pub(super) enum ConnectionState {
    /// No request is in progress.
    Idle,
    /// The sale waits for a slot.
    Waiting(WorkId),
    /// The sale uses a slot until the given time.
    Executing(WorkId, Duration),
    /// The feed's next line has the given index and is due at the given time.
    Feeding(WorkId, u64, Duration),
}

/// Connection and its state.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) handle: SocketHandle,
    pub(super) lines: LineBuffer,
    pub(super) state: ConnectionState,
}

impl Connection {
    pub(super) fn new(handle: SocketHandle) -> Self {
        Self { handle, lines: LineBuffer::default(), state: ConnectionState::Idle }
    }

    pub(super) fn uses_slot(&self) -> bool {
        matches!(self.state, ConnectionState::Executing(..))
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, ConnectionState::Waiting(_))
    }
}
