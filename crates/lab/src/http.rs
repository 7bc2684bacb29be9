//! A small HTTP client and server on top of hyper, used by the stand-ins, the load and the rig.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// The maximum size of a body that is read.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The timeout of a request made with [`call`] or [`get`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// An error of an HTTP exchange.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection broke, or received data that is not HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request is malformed.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The body ended early or is too large.
    #[error("cannot read body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No complete response arrived in time.
    #[error("no response within {REQUEST_TIMEOUT:?}")]
    Timeout,
}

/// A response with a complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Builds a response with a status and body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Serves the connections of a listener. Ending the task closes the listener and all its connections.
///
/// A request for which the service returns `None` never gets a response.
pub async fn serve<F, A>(listener: TcpListener, service: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Option<HttpResponse>> + 'static,
{
    let service = Rc::new(service);
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // Most likely the process has run out of descriptors, which are released as connections end.
                Err(_) => {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
        };
        // Fails only on a closed connection.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        connections.spawn_local(async move {
            let service = hyper::service::service_fn(move |request| {
                let response = service(request);
                async move {
                    match response.await {
                        Some(response) => Ok::<_, Infallible>(response),
                        // The service withholds the response.
                        None => std::future::pending().await,
                    }
                }
            });
            // Ignored: an error ends only this connection, and its client gets no response.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Opens a connection. `on_error` is called if it ends with an error.
pub async fn connect(
    address: SocketAddr,
    on_error: impl FnOnce(hyper::Error) + 'static,
) -> Result<SendRequest<Full<Bytes>>, HttpError> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            on_error(error);
        }
    });
    Ok(sender)
}

/// Reads the body of a response and returns it with the status.
pub async fn collect(response: Response<Incoming>) -> Result<(u16, Bytes), HttpError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.map_err(HttpError::Body)?;
    Ok((status, body.to_bytes()))
}

/// Sends a GET request on a new connection.
pub async fn get(address: SocketAddr, path: &str) -> Result<(u16, Bytes), HttpError> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Sends a request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(u16, Bytes), HttpError> {
    let exchange = async {
        let mut sender = connect(address, |_| ()).await?;
        let request = Request::builder().method(method).uri(path).header("Host", "lab");
        let request = request.body(Full::new(body.into()))?;
        collect(sender.send_request(request).await?).await
    };
    timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(HttpError::Timeout))
}

/// Reads a body to its end and discards it.
pub async fn drain(body: Incoming) -> Result<(), HttpError> {
    Limited::new(body, MAX_BODY_BYTES).collect().await.map(drop).map_err(HttpError::Body)
}
