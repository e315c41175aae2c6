//! Application protocol between emulated callers and servers.

use std::time::Duration;

/// ID of a request, with the number of the attempt in its low bits.
pub type RequestId = u64;

/// Length of the header: length of the body (4 bytes), code (1) and request ID (8).
const HEADER_BYTES: usize = 13;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Repeatable.
    Feed,
    /// Must be executed at most once.
    Sale,
    /// Repeatable, with a flow of its own and a long response.
    Sheet,
}

impl RequestKind {
    /// Returns the body lengths of the request and of the response, in bytes.
    pub fn sizes(self) -> (usize, usize) {
        match self {
            Self::Feed => (0, 1_000),
            Self::Sale => (900, 600),
            Self::Sheet => (0, 20_000),
        }
    }

    /// Returns the time for which the request occupies a slot.
    pub fn service_time(self) -> Duration {
        match self {
            Self::Feed => Duration::from_millis(22),
            Self::Sale => Duration::from_millis(29),
            Self::Sheet => Duration::from_millis(5),
        }
    }

    /// Returns whether the request may be executed more than once.
    pub fn is_repeatable(self) -> bool {
        self != Self::Sale
    }

    fn code(self) -> u8 {
        self as u8
    }
}

/// A request or a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Kind of a request; [`SERVED`] or [`NOT_EXECUTED`] in a response.
    pub code: u8,
    /// ID of the request.
    pub id: RequestId,
    /// Body, whose bytes follow from the ID.
    pub body: Vec<u8>,
}

/// Code of the response to an executed request.
pub const SERVED: u8 = 100;
/// Code of the response to a request that a server refused without executing it.
pub const NOT_EXECUTED: u8 = 101;

impl Message {
    /// Creates a request.
    pub fn request(kind: RequestKind, id: RequestId) -> Self {
        Self { code: kind.code(), id, body: body(id, kind.sizes().0) }
    }

    /// Creates the response to a request.
    pub fn response(code: u8, id: RequestId, kind: RequestKind) -> Self {
        let len = if code == SERVED { kind.sizes().1 } else { 0 };
        Self { code, id, body: body(id, len) }
    }

    /// Returns the kind, if the message is an unmodified request.
    pub fn kind(&self) -> Option<RequestKind> {
        let kinds = [RequestKind::Feed, RequestKind::Sale, RequestKind::Sheet];
        let kind = kinds.into_iter().find(|kind| kind.code() == self.code)?;
        (self.body == body(self.id, kind.sizes().0)).then_some(kind)
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let len = (self.body.len() as u32).to_be_bytes();
        [&len[..], &[self.code], &self.id.to_be_bytes(), &self.body].concat()
    }

    /// Removes and decodes the first complete message of the received bytes.
    pub fn decode_next(received: &mut Vec<u8>) -> Option<Self> {
        let (len, rest) = received.split_first_chunk::<4>()?;
        let end = HEADER_BYTES + u32::from_be_bytes(*len) as usize;
        let (&code, rest) = rest.split_first()?;
        let (id, _) = rest.split_first_chunk::<8>()?;
        let id = RequestId::from_be_bytes(*id);
        let body = received.get(HEADER_BYTES..end)?.to_vec();
        received.drain(..end);
        Some(Self { code, id, body })
    }
}

/// Returns a body that is specific to the request ID.
fn body(id: RequestId, len: usize) -> Vec<u8> {
    let bytes = id.to_be_bytes();
    (0..len).map(|i| bytes[i % 8].wrapping_add(i as u8)).collect()
}
