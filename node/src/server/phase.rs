//! How far a shutdown is, which the listener and each connection heed.

use tokio::time::Instant;

/// How far the node's graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// In service.
    Serving,
    /// Takes all that comes; each answer ends its connection.
    Draining,
    /// Closes connections on which nothing is going on. What still comes is taken all the same: whoever has a
    /// connection goes on using it.
    Closing {
        /// What comes from now on is answered by then: the process may be killed.
        response_deadline: Instant,
    },
}

impl ShutdownPhase {
    /// Whether idle connections are closed.
    pub fn is_closing(&self) -> bool {
        matches!(self, Self::Closing { .. })
    }
}
