//! The Raft node of a replica and its recovery. A node whose store fails stops for good, so it is replaced by a new one
//! on the same store once writes to it succeed again. Until then the replica serves its list, takes no part in
//! elections or replication, and relays its clients' calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use openraft::{Config, ServerState, SnapshotPolicy};
use tokio::time::{Instant, sleep, timeout};

use super::{ApiError, Replica, StartError, lock};
use crate::peers::PeerPool;
use crate::raft::{Raft, RaftMetrics};
use crate::settings::Settings;
use crate::state_machine::{SharedState, StateMachine};
use crate::store::{Store, StoreError};

/// Interval between attempts to open a failed store again.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for opening a store and starting a Raft node on it.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for stopping a Raft node.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A Raft node with its store.
#[derive(Clone)]
pub(super) struct RaftNode {
    pub(super) raft: Raft,
    pub(super) store: Store,
}

/// Why the replica takes no part in replication, and since when.
#[derive(Clone, Debug)]
pub(super) struct StoreFailure {
    pub(super) error: String,
    pub(super) since: Instant,
}

impl std::fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = self.since.elapsed().as_secs();
        write!(
            formatter,
            "the store rejects writes after an error {seconds} s ago: {}; free space or check the disk",
            self.error
        )
    }
}

fn raft_config(settings: &Settings) -> Result<Arc<Config>, StartError> {
    let config = Config {
        cluster_name: settings.fleet.clone(),
        heartbeat_interval: settings.heartbeat_ms,
        election_timeout_min: settings.election_ms,
        election_timeout_max: 2 * settings.election_ms,
        install_snapshot_timeout: 10_000,
        max_payload_entries: 64,
        replication_lag_threshold: 2 * settings.snapshot_every,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
        max_in_snapshot_log_to_keep: settings.snapshot_every / 2,
        ..Config::default()
    };
    Ok(Arc::new(config.validate().map_err(|error| StartError::Raft(error.to_string()))?))
}

impl RaftNode {
    /// Starts a Raft node on a store. The list that `shared` serves is replaced once the node has applied as much of
    /// the log.
    pub(super) async fn start(
        settings: &Settings,
        store: Store,
        peers: PeerPool,
        shared: Arc<SharedState>,
    ) -> Result<Self, StartError> {
        let raft_error = |error: &dyn std::fmt::Display| StartError::Raft(error.to_string());
        let id = store.id()?;
        let state_machine =
            StateMachine::open(store.clone(), shared).await.map_err(|error| raft_error(&error))?;
        let raft = Raft::new(id, raft_config(settings)?, peers, store.clone(), state_machine).await;
        Ok(Self { raft: raft.map_err(|error| raft_error(&error))?, store })
    }

    /// Returns why the node has stopped, if it has.
    fn failure(&self) -> Option<String> {
        if let Some(error) = self.store.first_write_error() {
            return Some(error);
        }
        let metrics = self.raft.metrics();
        let running = metrics.borrow().running_state.clone();
        match running {
            Err(fatal) => Some(format!("Raft has stopped: {fatal}")),
            // The channel closes without an error if the node panicked.
            Ok(()) => metrics.has_changed().is_err().then(|| "Raft has stopped".to_owned()),
        }
    }
}

impl Replica {
    /// Returns the Raft node, for messages of other replicas. If it has stopped, its calls fail.
    pub fn raft(&self) -> Raft {
        lock(&self.node).raft.clone()
    }

    /// Returns the metrics of the Raft node. One that has stopped neither leads nor knows a leader.
    pub(super) fn raft_metrics(&self) -> RaftMetrics {
        let node = lock(&self.node).clone();
        let mut metrics = node.raft.metrics().borrow().clone();
        if node.failure().is_some() {
            metrics.state = ServerState::Shutdown;
            metrics.current_leader = None;
            metrics.replication = None;
        }
        metrics
    }

    /// Returns why the replica takes no part in replication, if so.
    pub(super) fn store_failure(&self) -> Option<StoreFailure> {
        if self.stopping.load(Ordering::Relaxed) {
            return None;
        }
        let error = lock(&self.node).failure();
        let mut failure = lock(&self.store_failure);
        if let (Some(error), None) = (error, failure.as_ref()) {
            tracing::error!(cause = error, "the store has failed: this replica takes no part in replication");
            *failure = Some(StoreFailure { error, since: Instant::now() });
        }
        failure.clone()
    }

    /// Returns the error for a call that needs the store, if that has failed.
    pub(super) fn check_store(&self) -> Result<(), ApiError> {
        self.store_failure().map_or(Ok(()), |failure| Err(ApiError::new(507, failure.to_string())))
    }

    /// Replaces the Raft node each time that it has stopped because its store failed.
    pub(super) async fn recover_store(self: Arc<Self>) {
        loop {
            let mut changes = self.raft().metrics();
            // The metrics change at least with each heartbeat, and end with the node.
            while self.store_failure().is_none() {
                let _ = timeout(RECOVERY_INTERVAL, changes.changed()).await;
            }
            self.stop_failed_node().await;
            while let Err(error) = self.try_restart().await {
                tracing::warn!(cause = %error, "the Raft node could not be restarted on the store");
                sleep(RECOVERY_INTERVAL).await;
            }
            let failure = lock(&self.store_failure).take();
            let failed_for_ms = failure.map(|failure| failure.since.elapsed().as_millis() as u64);
            tracing::info!(failed_for_ms, rev = self.rev(), "the store accepts writes again");
        }
    }

    async fn stop_failed_node(&self) {
        let node = lock(&self.node).clone();
        lock(&self.leadership).take();
        // The node may have stopped already.
        let _ = timeout(SHUTDOWN_TIMEOUT, node.raft.shutdown()).await;
        self.peers.set_suspended(false);
        node.store.close();
    }

    /// Restarts the node on a task of its own, so that a panic or a wait without end is one failed attempt.
    async fn try_restart(self: &Arc<Self>) -> Result<(), StartError> {
        let replica = self.clone();
        let mut restart = tokio::spawn(async move { replica.restart_node().await });
        match timeout(RESTART_TIMEOUT, &mut restart).await {
            Ok(Ok(result)) => result,
            Ok(Err(panic)) => Err(StartError::Raft(panic.to_string())),
            Err(_) => {
                restart.abort();
                Err(StartError::Raft(format!("the node did not start within {RESTART_TIMEOUT:?}")))
            }
        }
    }

    /// Opens the store again and starts a Raft node on what it contains.
    async fn restart_node(self: &Arc<Self>) -> Result<(), StartError> {
        let (directory, fleet, id) = (self.settings.data.clone(), self.settings.fleet.clone(), self.id);
        let opened = tokio::task::spawn_blocking(move || Store::reopen(&directory, &fleet, id)).await;
        let store = opened.unwrap_or(Err(StoreError::Cancelled))?;
        let started =
            RaftNode::start(&self.settings, store.clone(), self.peers.clone(), self.shared.clone()).await;
        let node = match started {
            Ok(node) => node,
            Err(error) => {
                store.close();
                return Err(error);
            }
        };
        *lock(&self.node) = node;
        self.spawn_node_tasks();
        Ok(())
    }

    /// Starts the tasks that end with the Raft node.
    pub(super) fn spawn_node_tasks(self: &Arc<Self>) {
        tokio::spawn(self.clone().randomize_election_delay());
        tokio::spawn(self.clone().gate_elections());
        tokio::spawn(self.clone().bootstrap());
    }
}
