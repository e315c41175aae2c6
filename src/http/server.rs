//! HTTP server that runs on one thread.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use http_body_util::{BodyExt, Full, Limited};
use hyper::StatusCode;
use hyper::body::{Bytes, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

use super::{MAX_BODY_LEN, Request, Response};

/// Future of a response.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Handles HTTP requests.
pub trait Handler {
    /// Returns the response to a request.
    fn handle(&self, req: Request) -> HandlerFuture;
}

impl<F: Fn(Request) -> HandlerFuture> Handler for F {
    fn handle(&self, req: Request) -> HandlerFuture {
        self(req)
    }
}

/// Accepts connections and serves each in its own task, until the future is dropped.
pub async fn serve(
    ex: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    handler: Rc<dyn Handler>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => ex.spawn(serve_connection(stream, Rc::clone(&handler))).detach(),
            Err(e) => log::warn!(error = e.to_string().as_str(); "accept_failed"),
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Rc<dyn Handler>) {
    let service = service_fn(move |req| respond(Rc::clone(&handler), req));
    let result = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
    if let Err(e) = result {
        log::debug!(error = e.to_string().as_str(); "connection_ended");
    }
}

async fn respond(
    handler: Rc<dyn Handler>,
    req: hyper::Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    let response = match Limited::new(body, MAX_BODY_LEN).collect().await {
        Ok(body) => {
            let body = body.to_bytes().to_vec();
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
            handler.handle(Request { method: parts.method, path, body }).await
        }
        Err(e) => Response::text(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()),
    };
    let mut out = hyper::Response::new(Full::new(Bytes::from(response.body)));
    *out.status_mut() = response.status;
    *out.headers_mut() = response.headers;
    let content_type = hyper::header::HeaderValue::from_static(response.content_type);
    out.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(out)
}
