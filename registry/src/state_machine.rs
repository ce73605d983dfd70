//! The replicated state: the list, and how far the log is in it. Commands are applied in the log's order on every replica;
//! watchers learn of each new version.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta, StorageIOError};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::list::{List, Rev};
use crate::raft::{Applied, LogId, Membership, Place, ReplicaId, StorageError, Types};
use crate::store::Store;

/// What every replica has after the same entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The list.
    pub list: List,
    /// The last entry that is in it.
    pub applied: Option<LogId>,
    /// Who the replicas are.
    pub membership: Membership,
}

/// The state as readers and watchers share it.
pub struct Shared {
    state: RwLock<State>,
    rev: watch::Sender<Rev>,
}

impl Shared {
    fn new(state: State) -> Self {
        let rev = watch::Sender::new(state.list.rev());
        Self { state: RwLock::new(state), rev }
    }

    /// The state as it is now. Not to be held while waiting.
    pub fn read(&self) -> RwLockReadGuard<'_, State> {
        // Whoever panicked with it only read, or had its change whole.
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of each new version.
    pub fn watch(&self) -> watch::Receiver<Rev> {
        self.rev.subscribe()
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let changed = change(&mut state);
        let rev = state.list.rev();
        drop(state);
        self.rev.send_if_modified(|known| std::mem::replace(known, rev) != rev);
        changed
    }
}

/// The state machine as the consensus library drives it.
pub struct Machine {
    shared: Arc<Shared>,
    store: Store,
}

impl Machine {
    /// The state as the last snapshot has it; what the log has beyond it comes from there.
    pub async fn open(store: Store) -> Result<Self, StorageError> {
        let snapshot = store.snapshot().await.map_err(|error| StorageIOError::read_snapshot(None, &error))?;
        let state = snapshot.map(|(_, state)| state).unwrap_or_default();
        Ok(Self { shared: Arc::new(Shared::new(state)), store })
    }

    /// The state, to be read.
    pub fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let state = self.shared.read();
        Ok((state.applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Vec<Applied>>, StorageError>
    where
        I: IntoIterator<Item = openraft::Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries = entries.into_iter();
        Ok(self.shared.change(|state| {
            let apply = |entry: openraft::Entry<Types>| {
                state.applied = Some(entry.log_id);
                match entry.payload {
                    EntryPayload::Blank => Vec::new(),
                    EntryPayload::Normal(commands) => {
                        let apply = |command| match state.list.apply(command) {
                            Ok(_) => Applied::Done(state.list.rev()),
                            Err(refused) => refused.into(),
                        };
                        commands.iter().map(apply).collect()
                    }
                    EntryPayload::Membership(membership) => {
                        state.membership = Membership::new(Some(entry.log_id), membership);
                        Vec::new()
                    }
                }
            };
            entries.map(apply).collect()
        }))
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { state: self.shared.read().clone(), store: self.store.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<State>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<ReplicaId, Place>,
        snapshot: Box<State>,
    ) -> Result<(), StorageError> {
        let kept = self.store.keep_snapshot(meta.clone(), *snapshot).await;
        let kept = kept.map_err(|error| StorageIOError::write_snapshot(Some(meta.signature()), &error))?;
        self.shared.change(|state| *state = kept);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let kept =
            self.store.snapshot().await.map_err(|error| StorageIOError::read_snapshot(None, &error))?;
        Ok(kept.map(|(meta, state)| Snapshot { meta, snapshot: Box::new(state) }))
    }
}

/// Writes a snapshot of the state as it was when this was made.
pub struct Builder {
    state: State,
    store: Store,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        let applied = self.state.applied;
        let meta = SnapshotMeta {
            last_log_id: applied,
            last_membership: self.state.membership.clone(),
            snapshot_id: applied
                .map_or_else(|| "empty".to_owned(), |id| format!("{}-{}", id.leader_id, id.index)),
        };
        let kept = self.store.keep_snapshot(meta.clone(), self.state.clone()).await;
        let kept = kept.map_err(|error| StorageIOError::write_snapshot(Some(meta.signature()), &error))?;
        Ok(Snapshot { meta, snapshot: Box::new(kept) })
    }
}
