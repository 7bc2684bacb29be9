//! Events: the inputs of the engine.

use crate::{
    BackendId, ClassId, CounterKey, CustomerId, Endpoint, EndpointListScope, LoadReport, Micros, Outcome,
    PlanId, RequestId, TimerId,
};

/// A request that has arrived at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The id of the request.
    pub request: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The quota plan of the customer.
    pub plan: PlanId,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// Number of gateways over which this customer's requests are spread.
    pub gateway_spread: u32,
    /// Number of these gateways that currently serve the customer, by this gateway's view of the fleet. The customer's
    /// quota is divided by this number for the local share. 0 means `gateway_spread`.
    pub active_gateways: u32,
    /// The time at which the client gives up.
    pub deadline: Micros,
    /// The units that the request costs.
    pub units: f64,
    /// Whether the client marked this request as a retry of one that was rejected, failed or abandoned.
    pub is_client_retry: bool,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt among those of its request.
    pub attempt: usize,
    /// The backend.
    pub backend: BackendId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time until the response head arrived, excluding time spent waiting for memory.
    pub elapsed: Micros,
    /// Whether the request has had its final answer.
    pub request_answered: bool,
    /// The actual units of the request, where they are settled after it ran.
    pub settled_units: Option<f64>,
    /// The backend's load report.
    pub load_report: LoadReport,
}

/// An input to the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery reported endpoints, or its failure.
    EndpointList {
        /// Whether `endpoints` is the complete list, only its changes, or unavailable.
        scope: EndpointListScope,
        /// The reported entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    RequestArrived(Arrival),
    /// A timer fired.
    TimerFired(TimerId),
    /// The response of this attempt has started to reach the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The index of the attempt.
        attempt: usize,
    },
    /// The start of the upload that this attempt carries is no longer buffered, so the upload can't be sent again. No
    /// deadline applies from then on; the transfer ends by itself.
    UploadCommitted {
        /// The request.
        request: RequestId,
        /// The index of the attempt.
        attempt: usize,
    },
    /// The client closed its connection.
    ClientDisconnected(RequestId),
    /// A health check ended. The engine ignores this event so far.
    HealthChecked {
        /// The backend.
        backend: BackendId,
        /// The outcome of the check.
        outcome: Outcome,
        /// The backend's load report.
        load_report: LoadReport,
    },
    /// A call to the counter ended.
    CounterReplied {
        /// The key of the count.
        key: CounterKey,
        /// The outcome of the call.
        outcome: Outcome,
        /// The new total, if the call succeeded.
        total: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
}
