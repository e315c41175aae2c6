//! The platform's object API over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use super::{Call, Object, Platform, PlatformError, PlatformFuture, Reply};
use crate::http::{self, Response};

/// Time after which a call that is not a watch counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The platform at an address.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// Makes a client; no connection is opened before the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn run(self, call: Call) -> Result<Reply, PlatformError> {
        let (req, timeout) = request(&call)?;
        let response = http::call(self.address, req, timeout)
            .await
            .map_err(|e| PlatformError::NoAnswer(e.to_string()))?;
        reply(&call, &response)
    }
}

impl Platform for HttpPlatform {
    fn call(&self, call: Call) -> PlatformFuture<'_> {
        Box::pin(self.run(call))
    }
}

fn request(call: &Call) -> Result<(http::Request, Duration), PlatformError> {
    let body = |value: &serde_json::Value| {
        serde_json::to_vec(value).map_err(|e| PlatformError::Refused(e.to_string()))
    };
    let plain = |method, path| (http::Request { method, path, body: Vec::new() }, CALL_TIMEOUT);
    Ok(match call {
        Call::Get { name } => plain(Method::GET, format!("/v1/objects/{name}")),
        Call::Delete { name } => plain(Method::DELETE, format!("/v1/objects/{name}")),
        Call::List { prefix } => plain(Method::GET, format!("/v1/list?prefix={prefix}")),
        Call::Put { name, if_version, value } => {
            let condition =
                if_version.map_or(String::new(), |version| format!("?if_version={version}"));
            let path = format!("/v1/objects/{name}{condition}");
            (http::Request { method: Method::PUT, path, body: body(value)? }, CALL_TIMEOUT)
        }
        Call::Watch { prefix, after, wait } => {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            let req = http::Request { method: Method::GET, path, body: Vec::new() };
            (req, *wait + CALL_TIMEOUT)
        }
    })
}

fn reply(call: &Call, response: &Response) -> Result<Reply, PlatformError> {
    match response.status {
        StatusCode::OK => match call {
            Call::Get { .. } => Ok(Reply::Object(parse(response)?)),
            Call::Put { .. } | Call::Delete { .. } => {
                Ok(Reply::Written(parse::<Object>(response)?.version))
            }
            Call::List { .. } | Call::Watch { .. } => Ok(Reply::Changes(parse(response)?)),
        },
        StatusCode::CONFLICT => Err(PlatformError::Conflict(Box::new(parse(response)?))),
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        StatusCode::GONE => Err(PlatformError::HistoryGone),
        status if status.is_client_error() => Err(PlatformError::Refused(text(response))),
        // A gateway may fail after the write has taken effect.
        status => Err(PlatformError::NoAnswer(format!("{status}: {}", text(response)))),
    }
}

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    serde_json::from_slice(&response.body).map_err(|e| PlatformError::NoAnswer(e.to_string()))
}

fn text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).chars().take(200).collect()
}
