//! The open connections of callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::caller_connection::CallerConnection;

/// The open connections of callers, by the address that the HTTP server sees.
#[derive(Debug, Default)]
pub(super) struct CallerConnections {
    by_peer: Mutex<HashMap<SocketAddr, Arc<CallerConnection>>>,
}

impl CallerConnections {
    /// Adds the connection that the HTTP server sees as coming from `peer`.
    pub(super) fn open(&self, peer: SocketAddr) -> Arc<CallerConnection> {
        let connection = Arc::new(CallerConnection::default());
        let mut by_peer = self.by_peer.lock();
        by_peer.insert(peer, Arc::clone(&connection));
        connection
    }

    /// Removes a connection.
    pub(super) fn close(&self, peer: SocketAddr) {
        self.by_peer.lock().remove(&peer);
    }

    /// Finds the connection that the HTTP server sees as coming from `peer`.
    pub(super) fn find(&self, peer: SocketAddr) -> Option<Arc<CallerConnection>> {
        self.by_peer.lock().get(&peer).cloned()
    }
}
