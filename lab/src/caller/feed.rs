//! One feed: connect, ask, and check each line until the caller leaves.

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::{Socket, State};

use crate::protocol::{Ask, Lines, Tell, WorkId, digest, line};
use crate::stack::Host;

/// How a feed is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FeedState {
    Opening,
    Open,
    Broken,
}

/// A feed of the caller.
#[derive(Debug)]
pub(super) struct Feed {
    pub(super) id: WorkId,
    pub(super) state: FeedState,
    pub(super) wrong_service: bool,
    handle: SocketHandle,
    service: u32,
    asked: bool,
    lines: Lines,
    next_line: u64,
}

impl Feed {
    pub(super) fn new(id: WorkId, handle: SocketHandle, service: u32) -> Self {
        Self {
            id,
            state: FeedState::Opening,
            wrong_service: false,
            handle,
            service,
            asked: false,
            lines: Lines::default(),
            next_line: 0,
        }
    }

    /// Goes on with the feed as far as the connection allows.
    pub(super) fn step(&mut self, host: &mut Host) {
        if self.state == FeedState::Broken {
            return;
        }
        let socket = host.socket(self.handle);
        if !self.asked && socket.may_send() {
            self.asked = socket.send_slice(&line(&Ask::Feed { id: self.id })).is_ok();
        }
        read(socket, &mut self.lines);
        let ended = matches!(socket.state(), State::Closed | State::CloseWait);
        while let Some(tell) = self.lines.take::<Tell>() {
            self.check(tell);
        }
        if ended {
            self.state = FeedState::Broken;
        }
    }

    fn check(&mut self, tell: serde_json::Result<Tell>) {
        match tell {
            Ok(Tell::Level { id, service, line, digest: sum })
                if id == self.id
                    && service == self.service
                    && line == self.next_line
                    && sum == digest(id, line) =>
            {
                self.next_line += 1;
                self.state = FeedState::Open;
            }
            other => {
                let service = self.service;
                self.wrong_service |=
                    matches!(other, Ok(Tell::Level { service: got, .. }) if got != service);
                self.state = FeedState::Broken;
            }
        }
    }
}

/// Reads all that a socket has received.
pub(super) fn read(socket: &mut Socket<'static>, lines: &mut Lines) {
    while socket.can_recv() {
        let taken = socket.recv(|bytes| {
            lines.extend(bytes);
            (bytes.len(), bytes.len())
        });
        if taken.is_err() {
            return;
        }
    }
}
