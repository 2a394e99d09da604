//! Minimal HTTP server for calls between processes and for metrics, and the parts of it
//! that the entry's server for callers shares.

mod body;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

pub use body::ResponseBody;

use crate::metrics::metrics;

/// Delay after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections that a server for other processes keeps open.
const CONNECTIONS_MAX: usize = 512;

/// Binds `address` and serves requests with `handler` indefinitely, in the current
/// `LocalSet`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve<F, R, B>(address: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_on(TcpListener::bind(address).await?, handler).await;
    Ok(())
}

/// Serves requests on a listener with `handler` indefinitely, in the current
/// `LocalSet`.
pub async fn serve_on<F, R, B>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let handler = Rc::new(handler);
    let open = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let stream = accept(&listener).await;
        let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
            metrics()
                .connections_closed
                .with_label_values(&["limit"])
                .inc();
            continue;
        };
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let handler = Rc::clone(&handler);
                async move { Ok::<_, Infallible>(handler(request).await) }
            });
            let connection = http1::Builder::new()
                .max_buf_size(16 * 1_024)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection failed: {error}");
            }
            drop(permit);
        });
    }
}

/// Accepts the next connection; retries after errors.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // With Nagle's algorithm a response would wait for the peer's delayed ACK.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!(event = "listener.accept_failed", error:% = error; "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Creates a response with the given status and body.
#[must_use]
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
