//! A socket on which somebody listens in, and which can be read ahead of its protocol machine.

use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Who listens in.
pub trait Tap {
    /// These bytes came.
    fn read(&self, bytes: &[u8]);
    /// So many bytes were written, or none could be.
    fn wrote(&self, bytes: usize);
}

/// As many bytes are read ahead of the protocol machine. Guards memory.
pub const MAX_AHEAD: usize = 32 * 1024;
/// As much is read ahead at once.
const CHUNK: usize = 4096;

/// A socket with what was read from it ahead of its protocol machine, which gets that first.
pub struct Socket {
    stream: TcpStream,
    ahead: BytesMut,
}

impl Socket {
    /// A socket of which nothing was read ahead.
    pub fn new(stream: TcpStream) -> Socket {
        Socket { stream, ahead: BytesMut::new() }
    }

    /// The stream itself.
    pub fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }

    /// Reads ahead and is ready once the peer has closed or reset the connection. The protocol machine stops reading
    /// at bytes that it has no use for yet, so it would not notice. Behind `MAX_AHEAD` bytes this does not either.
    pub fn poll_closed(&mut self, cx: &mut Context) -> Poll<()> {
        while self.ahead.len() < MAX_AHEAD {
            let mut chunk = [0; CHUNK];
            let mut into = ReadBuf::new(&mut chunk);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) if into.filled().is_empty() => return Poll::Ready(()),
                Poll::Ready(Ok(())) => self.ahead.extend_from_slice(into.filled()),
            }
        }
        Poll::Pending
    }

    fn poll_read(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let length = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..length]);
        self.ahead.advance(length);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

/// A socket that is shared with who has use for it beside its protocol machine.
pub struct Tapped<T> {
    socket: Rc<RefCell<Socket>>,
    tap: T,
}

impl<T: Tap + Unpin> Tapped<T> {
    /// A socket on which this one listens in.
    pub fn new(socket: Rc<RefCell<Socket>>, tap: T) -> Tapped<T> {
        Tapped { socket, tap }
    }

    /// Polls the stream itself.
    fn with<R>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> R) -> R {
        poll(self.socket.borrow_mut().stream())
    }

    fn noted(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = done {
            self.tap.wrote(bytes);
        }
        done
    }
}

impl<T: Tap + Unpin> AsyncRead for Tapped<T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = self.socket.borrow_mut().poll_read(cx, buf);
        self.tap.read(&buf.filled()[before..]);
        done
    }
}

impl<T: Tap + Unpin> AsyncWrite for Tapped<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.noted(self.with(|stream| stream.poll_write(cx, buf)))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.noted(self.with(|stream| stream.poll_write_vectored(cx, bufs)))
    }
    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().stream.is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}
