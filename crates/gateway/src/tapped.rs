//! A socket on which somebody listens in.

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

/// A socket that is shared with who has use for it beside its protocol machine.
pub struct Tapped<T> {
    stream: Rc<RefCell<TcpStream>>,
    tap: T,
}

impl<T: Tap + Unpin> Tapped<T> {
    /// A socket on which this one listens in.
    pub fn new(stream: Rc<RefCell<TcpStream>>, tap: T) -> Tapped<T> {
        Tapped { stream, tap }
    }

    /// Polls the stream itself.
    fn with<R>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> R) -> R {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
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
        let done = self.with(|stream| stream.poll_read(cx, buf));
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
        self.stream.borrow().is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}
