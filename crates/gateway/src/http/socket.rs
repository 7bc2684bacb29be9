//! Socket options.

use tokio::net::TcpStream;
use tracing::debug;

/// Sets TCP_NODELAY, so that small writes are not delayed. A failure is only logged: without the option the connection
/// is slower, but still usable.
pub fn disable_nagle(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "failed to set TCP_NODELAY");
    }
}
