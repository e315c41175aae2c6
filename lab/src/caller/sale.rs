//! One sale: connect, ask, read the answer, close.

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;

use crate::protocol::{Ask, Lines, Tell, WorkId, digest, line};
use crate::stack::Host;

/// How a sale ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SaleEnd {
    Answered,
    /// The connection was refused, or the target said that it did not run the sale.
    Refused,
    /// The connection ended after the sale was sent.
    Unknown,
    WrongAnswer,
    WrongService,
}

/// A sale that has not ended.
#[derive(Debug)]
pub(super) struct Sale {
    pub(super) id: WorkId,
    pub(super) handle: SocketHandle,
    service: u32,
    asked: bool,
    lines: Lines,
}

impl Sale {
    pub(super) fn new(id: WorkId, handle: SocketHandle, service: u32) -> Self {
        Self { id, handle, service, asked: false, lines: Lines::default() }
    }

    /// Goes on with the sale as far as the connection allows.
    pub(super) fn step(&mut self, host: &mut Host) -> Option<SaleEnd> {
        let socket = host.socket(self.handle);
        if !self.asked && socket.may_send() {
            self.asked = socket.send_slice(&line(&Ask::Sale { id: self.id })).is_ok();
        }
        super::feed::read(socket, &mut self.lines);
        if let Some(tell) = self.lines.take::<Tell>() {
            socket.close();
            return Some(self.check(tell));
        }
        match socket.state() {
            State::Closed if !self.asked => Some(SaleEnd::Refused),
            State::Closed | State::CloseWait | State::TimeWait => Some(SaleEnd::Unknown),
            _ => None,
        }
    }

    fn check(&self, tell: serde_json::Result<Tell>) -> SaleEnd {
        match tell {
            Ok(Tell::Done { service, .. }) if service != self.service => SaleEnd::WrongService,
            Ok(Tell::Done { id, digest: sum, .. }) if id == self.id && sum == digest(id, 0) => {
                SaleEnd::Answered
            }
            Ok(Tell::Busy { id }) if id == self.id => SaleEnd::Refused,
            _ => SaleEnd::WrongAnswer,
        }
    }
}
