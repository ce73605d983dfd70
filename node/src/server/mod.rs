//! The HTTP server for clients.
//!
//! This module accepts connections. Its submodules: `admission` decides which get a slot, `connection` serves one connection
//! until it is closed, `handler` handles one request, `body` receives its body, `head_memory` holds the memory for heads,
//! `stream` wraps a client's socket, `read_ahead` stores what was read from it ahead of the parser, `phase` holds the state
//! of a graceful shutdown.

mod admission;
mod body;
mod connection;
mod handler;
mod head_memory;
mod phase;
mod read_ahead;
mod stream;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use crate::driver::Node;
use crate::memory::Budget;
use crate::os_error::is_per_connection;
use crate::upstream::set_nodelay;
use admission::{Admission, ConnectionSlot, refuse};
pub use phase::ShutdownPhase;
use read_ahead::ReadAheadReserve;

/// How long the node goes on accepting after the last connection was closed during a shutdown.
const LATE_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Delay before the next accept after one failed: without free file descriptors it would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Shortest time between two connections that displace others which wait for a slot: bounds the processor time that clients
/// cost which connect again at once.
const DISPLACEMENT_INTERVAL: Duration = Duration::from_millis(1);

/// The number of open connections.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    closed: Notify,
}

/// Counts a connection as open, and holds its descriptor, until dropped.
struct ConnectionGuard {
    connections: Rc<OpenConnections>,
    _descriptor: OwnedSemaphorePermit,
}

impl ConnectionGuard {
    fn new(connections: &Rc<OpenConnections>, descriptor: OwnedSemaphorePermit) -> Self {
        connections.count.set(connections.count.get() + 1);
        Self { connections: connections.clone(), _descriptor: descriptor }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.count.set(self.connections.count.get().saturating_sub(1));
        self.connections.closed.notify_one();
    }
}

/// Limits of all client connections together.
pub struct ServerLimits {
    /// Connections that are open at a time.
    pub max_connections: usize,
    /// Bytes that connections may read ahead of the parser beyond the allowance that each one has.
    pub read_ahead_reserve_bytes: usize,
}

/// Serves until the phase is [`ShutdownPhase::Closing`] and all connections are closed.
pub async fn run(
    listener: TcpListener,
    node: Node,
    limits: ServerLimits,
    budget: Budget,
    phase: watch::Receiver<ShutdownPhase>,
) {
    let connections = Rc::new(OpenConnections::default());
    let admission = Admission::new(limits.max_connections, &budget);
    let reserve = ReadAheadReserve::new(limits.read_ahead_reserve_bytes, budget);
    let accept_loop = async {
        loop {
            let Some(descriptor) = admission.descriptor().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let accepted = Accepted {
                        stream,
                        at: Instant::now(),
                        open: ConnectionGuard::new(&connections, descriptor),
                    };
                    if accepted.admit(&admission, &node, &phase, &reserve) {
                        sleep(DISPLACEMENT_INTERVAL).await;
                    }
                }
                // Only this connection is affected; the next accept may succeed.
                Err(error) if is_per_connection(&error) => {
                    tracing::debug!(cause = %error, "client connection failed before it was accepted");
                    yield_now().await;
                }
                Err(error) => {
                    tracing::warn!(cause = %error, "accept failed; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    let mut phases = phase.clone();
    let all_closed = async {
        let _ = phases.wait_for(ShutdownPhase::is_closing).await;
        loop {
            // A client that connected as the last connection closed is in the backlog by then.
            sleep(LATE_CONNECTION_GRACE).await;
            if connections.count.get() == 0 {
                return;
            }
            connections.closed.notified().await;
        }
    };
    // Polls the accept loop first, so that the backlog is drained before the listener is closed.
    tokio::select! {
        biased;
        () = accept_loop => {}
        () = all_closed => {}
    }
}

/// A connection that was accepted.
struct Accepted {
    stream: TcpStream,
    at: Instant,
    open: ConnectionGuard,
}

impl Accepted {
    /// Serves the connection in a task of its own, once it has a slot, or refuses it. Returns whether another connection that
    /// waited for a slot is refused in its place.
    fn admit(
        self,
        admission: &Admission,
        node: &Node,
        phase: &watch::Receiver<ShutdownPhase>,
        reserve: &ReadAheadReserve,
    ) -> bool {
        let (node, phase, reserve) = (node.clone(), phase.clone(), reserve.clone());
        if let Some(slot) = admission.try_admit() {
            spawn_local(self.serve(slot, node, phase, reserve));
            return false;
        }
        let (place, displaces) = admission.wait();
        spawn_local(async move {
            let slot = place.slot(&self.stream).await;
            drop(place);
            match slot {
                // A task of its own: a waiting connection has no memory for this one.
                Some(slot) => drop(spawn_local(self.serve(slot, node, phase, reserve))),
                None => {
                    tracing::debug!("connection refused: no slot or memory for it in time");
                    refuse(self.stream);
                }
            }
        });
        displaces
    }

    async fn serve(
        self,
        slot: ConnectionSlot,
        node: Node,
        phase: watch::Receiver<ShutdownPhase>,
        reserve: ReadAheadReserve,
    ) {
        let _open = self.open;
        set_nodelay(&self.stream);
        connection::serve(self.stream, self.at, node, phase, reserve, &slot).await;
    }
}
