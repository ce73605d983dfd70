//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.
//!
//! This file holds the listener's part. Beside it: `connection`, one connection up to its close; `handler`, one request;
//! `stream`, a client's socket; `phase`, how far a shutdown is.

mod connection;
mod handler;
mod phase;
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
use crate::os_error::is_of_one_connection;
use crate::upstream::without_delay;
pub use phase::ShutdownPhase;

/// So long after the last connection has ended another one may have been opened while the node drains.
const LAST_ONES: Duration = Duration::from_millis(100);
/// Wait before the next accept after one failed: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Slots are scarce once no more than one in this many is free.
const SCARCE: usize = 8;

/// How many connections are open.
#[derive(Default)]
struct Open {
    count: Cell<usize>,
    fewer: Notify,
}

/// Counts a connection for as long as it is open.
struct Counted(Rc<Open>);

impl Counted {
    fn new(open: &Rc<Open>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get().saturating_sub(1));
        self.0.fewer.notify_one();
    }
}

/// Serves until the phase is [`ShutdownPhase::Closing`] and all connections have ended. At most `most` are open.
pub async fn run(listener: TcpListener, node: Node, most: usize, phase: watch::Receiver<ShutdownPhase>) {
    let slots = Arc::new(Semaphore::new(most));
    let open = Rc::new(Open::default());
    let scarce = most / SCARCE;
    let accepting = async {
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slots = slots.clone();
                    let scarcity = move || slots.available_permits() <= scarce;
                    welcome(stream, &node, (slot, Counted::new(&open)), &phase, scarcity);
                }
                // Others wait in the queue behind it.
                Err(error) if is_of_one_connection(&error) => {
                    tracing::debug!(cause = %error, "a connection ended before it was accepted");
                    yield_now().await;
                }
                Err(error) => {
                    tracing::warn!(cause = %error, "accept failed");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    let mut phases = phase.clone();
    let all_ended = async {
        let _ = phases.wait_for(ShutdownPhase::is_closing).await;
        loop {
            // Whoever comes as the last one leaves is in the backlog by then.
            sleep(LAST_ONES).await;
            if open.count.get() == 0 {
                return;
            }
            open.fewer.notified().await;
        }
    };
    // The accept is polled first: what waits in the backlog is taken before the listener goes.
    tokio::select! {
        biased;
        () = accepting => {}
        () = all_ended => {}
    }
}

fn welcome<Held: 'static>(
    stream: TcpStream,
    node: &Node,
    held: Held,
    phase: &watch::Receiver<ShutdownPhase>,
    scarcity: impl Fn() -> bool + 'static,
) {
    let (node, phase) = (node.clone(), phase.clone());
    spawn_local(async move {
        let _held = held;
        without_delay(&stream);
        connection::serve(stream, node, phase, scarcity).await;
    });
}
