//! The client-facing server: accepts connections, answers their requests, and closes them on a graceful shutdown.
//!
//! | module | job |
//! | --- | --- |
//! | `table` | the open connections: limits, timeouts and eviction |
//! | `connection` | the state machine of one connection |
//! | `http_connection`, `linger` | HTTP/1.1 on one connection, and its lingering close |
//! | `handler`, `request_head`, `submit`, `response` | a request: validated, submitted to the driver, answered |
//! | `request_memory` | the memory of a request's head |
//! | `client_presence` | whether the client of an open request is still connected |
//! | `transfer`, `transfer_progress` | streamed responses and uploads in progress |
//! | `shutdown` | the timing of a graceful shutdown |

mod client_presence;
mod connection;
mod context;
mod error;
mod handler;
mod http_connection;
mod linger;
mod request_head;
mod request_memory;
mod response;
mod shutdown;
mod submit;
mod table;
mod transfer;
mod transfer_progress;

pub use context::{KnownClass, ServerContext, ServerParams};

use crate::memory::Reservation;
use connection::ClientConnection;
use http_connection::serve_connection;
use shutdown::{ACCEPT_AFTER_SIGTERM, LAST_RESPONSES_TIMEOUT};
use std::rc::Rc;
use std::time::Duration;
use table::{ConnectionTable, SWEEP_INTERVAL};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant};
use tracing::warn;

/// Delay after a failed accept. While file descriptors are exhausted, accept fails immediately.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves clients until SIGTERM, then answers the accepted requests and returns.
pub async fn serve(listener: TcpListener, context: Rc<ServerContext>) {
    let table = Rc::new(ConnectionTable::new(context.max_connections, context.streams.clone()));
    let mut accepted = None;
    let stopped_at = accept_until_stopped(listener, &mut accepted, &context, &table).await;
    table.close_all();
    finish_responses(stopped_at, &context, &table).await;
}

/// Accepts connections until shortly after SIGTERM, and returns the time of SIGTERM. `accepted` holds the one
/// connection that waits for a slot; no further connection is accepted meanwhile, which keeps the gateway within its
/// limit on file descriptors.
async fn accept_until_stopped(
    listener: TcpListener,
    accepted: &mut Option<TcpStream>,
    context: &Rc<ServerContext>,
    table: &Rc<ConnectionTable>,
) -> Instant {
    let mut stopping = context.stopping.clone();
    let mut stopped_at: Option<Instant> = None;
    let mut sweep = interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            biased;
            memory = table.wait_for_slot(&context.memory), if accepted.is_some() => {
                if let Some(stream) = accepted.take() {
                    spawn_connection(stream, memory, context.clone(), table.clone());
                }
            }
            stream = accept(&listener), if accepted.is_none() => *accepted = Some(stream),
            _ = sweep.tick() => table.sweep(),
            Ok(_) = stopping.wait_for(|stopping| *stopping), if stopped_at.is_none() => {
                stopped_at = Some(Instant::now());
                // New connections are still accepted, so that a client whose request crosses the close of its
                // connection can retry on a new one.
                table.close_all_but_receiving();
            }
            stopped_at = accept_period_ended(stopped_at) => return stopped_at,
        }
    }
}

/// Completes with the time of SIGTERM when connections are no longer accepted; never completes without SIGTERM.
async fn accept_period_ended(stopped_at: Option<Instant>) -> Instant {
    match stopped_at {
        Some(stopped_at) => {
            sleep_until(stopped_at + ACCEPT_AFTER_SIGTERM).await;
            stopped_at
        }
        None => std::future::pending().await,
    }
}

/// Accepts the next connection, retrying after errors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(%error, "accept failed, retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(
    stream: TcpStream,
    memory: Reservation,
    context: Rc<ServerContext>,
    table: Rc<ConnectionTable>,
) {
    let connection = Rc::new(ClientConnection::new());
    let id = table.insert(connection.clone());
    tokio::task::spawn_local(async move {
        serve_connection(stream, &connection, context).await;
        drop(memory);
        table.remove(id);
    });
}

/// Waits for the responses to accepted requests, up to the time that the platform grants a stopping gateway.
async fn finish_responses(stopped_at: Instant, context: &ServerContext, table: &ConnectionTable) {
    let remaining = context.response_deadline.after_sigterm.saturating_sub(stopped_at.elapsed());
    if timeout(remaining, table.wait_until_empty()).await.is_ok() {
        return;
    }
    // The deadline of a class may exceed the time that a stopping gateway has left: its requests are answered as
    // failed.
    context.response_deadline.expire();
    if timeout(LAST_RESPONSES_TIMEOUT, table.wait_until_empty()).await.is_err() {
        warn!("shutdown timed out with connections still open");
    }
}

#[cfg(test)]
mod tests;
