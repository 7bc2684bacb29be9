//! Divides the limit on open descriptors among the kinds of connections, so that none can starve another.

/// Maximum connections to the counter, which resets further ones.
const MAX_COUNTER_CONNECTIONS: usize = 32;

/// The maximum number of connections of each kind.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends, unless the `pool` section sets another limit.
    pub backends: usize,
    /// The highest limit on connections to backends that the `pool` section may set.
    pub max_backends: usize,
    /// Connections to the counter.
    pub counter: usize,
}

impl SocketLimits {
    /// Divides `sockets` descriptors. The remainder, at least a sixteenth, is left for standard streams, the listener,
    /// epoll and discovery.
    pub(super) fn allocate(sockets: usize) -> SocketLimits {
        let clients = (sockets / 2).max(1);
        let counter = (sockets / 16).clamp(1, MAX_COUNTER_CONNECTIONS);
        let backends = (sockets / 4).max(1);
        let reserved = clients + counter + sockets / 16;
        let max_backends = sockets.saturating_sub(reserved).max(backends);
        SocketLimits { clients, backends, max_backends, counter }
    }
}
