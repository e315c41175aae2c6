//! HTTP client and server for health checks, metrics, JSON-RPC and the platform: hyper on smol.

mod client;
mod server;

pub use hyper::{HeaderMap, Method, StatusCode};

pub use client::{CallError, Timeouts, call, call_streaming};
pub use server::{Handler, HandlerFuture, serve};

/// Largest accepted body of a request or response, in bytes.
const MAX_BODY_LEN: usize = 2 << 20;

/// A request, reduced to the parts that the servers of this project use.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: Vec::new() }
    }

    /// Creates a POST request with a body.
    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self { method: Method::POST, path: path.into(), body: body.into() }
    }

    /// Returns the path without the query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a key in the query, without percent-decoding.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
    }
}

/// A response, reduced to the parts that the clients of this project use.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Media type of the body; empty in responses that the client reads.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: HeaderMap,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without further headers.
    pub fn new(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Self {
        Self { status, content_type, headers: HeaderMap::new(), body }
    }

    /// Creates a plain text response.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body.into().into_bytes())
    }

    /// Creates a JSON response; status 500 with the error if the body cannot be serialized.
    pub fn json(status: StatusCode, body: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(e) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    /// Returns the value of a header, if there is one that is valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
