//! The replicated state machine: the instance list and the log position up to which it is applied. Watchers are
//! notified of each new revision.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta, StorageIOError};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::list::{List, Rev};
use crate::raft::{Applied, LogId, Membership, Place, ReplicaId, StorageError, Types};
use crate::store::Store;

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RegistryState {
    /// The instance list.
    pub list: List,
    /// The last log entry that is applied.
    pub applied: Option<LogId>,
    /// The current membership.
    pub membership: Membership,
}

/// The state as shared by the state machine, readers and watchers.
pub struct SharedState {
    state: RwLock<RegistryState>,
    rev: watch::Sender<Rev>,
}

impl SharedState {
    /// Creates the state of a replica that has applied nothing yet.
    pub fn empty() -> Self {
        Self { state: RwLock::default(), rev: watch::Sender::new(0) }
    }

    /// Returns a read guard of the current state, which must not be held across an await point.
    pub fn read(&self) -> RwLockReadGuard<'_, RegistryState> {
        // A poisoned lock is usable: no panic can leave the state partly modified.
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn watch(&self) -> watch::Receiver<Rev> {
        self.rev.subscribe()
    }

    fn modify<T>(&self, modify: impl FnOnce(&mut RegistryState) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let result = modify(&mut state);
        let rev = state.list.rev();
        drop(state);
        self.rev.send_if_modified(|known| std::mem::replace(known, rev) != rev);
        result
    }
}

/// The state machine that openraft applies entries to.
pub struct StateMachine {
    shared: Arc<SharedState>,
    /// The state that is being rebuilt from the store, while the shared state is ahead of it. Readers and watchers keep
    /// the shared state until then, so that no revision decreases.
    rebuilding: Option<RegistryState>,
    store: Store,
}

impl StateMachine {
    /// Opens the state machine at the last snapshot. Later entries are applied again from the log. The state is shared
    /// once it is as recent as the one that is shared already.
    pub async fn open(store: Store, shared: Arc<SharedState>) -> Result<Self, StorageError> {
        let snapshot = store.snapshot().await.map_err(|error| StorageIOError::read_snapshot(None, &error))?;
        let state = snapshot.map(|(_, state)| state).unwrap_or_default();
        let mut state_machine = Self { shared, rebuilding: Some(state), store };
        state_machine.share_if_recent();
        Ok(state_machine)
    }

    fn share_if_recent(&mut self) {
        let shared_position = self.shared.read().applied;
        if let Some(state) = self.rebuilding.take_if(|state| state.applied >= shared_position) {
            self.shared.modify(|shared| *shared = state);
        }
    }

    fn modify<T>(&mut self, modify: impl FnOnce(&mut RegistryState) -> T) -> T {
        let Some(state) = &mut self.rebuilding else { return self.shared.modify(modify) };
        let result = modify(state);
        self.share_if_recent();
        result
    }

    fn read<T>(&self, read: impl FnOnce(&RegistryState) -> T) -> T {
        match &self.rebuilding {
            Some(state) => read(state),
            None => read(&self.shared.read()),
        }
    }
}

impl RaftStateMachine<Types> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        Ok(self.read(|state| (state.applied, state.membership.clone())))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Vec<Applied>>, StorageError>
    where
        I: IntoIterator<Item = openraft::Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries = entries.into_iter();
        Ok(self.modify(|state| {
            let apply = |entry: openraft::Entry<Types>| {
                state.applied = Some(entry.log_id);
                match entry.payload {
                    EntryPayload::Blank => Vec::new(),
                    EntryPayload::Normal(commands) => {
                        let apply = |command| match state.list.apply(command) {
                            Ok(_) => Applied::Done(state.list.rev()),
                            Err(error) => error.into(),
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

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        SnapshotBuilder { state: self.read(RegistryState::clone), store: self.store.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<RegistryState>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<ReplicaId, Place>,
        snapshot: Box<RegistryState>,
    ) -> Result<(), StorageError> {
        let stored = self.store.save_snapshot(meta.clone(), *snapshot).await;
        let stored =
            stored.map_err(|error| StorageIOError::write_snapshot(Some(meta.signature()), &error))?;
        self.modify(|state| *state = stored);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let stored =
            self.store.snapshot().await.map_err(|error| StorageIOError::read_snapshot(None, &error))?;
        Ok(stored.map(|(meta, state)| Snapshot { meta, snapshot: Box::new(state) }))
    }
}

/// Writes a snapshot of the state at the time of this builder's creation.
pub struct SnapshotBuilder {
    state: RegistryState,
    store: Store,
}

impl RaftSnapshotBuilder<Types> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        let applied = self.state.applied;
        let meta = SnapshotMeta {
            last_log_id: applied,
            last_membership: self.state.membership.clone(),
            snapshot_id: applied
                .map_or_else(|| "empty".to_owned(), |id| format!("{}-{}", id.leader_id, id.index)),
        };
        let stored = self.store.save_snapshot(meta.clone(), self.state.clone()).await;
        let stored =
            stored.map_err(|error| StorageIOError::write_snapshot(Some(meta.signature()), &error))?;
        Ok(Snapshot { meta, snapshot: Box::new(stored) })
    }
}
