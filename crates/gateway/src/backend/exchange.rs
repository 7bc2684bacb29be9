//! The steps of one attempt: check out a connection, send the request, and read the response or its start.

use super::attempt_end::AttemptEnd;
use super::forward::{ForwardedRequest, Payload};
use super::outcome;
use super::send_progress::SendProgress;
use crate::http::{CallError, Connection, ReceivedResponse, RequestBody};
use crate::pool::{Backend, Pool, PooledConnection};
use crate::relay::{
    SendState, ServedBody, StreamLimits, StreamSettings, StreamedBody, StreamedBodyParams, UploadReader,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use lanespan_policy::{Micros, Outcome};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout_at, Instant};

/// The exchange of one attempt with its backend. The caller enforces the time limit of the attempt.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Rc<Pool>,
    pub(super) streams: &'a StreamLimits,
    pub(super) backend: &'a Backend,
    pub(super) request: &'a ForwardedRequest,
    pub(super) index: usize,
    pub(super) give_up_at: Instant,
    pub(super) begin_by: Instant,
    pub(super) request_open: watch::Receiver<bool>,
    /// Updated as the request is sent. The caller reads it when it ends the attempt early.
    pub(super) progress: &'a RefCell<SendProgress>,
}

impl Exchange<'_> {
    /// Runs the exchange and returns the result of the attempt.
    pub(super) async fn run(mut self) -> AttemptEnd {
        loop {
            let mut pooled = match self.checkout().await {
                Ok(pooled) => pooled,
                Err(outcome) => return outcome.into(),
            };
            let reused = pooled.is_reused();
            let Some(connection) = pooled.connection() else { return Outcome::NotSent.into() };
            // Read once, because the settings may change while the response is read.
            let settings = self.streams.settings();
            match self.send_and_receive(connection, settings).await {
                Ok(ReceivedResponse::Complete(response)) => return self.finish_complete(pooled, response),
                Ok(ReceivedResponse::Partial(response, start)) => {
                    return self.finish_streamed(pooled, response, start, settings).await;
                }
                // The backend closed the pooled connection just before the request was written: nothing was sent, so
                // the request is sent on another connection.
                Err(CallError::NotSent) if reused && self.can_resend() => {
                    *self.progress.borrow_mut() = SendProgress::default();
                }
                Err(error) => return self.error_outcome(error).into(),
            }
        }
    }

    /// Checks out a connection. Returns the outcome of the attempt if there is none, or if the request must no longer
    /// be sent.
    async fn checkout(&mut self) -> Result<PooledConnection, Outcome> {
        let checkout = tokio::select! {
            biased;
            _ = self.request_open.wait_for(|open| !open) => return Err(Outcome::NotSent),
            checkout = self.pool.checkout(self.backend, self.give_up_at.min(self.begin_by)) => checkout,
        };
        let pooled =
            checkout.map_err(|error| match self.begin_by < self.give_up_at && self.is_past_begin_by() {
                // A retry that passed `begin_by` while it waited for a connection proves nothing about its backend.
                true => Outcome::NotSent,
                false => outcome::without_connection(error),
            })?;
        // The backend may have begun to drain while the attempt waited for the connection. After `begin_by` a retried
        // request could run twice, because its backend may no longer remember the first attempt.
        if !self.backend.open.get() || Instant::now() > self.begin_by {
            return Err(Outcome::NotSent);
        }
        Ok(pooled)
    }

    fn is_past_begin_by(&self) -> bool {
        Instant::now() >= self.begin_by
    }

    /// Returns whether the body of the request can be sent again from its start.
    fn can_resend(&self) -> bool {
        self.request.body.upload().is_none_or(|upload| upload.is_replayable())
    }

    /// Sends the request and reads the complete response, or only its start if the rest is to be streamed.
    async fn send_and_receive(
        &self,
        connection: &mut Connection,
        settings: Option<StreamSettings>,
    ) -> Result<ReceivedResponse, CallError> {
        let (body, upload) = self.request_body();
        // If the caller ends the attempt from here on, the request may have run. A request with an upload may have run
        // only once the last byte was sent.
        *self.progress.borrow_mut() =
            SendProgress { traffic: Some(connection.traffic()), upload: upload.clone() };
        let response = connection.send(self.request.to_http_request(self.give_up_at, body)).await?;
        // A response that arrives before the upload is complete ends the upload.
        if let Some(upload) = upload.filter(|upload| !upload.is_complete()) {
            upload.stop();
        }
        let account = self.streams.account();
        match settings {
            None => connection.read_body(response, account).await.map(ReceivedResponse::Complete),
            Some(settings) => connection.read_body_up_to(response, settings.hold_bytes, account).await,
        }
    }

    fn request_body(&self) -> (RequestBody, Option<Rc<SendState>>) {
        match &self.request.body {
            Payload::Complete(body) => (RequestBody::Complete(Full::new(body.clone())), None),
            Payload::Upload(upload) => {
                let reader = UploadReader::new(upload.clone(), self.index);
                let send_state = reader.send_state();
                (RequestBody::Streamed(Box::pin(reader)), Some(send_state))
            }
        }
    }

    /// Finishes an attempt with a complete response. The connection is reused only if the request was sent completely.
    fn finish_complete(&self, pooled: PooledConnection, response: Response<Bytes>) -> AttemptEnd {
        let end = outcome::of_response(response.map(ServedBody::Complete), &self.request.names.headers);
        match end.outcome {
            Outcome::Success => self.pool.request_succeeded(self.backend),
            Outcome::Rejected => self.pool.request_rejected(self.backend),
            _ => self.pool.backend_responded(self.backend),
        }
        if !self.progress.borrow().is_upload_partial() {
            pooled.release();
        }
        end
    }

    /// Finishes an attempt whose response is only partly read: reserves memory and streams the rest.
    async fn finish_streamed(
        &self,
        mut pooled: PooledConnection,
        response: Response<Incoming>,
        start: Bytes,
        settings: Option<StreamSettings>,
    ) -> AttemptEnd {
        self.pool.backend_responded(self.backend);
        let names = &self.request.names.headers;
        let (head, remaining) = response.into_parts();
        // Only a response with status 200 is served, so the rest of any other response is not read.
        let Some(settings) = settings.filter(|_| head.status == StatusCode::OK) else {
            return outcome::of_response(
                Response::from_parts(head, ServedBody::Complete(Bytes::new())),
                names,
            );
        };
        let waiting_since = Instant::now();
        let wait_until = self.give_up_at.min(waiting_since + settings.memory_wait);
        let memory = timeout_at(wait_until, self.streams.reserve(settings.stream_memory_bytes())).await;
        let excluded_wait = Micros(waiting_since.elapsed().as_micros() as u64);
        let Ok(Some(memory)) = memory else {
            return AttemptEnd { excluded_wait, ..Outcome::ResponseDropped.into() };
        };
        if let Some(connection) = pooled.connection() {
            connection.use_large_reads();
        }
        let (end_sender, stream_end) = oneshot::channel();
        let request_complete = !self.progress.borrow().is_upload_partial();
        let body = StreamedBody::new(StreamedBodyParams {
            held_back: start,
            connection: pooled,
            remaining,
            request_complete,
            end_sender,
            memory,
        });
        let end =
            outcome::of_response(Response::from_parts(head, ServedBody::Streamed(Box::new(body))), names);
        AttemptEnd { excluded_wait, stream_end: Some(stream_end), ..end }
    }

    /// Returns the outcome of a request that got no response.
    fn error_outcome(&self, error: CallError) -> Outcome {
        match error {
            CallError::NotSent => Outcome::ConnectFailed,
            CallError::Broken => {
                self.pool.backend_responded(self.backend);
                match self.progress.borrow().is_upload_partial() {
                    true => outcome::of_partial_upload(self.request),
                    false => Outcome::ConnectionReset,
                }
            }
        }
    }
}
