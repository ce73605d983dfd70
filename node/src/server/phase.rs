//! The state of a graceful shutdown, which the listener and every client connection watch.

use tokio::time::Instant;

/// A stage of the node's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// In service.
    Serving,
    /// Connections and requests are still accepted, and each response closes its connection.
    Draining,
    /// Idle connections are closed. Connections and requests are still accepted: a client may already be sending one.
    Closing {
        /// When the response to a new request is due at the latest: the process may be killed after it.
        response_deadline: Instant,
    },
}

impl ShutdownPhase {
    /// Whether idle connections are closed.
    pub fn is_closing(&self) -> bool {
        matches!(self, Self::Closing { .. })
    }
}
