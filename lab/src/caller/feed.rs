//! Feed: a connection on which the target sends a line at a fixed interval.

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::{Socket, State};

use crate::protocol::{LineBuffer, WorkId, WorkRequest, WorkResponse, digest, encode_line};
use crate::stack::Host;

/// State of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FeedState {
    /// No line has been received yet.
    Opening,
    Open,
    /// The connection ended, or a line was wrong or missing.
    Broken,
}

/// Feed and its connection.
#[derive(Debug)]
pub(super) struct Feed {
    pub(super) id: WorkId,
    pub(super) state: FeedState,
    pub(super) wrong_service: bool,
    handle: SocketHandle,
    service: u32,
    request_sent: bool,
    lines: LineBuffer,
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
            request_sent: false,
            lines: LineBuffer::default(),
            next_line: 0,
        }
    }

    /// Sends the request once the connection is open, and checks the lines received.
    pub(super) fn step(&mut self, host: &mut Host) {
        if self.state == FeedState::Broken {
            return;
        }
        let socket = host.socket(self.handle);
        if !self.request_sent && socket.may_send() {
            self.request_sent =
                socket.send_slice(&encode_line(&WorkRequest::Feed { id: self.id })).is_ok();
        }
        receive_lines(socket, &mut self.lines);
        let ended = matches!(socket.state(), State::Closed | State::CloseWait);
        while let Some(response) = self.lines.take_message::<WorkResponse>() {
            self.check(response);
        }
        if ended {
            self.state = FeedState::Broken;
        }
    }

    fn check(&mut self, response: serde_json::Result<WorkResponse>) {
        match response {
            Ok(WorkResponse::Level { id, service, line, digest: sum })
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
                    matches!(other, Ok(WorkResponse::Level { service: got, .. }) if got != service);
                self.state = FeedState::Broken;
            }
        }
    }
}

/// Moves all bytes that a socket has received into `lines`.
pub(super) fn receive_lines(socket: &mut Socket<'static>, lines: &mut LineBuffer) {
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
