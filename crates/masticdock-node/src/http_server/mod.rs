//! A small HTTP server for calls between processes and for metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Pause after a failed accept, for descriptors to be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `answer` at `address` for ever.
pub(crate) async fn serve<F, R>(address: SocketAddr, answer: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "listener.accept_failed", error:% = error; "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without the option a reply waits for the peer's delayed confirmation.
        let _ = stream.set_nodelay(true);
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

/// Makes a response of a status and a body.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
