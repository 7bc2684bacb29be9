//! Guards held while a streamed response or an upload is in progress on a client's connection.

use super::connection::ClientConnection;
use crate::relay::{StreamObserver, Upload};
use crate::request_ids::RequestIdGuard;
use std::rc::Rc;

/// Held during a streamed response. Maintains the connection's phase and keeps the request's id reserved.
pub(super) struct ResponseStream {
    connection: Rc<ClientConnection>,
    _id: Rc<RequestIdGuard>,
}

impl ResponseStream {
    pub(super) fn begin(connection: &Rc<ClientConnection>, id: Rc<RequestIdGuard>) -> ResponseStream {
        connection.response_streaming();
        ResponseStream { connection: connection.clone(), _id: id }
    }
}

impl StreamObserver for ResponseStream {
    fn bytes_sent(&self, bytes: u64) {
        self.connection.response_progress(bytes);
    }
    fn is_too_slow(&self) -> bool {
        self.connection.is_aborted_as_slow()
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.connection.response_finished();
    }
}

/// Held while the request of an upload is open. On drop, the rest of the upload is no longer read.
pub(super) struct UploadInProgress<'a> {
    connection: &'a ClientConnection,
    pub(super) upload: Rc<Upload>,
}

impl<'a> UploadInProgress<'a> {
    pub(super) fn begin(connection: &'a ClientConnection, upload: Rc<Upload>) -> UploadInProgress<'a> {
        connection.set_upload(Some(upload.clone()));
        UploadInProgress { connection, upload }
    }
}

impl Drop for UploadInProgress<'_> {
    fn drop(&mut self) {
        self.connection.set_upload(None);
        self.upload.close();
    }
}
