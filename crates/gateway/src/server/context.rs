//! State shared by all client connections.

use super::shutdown::ResponseDeadline;
use crate::clock::Clock;
use crate::driver::DriverSender;
use crate::fleet::Fleet;
use crate::memory::MemoryAccount;
use crate::names::Names;
use crate::relay::StreamLimits;
use crate::request_ids::RequestIds;
use lanespan_policy::{ClassId, Idempotency, Micros, PlanId, RequestId};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// A configured class and the rules for its requests.
#[derive(Debug, Clone, Copy)]
pub struct KnownClass {
    /// The id of the class.
    pub id: ClassId,
    /// Determines the method and idempotency key that requests must have; `None` if it is not known, so that neither is
    /// checked.
    pub idempotency: Option<Idempotency>,
    /// Upper limit of the time that a client waits.
    pub deadline: Micros,
}

/// Parameters of a [`ServerContext`].
pub struct ServerParams {
    /// Sends events to the driver.
    pub driver: DriverSender,
    /// The policy engine's clock.
    pub clock: Clock,
    /// Whether the gateway has an endpoint list.
    pub ready: Rc<Cell<bool>>,
    /// Request classes by name.
    pub classes: HashMap<String, KnownClass>,
    /// Quota plans by name.
    pub plans: HashMap<String, PlanId>,
    /// Maximum units of a request.
    pub max_request_units: f64,
    /// The number of gateways.
    pub gateway_count: u32,
    /// Maximum number of concurrent client connections.
    pub max_connections: usize,
    /// The account of the gateway's memory.
    pub memory: MemoryAccount,
    /// Becomes true on SIGTERM.
    pub stopping: watch::Receiver<bool>,
    /// Limits shared by streamed responses and uploads.
    pub streams: Rc<StreamLimits>,
    /// Maximum Retry-After sent to rejected clients; `None` if none is sent.
    pub max_retry_after: Option<Micros>,
    /// Names of headers, paths and parameters in this deployment.
    pub names: Rc<Names>,
    /// The longest deadline of all classes.
    pub longest_deadline: Duration,
    /// The fleet, if this gateway is a member of one.
    pub fleet: Option<Rc<Fleet>>,
}

/// State shared by all client connections.
pub struct ServerContext {
    pub(super) driver: DriverSender,
    pub(super) clock: Clock,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) classes: HashMap<String, KnownClass>,
    pub(super) plans: HashMap<String, PlanId>,
    pub(super) max_request_units: f64,
    pub(super) gateway_count: u32,
    pub(super) max_connections: usize,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) streams: Rc<StreamLimits>,
    pub(super) max_retry_after: Option<Micros>,
    pub(super) names: Rc<Names>,
    pub(super) memory: MemoryAccount,
    pub(super) request_ids: RequestIds,
    pub(super) response_deadline: ResponseDeadline,
    fleet: Option<Rc<Fleet>>,
    last_request: Cell<RequestId>,
}

impl ServerContext {
    /// Creates the context of a server without open requests.
    pub fn new(params: ServerParams) -> ServerContext {
        ServerContext {
            driver: params.driver,
            clock: params.clock,
            ready: params.ready,
            classes: params.classes,
            plans: params.plans,
            max_request_units: params.max_request_units,
            gateway_count: params.gateway_count,
            max_connections: params.max_connections,
            stopping: params.stopping,
            streams: params.streams,
            max_retry_after: params.max_retry_after,
            names: params.names,
            request_ids: RequestIds::new(&params.memory),
            memory: params.memory,
            response_deadline: ResponseDeadline::new(params.longest_deadline),
            fleet: params.fleet,
            last_request: Cell::new(RequestId(0)),
        }
    }

    /// Returns whether the gateway is shutting down.
    pub(super) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the gateway is ready for API requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get() && !self.is_stopping()
    }

    /// Returns a new request id.
    pub(super) fn next_request(&self) -> RequestId {
        let next = RequestId(self.last_request.get().0 + 1);
        self.last_request.set(next);
        next
    }

    /// Returns how many of the gateways that receive a customer's requests are active.
    pub(super) fn active_gateways(&self, first_gateway: u32, gateway_spread: u32) -> u32 {
        self.fleet.as_ref().map_or(gateway_spread, |fleet| fleet.quota_divisor(first_gateway, gateway_spread))
    }
}
