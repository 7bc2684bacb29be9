//! The connection interface that the pool's state depends on.

/// A connection that the pool's state can manage.
pub trait Poolable {
    /// Returns whether the connection can carry another request, by what the runtime has seen so far.
    fn is_usable(&mut self) -> bool;
    /// Returns whether the socket has no unread data, no close by the peer and no error.
    fn has_no_unread_data(&mut self) -> bool;
}
