//! Calls other gateways over HTTP/1.1, and queues the Raft messages to other voters.

use super::message::{
    CatchUpResponse, VoterHandshake, AFTER_PARAMETER, CATCH_UP_PATH, HANDSHAKE_PATH, RAFT_MESSAGES_PATH,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use lanespan_fleet::replication::wire::RaftMessage;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The maximum size of a body of Raft messages or of a response. A complete document and a batch of messages fit.
pub const MAX_BODY_BYTES: usize = 12 << 20;
/// The timeout of a catch-up or a handshake.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of Raft messages queued for one voter. Further ones are dropped; Raft tolerates lost messages.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The maximum number of Raft messages sent to a voter in one call.
const MAX_BATCH_MESSAGES: usize = 16;

/// Why a call to another gateway failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection could not be established.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// The request could not be built.
    #[error("can't build the request: {0}")]
    Request(hyper::http::Error),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    /// The body of the response could not be read, or is too long.
    #[error("can't read the body of the response: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No response arrived within this time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// A JSON body could not be encoded or decoded.
    #[error("can't encode or decode a JSON body: {0}")]
    Json(#[from] serde_json::Error),
    /// A postcard body could not be encoded or decoded.
    #[error("can't encode or decode a postcard body: {0}")]
    Postcard(#[from] postcard::Error),
}

/// A connection to one gateway, established by the first call.
pub struct PeerConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl PeerConnection {
    /// Creates a connection to the gateway at this address, without dialling it.
    pub fn new(address: SocketAddr) -> PeerConnection {
        PeerConnection { address, sender: None }
    }

    /// Returns the gateway's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the catch-up for a follower at this index.
    pub async fn fetch_catch_up(&mut self, after: i64) -> Result<CatchUpResponse, PeerError> {
        let path = format!("{CATCH_UP_PATH}?{AFTER_PARAMETER}{after}");
        let body = self.call(Method::GET, &path, Bytes::new(), FETCH_TIMEOUT).await?;
        Ok(postcard::from_bytes(&body)?)
    }

    /// Fetches the gateway's handshake.
    pub async fn fetch_handshake(&mut self) -> Result<VoterHandshake, PeerError> {
        let body = self.call(Method::GET, HANDSHAKE_PATH, Bytes::new(), FETCH_TIMEOUT).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a batch of Raft messages.
    pub async fn send_raft_messages(
        &mut self,
        batch: &[RaftMessage],
        call_timeout: Duration,
    ) -> Result<(), PeerError> {
        let body = postcard::to_allocvec(batch)?;
        self.call(Method::POST, RAFT_MESSAGES_PATH, body.into(), call_timeout).await?;
        Ok(())
    }

    /// Sends a request and returns the body of the response, whatever the status, because the body holds the result.
    /// After a failure the next call uses a new connection.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let exchange = exchange(self.address, sender, method, path, body);
        let (sender, body) =
            timeout(call_timeout, exchange).await.map_err(|_| PeerError::Timeout(call_timeout))??;
        self.sender = Some(sender);
        Ok(body)
    }
}

type Sender = SendRequest<Full<Bytes>>;

async fn exchange(
    address: SocketAddr,
    sender: Option<Sender>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(Sender, Bytes), PeerError> {
    let mut sender = match sender {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await.map_err(PeerError::Connection)?;
    let request = Request::builder().method(method).uri(path).header("Host", "plan");
    let request = request.body(Full::new(body)).map_err(PeerError::Request)?;
    let response = sender.send_request(request).await.map_err(PeerError::Connection)?;
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.map_err(PeerError::Body)?;
    Ok((sender, body.to_bytes()))
}

async fn connect(address: SocketAddr) -> Result<Sender, PeerError> {
    let stream = TcpStream::connect(address).await.map_err(PeerError::Connect)?;
    // Otherwise small messages are delayed until earlier ones are acknowledged. This fails only if the connection is
    // closed.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(PeerError::Connection)?;
    tokio::task::spawn_local(async move {
        // The next call detects that the connection has ended.
        let _ = connection.await;
    });
    Ok(sender)
}

/// The queues of Raft messages, one for each voter to which a message was sent.
#[derive(Default)]
pub struct MessageQueues {
    queues: HashMap<u64, mpsc::Sender<RaftMessage>>,
}

impl MessageQueues {
    /// Queues a message. For a voter without a queue, `on_new_queue` receives the receiving end of a new one. A message
    /// to a full queue is dropped.
    pub fn send(
        &mut self,
        message: RaftMessage,
        on_new_queue: impl FnOnce(u64, mpsc::Receiver<RaftMessage>),
    ) {
        let voter = message.to;
        let queue = self.queues.entry(voter).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
            on_new_queue(voter, messages);
            queue
        });
        let _ = queue.try_send(message);
    }
}

/// Waits for the next batch of a queue: all messages that are queued, up to [`MAX_BATCH_MESSAGES`]. Returns `None` once
/// the queue is closed.
pub async fn next_batch(messages: &mut mpsc::Receiver<RaftMessage>) -> Option<Vec<RaftMessage>> {
    let mut batch = vec![messages.recv().await?];
    while batch.len() < MAX_BATCH_MESSAGES {
        let Ok(message) = messages.try_recv() else { break };
        batch.push(message);
    }
    Some(batch)
}

#[cfg(test)]
mod tests;
