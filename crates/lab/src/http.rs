//! The few lines of HTTP that stand-ins, load and checks share, over hyper.

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

/// The longest body that is read.
const LONGEST: usize = 4 << 20;
/// How long an operator's question may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// An answer.
pub type Answer = Response<Full<Bytes>>;

/// An answer with this status and body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// Serves a listener until the task ends, and with it every connection.
pub async fn serve<F, A>(listener: TcpListener, service: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Option<Answer>> + 'static,
{
    let service = Rc::new(service);
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // No descriptor is left, most likely; one comes back as connections end.
                Err(_) => {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
        };
        // It fails only on a connection that is gone.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        connections.spawn_local(async move {
            let call = hyper::service::service_fn(move |request| {
                let answered = service(request);
                async move {
                    match answered.await {
                        Some(answer) => Ok::<_, Infallible>(answer),
                        // Nothing is ever said.
                        None => std::future::pending().await,
                    }
                }
            });
            // Whoever breaks off hears nothing.
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), call).await;
        });
    }
}

/// A connection, and a way to hear how it ended where that was out of order.
pub async fn connect(
    address: SocketAddr,
    broken: impl FnOnce(String) + 'static,
) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            broken(error.to_string());
        }
    });
    Ok(sender)
}

/// The status and body of an answer.
pub async fn collect(response: Response<Incoming>) -> Result<(u16, Bytes), String> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), LONGEST).collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}

/// Asks for a path on a connection of its own.
pub async fn get(address: SocketAddr, path: &str) -> Result<(u16, Bytes), String> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Calls a path on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(u16, Bytes), String> {
    let asking = async {
        let mut sender = connect(address, |_| ()).await?;
        let request = Request::builder().method(method).uri(path).header("Host", "lab");
        let request = request.body(Full::new(body.into())).map_err(|e| e.to_string())?;
        collect(sender.send_request(request).await.map_err(|e| e.to_string())?).await
    };
    timeout(PATIENCE, asking).await.unwrap_or_else(|_| Err("no answer in time".to_string()))
}

/// Reads a body to its end.
pub async fn drain(body: Incoming) -> Result<(), String> {
    Limited::new(body, LONGEST).collect().await.map(|_| ()).map_err(|e| e.to_string())
}
