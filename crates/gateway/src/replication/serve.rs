//! Serves the calls of other gateways: Raft messages between voters, handshakes, catch-ups for followers, proposals and
//! lease renewals.

use super::message::{
    RenewalRequest, Reply, AFTER_PARAMETER, CATCH_UP_PATH, HANDSHAKE_PATH, PROPOSE_PATH, RAFT_MESSAGES_PATH,
    RENEW_PATH,
};
use super::peers::MAX_BODY_BYTES;
use super::ReplicationService;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lanespan_fleet::replication::document::Proposal;
use lanespan_fleet::replication::wire::RaftMessage;
use serde::Serialize;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, Semaphore};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// The maximum number of open connections. A further one is accepted once one of them ends.
const MAX_CONNECTIONS: usize = 128;
/// The maximum number of calls with Raft messages whose bodies are read concurrently, because these can be long.
const MAX_RAFT_CALLS: usize = 4;
/// The maximum size of the body of any other call.
const MAX_SHORT_BODY_BYTES: usize = 16 << 10;
/// The timeout for the head of a call, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The timeout for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after an error in accepting a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why a call was rejected.
#[derive(Debug, Error)]
enum CallError {
    #[error("calls with Raft messages are no longer accepted: {0}")]
    Closed(#[from] AcquireError),
    #[error("timed out waiting for the body of the call: {0}")]
    Timeout(#[from] Elapsed),
    #[error("can't read the body of the call: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("can't encode or decode a JSON body: {0}")]
    Json(#[from] serde_json::Error),
    #[error("can't encode or decode a postcard body: {0}")]
    Postcard(#[from] postcard::Error),
    #[error("expected the query after=INDEX")]
    MissingIndex,
}

/// The status and body of an HTTP response.
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    fn json(status: StatusCode, value: &impl Serialize) -> Result<HttpResponse, serde_json::Error> {
        let mut body = serde_json::to_vec(value)?;
        body.push(b'\n');
        Ok(HttpResponse { status, body: body.into() })
    }

    /// Encodes a reply, with a status that shows whether this gateway decided or another one must be asked.
    pub fn from_reply(reply: &Reply) -> Result<HttpResponse, serde_json::Error> {
        let status = match reply {
            Reply::Decided(_) | Reply::Renewed(_) => StatusCode::OK,
            Reply::NotLeader(_) => StatusCode::MISDIRECTED_REQUEST,
            Reply::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Reply::Undecided(_) => StatusCode::GATEWAY_TIMEOUT,
            Reply::Invalid(_) => StatusCode::BAD_REQUEST,
        };
        HttpResponse::json(status, reply)
    }
}

/// Accepts and serves the connections of other gateways. Never returns.
pub async fn serve(service: Rc<ReplicationService>, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let raft_calls = Rc::new(Semaphore::new(MAX_RAFT_CALLS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = service.clone();
                let raft_calls = raft_calls.clone();
                tokio::task::spawn_local(async move {
                    serve_connection(service, stream, raft_calls).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "plan: accept failed");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(service: Rc<ReplicationService>, stream: TcpStream, raft_calls: Rc<Semaphore>) {
    // This fails only if the connection is closed.
    let _ = stream.set_nodelay(true);
    let handler = service_fn(|request| {
        let service = service.clone();
        let raft_calls = raft_calls.clone();
        async move { Ok::<_, Infallible>(respond(&service, request, &raft_calls).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler);
    // After an error, such as a connection closed by the peer, no response can be sent.
    let _ = serving.await;
}

async fn respond(
    service: &ReplicationService,
    request: Request<Incoming>,
    raft_calls: &Semaphore,
) -> Response<Full<Bytes>> {
    let result = match read_body(request, raft_calls).await {
        Ok((head, body)) => handle_call(service, &head, &body).await,
        Err(error) => Err(error),
    };
    let HttpResponse { status, body } = result.unwrap_or_else(|error| HttpResponse {
        status: StatusCode::BAD_REQUEST,
        body: Bytes::from(error.to_string()),
    });
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

async fn read_body(request: Request<Incoming>, raft_calls: &Semaphore) -> Result<(Parts, Bytes), CallError> {
    let (head, body) = request.into_parts();
    let is_raft_call = head.uri.path() == RAFT_MESSAGES_PATH;
    let _permit = if is_raft_call { Some(raft_calls.acquire().await?) } else { None };
    let max_bytes = if is_raft_call { MAX_BODY_BYTES } else { MAX_SHORT_BODY_BYTES };
    // The timeout keeps slow senders from blocking other calls.
    let body = timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await?;
    Ok((head, body.map_err(CallError::Body)?.to_bytes()))
}

async fn handle_call(
    service: &ReplicationService,
    head: &Parts,
    body: &[u8],
) -> Result<HttpResponse, CallError> {
    match (&head.method, head.uri.path()) {
        (&Method::POST, RAFT_MESSAGES_PATH) => {
            let messages: Vec<RaftMessage> = postcard::from_bytes(body)?;
            service.receive(&messages);
            Ok(HttpResponse { status: StatusCode::NO_CONTENT, body: Bytes::new() })
        }
        (&Method::GET, HANDSHAKE_PATH) => Ok(HttpResponse::json(StatusCode::OK, &service.handshake())?),
        (&Method::GET, CATCH_UP_PATH) => {
            let after = parse_follower_index(head.uri.query()).ok_or(CallError::MissingIndex)?;
            let body = postcard::to_allocvec(&service.catch_up_after(after))?;
            Ok(HttpResponse { status: StatusCode::OK, body: body.into() })
        }
        (&Method::POST, PROPOSE_PATH) => {
            let proposal: Proposal = serde_json::from_slice(body)?;
            Ok(HttpResponse::from_reply(&service.propose(proposal).await)?)
        }
        (&Method::POST, RENEW_PATH) => {
            let request: RenewalRequest = serde_json::from_slice(body)?;
            Ok(HttpResponse::from_reply(&service.renew(request).await)?)
        }
        _ => Ok(HttpResponse { status: StatusCode::NOT_FOUND, body: Bytes::from_static(b"no such path\n") }),
    }
}

fn parse_follower_index(query: Option<&str>) -> Option<i64> {
    query?.strip_prefix(AFTER_PARAMETER)?.parse().ok()
}
