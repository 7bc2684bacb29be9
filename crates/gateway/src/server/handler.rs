//! Handles a client's request, from its head to its response.

use super::client_presence::{client_state, ObservedUpload};
use super::connection::ClientConnection;
use super::context::ServerContext;
use super::error::RequestError;
use super::request_head::RequestHead;
use super::request_memory::{compact, request_bytes};
use super::response::{
    complete_body, error_response, set_retry_after, text_response, with_connection_close, ResponseBody,
};
use super::submit::{submit, Submission};
use super::transfer::{ResponseStream, UploadInProgress};
use crate::backend::{strip_hop_by_hop, ForwardedRequest, Payload};
use crate::driver::FinalAnswer;
use crate::framing::BodyFraming;
use crate::http::MAX_BODY_BYTES;
use crate::memory::{Holder, Reservation};
use crate::relay::{ClientBody, ServedBody, StreamSettings, Upload};
use crate::request_ids::RequestIdGuard;
use crate::tapped::{PeerState, Socket};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use lanespan_policy::Micros;
use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The path of API requests.
const API_PATH: &str = "/api";
/// Retry-After of a response to a request for which there is no memory.
const NO_MEMORY_RETRY_AFTER: Micros = Micros::from_secs(1);

/// Handles a request and returns its response.
pub(super) async fn handle(
    request: Request<Incoming>,
    context: &Rc<ServerContext>,
    connection: &Rc<ClientConnection>,
    socket: &Rc<RefCell<Socket>>,
) -> Response<ResponseBody> {
    let version = request.version();
    connection.head_received();
    // Only a request that is streamed may be chunked.
    let framing = connection.next_framing().filter(|_| context.streams.settings().is_some());
    let mut response = route(request, framing, context, connection, socket).await;
    if context.is_stopping() || connection.is_closing() {
        response = with_connection_close(response);
    }
    match response.body() {
        ClientBody::Streamed(body, _) if version < Version::HTTP_11 && body.size_hint().exact().is_none() => {
            connection.response_ends_with_connection();
        }
        ClientBody::Streamed(..) => {}
        ClientBody::Complete(_) => connection.response_finished(),
    }
    response
}

async fn route(
    request: Request<Incoming>,
    framing: Option<BodyFraming>,
    context: &Rc<ServerContext>,
    connection: &Rc<ClientConnection>,
    socket: &Rc<RefCell<Socket>>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path == context.names.ready_path {
        return readiness(context);
    }
    if path != API_PATH {
        return error_response(RequestError::UnknownPath);
    }
    let (head, body) = request.into_parts();
    let handled = match ApiRequest::new(head, framing, context, connection, socket) {
        Ok(request) => request.handle(body).await,
        Err(error) => Err(error),
    };
    handled.unwrap_or_else(|error| request_error(error, context))
}

/// Returns the response to a request that failed with `error`. One for which there was no memory may be sent again.
fn request_error(error: RequestError, context: &ServerContext) -> Response<ResponseBody> {
    let mut response = error_response(error);
    if matches!(error, RequestError::NoMemoryForBody | RequestError::NoMemoryForRequest) {
        let retry_after = context.max_retry_after.map(|longest| longest.min(NO_MEMORY_RETRY_AFTER));
        set_retry_after(&mut response, retry_after);
    }
    response
}

fn readiness(context: &ServerContext) -> Response<ResponseBody> {
    match context.is_ready() {
        true => text_response(StatusCode::OK, "ready\n"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// An API request whose head was parsed.
struct ApiRequest<'a> {
    head: Parts,
    parsed: RequestHead,
    framing: Option<BodyFraming>,
    /// The memory of the request: its head, its state, and its body unless that is streamed.
    memory: Reservation,
    context: &'a Rc<ServerContext>,
    connection: &'a Rc<ClientConnection>,
    socket: &'a Rc<RefCell<Socket>>,
}

impl<'a> ApiRequest<'a> {
    /// Reserves the memory of a request without its body, and parses its head.
    fn new(
        head: Parts,
        framing: Option<BodyFraming>,
        context: &'a Rc<ServerContext>,
        connection: &'a Rc<ClientConnection>,
        socket: &'a Rc<RefCell<Socket>>,
    ) -> Result<ApiRequest<'a>, RequestError> {
        let memory = context.memory.try_reserve(Holder::Requests, request_bytes(&head));
        let memory = memory.ok_or(RequestError::NoMemoryForRequest)?;
        let head = compact(head);
        let parsed = RequestHead::parse(&head, framing, context)?;
        Ok(ApiRequest { head, parsed, framing, memory, context, connection, socket })
    }

    async fn handle(self, body: Incoming) -> Result<Response<ResponseBody>, RequestError> {
        match self.context.streams.settings().filter(|_| !body.is_end_stream()) {
            Some(settings) => self.handle_upload(body, &settings).await,
            None => self.handle_buffered(body).await,
        }
    }

    /// Takes the id that the client gave the request.
    fn take_id(&self) -> Result<Rc<RequestIdGuard>, RequestError> {
        let RequestHead { client_id, may_run_again, .. } = &self.parsed;
        Ok(self.context.request_ids.take(client_id.clone(), *may_run_again)?)
    }

    /// Reads the complete body, then forwards the request.
    async fn handle_buffered(mut self, body: Incoming) -> Result<Response<ResponseBody>, RequestError> {
        // Bounds memory: the length of the body is checked before any of it is read.
        let length = body.size_hint().upper().unwrap_or(u64::MAX);
        if length > MAX_BODY_BYTES as u64 {
            return Err(RequestError::BodyTooLong);
        }
        if !self.memory.try_resize(self.memory.bytes() + length as usize) {
            return Err(RequestError::NoMemoryForBody);
        }
        let body = read_body(body, length as usize).await?;
        let id = self.take_id()?;
        self.connection.request_accepted();
        Ok(self.forward(Payload::Complete(body), id).await)
    }

    /// Forwards the request while its body is arriving.
    async fn handle_upload(
        self,
        body: Incoming,
        settings: &StreamSettings,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let (context, connection, framing) = (self.context, self.connection, self.framing);
        let id = self.take_id()?;
        connection.upload_accepted();
        let exact_length = body.size_hint().exact();
        let short_length =
            exact_length.filter(|&length| length <= settings.hold_bytes as u64).map(|length| length as usize);
        let replay_bytes = short_length.unwrap_or(settings.hold_bytes);
        let memory_bytes = short_length.unwrap_or(settings.stream_memory_bytes());
        let budget = Duration::from_micros(self.parsed.budget.0);
        let memory = timeout(settings.memory_wait.min(budget), context.streams.reserve(memory_bytes)).await;
        let Ok(Some(memory)) = memory else { return Err(RequestError::NoMemoryForBody) };
        let source = Box::pin(ObservedUpload::new(body, self.socket.clone()));
        let in_progress =
            UploadInProgress::begin(connection, Upload::new(source, replay_bytes, budget, memory));
        let payload = Payload::Upload(in_progress.upload.clone());
        let response = self.forward(payload, id).await;
        // The framing of requests after a chunked body is unknown, so these requests could not be trusted.
        let may_continue = in_progress.upload.is_complete() && framing != Some(BodyFraming::Chunked);
        Ok(if may_continue { response } else { with_connection_close(response) })
    }

    /// Submits the request to the driver, if its client is still connected, and converts the final answer to a
    /// response.
    async fn forward(self, body: Payload, id: Rc<RequestIdGuard>) -> Response<ResponseBody> {
        match client_state(self.socket, self.connection) {
            PeerState::Connected => {}
            // The task that serves the connection ends it.
            PeerState::Disconnected => return pending().await,
            PeerState::Unknown => return rejection(None),
        }
        let RequestHead { arrival, budget, .. } = self.parsed;
        let mut headers = self.head.headers;
        strip_hop_by_hop(&mut headers);
        let forward = ForwardedRequest {
            method: self.head.method,
            uri: self.head.uri,
            headers,
            body,
            names: self.context.names.clone(),
        };
        let submission = Submission { arrival, budget, forward, id: id.clone(), memory: self.memory };
        match submit(submission, self.context, self.connection).await {
            FinalAnswer::Served(ServedBody::Complete(body)) => Response::new(complete_body(body)),
            FinalAnswer::Served(ServedBody::Streamed(body)) => {
                Response::new(ClientBody::Streamed(body, ResponseStream::begin(self.connection, id)))
            }
            FinalAnswer::Rejected(retry_after) => rejection(retry_after),
            FinalAnswer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

/// Returns the response to a request that was rejected without being executed.
fn rejection(retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused\n");
    set_retry_after(&mut response, retry_after);
    response
}

/// Reads a body of at most `length` bytes into one allocation of that size. The frames of a body that arrives slowly are
/// short, and each would keep the buffer that it was read into.
async fn read_body(mut body: Incoming, length: usize) -> Result<Bytes, RequestError> {
    let mut bytes = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| RequestError::IncompleteBody)?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
