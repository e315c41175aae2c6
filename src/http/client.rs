//! HTTP client that opens one connection for each call.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// Time limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Limit for the connection and the head of the response.
    pub response: Duration,
    /// Limit between two parts of the body: a slow link is no failure while data arrives.
    pub progress: Duration,
    /// Limit for the whole call.
    pub total: Duration,
}

impl From<Duration> for Timeouts {
    fn from(total: Duration) -> Self {
        Self { response: total, progress: total, total }
    }
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails if there is no valid response in time. Only [`CallError::Connect`] guarantees that the
/// server has not received the request.
pub async fn call(
    to: SocketAddr,
    req: Request,
    timeouts: impl Into<Timeouts>,
) -> Result<Response, CallError> {
    call_streaming(to, req, timeouts, |_| {}).await
}

/// Sends a request and reads the whole response; `on_progress` gets what has arrived so far,
/// whenever more has.
///
/// # Errors
///
/// Fails like [`call`], also after a part of the body has arrived.
pub async fn call_streaming(
    to: SocketAddr,
    req: Request,
    timeouts: impl Into<Timeouts>,
    on_progress: impl FnMut(&Response),
) -> Result<Response, CallError> {
    let timeouts = timeouts.into();
    within(timeouts.total, exchange(to, req, timeouts, on_progress)).await
}

/// Fails if a future takes longer than a limit.
async fn within<T>(
    limit: Duration,
    future: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let expired = async {
        smol::Timer::after(limit).await;
        Err(CallError::TimedOut)
    };
    future.or(expired).await
}

async fn exchange(
    to: SocketAddr,
    req: Request,
    timeouts: Timeouts,
    mut on_progress: impl FnMut(&Response),
) -> Result<Response, CallError> {
    let connect = async {
        let stream = TcpStream::connect(to).await.map_err(|e| CallError::Connect(e.to_string()))?;
        http1::handshake(FuturesIo::new(stream)).await.map_err(exchange_error)
    };
    let begin = Instant::now();
    let (mut sender, connection) = within(timeouts.response, connect).await?;
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
        let head = async { sender.send_request(req).await.map_err(exchange_error) };
        let left = timeouts.response.saturating_sub(begin.elapsed());
        let (parts, body) = within(left, head).await?.into_parts();
        let mut response = Response {
            status: parts.status,
            content_type: "",
            headers: parts.headers,
            body: Vec::new(),
        };
        let mut body = Limited::new(body, MAX_BODY_LEN);
        loop {
            let frame = async { body.frame().await.transpose().map_err(exchange_error) };
            let Some(frame) = within(timeouts.progress, frame).await? else { break };
            if let Some(data) = frame.data_ref() {
                response.body.extend_from_slice(data);
                on_progress(&response);
            }
        }
        Ok(response)
    };
    response.or(connection_error).await
}

fn exchange_error(e: impl ToString) -> CallError {
    CallError::Exchange(e.to_string())
}
