//! HTTP client that opens one connection for each call.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::{MAX_BODY_LEN, Request, Response};

/// Error of a call without a usable response.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection broke, or the request or response was not valid.
    #[display("HTTP exchange failed: {_0}")]
    Exchange(#[error(not(source))] String),
    /// The time limit of the call has passed.
    #[display("timed out")]
    TimedOut,
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails if there is no valid response in time. Only [`CallError::Connect`] guarantees that the
/// server has not received the request.
pub async fn call(to: SocketAddr, req: Request, timeout: Duration) -> Result<Response, CallError> {
    let expired = async {
        smol::Timer::after(timeout).await;
        Err(CallError::TimedOut)
    };
    exchange(to, req).or(expired).await
}

async fn exchange(to: SocketAddr, req: Request) -> Result<Response, CallError> {
    let stream = TcpStream::connect(to).await.map_err(|e| CallError::Connect(e.to_string()))?;
    let (mut sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(exchange_error)?;
    let req = hyper::Request::builder()
        .method(req.method)
        .uri(req.path)
        .header(HOST, to.to_string())
        .body(Full::new(Bytes::from(req.body)))
        .map_err(exchange_error)?;
    let connection_error = async {
        connection.await.map_err(exchange_error)?;
        // Without an error, the connection ends only after the response is complete.
        std::future::pending().await
    };
    let response = async {
        let response = sender.send_request(req).await.map_err(exchange_error)?;
        let status = response.status();
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_LEN).collect().await;
        let body = body.map_err(exchange_error)?.to_bytes().to_vec();
        Ok(Response { status, content_type: "", headers: parts.headers, body })
    };
    response.or(connection_error).await
}

fn exchange_error(e: impl ToString) -> CallError {
    CallError::Exchange(e.to_string())
}
