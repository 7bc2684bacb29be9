//! One call to discovery: a request for the endpoint list, or for its changes since a revision.

use super::MAX_POLL_WAIT;
use crate::config::{EndpointList, EndpointListError};
use crate::http::{Connection, ReceivedResponse, RequestBody};
use crate::memory::MemoryAccount;
use crate::names::{DiscoveryCall, Names};
use hyper::{header, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// When a call is given up. Other calls follow it long before; this bounds how long a lost connection is kept. A gateway
/// must be ready within 30 s, so an answer that takes longer is of no use.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest list that is read, enough for about 10,000 entries. Bounds the memory for a response. The limit is higher
/// than for other messages, because the list of a large fleet is long and may be indented.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    #[error("the path of the endpoint list is not a valid URI")]
    InvalidPath,
    #[error("connecting to discovery failed: {0}")]
    ConnectFailed(io::Error),
    #[error("timed out waiting for a complete response")]
    Timeout,
    #[error("connection closed before the response was complete")]
    ConnectionClosed,
    #[error("response is longer than {} MiB", MAX_LIST_BYTES >> 20)]
    TooLong,
    #[error("expected response status 200, found {0}")]
    Status(StatusCode),
    #[error("response is not JSON: {0}")]
    NotJson(serde_json::Error),
    #[error("response is not an endpoint list: {0}")]
    NotAnEndpointList(EndpointListError),
}

/// What a successful call returned.
pub(super) struct Answer {
    pub(super) list: EndpointList,
    /// The address that was called.
    pub(super) address: SocketAddr,
    /// The connection, which can be used for another call.
    pub(super) connection: Connection,
}

/// A call that has not been made yet.
pub(super) struct Call {
    pub(super) address: SocketAddr,
    /// The revision after which changes are requested. Without one the complete list is requested.
    pub(super) from: Option<u64>,
    pub(super) names: Rc<Names>,
    /// An idle connection to the address, which is used if it is still open.
    pub(super) idle: Option<Connection>,
}

impl Call {
    /// Makes the call. Dropping the future closes the connection.
    pub(super) async fn make(self) -> Result<Answer, CallError> {
        timeout(CALL_TIMEOUT, self.exchange()).await.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(mut self) -> Result<Answer, CallError> {
        let request = self.request()?;
        let mut connection = self.connect().await?;
        let response = connection.send(request).await.map_err(|_| CallError::ConnectionClosed)?;
        let received =
            connection.read_body_up_to(response, MAX_LIST_BYTES, &MemoryAccount::unlimited()).await;
        let response = match received.map_err(|_| CallError::ConnectionClosed)? {
            ReceivedResponse::Complete(response) => response,
            ReceivedResponse::Partial(..) => return Err(CallError::TooLong),
        };
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let list = serde_json::from_slice(response.body()).map_err(CallError::NotJson)?;
        let list = EndpointList::read(&self.names.to_protocol(list)).map_err(CallError::NotAnEndpointList)?;
        Ok(Answer { list, address: self.address, connection })
    }

    fn request(&self) -> Result<Request<RequestBody>, CallError> {
        let DiscoveryCall { path, after_parameter, wait_parameter } = &self.names.discovery;
        let path = match self.from {
            None => path.clone(),
            Some(revision) => {
                format!("{path}?{after_parameter}={revision}&{wait_parameter}={}", MAX_POLL_WAIT.as_millis())
            }
        };
        let mut request = Request::new(RequestBody::empty());
        *request.uri_mut() = path.parse().map_err(|_| CallError::InvalidPath)?;
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }

    /// Returns the idle connection if it is still usable, or opens a new one.
    async fn connect(&mut self) -> Result<Connection, CallError> {
        if let Some(mut connection) = self.idle.take() {
            if connection.is_usable() {
                return Ok(connection);
            }
        }
        Connection::open(self.address).await.map_err(CallError::ConnectFailed)
    }
}
