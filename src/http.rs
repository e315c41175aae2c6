//! HTTP for health, metrics, JSON-RPC and the platform: hyper under smol.

mod client;
mod server;

pub use hyper::{Method, StatusCode};

pub use client::{CallError, call};
pub use server::{Handler, HandlerFuture, serve};

/// Largest body that is read, in bytes.
const LARGEST_BODY: usize = 2 << 20;

/// A request without the parts that no server here looks at.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// Makes a request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: Vec::new() }
    }

    /// Makes a request that sends a body.
    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self { method: Method::POST, path: path.into(), body: body.into() }
    }

    /// Returns the path without the query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a key in the query.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
    }
}

/// A response without the parts that no client here looks at.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status of the response.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// Makes a response of plain text.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        let content_type = "text/plain; charset=utf-8";
        Self { status, content_type, body: body.into().into_bytes() }
    }

    /// Makes a response of JSON.
    pub fn json(status: StatusCode, body: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self { status, content_type: "application/json", body },
            Err(e) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }
}
