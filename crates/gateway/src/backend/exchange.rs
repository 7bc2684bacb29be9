//! The steps of one attempt: a connection, the request, and as much of the response as the attempt waits for.

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
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout_at, Instant};

/// One attempt's exchange with its backend. It sets no time limit of its own.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Rc<Pool>,
    pub(super) streams: &'a StreamLimits,
    pub(super) backend: &'a Backend,
    pub(super) request: &'a ForwardedRequest,
    pub(super) index: usize,
    pub(super) give_up_at: Instant,
    pub(super) begin_by: Instant,
    pub(super) request_open: watch::Receiver<bool>,
    /// Updated as the request is sent, for whoever ends the attempt meanwhile.
    pub(super) progress: &'a RefCell<SendProgress>,
}

impl Exchange<'_> {
    /// Carries the exchange out.
    pub(super) async fn run(mut self) -> AttemptEnd {
        loop {
            let mut pooled = match self.checkout().await {
                Ok(pooled) => pooled,
                Err(outcome) => return outcome.into(),
            };
            let reused = pooled.is_reused();
            let Some(connection) = pooled.connection() else { return Outcome::NotSent.into() };
            // The settings may change while the response is read.
            let settings = self.streams.settings();
            match self.send_and_receive(connection, settings).await {
                Ok(ReceivedResponse::Complete(response)) => return self.complete(pooled, response),
                Ok(ReceivedResponse::Partial(response, start)) => {
                    return self.stream(pooled, response, start, settings).await;
                }
                // Guards against a pooled connection that was closed just before the request was written.
                Err(CallError::NotSent) if reused && self.can_send_again() => {
                    *self.progress.borrow_mut() = SendProgress::default();
                }
                Err(error) => return self.failed(error).into(),
            }
        }
    }

    /// Gets a connection, or the outcome of an attempt that is not begun.
    async fn checkout(&mut self) -> Result<PooledConnection, Outcome> {
        let checkout = tokio::select! {
            biased;
            _ = self.request_open.wait_for(|open| !open) => return Err(Outcome::NotSent),
            checkout = self.pool.checkout(self.backend, self.give_up_at.min(self.begin_by)) => checkout,
        };
        let pooled =
            checkout.map_err(|error| match self.begin_by < self.give_up_at && self.is_too_late() {
                // A retry whose time to begin ended while a connection came up says nothing of its backend.
                true => Outcome::NotSent,
                false => outcome::without_connection(error),
            })?;
        // Guards against sending to a backend that began to drain while the connection came up, and against a retry
        // after the time in which its backend remembers the first attempt.
        if !self.backend.open.get() || Instant::now() > self.begin_by {
            return Err(Outcome::NotSent);
        }
        Ok(pooled)
    }

    fn is_too_late(&self) -> bool {
        Instant::now() >= self.begin_by
    }

    /// Whether the request's body can be sent from the start.
    fn can_send_again(&self) -> bool {
        self.request.body.upload().is_none_or(|upload| upload.is_replayable())
    }

    /// Sends the request and reads the response, or its start where it is to be streamed.
    async fn send_and_receive(
        &self,
        connection: &mut Connection,
        settings: Option<StreamSettings>,
    ) -> Result<ReceivedResponse, CallError> {
        let (body, upload) = self.request_body();
        // From here on the attempt may have run, for all that a caller who stops waiting can know; one that carries
        // an upload, from its last byte on.
        *self.progress.borrow_mut() =
            SendProgress { traffic: Some(connection.traffic()), upload: upload.clone() };
        let response = connection.send(self.request.request(self.give_up_at, body)).await?;
        // An early response ends the upload.
        if let Some(upload) = upload.filter(|upload| !upload.is_complete()) {
            upload.stop();
        }
        match settings {
            None => connection.read_body(response).await.map(ReceivedResponse::Complete),
            Some(settings) => connection.read_body_up_to(response, settings.hold_bytes).await,
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

    /// Ends with a complete response. Its connection can carry another request if all of this one was sent.
    fn complete(&self, pooled: PooledConnection, response: Response<Bytes>) -> AttemptEnd {
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

    /// Ends with a response whose rest is streamed, once there is memory for that.
    async fn stream(
        &self,
        pooled: PooledConnection,
        response: Response<Incoming>,
        start: VecDeque<Bytes>,
        settings: Option<StreamSettings>,
    ) -> AttemptEnd {
        self.pool.backend_responded(self.backend);
        let names = &self.request.names.headers;
        let (head, rest) = response.into_parts();
        // Only a 200 is passed on: the rest of another response is of no use.
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
        let (end_sender, stream_end) = oneshot::channel();
        let request_complete = !self.progress.borrow().is_upload_partial();
        let body = StreamedBody::new(StreamedBodyParams {
            held_back: start,
            connection: pooled,
            rest,
            request_complete,
            end_sender,
            memory,
        });
        let end =
            outcome::of_response(Response::from_parts(head, ServedBody::Streamed(Box::new(body))), names);
        AttemptEnd { excluded_wait, stream_end: Some(stream_end), ..end }
    }

    /// The outcome of a request that has no response.
    fn failed(&self, error: CallError) -> Outcome {
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
