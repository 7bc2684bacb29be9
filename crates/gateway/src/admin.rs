//! The admin interface for operators: `/metrics`, `/healthz`, `/readyz`, `/debug/state` and, with a fleet, `/fleet/`. It
//! listens on a separate address with separate limits, answers one request per connection and limits the rate of
//! connections, so that its clients can't slow down the requests of customers. Only proposals to the fleet document
//! change any state.

use crate::config::document::AdminSection;
use crate::driver::{AdminQuery, AdminReport, DriverEvent, DriverSender};
use crate::fleet::Fleet;
use crate::replication::serve::HttpResponse;
use crate::replication::{self, ReplicationService};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

const METRICS_PATH: &str = "/metrics";
const HEALTH_PATH: &str = "/healthz";
const READY_PATH: &str = "/readyz";
const STATE_PATH: &str = "/debug/state";
const MEMBERS_PATH: &str = "/fleet/members";
const DOCUMENT_PATH: &str = "/fleet/plan";
const HISTORY_PATH: &str = "/fleet/plan/history";
const PROPOSE_PATH: &str = "/fleet/plan/propose";
const VOTERS_PATH: &str = "/fleet/plan/voters";
const LEASES_PATH: &str = "/fleet/duties";

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// The pause between two accepts, which limits the rate to 50 connections per second.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 16 * 1024;

/// The parts of the gateway that the admin interface reports on.
#[derive(Clone)]
pub struct Sources {
    /// The driver of this gateway.
    pub driver: DriverSender,
    /// The fleet, if this gateway is in one.
    pub fleet: Option<Rc<Fleet>>,
    /// Replication of the fleet document, if this gateway takes part in it.
    pub replication: Option<Rc<ReplicationService>>,
}

/// Serves the admin interface. Never returns.
pub async fn serve(listener: TcpListener, section: AdminSection, sources: Sources) {
    let connections = Arc::new(Semaphore::new(section.connections.get()));
    let max_duration = section.timeout_ms.to_duration();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without a free permit the connection is closed at once.
                if let Ok(permit) = connections.clone().try_acquire_owned() {
                    let sources = sources.clone();
                    spawn_local(async move {
                        let _permit = permit;
                        // The timeout covers clients that send slowly or never read the response.
                        let _ = timeout(max_duration, serve_connection(stream, sources)).await;
                    });
                }
            }
            Err(error) => warn!(%error, "admin interface: accept failed"),
        }
        sleep(ACCEPT_PAUSE).await;
    }
}

/// Answers one request and closes the connection.
async fn serve_connection(stream: TcpStream, sources: Sources) {
    let service = service_fn(|request| {
        let sources = sources.clone();
        async move {
            let reply = answer(request, &sources).await.unwrap_or_else(AdminError::into_reply);
            Ok::<_, Infallible>(reply.into_response())
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // If the client disconnects early, there is no response to send.
    let _ = connection.await;
}

/// Why a request to the admin interface fails.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    #[error("no such path")]
    NoSuchPath,
    #[error("method not allowed; only GET is supported")]
    MethodNotAllowed,
    #[error("the request body can't be read: {0}")]
    UnreadableBody(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    MalformedBody(serde_json::Error),
    #[error(transparent)]
    Unserializable(serde_json::Error),
    #[error("the gateway's driver has ended")]
    DriverEnded,
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            AdminError::NoSuchPath => StatusCode::NOT_FOUND,
            AdminError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            AdminError::UnreadableBody(_) | AdminError::MalformedBody(_) => StatusCode::BAD_REQUEST,
            AdminError::Unserializable(_) => StatusCode::INTERNAL_SERVER_ERROR,
            AdminError::DriverEnded => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn into_reply(self) -> Reply {
        Reply::text(self.status(), format!("{self}\n"))
    }
}

/// The response to a request.
struct Reply {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl Reply {
    fn text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
        Reply { status, content_type: TEXT, body: text.into() }
    }

    fn json(value: &Value) -> Reply {
        Reply { status: StatusCode::OK, content_type: JSON, body: format!("{value}\n").into() }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let content_type = HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }
}

/// The resource that a request addresses, with the component that provides it.
enum Route<'a> {
    Metrics,
    Health,
    Ready,
    State,
    Members(&'a Fleet),
    Document(&'a ReplicationService),
    History(&'a ReplicationService),
    Leases(&'a ReplicationService),
    Propose(&'a ReplicationService),
    ChangeVoters(&'a ReplicationService),
}

impl Route<'_> {
    fn parse<'a>(method: &Method, path: &str, sources: &'a Sources) -> Result<Route<'a>, AdminError> {
        if let Some(replication) = &sources.replication {
            if path.starts_with(DOCUMENT_PATH) || path == LEASES_PATH {
                return Route::parse_replication(method, path, replication);
            }
        }
        if method != Method::GET {
            return Err(AdminError::MethodNotAllowed);
        }
        match path {
            METRICS_PATH => Ok(Route::Metrics),
            HEALTH_PATH => Ok(Route::Health),
            READY_PATH => Ok(Route::Ready),
            STATE_PATH => Ok(Route::State),
            MEMBERS_PATH => sources.fleet.as_deref().map(Route::Members).ok_or(AdminError::NoSuchPath),
            _ => Err(AdminError::NoSuchPath),
        }
    }

    fn parse_replication<'a>(
        method: &Method,
        path: &str,
        replication: &'a ReplicationService,
    ) -> Result<Route<'a>, AdminError> {
        match (method, path) {
            (&Method::GET, DOCUMENT_PATH) => Ok(Route::Document(replication)),
            (&Method::GET, HISTORY_PATH) => Ok(Route::History(replication)),
            (&Method::GET, LEASES_PATH) => Ok(Route::Leases(replication)),
            (&Method::POST, PROPOSE_PATH) => Ok(Route::Propose(replication)),
            (&Method::POST, VOTERS_PATH) => Ok(Route::ChangeVoters(replication)),
            _ => Err(AdminError::NoSuchPath),
        }
    }
}

async fn answer(request: Request<Incoming>, sources: &Sources) -> Result<Reply, AdminError> {
    let (head, body) = request.into_parts();
    match Route::parse(&head.method, head.uri.path(), sources)? {
        Route::Metrics => metrics(&sources.driver).await,
        Route::Health => ready(&sources.driver).await.map(|_| Reply::text(StatusCode::OK, "alive\n")),
        Route::Ready => readiness(&sources.driver).await,
        Route::State => state(&sources.driver).await,
        Route::Members(fleet) => members(fleet),
        Route::Document(replication) => Ok(Reply::json(&replication.document_status())),
        Route::History(replication) => Ok(Reply::json(&replication.document_history())),
        Route::Leases(replication) => Ok(Reply::json(&replication.leases_status())),
        Route::Propose(replication) => proposal_reply(&replication.propose(read_json(body).await?).await),
        Route::ChangeVoters(replication) => {
            proposal_reply(&replication.change_voters(read_json(body).await?).await)
        }
    }
}

async fn metrics(driver: &DriverSender) -> Result<Reply, AdminError> {
    match inspect(driver, AdminQuery::Metrics).await? {
        AdminReport::Metrics(text) => {
            Ok(Reply { status: StatusCode::OK, content_type: OPENMETRICS, body: text.into() })
        }
        _ => Err(AdminError::DriverEnded),
    }
}

async fn readiness(driver: &DriverSender) -> Result<Reply, AdminError> {
    match ready(driver).await? {
        true => Ok(Reply::text(StatusCode::OK, "ready\n")),
        false => Ok(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
    }
}

async fn state(driver: &DriverSender) -> Result<Reply, AdminError> {
    match inspect(driver, AdminQuery::State).await? {
        AdminReport::State(state) => Ok(Reply::json(&state)),
        _ => Err(AdminError::DriverEnded),
    }
}

async fn ready(driver: &DriverSender) -> Result<bool, AdminError> {
    match inspect(driver, AdminQuery::Ready).await? {
        AdminReport::Ready(ready) => Ok(ready),
        _ => Err(AdminError::DriverEnded),
    }
}

/// Sends a query to the driver, which answers it between two events.
async fn inspect(driver: &DriverSender, query: AdminQuery) -> Result<AdminReport, AdminError> {
    let (reply, report) = oneshot::channel();
    let sent = driver.send(DriverEvent::Inspect { query, reply }).await;
    sent.map_err(|_| AdminError::DriverEnded)?;
    report.await.map_err(|_| AdminError::DriverEnded)
}

fn members(fleet: &Fleet) -> Result<Reply, AdminError> {
    let view = serde_json::to_string(&fleet.view()).map_err(AdminError::Unserializable)?;
    Ok(Reply { status: StatusCode::OK, content_type: JSON, body: (view + "\n").into() })
}

/// Returns the response to a proposal. Its status reflects the result of the proposal.
fn proposal_reply(reply: &replication::Reply) -> Result<Reply, AdminError> {
    let HttpResponse { status, body } =
        HttpResponse::from_reply(reply).map_err(AdminError::Unserializable)?;
    Ok(Reply { status, content_type: JSON, body })
}

async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, AdminError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(AdminError::UnreadableBody)?;
    serde_json::from_slice(&body.to_bytes()).map_err(AdminError::MalformedBody)
}
