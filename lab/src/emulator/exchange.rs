//! What clients and servers say to each other inside a flow.

use std::time::Duration;

/// Number of a request; its tries share it.
pub type RequestId = u64;

/// Bytes before the body: the length of the body, the kind or outcome, and the number.
const HEAD: usize = 13;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run several times.
    Feed,
    /// May run once at most.
    Sale,
    /// May run several times, and has a flow to itself and a long answer.
    Sheet,
}

impl RequestKind {
    /// Returns the body's length of request and answer.
    pub fn sizes(self) -> (usize, usize) {
        match self {
            Self::Feed => (0, 1_000),
            Self::Sale => (900, 600),
            Self::Sheet => (0, 20_000),
        }
    }

    /// Returns the time that a slot works on the request.
    pub fn work(self) -> Duration {
        match self {
            Self::Feed => Duration::from_millis(22),
            Self::Sale => Duration::from_millis(29),
            Self::Sheet => Duration::from_millis(5),
        }
    }

    /// Tells whether the request may run again.
    pub fn is_repeatable(self) -> bool {
        self != Self::Sale
    }

    fn number(self) -> u8 {
        self as u8
    }
}

/// A message: a request, or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Kind of the request, or [`SERVED`] or [`NOT_RUN`] of an answer.
    pub what: u8,
    /// Number of the request.
    pub id: RequestId,
    /// The body.
    pub body: Vec<u8>,
}

/// Outcome of a request that has run.
pub const SERVED: u8 = 100;
/// Outcome of a request that a server has refused without running it.
pub const NOT_RUN: u8 = 101;

impl Message {
    /// Makes a request.
    pub fn request(kind: RequestKind, id: RequestId) -> Self {
        Self { what: kind.number(), id, body: body(id, kind.sizes().0) }
    }

    /// Makes the answer to a request.
    pub fn answer(what: u8, id: RequestId, kind: RequestKind) -> Self {
        let len = if what == SERVED { kind.sizes().1 } else { 0 };
        Self { what, id, body: body(id, len) }
    }

    /// Returns the kind, if it is a request that was not changed on its way.
    pub fn kind(&self) -> Option<RequestKind> {
        let kinds = [RequestKind::Feed, RequestKind::Sale, RequestKind::Sheet];
        let kind = kinds.into_iter().find(|kind| kind.number() == self.what)?;
        (self.body == body(self.id, kind.sizes().0)).then_some(kind)
    }

    /// Writes the message.
    pub fn write(&self) -> Vec<u8> {
        let len = (self.body.len() as u32).to_be_bytes();
        [&len[..], &[self.what], &self.id.to_be_bytes(), &self.body].concat()
    }

    /// Takes the first whole message out of what has arrived.
    pub fn take(inbox: &mut Vec<u8>) -> Option<Self> {
        let (len, rest) = inbox.split_first_chunk::<4>()?;
        let end = HEAD + u32::from_be_bytes(*len) as usize;
        let (&what, rest) = rest.split_first()?;
        let (id, _) = rest.split_first_chunk::<8>()?;
        let id = RequestId::from_be_bytes(*id);
        let body = inbox.get(HEAD..end)?.to_vec();
        inbox.drain(..end);
        Some(Self { what, id, body })
    }
}

/// Bytes that only the message of this number has.
fn body(id: RequestId, len: usize) -> Vec<u8> {
    let bytes = id.to_be_bytes();
    (0..len).map(|i| bytes[i % 8].wrapping_add(i as u8)).collect()
}
