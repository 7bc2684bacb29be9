//! Streams: responses and uploads that are forwarded as they arrive.
//!
//! | module | job |
//! | --- | --- |
//! | `settings` | the `streaming` section of the configuration |
//! | `limits` | the settings in force and the memory limit of all streams |
//! | `response` | a backend's response that is being streamed |
//! | `client_body` | the body of a response to a client |
//! | `upload` | a client's upload, which several attempts may send |

mod client_body;
mod limits;
mod response;
mod settings;
mod upload;

pub use client_body::{ClientBody, StreamObserver};
pub use limits::{StreamLimits, StreamMemory};
pub use response::{IncompleteResponse, ServedBody, StreamedBody, StreamedBodyParams};
pub use settings::StreamSettings;
pub use upload::{SendState, Upload, UploadReader, UploadSource};

#[cfg(test)]
mod tests;
