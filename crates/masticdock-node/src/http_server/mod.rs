//! A small HTTP server for calls between processes and for metrics, and what the
//! entry's own server shares with it.

mod body;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

pub use body::PartsBody;

/// Pause after a failed accept, for descriptors to be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `answer` at `address` for ever, on the current thread's task set.
///
/// # Errors
///
/// Reports an address that is not to be had.
pub async fn serve<F, R, B>(address: SocketAddr, answer: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_on(TcpListener::bind(address).await?, answer).await;
    Ok(())
}

/// Serves `answer` on a listener for ever, on the current thread's task set.
pub async fn serve_on<F, R, B>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let answer = Rc::new(answer);
    loop {
        let stream = accept(&listener).await;
        let answer = Rc::clone(&answer);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = Rc::clone(&answer);
                async move { Ok::<_, Infallible>(answer(request).await) }
            });
            let connection = http1::Builder::new()
                .max_buf_size(16 * 1_024)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
    }
}

/// Accepts the next connection, however long that fails.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without the option a reply waits for the peer's delayed confirmation.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!(event = "listener.accept_failed", error:% = error; "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Makes a response of a status and a body.
#[must_use]
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
