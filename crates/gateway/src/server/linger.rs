//! The lingering close of a client's connection (RFC 9112, section 9.6): its writing side is closed first, and what
//! the client still sends is read and discarded. Closing a socket with unread bytes causes a TCP reset, which could
//! discard the last response before the client has read it.

use super::connection::ClientConnection;
use crate::tapped::Socket;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead as _, AsyncWrite as _, ReadBuf};
use tokio::time::timeout;

/// Maximum duration of a lingering close.
pub(super) const MAX_LINGER: Duration = Duration::from_secs(2);
/// Maximum number of bytes read during a lingering close.
const MAX_LINGER_BYTES: usize = 256 * 1024;
const READ_SIZE_BYTES: usize = 4096;

/// Performs a lingering close, until the client closes its side, a limit is reached, or the connection is aborted.
pub(super) async fn linger(socket: &RefCell<Socket>, connection: &ClientConnection) {
    socket.borrow_mut().discard_read_ahead();
    let close = async {
        // After a request that could not be parsed, the writing side is still open.
        poll_fn(|cx| socket.borrow_mut().stream().poll_shutdown(cx)).await?;
        drain(socket).await
    };
    tokio::select! {
        () = connection.until_aborted() => {}
        // The result does not matter, because the socket is closed next.
        _ = timeout(MAX_LINGER, close) => {}
    }
}

/// Reads and discards bytes until the client closes its side or the limit is reached.
async fn drain(socket: &RefCell<Socket>) -> io::Result<()> {
    let mut bytes = [0; READ_SIZE_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 {
        let mut buffer = ReadBuf::new(&mut bytes);
        poll_fn(|cx| socket.borrow_mut().stream().poll_read(cx, &mut buffer)).await?;
        match buffer.filled().len() {
            0 => return Ok(()),
            read => remaining = remaining.saturating_sub(read),
        }
    }
    Ok(())
}
