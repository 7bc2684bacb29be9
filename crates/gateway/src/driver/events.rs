//! The driver's interface: the events that it handles, and its answers to requests and operators' queries.

use crate::backend::{AttemptEnd, ForwardedRequest};
use crate::config::EndpointList;
use crate::counter::CounterReply;
use crate::memory::Reservation;
use crate::relay::ServedBody;
use crate::request_ids::RequestIdGuard;
use lanespan_policy::{Arrival, BackendId, CounterKey, Micros, Outcome, RequestId};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Sends events to the driver.
pub type DriverSender = mpsc::Sender<DriverEvent>;

/// The final answer to a client.
#[derive(Debug)]
pub enum FinalAnswer {
    /// A backend's 200 response: complete, or streamed if its body exceeds the limit for buffering.
    Served(ServedBody),
    /// The request was rejected without being executed, so it is safe to retry, preferably after this time.
    Rejected(Option<Micros>),
    /// The request failed. It may have been executed.
    Failed,
}

/// A client's request, completely received except for the rest of an upload.
pub struct AcceptedRequest {
    /// The request's attributes for the policy engine. The id is assigned by this gateway, independently of the
    /// client's request id.
    pub arrival: Arrival,
    /// When the request was accepted.
    pub accepted_at: Micros,
    /// The request to forward to a backend.
    pub forward: ForwardedRequest,
    /// The id that the client gave the request. It stays taken until the request and all of its attempts have ended.
    pub id: Rc<RequestIdGuard>,
    /// The memory of the request, which is released when the request and all of its attempts have ended.
    pub memory: Reservation,
    /// Receives the final answer.
    pub reply: oneshot::Sender<FinalAnswer>,
}

/// An event that the driver handles.
pub enum DriverEvent {
    /// A client's request was accepted.
    RequestAccepted(Box<AcceptedRequest>),
    /// The client of a request closed its connection, or the request was answered as failed at the end of a shutdown.
    ClientDisconnected(RequestId),
    /// Discovery sent the endpoint list, or changes to it.
    EndpointsChanged(EndpointList),
    /// The configured address of the counter changed.
    CounterAddressChanged(Option<SocketAddr>),
    /// A call to the counter ended.
    CounterReplied {
        /// The counter's key.
        key: CounterKey,
        /// The number that `ReplySequencer::register` gave the call.
        sequence: u64,
        /// How the call ended.
        reply: CounterReply,
        /// When the call was made.
        called_at: Micros,
    },
    /// An attempt ended, or its response is now streamed to the client.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's index among the request's attempts.
        attempt: usize,
        /// The backend that it was sent to.
        backend: BackendId,
        /// How it ended.
        end: AttemptEnd,
        /// The time spent waiting for the backend.
        elapsed: Micros,
    },
    /// From now on only this attempt can carry the request's upload.
    UploadCommitted {
        /// The request.
        request: RequestId,
        /// The attempt's index.
        attempt: usize,
    },
    /// The body of a response that was being streamed to a client ended.
    StreamEnded {
        /// The request.
        request: RequestId,
        /// The attempt's index.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
    },
    /// An operator queries the driver's state.
    Inspect {
        /// The query.
        query: AdminQuery,
        /// Receives the report.
        reply: oneshot::Sender<AdminReport>,
    },
}

/// An operator's query.
#[derive(Debug, Clone, Copy)]
pub enum AdminQuery {
    /// Whether the gateway has an endpoint list.
    Ready,
    /// The metrics.
    Metrics,
    /// The state.
    State,
}

/// The answer to an [`AdminQuery`].
#[derive(Debug)]
pub enum AdminReport {
    /// Whether the gateway has an endpoint list.
    Ready(bool),
    /// The metrics, as OpenMetrics text.
    Metrics(String),
    /// The state, as JSON.
    State(Value),
}
