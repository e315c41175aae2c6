//! HTTP client of the platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use super::{Call, Object, Platform, PlatformError, PlatformFuture, Reply};
use crate::http::{self, Response};

/// Time limit for a call; a watch gets it on top of its own waiting time.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client that reaches the platform at a TCP address.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client; opens no connection before the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn execute(self, call: Call) -> Result<Reply, PlatformError> {
        let (req, timeout) = request(&call)?;
        let response = http::call(self.address, req, timeout)
            .await
            .map_err(|e| PlatformError::NoAnswer(e.to_string()))?;
        reply(&call, &response)
    }
}

impl Platform for HttpPlatform {
    fn call(&self, call: Call) -> PlatformFuture<'_> {
        Box::pin(self.execute(call))
    }
}

fn request(call: &Call) -> Result<(http::Request, Duration), PlatformError> {
    let body = |value: &serde_json::Value| {
        serde_json::to_vec(value).map_err(|e| PlatformError::Refused(e.to_string()))
    };
    let without_body =
        |method, path| (http::Request { method, path, body: Vec::new() }, CALL_TIMEOUT);
    Ok(match call {
        Call::Get { name } => without_body(Method::GET, format!("/v1/objects/{name}")),
        Call::Delete { name } => without_body(Method::DELETE, format!("/v1/objects/{name}")),
        Call::List { prefix } => without_body(Method::GET, format!("/v1/list?prefix={prefix}")),
        Call::Put { name, if_version, value } => {
            let condition =
                if_version.map_or(String::new(), |version| format!("?if_version={version}"));
            let path = format!("/v1/objects/{name}{condition}");
            (http::Request { method: Method::PUT, path, body: body(value)? }, CALL_TIMEOUT)
        }
        Call::Watch { prefix, after, timeout } => {
            let wait_ms = timeout.as_millis();
            let after = after.revision;
            let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            let req = http::Request { method: Method::GET, path, body: Vec::new() };
            (req, *timeout + CALL_TIMEOUT)
        }
    })
}

fn reply(call: &Call, response: &Response) -> Result<Reply, PlatformError> {
    match response.status {
        StatusCode::OK => match call {
            Call::Get { .. } => Ok(Reply::Object(parse_body(response)?)),
            Call::Put { .. } | Call::Delete { .. } => {
                Ok(Reply::Written(parse_body::<Object>(response)?.version))
            }
            Call::List { .. } | Call::Watch { .. } => Ok(Reply::Changes(parse_body(response)?)),
        },
        StatusCode::CONFLICT => Err(PlatformError::Conflict(Box::new(parse_body(response)?))),
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        StatusCode::GONE => Err(PlatformError::HistoryGone),
        status if status.is_client_error() => Err(PlatformError::Refused(error_text(response))),
        // A server error may come from a gateway, after a write has taken effect.
        status => Err(PlatformError::NoAnswer(format!("{status}: {}", error_text(response)))),
    }
}

fn parse_body<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    serde_json::from_slice(&response.body).map_err(|e| PlatformError::NoAnswer(e.to_string()))
}

fn error_text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).chars().take(200).collect()
}
