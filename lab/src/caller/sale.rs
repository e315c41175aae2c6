//! Sale: a connection with one request and one response.

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;

use crate::protocol::{LineBuffer, WorkId, WorkRequest, WorkResponse, digest, encode_line};
use crate::stack::Host;

/// Outcome of a sale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SaleOutcome {
    Answered,
    /// The connection ended before the request was sent, or the target responded that it did
    /// not execute the sale.
    Refused,
    /// The connection ended without a response after the request was sent.
    Unknown,
    /// The response is malformed, or does not belong to this sale.
    WrongAnswer,
    /// The response is from a target of another service.
    WrongService,
}

/// Sale in progress and its connection.
#[derive(Debug)]
pub(super) struct Sale {
    pub(super) id: WorkId,
    pub(super) handle: SocketHandle,
    service: u32,
    request_sent: bool,
    lines: LineBuffer,
}

impl Sale {
    pub(super) fn new(id: WorkId, handle: SocketHandle, service: u32) -> Self {
        Self { id, handle, service, request_sent: false, lines: LineBuffer::default() }
    }

    /// Sends the request once the connection is open, and returns the outcome once it is
    /// known.
    pub(super) fn step(&mut self, host: &mut Host) -> Option<SaleOutcome> {
        let socket = host.socket(self.handle);
        if !self.request_sent && socket.may_send() {
            self.request_sent =
                socket.send_slice(&encode_line(&WorkRequest::Sale { id: self.id })).is_ok();
        }
        super::feed::receive_lines(socket, &mut self.lines);
        if let Some(response) = self.lines.take_message::<WorkResponse>() {
            socket.close();
            return Some(self.check(response));
        }
        match socket.state() {
            State::Closed if !self.request_sent => Some(SaleOutcome::Refused),
            State::Closed | State::CloseWait | State::TimeWait => Some(SaleOutcome::Unknown),
            _ => None,
        }
    }

    fn check(&self, response: serde_json::Result<WorkResponse>) -> SaleOutcome {
        match response {
            Ok(WorkResponse::Done { service, .. }) if service != self.service => {
                SaleOutcome::WrongService
            }
            Ok(WorkResponse::Done { id, digest: sum, .. })
                if id == self.id && sum == digest(id, 0) =>
            {
                SaleOutcome::Answered
            }
            Ok(WorkResponse::Busy { id }) if id == self.id => SaleOutcome::Refused,
            _ => SaleOutcome::WrongAnswer,
        }
    }
}
