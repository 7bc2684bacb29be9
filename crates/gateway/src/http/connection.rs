//! One HTTP/1.1 client connection. It never retries: a request is written at most once, and the caller learns whether
//! any of it was written.

use super::request_body::RequestBody;
use super::socket::disable_nagle;
use super::traffic::Traffic;
use crate::memory::{ChargedBuffer, Holder, MemoryAccount};
use crate::tapped::{Socket, Tapped};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum length of the body of a message that is not streamed.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Size limit of the read buffer, which holds a head and a body that is not streamed.
const MAX_BUFFER_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Maximum length of the head of a response. Bounds memory for heads that never end.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Error of a call that has no valid response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing of the request was written, so the server did not receive it.
    #[error("the call failed before any of the request was sent")]
    NotSent,
    /// The call failed after at least a part of the request was written. The server may have executed it.
    #[error("the call failed after at least a part of the request was sent")]
    Broken,
}

/// A response, of which the body was read completely or up to a limit.
pub enum ReceivedResponse {
    /// The complete response.
    Complete(Response<Bytes>),
    /// The head with the rest of the body still to be read, and the part of the body that was read.
    Partial(Response<Incoming>, Bytes),
}

/// The hyper future that drives one connection, whose traffic is observed.
type Protocol = http1::Connection<TokioIo<Tapped<Rc<Traffic>>>, RequestBody>;

/// An HTTP/1.1 connection. Dropping it closes the socket at once, even during a call.
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    protocol: Pin<Box<Protocol>>,
    socket: Rc<RefCell<Socket>>,
    traffic: Rc<Traffic>,
    closed: bool,
    /// When the connection last became idle. Set by its owner.
    pub idle_since: Instant,
}

impl Connection {
    /// Connects to `address`. The caller is responsible for a timeout.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        Connection::from_stream(TcpStream::connect(address).await?).await
    }

    pub(super) async fn from_stream(stream: TcpStream) -> io::Result<Connection> {
        disable_nagle(&stream);
        let mut socket = Socket::new(stream, &MemoryAccount::unlimited());
        socket.set_small_reads(true);
        let socket = Rc::new(RefCell::new(socket));
        let traffic = Rc::<Traffic>::default();
        let io = TokioIo::new(Tapped::new(socket.clone(), traffic.clone()));
        let (sender, protocol) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            protocol: Box::pin(protocol),
            socket,
            traffic,
            closed: false,
            idle_since: Instant::now(),
        })
    }

    /// Returns whether the connection can be used for another call, by what the runtime has seen so far.
    pub fn is_usable(&mut self) -> bool {
        self.poll_protocol(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    /// Returns whether the socket has no unread data, no error and no close by the peer that the runtime has not seen
    /// yet. A request must not be written after any of these.
    pub fn has_no_unread_data(&self) -> bool {
        self.socket.borrow().has_no_unread_data()
    }

    /// Reads a long body in larger pieces, which takes a larger buffer for as long as the connection is open.
    pub fn use_large_reads(&self) {
        self.socket.borrow_mut().set_small_reads(false);
    }

    /// Returns the record of whether bytes were sent or received in the current call.
    pub fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }

    fn poll_protocol(&mut self, cx: &mut Context) {
        // The future must not be polled again after it has completed.
        self.closed = self.closed || self.protocol.as_mut().poll(cx).is_ready();
    }

    /// Polls a future together with the protocol it depends on. Returns `None` if the protocol completes first.
    async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll_protocol(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(value) => Poll::Ready(Some(value)),
                Poll::Pending if self.closed => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Sends a request and reads the complete response. After an error the connection can't be used any more.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        let response = self.send(request.map(RequestBody::Complete)).await?;
        self.read_body(response, &MemoryAccount::unlimited()).await
    }

    /// Reads the complete body of a response of at most [`MAX_BODY_BYTES`], and waits until `account` permits it.
    pub async fn read_body(
        &mut self,
        response: Response<Incoming>,
        account: &MemoryAccount,
    ) -> Result<Response<Bytes>, CallError> {
        if response.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(CallError::Broken);
        }
        match self.read_body_up_to(response, MAX_BODY_BYTES, account).await? {
            ReceivedResponse::Complete(response) => Ok(response),
            ReceivedResponse::Partial(..) => Err(CallError::Broken),
        }
    }

    /// Reads the body of a response until it ends or exceeds `max_bytes`. Waits until `account` permits what is read.
    /// After an error the connection can't be used any more.
    pub async fn read_body_up_to(
        &mut self,
        response: Response<Incoming>,
        max_bytes: usize,
        account: &MemoryAccount,
    ) -> Result<ReceivedResponse, CallError> {
        let (head, mut body) = response.into_parts();
        let mut buffer = ChargedBuffer::new(account, Holder::Responses);
        let declared_length = body.size_hint().exact().unwrap_or_default();
        self.traffic.set_awaits_memory(true);
        buffer.allocate(declared_length.min(max_bytes as u64) as usize).await;
        self.traffic.set_awaits_memory(false);
        while buffer.len() <= max_bytes {
            let frame = poll_fn(|cx| self.poll_frame(cx, &mut body)).await;
            let Some(frame) = frame else {
                return Ok(ReceivedResponse::Complete(Response::from_parts(head, buffer.freeze())));
            };
            // Trailers are dropped: they apply to this connection only.
            if let Ok(data) = frame?.into_data() {
                self.traffic.set_awaits_memory(true);
                buffer.append(&data).await;
                self.traffic.set_awaits_memory(false);
            }
        }
        Ok(ReceivedResponse::Partial(Response::from_parts(head, body), buffer.freeze()))
    }

    /// Polls the body of a response together with the protocol that reads it.
    pub fn poll_frame(
        &mut self,
        cx: &mut Context,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Frame<Bytes>, CallError>>> {
        self.poll_protocol(cx);
        match Pin::new(body).poll_frame(cx) {
            Poll::Pending if self.closed => Poll::Ready(Some(Err(CallError::Broken))),
            polled => polled.map(|frame| frame.map(|frame| frame.map_err(|_| CallError::Broken))),
        }
    }

    /// Sends a request and reads the head of its response. After an error the connection can't be used any more.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, CallError> {
        self.traffic.reset();
        let sending = self.sender.try_send_request(request);
        let response = self.drive(sending).await;
        let error = if self.traffic.has_sent() { CallError::Broken } else { CallError::NotSent };
        let response = response.and_then(Result::ok).ok_or(error)?;
        match has_valid_framing(&response) {
            true => Ok(response),
            false => Err(CallError::Broken),
        }
    }
}

/// Returns whether a response delimits its body in one way (RFC 9112, section 6.3). With two lengths a truncated body
/// could be treated as complete. Without a length the body ends with the connection, and how that ends tells a complete
/// body from a truncated one: after an orderly close the next read of the socket returns nothing, after a reset it
/// returns an error, which hyper passes on. Nothing else may read the socket or write to it in between, because the
/// system reports a reset only once.
fn has_valid_framing(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    !(headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING))
}
