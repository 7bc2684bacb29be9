//! The gateway's decision logic as a sans-I/O state machine: it consumes events and returns actions.
//!
//! The crate has no clock, socket or thread of its own, so the real gateway and the simulator's adapter run the same
//! code.

mod action;
mod attempt_rules;
mod attempt_times;
mod balancer;
mod endpoint;
mod engine;
mod event;
mod hash;
mod ids;
mod load_shedding;
mod location;
mod outcome;
mod quota;
mod request;
mod retry_budget;
mod settings;
mod smoothing;
mod time;
mod timers;
mod token_bucket;
mod wait_queue;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointListScope, EndpointState};
pub use engine::snapshot::{BackendSnapshot, EngineSnapshot};
pub use engine::Engine;
pub use event::{Arrival, AttemptResult, Event};
pub use ids::{BackendId, CellId, ClassId, CounterKey, CustomerId, PlanId, RequestId, TimerId, ZoneId};
pub use outcome::{LoadReport, Outcome};
pub use settings::{DeduplicationScope, Idempotency, QuotaPlan, RequestClass, Settings, SettingsError};
pub use time::Micros;
