//! A socket whose traffic is observed, and which can be read ahead of its HTTP protocol implementation.

use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes the bytes that an HTTP connection reads and writes.
pub trait Tap {
    /// Called with the bytes that were read; empty if none were.
    fn bytes_read(&self, bytes: &[u8]);
    /// Called with the number of bytes that were written, which may be 0.
    fn bytes_written(&self, count: usize);
}

/// Reading ahead stops once at least this number of bytes is buffered. Bounds memory.
pub const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes read ahead by one read of the socket.
const READ_SIZE_BYTES: usize = 4096;

/// A socket, and the bytes read ahead from it, which the HTTP connection reads first.
pub struct Socket {
    stream: TcpStream,
    read_ahead: BytesMut,
}

impl Socket {
    /// Creates a socket from which nothing was read ahead.
    pub fn new(stream: TcpStream) -> Socket {
        Socket { stream, read_ahead: BytesMut::new() }
    }

    /// Returns the underlying stream.
    pub fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }

    /// Reads ahead, and is ready once the peer has closed or reset the connection. The HTTP connection would not notice
    /// this, because it stops reading at bytes that it can't use yet. A close after more than [`MAX_READ_AHEAD_BYTES`]
    /// unread bytes is not noticed here either.
    pub fn poll_closed(&mut self, cx: &mut Context) -> Poll<()> {
        while self.read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut bytes = [0; READ_SIZE_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(()),
                Poll::Ready(Ok(())) => self.read_ahead.extend_from_slice(buffer.filled()),
            }
        }
        Poll::Pending
    }

    fn poll_read(&mut self, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        }
        let length = self.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.read_ahead[..length]);
        self.read_ahead.advance(length);
        if self.read_ahead.is_empty() {
            // Frees the buffer's memory.
            self.read_ahead = BytesMut::new();
        }
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
