//! A connection that is checked out for one request.

use super::id::IncarnationId;
use super::Pool;
use crate::http::Connection;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// A connection that is checked out for one request. Dropping it without [`PooledConnection::release`] closes the
/// connection.
pub struct PooledConnection {
    pool: Rc<Pool>,
    id: IncarnationId,
    address: SocketAddr,
    connection: Option<Connection>,
    reused: bool,
    used: bool,
}

impl PooledConnection {
    pub(super) fn new(
        pool: Rc<Pool>,
        id: IncarnationId,
        address: SocketAddr,
        connection: Connection,
        reused: bool,
    ) -> PooledConnection {
        PooledConnection { pool, id, address, connection: Some(connection), reused, used: false }
    }

    /// Returns whether the connection was idle in the pool before this checkout.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection, which counts as used from now on.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.used = true;
        self.connection.as_mut()
    }

    /// Releases the connection to the pool.
    pub fn release(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let serve_at = self.pool.state.borrow_mut().release(Instant::now(), self.id, connection, self.used);
        if let Some(serve_at) = serve_at {
            self.pool.serve_waiters_at(self.id, self.address, serve_at);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        // Frees the descriptor before another connection is dialled.
        drop(connection);
        let dial = self.pool.state.borrow_mut().connection_closed(Instant::now(), self.id);
        if dial {
            self.pool.dial(self.id, self.address);
        }
    }
}
