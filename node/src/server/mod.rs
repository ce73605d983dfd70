//! The HTTP server for clients.
//!
//! This module accepts connections. Its submodules: `connection` serves one connection until it is closed, `handler`
//! handles one request, `body` receives its body, `head_memory` holds the memory for heads, `stream` wraps a client's
//! socket, `read_ahead` stores what was read from it ahead of the parser, `phase` holds the state of a graceful shutdown.

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
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use crate::driver::Node;
use crate::memory::{Budget, Kind};
use crate::os_error::is_per_connection;
use crate::upstream::set_nodelay;
pub use phase::ShutdownPhase;
use read_ahead::ReadAheadReserve;

/// How long the node goes on accepting after the last connection was closed during a shutdown.
const LATE_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Delay before the next accept after one failed: without free file descriptors it would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connection slots are scarce once at most one in this many is free.
const SCARCE_SLOT_DIVISOR: usize = 8;
/// Memory of a connection: its task, and the parser's first blocks for reading and writing.
const CONNECTION_BYTES: usize = 20 * 1024;

/// The number of open connections.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    closed: Notify,
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<OpenConnections>);

impl ConnectionGuard {
    fn new(connections: &Rc<OpenConnections>) -> Self {
        connections.count.set(connections.count.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get().saturating_sub(1));
        self.0.closed.notify_one();
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
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let connections = Rc::new(OpenConnections::default());
    let account = budget.account();
    let reserve = ReadAheadReserve::new(limits.read_ahead_reserve_bytes, budget);
    let scarce_threshold = limits.max_connections / SCARCE_SLOT_DIVISOR;
    let accept_loop = async {
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let memory = account.acquire(Kind::ClientConnection, CONNECTION_BYTES).await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (slots, budget) = (slots.clone(), reserve.budget().clone());
                    let slots_scarce = move || {
                        slots.available_permits() <= scarce_threshold
                            || budget.available(Kind::ClientConnection) < CONNECTION_BYTES
                    };
                    spawn_connection(
                        stream,
                        &node,
                        (slot, memory, ConnectionGuard::new(&connections)),
                        &phase,
                        &reserve,
                        slots_scarce,
                    );
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

fn spawn_connection<Guard: 'static>(
    stream: TcpStream,
    node: &Node,
    guard: Guard,
    phase: &watch::Receiver<ShutdownPhase>,
    reserve: &ReadAheadReserve,
    slots_scarce: impl Fn() -> bool + 'static,
) {
    let (node, phase, reserve) = (node.clone(), phase.clone(), reserve.clone());
    spawn_local(async move {
        let _guard = guard;
        set_nodelay(&stream);
        connection::serve(stream, node, phase, reserve, slots_scarce).await;
    });
}
