//! A socket whose traffic is observed, and which can be read ahead of its HTTP protocol implementation.

use crate::memory::MemoryAccount;
use crate::read_ahead::{ReadAheadBuffer, CHUNK_BYTES};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tracing::debug;

/// Observes the bytes that an HTTP connection reads and writes.
pub trait Tap {
    /// Called with the bytes that were read; empty if none were.
    fn bytes_read(&self, bytes: &[u8]);
    /// Called with the number of bytes that were written, which may be 0.
    fn bytes_written(&self, count: usize);
}

/// The size of the reads that [`Socket::set_small_reads`] avoids.
const SMALL_READ_BYTES: usize = 16 * 1024;

/// What the bytes that have arrived tell about the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The peer has not closed the connection: all that has arrived was read.
    Connected,
    /// The peer has closed or reset the connection.
    Disconnected,
    /// More has arrived than may be read ahead. A close by the peer would be behind it.
    Unknown,
}

/// A socket, and the bytes read ahead from it, which the HTTP connection reads first.
pub struct Socket {
    stream: TcpStream,
    read_ahead: ReadAheadBuffer,
    peer_closed: bool,
    /// Whether one read returns fewer than [`SMALL_READ_BYTES`]. hyper doubles its buffer after a read that fills it, and
    /// keeps the buffer for as long as the connection is open.
    small_reads: bool,
}

impl Socket {
    /// Creates a socket from which nothing was read ahead.
    pub fn new(stream: TcpStream, memory: &MemoryAccount) -> Socket {
        Socket { stream, read_ahead: ReadAheadBuffer::new(memory), peer_closed: false, small_reads: false }
    }

    /// Sets whether one read returns fewer than [`SMALL_READ_BYTES`], so that the buffer of the HTTP connection stays
    /// small.
    pub fn set_small_reads(&mut self, small_reads: bool) {
        self.small_reads = small_reads;
    }

    /// Returns the underlying stream.
    pub fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }

    /// Makes the close of the socket a reset, which discards what was not sent yet.
    pub fn reset_on_close(&mut self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            debug!(%error, "failed to set SO_LINGER");
        }
    }

    /// Returns whether the kernel holds no unread data, no error and no close by the peer. It may hold some that the
    /// runtime has not seen yet.
    pub fn has_no_unread_data(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let unread = SockRef::from(&self.stream).peek(&mut byte);
        unread.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the state of the peer. For this it reads ahead, until `limit` bytes are buffered. The HTTP connection
    /// would not notice a close, because it stops reading at bytes that it can't use yet.
    pub fn peer_state(&mut self, limit: usize) -> PeerState {
        let state = loop {
            if let Some(state) = self.read_ahead_once(limit) {
                break state;
            }
        };
        self.read_ahead.return_unused();
        state
    }

    /// Returns the state of the peer, or `None` if bytes were read, behind which there may be more.
    fn read_ahead_once(&mut self, limit: usize) -> Option<PeerState> {
        if self.peer_closed {
            return Some(PeerState::Disconnected);
        }
        let mut bytes = [0; CHUNK_BYTES];
        let room = self.read_ahead.reserve(CHUNK_BYTES, limit);
        if room == 0 {
            return Some(PeerState::Unknown);
        }
        match self.stream.try_read(&mut bytes[..room]) {
            Ok(count @ 1..) => {
                self.read_ahead.append(&bytes[..count]);
                None
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Some(PeerState::Connected),
            Ok(0) | Err(_) => {
                self.peer_closed = true;
                Some(PeerState::Disconnected)
            }
        }
    }

    /// Drops the bytes that were read ahead.
    pub fn discard_read_ahead(&mut self) {
        self.read_ahead.clear();
    }

    /// Reads ahead, and is ready once the peer is no longer known to be connected.
    pub fn poll_peer_left(&mut self, cx: &mut Context, limit: usize) -> Poll<PeerState> {
        loop {
            let state = self.peer_state(limit);
            if state != PeerState::Connected {
                return Poll::Ready(state);
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(PeerState::Disconnected);
            }
        }
    }

    fn poll_small_read(&mut self, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut bytes = [0; SMALL_READ_BYTES - 1];
        let mut read = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        buffer.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    fn poll_read(&mut self, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.small_reads && buffer.remaining() >= SMALL_READ_BYTES {
            return self.poll_small_read(cx, buffer);
        }
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        }
        self.read_ahead.read_into(buffer);
        Poll::Ready(Ok(()))
    }
}

/// The I/O object of an HTTP connection. It shares the socket with the code that owns the connection.
pub struct Tapped<T> {
    socket: Rc<RefCell<Socket>>,
    tap: T,
}

impl<T: Tap + Unpin> Tapped<T> {
    /// Creates an I/O object for this socket that reports its traffic to `tap`.
    pub fn new(socket: Rc<RefCell<Socket>>, tap: T) -> Tapped<T> {
        Tapped { socket, tap }
    }

    fn poll_stream<R>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> R) -> R {
        poll(self.socket.borrow_mut().stream())
    }

    fn report_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = written {
            self.tap.bytes_written(count);
        }
        written
    }
}

impl<T: Tap + Unpin> AsyncRead for Tapped<T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = self.socket.borrow_mut().poll_read(cx, buffer);
        self.tap.bytes_read(&buffer.filled()[filled_before..]);
        result
    }
}

impl<T: Tap + Unpin> AsyncWrite for Tapped<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.report_written(self.poll_stream(|stream| stream.poll_write(cx, bytes)))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.report_written(self.poll_stream(|stream| stream.poll_write_vectored(cx, slices)))
    }
    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().stream.is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_flush(cx))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_shutdown(cx))
    }
}
