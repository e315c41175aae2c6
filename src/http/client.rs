//! A client that opens one connection for each call.

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

use super::{LARGEST_BODY, Request, Response};

/// Why a call gave no response.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The exchange broke off or made no sense.
    #[display("broken exchange: {_0}")]
    Exchange(#[error(not(source))] String),
    /// The time for the call ran out.
    #[display("timed out")]
    TimedOut,
}

/// Makes one call and reads the whole response.
///
/// # Errors
///
/// Returns why there is no response. Only after [`CallError::Connect`] is it certain that
/// the server did not see the request.
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
        http1::handshake(FuturesIo::new(stream)).await.map_err(broken)?;
    let req = hyper::Request::builder()
        .method(req.method)
        .uri(req.path)
        .header(HOST, to.to_string())
        .body(Full::new(Bytes::from(req.body)))
        .map_err(broken)?;
    let driven = async {
        connection.await.map_err(broken)?;
        // The connection ends only after the response is complete.
        std::future::pending().await
    };
    let answered = async {
        let response = sender.send_request(req).await.map_err(broken)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LARGEST_BODY).collect().await;
        let body = body.map_err(broken)?.to_bytes().to_vec();
        Ok(Response { status, content_type: "", body })
    };
    answered.or(driven).await
}

fn broken(e: impl ToString) -> CallError {
    CallError::Exchange(e.to_string())
}
