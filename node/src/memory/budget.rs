//! The budget of bytes: grants permits, queues requests for permits that do not fit, and keeps the accounts of their holders.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::eviction::Candidate;
use super::kind::Kind;

/// Waiters that have given up are removed from a queue that has grown to this length.
const PRUNE_QUEUE_LENGTH: usize = 1024;

/// What the holder of an account is doing, which decides whether it may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing that could be given up: it waits for a request, or a request may be running.
    Kept,
    /// It receives a request, of which nothing was forwarded yet.
    Receiving,
    /// Its client is to read a response.
    Responding,
}

/// The budget. Clones share it.
#[derive(Clone)]
pub struct Budget {
    shared: Arc<Shared>,
}

struct Shared {
    capacity: usize,
    state: Mutex<State>,
    /// Notified when a request for a permit is queued.
    shortage: Notify,
}

#[derive(Default)]
struct State {
    held: [usize; Kind::ALL.len()],
    total: usize,
    queues: [VecDeque<Waiter>; Kind::ALL.len()],
    /// Waiters in all queues.
    waiting: usize,
    accounts: HashMap<u64, Arc<AccountState>>,
    next_account: u64,
}

struct Waiter {
    account: Arc<AccountState>,
    bytes: usize,
    granted: oneshot::Sender<Permit>,
}

struct AccountState {
    id: u64,
    bytes: AtomicUsize,
    /// What the holder is doing, and since when.
    stage: Mutex<(Stage, Instant)>,
    evicted: AtomicBool,
    eviction: Notify,
}

impl AccountState {
    fn stage(&self) -> MutexGuard<'_, (Stage, Instant)> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn fits(&self, kind: Kind, bytes: usize, capacity: usize) -> bool {
        self.has_room(kind, bytes, capacity)
            && self.held[kind.index()].saturating_add(bytes) <= kind.own_limit(capacity)
    }

    /// Whether somebody waits for room in the budget with a permit of this kind, or of one that gives way later. Who waits
    /// for others of the same kind keeps no other kind from its room.
    fn is_queued(&mut self, kind: Kind, capacity: usize) -> bool {
        if self.waiting == 0 {
            return false;
        }
        Kind::ALL[kind.index()..].iter().any(|later| {
            let queue = &mut self.queues[later.index()];
            while queue.front().is_some_and(|waiter| waiter.granted.is_closed()) {
                queue.pop_front();
                self.waiting -= 1;
            }
            let first = self.queues[later.index()].front();
            first.is_some_and(|waiter| *later == kind || !self.has_room(*later, waiter.bytes, capacity))
        })
    }

    /// Whether the budget has room, whatever else is held of the kind.
    fn has_room(&self, kind: Kind, bytes: usize, capacity: usize) -> bool {
        self.total.saturating_add(bytes) <= kind.ceiling(capacity)
    }

    fn add(&mut self, account: &AccountState, kind: Kind, bytes: usize) {
        self.total += bytes;
        self.held[kind.index()] += bytes;
        account.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&mut self, account: &AccountState, kind: Kind, bytes: usize) {
        self.total -= bytes;
        self.held[kind.index()] -= bytes;
        account.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Takes the waiters whose permits fit now, those of the kinds that give way last first.
    fn take_grantable(&mut self, capacity: usize) -> Vec<(Kind, Waiter)> {
        let mut grantable = Vec::new();
        if self.waiting == 0 {
            return grantable;
        }
        for kind in Kind::ALL.into_iter().rev() {
            while let Some(waiter) = self.queues[kind.index()].pop_front() {
                self.waiting -= 1;
                if waiter.granted.is_closed() {
                    continue;
                }
                if !self.fits(kind, waiter.bytes, capacity) {
                    let lacks_room = !self.has_room(kind, waiter.bytes, capacity);
                    self.queues[kind.index()].push_front(waiter);
                    self.waiting += 1;
                    if lacks_room {
                        return grantable;
                    }
                    break;
                }
                self.add(&waiter.account, kind, waiter.bytes);
                grantable.push((kind, waiter));
            }
        }
        grantable
    }
}

impl Budget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let shared = Shared { capacity, state: Mutex::default(), shortage: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// A budget that grants everything.
    #[cfg(test)]
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an account.
    pub fn account(&self) -> Account {
        let mut state = self.state();
        let id = state.next_account;
        state.next_account += 1;
        let account = Arc::new(AccountState {
            id,
            bytes: AtomicUsize::new(0),
            stage: Mutex::new((Stage::Kept, Instant::now())),
            evicted: AtomicBool::new(false),
            eviction: Notify::new(),
        });
        state.accounts.insert(id, account.clone());
        Account { inner: Arc::new(AccountInner { budget: self.clone(), state: account }) }
    }

    /// Bytes that may be held in all.
    pub fn capacity(&self) -> usize {
        self.shared.capacity
    }

    /// Bytes held in all.
    pub fn total(&self) -> usize {
        self.state().total
    }

    /// Bytes held of each kind.
    pub fn held(&self) -> impl Iterator<Item = (Kind, usize)> {
        let held = self.state().held;
        Kind::ALL.into_iter().map(move |kind| (kind, held[kind.index()]))
    }

    /// Bytes of this kind that would be granted now.
    pub fn available(&self, kind: Kind) -> usize {
        let mut state = self.state();
        if state.is_queued(kind, self.shared.capacity) {
            return 0;
        }
        let capacity = self.shared.capacity;
        let room_of_kind = kind.own_limit(capacity).saturating_sub(state.held[kind.index()]);
        kind.ceiling(capacity).saturating_sub(state.total).min(room_of_kind)
    }

    /// Waits until a request for a permit is queued.
    pub(super) async fn shortage(&self) {
        self.shared.shortage.notified().await;
    }

    /// Bytes for which holders wait; none if nobody waits.
    pub(super) fn missing(&self) -> Option<usize> {
        let state = self.state();
        let waiting = state.queues.iter().flatten().filter(|waiter| !waiter.granted.is_closed());
        waiting.map(|waiter| waiter.bytes).reduce(usize::saturating_add)
    }

    /// Bytes for which holders wait that the budget has no room for, whatever is held of their kinds.
    pub(super) fn missing_room(&self) -> usize {
        let state = self.state();
        let mut missing = 0;
        for (kind, queue) in Kind::ALL.into_iter().zip(&state.queues) {
            let waiting = queue.iter().filter(|waiter| !waiter.granted.is_closed());
            let lacking = waiting.filter(|waiter| !state.has_room(kind, waiter.bytes, self.shared.capacity));
            missing += lacking.map(|waiter| waiter.bytes).sum::<usize>();
        }
        missing
    }

    /// The holders that may be evicted. Those evicted already are left out.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let state = self.state();
        let candidate = |account: &Arc<AccountState>| {
            let (stage, since) = *account.stage();
            let evictable = stage != Stage::Kept && !account.evicted.load(Ordering::Relaxed);
            evictable.then(|| Candidate {
                account: account.id,
                stage,
                bytes: account.bytes.load(Ordering::Relaxed),
                held_for: now.saturating_duration_since(since),
            })
        };
        state.accounts.values().filter_map(candidate).collect()
    }

    /// Tells holders to give up their bytes.
    pub(super) fn evict(&self, accounts: &[u64]) {
        let state = self.state();
        for account in accounts.iter().filter_map(|id| state.accounts.get(id)) {
            account.evicted.store(true, Ordering::Relaxed);
            account.eviction.notify_waiters();
        }
    }

    fn permit(&self, account: Arc<AccountState>, kind: Kind, bytes: usize) -> Permit {
        Permit { budget: self.clone(), account, kind, bytes }
    }

    /// Hands out permits to waiters after bytes were given back.
    fn grant_waiters(&self) {
        let grantable = self.state().take_grantable(self.shared.capacity);
        for (kind, waiter) in grantable {
            let Waiter { account, bytes, granted } = waiter;
            // A waiter that has just given up drops the permit, which gives its bytes back.
            let _ = granted.send(self.permit(account, kind, bytes));
        }
    }
}

/// The account of one holder of permits. Clones share it.
#[derive(Clone)]
pub struct Account {
    inner: Arc<AccountInner>,
}

struct AccountInner {
    budget: Budget,
    state: Arc<AccountState>,
}

impl Drop for AccountInner {
    fn drop(&mut self) {
        self.budget.state().accounts.remove(&self.state.id);
    }
}

impl Account {
    /// Grants a permit if it fits and nobody waits for one.
    pub fn try_acquire(&self, kind: Kind, bytes: usize) -> Option<Permit> {
        let budget = &self.inner.budget;
        let mut state = budget.state();
        if state.is_queued(kind, budget.shared.capacity) || !state.fits(kind, bytes, budget.shared.capacity) {
            return None;
        }
        state.add(&self.inner.state, kind, bytes);
        drop(state);
        Some(budget.permit(self.inner.state.clone(), kind, bytes))
    }

    /// Waits until a permit fits. Permits of a kind are granted in order.
    pub async fn acquire(&self, kind: Kind, bytes: usize) -> Permit {
        if let Some(permit) = self.try_acquire(kind, bytes) {
            return permit;
        }
        let (granted, permit) = oneshot::channel();
        let budget = &self.inner.budget;
        {
            let mut state = budget.state();
            let queue = &mut state.queues[kind.index()];
            let length = queue.len();
            if length >= PRUNE_QUEUE_LENGTH {
                queue.retain(|waiter| !waiter.granted.is_closed());
            }
            let pruned = length - queue.len();
            queue.push_back(Waiter { account: self.inner.state.clone(), bytes, granted });
            state.waiting = state.waiting - pruned + 1;
        }
        budget.shared.shortage.notify_one();
        match permit.await {
            Ok(permit) => permit,
            // Waiters are removed from the queue only when granted or when this future was dropped.
            Err(_) => std::future::pending().await,
        }
    }

    /// Takes a permit even if it does not fit, for bytes that are held already.
    pub fn hold(&self, kind: Kind, bytes: usize) -> Permit {
        self.inner.budget.state().add(&self.inner.state, kind, bytes);
        self.inner.budget.permit(self.inner.state.clone(), kind, bytes)
    }

    /// Records what the holder is doing. The time for which it holds its bytes counts from a change.
    pub fn set_stage(&self, stage: Stage) {
        let mut current = self.inner.state.stage();
        if current.0 != stage {
            *current = (stage, Instant::now());
        }
    }

    /// Whether the holder has to give up its bytes.
    pub fn is_evicted(&self) -> bool {
        self.inner.state.evicted.load(Ordering::Relaxed)
    }

    /// Resolves once the holder has to give up its bytes.
    pub async fn evicted(&self) {
        loop {
            let mut notified = std::pin::pin!(self.inner.state.eviction.notified());
            notified.as_mut().enable();
            if self.is_evicted() {
                return;
            }
            notified.await;
        }
    }
}

/// The right to hold bytes, given back when dropped.
pub struct Permit {
    budget: Budget,
    account: Arc<AccountState>,
    kind: Kind,
    bytes: usize,
}

impl Permit {
    /// Bytes that may be held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of a permit of the same account and kind.
    pub fn merge(&mut self, mut other: Permit) {
        debug_assert!(self.kind == other.kind && self.account.id == other.account.id);
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Gives back what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus > 0 {
            self.bytes = bytes;
            self.give_back(surplus);
        }
    }

    /// Holds exactly `bytes`, even if more do not fit.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.state().add(&self.account, self.kind, bytes - self.bytes);
            self.bytes = bytes;
        } else {
            self.shrink_to(bytes);
        }
    }

    fn give_back(&self, bytes: usize) {
        let mut state = self.budget.state();
        state.remove(&self.account, self.kind, bytes);
        let somebody_waits = state.waiting > 0;
        drop(state);
        if somebody_waits {
            self.budget.grant_waiters();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.give_back(self.bytes);
        }
    }
}
