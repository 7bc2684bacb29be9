//! A blocking HTTP client for the admin address of a running gateway.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// The timeout of the connect and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
/// A longer response is cut off at this length.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Why a request to a gateway's admin address has no usable response.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The connection could not be opened, or it failed.
    #[error("{address}: the admin request failed: {source}")]
    Io {
        /// The admin address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The response has no blank line after its head.
    #[error("{0}: expected an HTTP response, found an incomplete head")]
    Truncated(SocketAddr),
    /// The first line of the response has no status code.
    #[error("{address}: expected an HTTP status line, found {line}")]
    InvalidStatusLine {
        /// The admin address.
        address: SocketAddr,
        /// The first line of the response.
        line: String,
    },
    /// The gateway does not serve the path.
    #[error("{address}: {path} not found; is its section configured?")]
    NotFound {
        /// The admin address.
        address: SocketAddr,
        /// The requested path.
        path: String,
    },
    /// The status of the response is not 200.
    #[error("{address}: expected status 200, found {status}")]
    Status {
        /// The admin address.
        address: SocketAddr,
        /// The status of the response.
        status: u16,
    },
    /// The body of the response is not JSON.
    #[error("{address}: expected a JSON response: {source}")]
    Json {
        /// The admin address.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Requests a path with GET and parses the response as JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, AdminError> {
    match call(address, "GET", path, "")? {
        (200, body) => serde_json::from_str(&body).map_err(|source| AdminError::Json { address, source }),
        (status, _) => Err(AdminError::Status { address, status }),
    }
}

/// Sends a request and returns the status and body of the response.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String), AdminError> {
    let response =
        exchange(address, method, path, body).map_err(|source| AdminError::Io { address, source })?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or(AdminError::Truncated(address))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    match status {
        Some(404) => Err(AdminError::NotFound { address, path: path.to_string() }),
        Some(status) => Ok((status, body.to_string())),
        None => {
            let line = head.lines().next().unwrap_or("nothing").to_string();
            Err(AdminError::InvalidStatusLine { address, line })
        }
    }
}

/// Sends a request on a connection of its own and returns the response, head included.
fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    Ok(response)
}
