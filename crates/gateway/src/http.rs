//! HTTP/1.1 client for backends, the counter and discovery.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | one connection: a request is written at most once, and the caller learns whether any of it was |
//! | `request_body` | the body of a request, complete or streamed |
//! | `socket` | socket options |
//! | `traffic` | whether bytes were sent or received on a connection |

mod connection;
mod request_body;
mod socket;
mod traffic;

pub use connection::{CallError, Connection, ReceivedResponse, MAX_BODY_BYTES};
pub use request_body::{RequestBody, StreamedRequestBody};
pub use socket::disable_nagle;
pub use traffic::Traffic;

#[cfg(test)]
pub(crate) mod tests;
