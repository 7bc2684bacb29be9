//! Tracks how much of an attempt's request was sent, which decides whether the backend may have executed it.

use crate::http::Traffic;
use crate::relay::SendState;
use std::rc::Rc;

/// How much of an attempt's request was sent.
#[derive(Default)]
pub(super) struct SendProgress {
    /// The traffic on the connection that the request may have been written to.
    pub(super) traffic: Option<Rc<Traffic>>,
    /// The progress of the upload that is the body of the request.
    pub(super) upload: Option<Rc<SendState>>,
}

impl SendProgress {
    /// Returns whether the request carries an upload that the backend cannot have received completely.
    pub(super) fn is_upload_partial(&self) -> bool {
        self.upload.as_ref().is_some_and(|upload| !upload.is_complete())
    }
}
