//! Admission of client connections: who gets a connection slot, who may rest on it, and how long others wait for one.
//!
//! Every connection is accepted at once, since requests that wait in the accept queue get no answer in their time. A
//! connection that finds no slot, or no memory, waits for a short time and is refused then, or as soon as more connections
//! wait than there are descriptors for. The last slots are kept free of connections that rest between requests: who has one
//! of these is served and closed after the response, unless another slot is free by then.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

use super::connection::{MAX_LINGER_BYTES, SlotView};
use crate::memory::{Account, Budget, Kind, Permit};

/// Memory of a connection: its task, and the parser's first blocks for reading and writing.
const CONNECTION_BYTES: usize = 20 * 1024;
/// One in this many slots is kept free of resting connections.
const TRANSIENT_SLOT_DIVISOR: usize = 8;
/// One in this many connections may wait for a slot.
const WAITING_CONNECTION_DIVISOR: usize = 16;
/// How long a connection waits for a slot. Clients have sent a request by then, and get their answer in time.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// A connection is silent if its client has sent nothing for this long after the accept.
const SILENCE: Duration = Duration::from_millis(10);
/// The answer to a request for which there was no slot. Nothing of it was forwarded.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: text/plain\r\n\
    Content-Length: 45\r\n\r\nno connection slot or memory; safe to retry\r\n";
const REFUSAL_CHUNK_BYTES: usize = 4 * 1024;

/// Admits connections. Clones share the slots.
#[derive(Clone)]
pub struct Admission {
    slots: Arc<Semaphore>,
    /// The slots on which connections may rest.
    resting_slots: Arc<Semaphore>,
    descriptors: Arc<Semaphore>,
    waiters: Rc<RefCell<Vec<Rc<Waiter>>>>,
    max_waiters: usize,
    /// How many slots are free at most while they count as scarce.
    scarce_threshold: usize,
    account: Account,
    budget: Budget,
}

/// A connection that waits for a slot.
struct Waiter {
    since: Instant,
    /// Whether its client has sent anything.
    has_input: Cell<bool>,
    displaced: Notify,
}

impl Waiter {
    fn new() -> Self {
        Self { since: Instant::now(), has_input: Cell::default(), displaced: Notify::new() }
    }

    fn is_silent(&self) -> bool {
        !self.has_input.get() && self.since.elapsed() >= SILENCE
    }
}

/// A place among the connections that wait for a slot, given up when dropped.
pub struct WaitingPlace {
    admission: Admission,
    waiter: Rc<Waiter>,
}

/// The slot and the memory of a connection that is served.
pub struct ConnectionSlot {
    admission: Admission,
    _slot: OwnedSemaphorePermit,
    _memory: Permit,
    resting_slot: RefCell<Option<OwnedSemaphorePermit>>,
}

impl Admission {
    /// Shares out `max_connections` descriptors, and the memory that the budget has for connections.
    pub fn new(max_connections: usize, budget: &Budget) -> Self {
        let max_waiters = (max_connections / WAITING_CONNECTION_DIVISOR).max(1);
        // One more connection is open while it displaces another one.
        let slots_by_descriptors = max_connections.saturating_sub(max_waiters + 1);
        let slots_by_memory = Kind::ClientConnection.own_limit(budget.capacity()) / CONNECTION_BYTES;
        let slots = slots_by_descriptors.min(slots_by_memory).max(1);
        let transient_slots = slots / TRANSIENT_SLOT_DIVISOR;
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            resting_slots: Arc::new(Semaphore::new(slots - transient_slots)),
            descriptors: Arc::new(Semaphore::new(max_connections)),
            waiters: Rc::default(),
            max_waiters,
            scarce_threshold: transient_slots,
            account: budget.account(),
            budget: budget.clone(),
        }
    }

    /// A slot, if there is one and nobody waits for it.
    pub fn try_admit(&self) -> Option<ConnectionSlot> {
        let slot = self.slots.clone().try_acquire_owned().ok()?;
        let memory = self.account.try_acquire(Kind::ClientConnection, CONNECTION_BYTES)?;
        Some(self.connection_slot(slot, memory))
    }

    /// A descriptor for the next connection, to be held until that is closed.
    pub async fn descriptor(&self) -> Option<OwnedSemaphorePermit> {
        self.descriptors.clone().acquire_owned().await.ok()
    }

    /// A place to wait for a slot in. If all are taken, a connection whose client has sent nothing is displaced, or else the
    /// one that has waited for longest. Returns whether one was.
    pub fn wait(&self) -> (WaitingPlace, bool) {
        let waiter = Rc::new(Waiter::new());
        let mut waiters = self.waiters.borrow_mut();
        let displaces = waiters.len() >= self.max_waiters;
        if displaces {
            let silent = waiters.iter().position(|waiter| waiter.is_silent());
            waiters.remove(silent.unwrap_or(0)).displaced.notify_one();
        }
        waiters.push(waiter.clone());
        (WaitingPlace { admission: self.clone(), waiter }, displaces)
    }

    /// Whether slots or the memory for connections are scarce.
    pub fn is_scarce(&self) -> bool {
        self.slots.available_permits() <= self.scarce_threshold
            || self.budget.available(Kind::ClientConnection) < CONNECTION_BYTES
    }

    async fn next_slot(&self) -> Option<ConnectionSlot> {
        let slot = self.slots.clone().acquire_owned().await.ok()?;
        let memory = self.account.acquire(Kind::ClientConnection, CONNECTION_BYTES).await;
        Some(self.connection_slot(slot, memory))
    }

    fn connection_slot(&self, slot: OwnedSemaphorePermit, memory: Permit) -> ConnectionSlot {
        let resting_slot = self.resting_slots.clone().try_acquire_owned().ok();
        ConnectionSlot {
            admission: self.clone(),
            _slot: slot,
            _memory: memory,
            resting_slot: RefCell::new(resting_slot),
        }
    }
}

impl WaitingPlace {
    /// Waits for a slot, in turn; none if there was none in time, or the client has gone.
    pub async fn slot(&self, stream: &TcpStream) -> Option<ConnectionSlot> {
        let client_has_gone = async {
            if matches!(stream.peek(&mut [0; 1]).await, Ok(1..)) {
                self.waiter.has_input.set(true);
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            slot = self.admission.next_slot() => slot,
            () = self.waiter.displaced.notified() => None,
            () = sleep(MAX_WAIT) => None,
            () = client_has_gone => None,
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.admission.waiters.borrow_mut().retain(|waiter| !Rc::ptr_eq(waiter, &self.waiter));
    }
}

impl SlotView for ConnectionSlot {
    fn may_rest(&self) -> bool {
        let mut resting_slot = self.resting_slot.borrow_mut();
        if resting_slot.is_none() {
            *resting_slot = self.admission.resting_slots.clone().try_acquire_owned().ok();
        }
        resting_slot.is_some()
    }

    fn is_scarce(&self) -> bool {
        self.admission.is_scarce()
    }
}

/// Refuses a connection that got no slot: answers what its client has sent by now, and closes it.
pub fn refuse(stream: TcpStream) {
    // Without input no request is owed an answer.
    if discard_input(&stream) == 0 {
        return;
    }
    let _ = stream.try_write(REFUSAL);
    discard_input(&stream);
}

/// Reads and discards what has arrived, so that the close does not reset the connection. Returns how many bytes that were.
fn discard_input(stream: &TcpStream) -> usize {
    let mut discarded_bytes = 0;
    let mut chunk = [0; REFUSAL_CHUNK_BYTES];
    while discarded_bytes < MAX_LINGER_BYTES {
        match stream.try_read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => discarded_bytes += count,
        }
    }
    discarded_bytes
}

#[cfg(test)]
mod tests;
