//! Serves HTTP/1.1 on one client's connection, from its first request until it is closed.

use super::client_presence::client_left;
use super::connection::{ClientConnection, ConnectionTap};
use super::context::ServerContext;
use super::handler::handle;
use super::linger::linger;
use super::response::ResponseBody;
use crate::http::disable_nagle;
use crate::tapped::{PeerState, Socket, Tapped};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tracing::debug;

/// Maximum length of a request's head. Bounds memory for heads that never end.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How the HTTP exchange on a connection ended.
enum ExchangeEnd {
    /// The last response was sent, or an error response to a request that could not be parsed.
    Complete,
    /// The connection failed.
    Broken,
    /// The client disconnected before its response.
    ClientDisconnected,
    /// The gateway closes the connection immediately.
    Aborted,
}

/// The hyper future that drives a client's connection.
type Protocol<S> = http1::Connection<TokioIo<Tapped<ConnectionTap>>, S>;

/// Serves one connection until it is closed.
pub(super) async fn serve_connection(
    stream: TcpStream,
    connection: &Rc<ClientConnection>,
    context: Rc<ServerContext>,
) {
    disable_nagle(&stream);
    let socket = Rc::new(RefCell::new(Socket::new(stream, &context.memory)));
    let service = service_fn(|request| {
        let (context, connection, socket) = (context.clone(), connection.clone(), socket.clone());
        async move { Ok::<_, Infallible>(handle(request, &context, &connection, &socket).await) }
    });
    let io = TokioIo::new(Tapped::new(socket.clone(), ConnectionTap(connection.clone())));
    // This future lives until the socket is closed, because it may hold the end of a streamed response.
    let mut protocol = pin!(http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service));
    let end = exchange(protocol.as_mut(), &socket, connection).await;
    if !matches!(end, ExchangeEnd::Complete) && connection.must_reset() {
        socket.borrow_mut().reset_on_close();
    }
    if matches!(end, ExchangeEnd::Complete) && connection.has_response_bytes() {
        connection.lingering();
        linger(&socket, connection).await;
    }
}

/// Runs the HTTP exchange until it ends.
async fn exchange<S>(
    mut protocol: Pin<&mut Protocol<S>>,
    socket: &RefCell<Socket>,
    connection: &ClientConnection,
) -> ExchangeEnd
where
    S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
{
    let mut has_looked_again = false;
    loop {
        tokio::select! {
            biased;
            result = protocol.as_mut() => return exchange_end(result),
            state = client_left(socket, connection) => {
                if state == PeerState::Disconnected {
                    // The client no longer waits for a response: the request ends with the connection.
                    return ExchangeEnd::ClientDisconnected;
                }
                connection.client_unobservable();
            }
            () = connection.end_requested() => {
                if connection.must_end_now() {
                    let may_have_arrived = !connection.is_aborted() && !socket.borrow().has_no_unread_data();
                    if has_looked_again || !may_have_arrived {
                        return ExchangeEnd::Aborted;
                    }
                    // The rest of the request may have arrived, which the runtime sees in its next turn.
                    has_looked_again = true;
                    yield_now().await;
                    connection.abandon();
                    continue;
                }
                // hyper ignores a partial request on a connection that has had a response, and would close the
                // connection. Instead the request is answered with `Connection: close`.
                if !connection.has_partial_request() {
                    protocol.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn exchange_end(result: hyper::Result<()>) -> ExchangeEnd {
    match result {
        Ok(()) => ExchangeEnd::Complete,
        Err(error) => {
            debug!(%error, "client connection ended with an error");
            match error.is_parse() {
                true => ExchangeEnd::Complete,
                false => ExchangeEnd::Broken,
            }
        }
    }
}
