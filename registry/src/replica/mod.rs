//! A replica of the registry: its Raft node, the replicated state, and the operations on them.
//!
//! - `consensus` replicates commands and confirms leadership.
//! - `leadership` keeps the leases while this replica is the leader.
//! - `forward` calls other replicas and forwards operations to the leader.
//! - `membership` adds, removes and replaces replicas, transfers leadership and bootstraps a new registry.
//! - `status` reports the state of the replica.

mod consensus;
mod forward;
mod leadership;
mod membership;
mod status;

use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use openraft::{Config, ServerState, SnapshotPolicy};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::leases::Leases;
use crate::list::{Command, Instance, Rev, revision_floor};
use crate::metrics::Metrics;
use crate::peers::PeerPool;
use crate::raft::{Applied, Place, Raft, ReplicaId};
use crate::response_cache::ResponseCache;
use crate::settings::Settings;
use crate::state_machine::{SharedState, StateMachine};
use crate::store::{Store, StoreError};
use crate::wire::{
    Backup, BackupPart, InstanceKey, Renewal, RenewalResponse, ReplicaChange, SuspectDecision,
};

/// Capacity of the queues of commands, confirmations and renewals.
const QUEUE_CAPACITY: usize = 4096;
/// Timeout of a confirmation of leadership, and of short calls to other replicas.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between confirmations of leadership, and between batches of forwarded renewals.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for a new replica to catch up, and for a membership change.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between attempts of an uninitialized replica to bootstrap or join a registry.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after which a client should retry a call that failed temporarily.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of instances in a renewal.
pub const MAX_RENEWALS_PER_CALL: usize = 10_000;
/// Maximum number of concurrent calls that are forwarded to the leader.
const MAX_FORWARDED_CALLS: usize = 64;

/// Path at which a replica accepts operations from other replicas.
pub const OPERATION_PATH: &str = "/peer/do";
/// Path that returns the identity of a replica.
pub const IDENTITY_PATH: &str = "/peer/who";
/// Path that makes a replica start an election.
pub const ELECT_PATH: &str = "/peer/elect";

/// Why an operation failed, as an HTTP error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// The error message.
    pub message: String,
    /// Delay after which a retry may succeed, if any.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Creates a permanent error.
    pub fn new(status: u16, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), retry_after: None }
    }

    /// Creates a temporary error (503).
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self { status: 503, message: message.into(), retry_after: Some(RETRY_AFTER) }
    }

    /// Creates an error (504) for an operation that may or may not have been applied.
    fn outcome_unknown(what: &str) -> Self {
        let message = format!("{what}: the outcome is unknown, retry");
        Self { status: 504, message, retry_after: Some(RETRY_AFTER) }
    }
}

/// An operation that the leader executes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Registers an instance.
    Register(Instance),
    /// Renews leases.
    Renew(Renewal),
    /// Starts draining an instance.
    Drain(InstanceKey),
    /// Removes an instance.
    Leave(InstanceKey),
    /// Resolves the suspects of a zone.
    Decide(SuspectDecision),
    /// Restores a part of a backup.
    Restore(BackupPart),
    /// Changes the replicas or the leader.
    Replicas(ReplicaChange),
    /// Returns the commit index after a confirmation of leadership.
    Confirm,
    /// Replaces a member that has lost its store and comes back with a new ID.
    Join {
        /// The new ID.
        id: ReplicaId,
        /// The addresses of the replica.
        place: Place,
    },
}

/// The identity of a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The name of the fleet.
    pub fleet: String,
    /// The ID of the replica.
    pub id: ReplicaId,
    /// The addresses of the replica.
    pub place: Place,
    /// Whether the replica is initialized as a member of a registry.
    pub begun: bool,
}

/// A confirmation of leadership by a quorum.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeadershipConfirmation {
    /// The commit index at the time of the request.
    index: Option<u64>,
    /// The term of the leader.
    term: u64,
}

/// The state that a leader keeps during its term.
struct Leadership {
    term: u64,
    leases: Leases,
}

type PendingConfirmation = oneshot::Sender<Result<LeadershipConfirmation, ApiError>>;
type PendingRenewal = (Renewal, oneshot::Sender<Result<RenewalResponse, ApiError>>);
type PendingWrite = (Command, oneshot::Sender<Result<Applied, ApiError>>);

/// Why a replica cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The store failed to open.
    #[error("store: {0}")]
    Store(#[from] StoreError),
    /// The Raft node failed to start.
    #[error("Raft: {0}")]
    Raft(String),
}

/// A replica of the registry.
pub struct Replica {
    settings: Settings,
    id: ReplicaId,
    raft: Raft,
    store: Store,
    shared: Arc<SharedState>,
    peers: PeerPool,
    /// Cached responses to watchers.
    pub response_cache: ResponseCache,
    /// The counters of the replica.
    pub metrics: Metrics,
    /// Number of watches that are waiting for a change.
    pub watches: AtomicUsize,
    /// Number of open client connections.
    pub connections: Arc<AtomicUsize>,
    /// Set while this replica is the leader and ready to execute operations.
    leadership: Mutex<Option<Leadership>>,
    /// The latest time at which the list is known to have been current.
    list_as_of: Mutex<Option<Instant>>,
    started_at: Instant,
    /// Whether leadership is being transferred to another replica.
    transferring: AtomicBool,
    confirmation_queue: mpsc::Sender<PendingConfirmation>,
    write_queue: mpsc::Sender<PendingWrite>,
    /// Renewals to be forwarded to the leader.
    renewal_queue: mpsc::Sender<PendingRenewal>,
    /// Limits the calls that are forwarded to the leader.
    forward_permits: Semaphore,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

impl Replica {
    /// Opens the store and starts the Raft node. The background tasks run until the runtime shuts down.
    pub async fn start(settings: Settings) -> Result<Arc<Self>, StartError> {
        // Below 2^53, so that every JSON parser represents it exactly.
        let new_id = (rand::random::<u64>() >> 11).max(1);
        let store = Store::open(&settings.data, &settings.fleet, new_id)?;
        let id = store.id()?;
        let raft_error = |error: &dyn std::fmt::Display| StartError::Raft(error.to_string());
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
        let config = Arc::new(config.validate().map_err(|error| raft_error(&error))?);
        let peers = PeerPool::new(&settings.fleet, settings.via.clone());
        let state_machine = StateMachine::open(store.clone()).await.map_err(|error| raft_error(&error))?;
        let shared = state_machine.shared();
        let raft = Raft::new(id, config, peers.clone(), store.clone(), state_machine).await;
        let raft = raft.map_err(|error| raft_error(&error))?;
        let (confirmation_queue, confirmation_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (write_queue, write_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (renewal_queue, renewal_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let replica = Arc::new(Self {
            id,
            raft,
            store,
            response_cache: ResponseCache::new(shared.clone()),
            shared,
            peers,
            metrics: Metrics::default(),
            watches: AtomicUsize::new(0),
            connections: Arc::default(),
            leadership: Mutex::default(),
            list_as_of: Mutex::default(),
            started_at: Instant::now(),
            transferring: AtomicBool::new(false),
            confirmation_queue,
            write_queue,
            renewal_queue,
            forward_permits: Semaphore::new(MAX_FORWARDED_CALLS),
            settings,
        });
        tracing::info!(replica = id, place = ?replica.settings.place(), rev = replica.rev(), "replica started");
        tokio::spawn(replica.clone().process_confirmations(confirmation_receiver));
        tokio::spawn(replica.clone().process_writes(write_receiver));
        tokio::spawn(replica.clone().process_renewals(renewal_receiver));
        tokio::spawn(replica.clone().run_leadership());
        tokio::spawn(replica.clone().randomize_election_delay());
        tokio::spawn(replica.clone().refresh_list_age());
        tokio::spawn(replica.clone().bootstrap());
        Ok(replica)
    }

    /// Shuts down the Raft node.
    pub async fn stop(&self) {
        // A shutdown that fails or times out is ignored: the process exits anyway.
        let _ = timeout(Duration::from_secs(2), self.raft.shutdown()).await;
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the ID of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the Raft node, for messages of other replicas.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the revision of the local list.
    pub fn rev(&self) -> Rev {
        self.shared.read().list.rev()
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<Rev> {
        self.shared.watch()
    }

    /// Returns the upper bound of the age of the list; `None` if it is unknown.
    pub fn age(&self) -> Option<Duration> {
        lock(&self.list_as_of).map(|list_as_of| list_as_of.elapsed())
    }

    /// Returns the identity of the replica.
    pub async fn identity(&self) -> ReplicaIdentity {
        let begun = self.raft.is_initialized().await.unwrap_or(true);
        ReplicaIdentity {
            fleet: self.settings.fleet.clone(),
            id: self.id,
            place: self.settings.place(),
            begun,
        }
    }

    /// Starts an election.
    pub async fn campaign(&self) -> Result<Value, ApiError> {
        let result = self.raft.trigger().elect().await;
        result.map_err(|error| ApiError::new(500, error.to_string()))?;
        Ok(json!({}))
    }

    /// Returns why the replica is not ready, if so: it must know a leader, and its list must be recent.
    pub fn not_ready_reason(&self) -> Option<String> {
        if let Some(error) = self.fatal_error() {
            return Some(error);
        }
        if self.raft.metrics().borrow().current_leader.is_none() {
            return Some("no leader is known".to_owned());
        }
        let max_age = Duration::from_millis(self.settings.ready_age_ms);
        match self.age() {
            None => Some("the age of the list is unknown".to_owned()),
            Some(age) if age > max_age => Some(format!("the list may be {} ms old", age.as_millis())),
            Some(_) => None,
        }
    }

    /// Returns the error after which the replica must be restarted, if any.
    fn fatal_error(&self) -> Option<String> {
        if let Some(error) = self.store.first_write_error() {
            return Some(format!("the store rejects writes after an error: {error}"));
        }
        let running = self.raft.metrics().borrow().running_state.clone();
        running.err().map(|fatal| format!("Raft has stopped: {fatal}"))
    }

    fn leader(&self) -> Option<(ReplicaId, Place)> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let leader = metrics.current_leader?;
        let place = metrics.membership_config.membership().get_node(&leader).copied()?;
        Some((leader, place))
    }

    /// Returns the term in which this replica is the leader, as far as it knows.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader && metrics.current_leader == Some(self.id))
            .then_some(metrics.current_term)
    }

    /// Executes an operation if this replica is the leader, and forwards it to the leader otherwise. An operation that
    /// was `forwarded` already is not forwarded again.
    pub async fn dispatch(&self, operation: Operation, forwarded: bool) -> Result<Value, ApiError> {
        let result = match self.leader() {
            Some((leader, _)) if leader == self.id => self.execute(operation).await,
            Some((leader, place)) if !forwarded => match operation {
                Operation::Renew(renewal) => self.forward_renewal(renewal).await,
                operation => self.forward(leader, place, &operation).await,
            },
            Some(_) => Err(ApiError::unavailable("leadership has moved to another replica")),
            None => match self.fatal_error() {
                Some(error) => Err(ApiError::new(507, error)),
                None => Err(ApiError::unavailable("no leader is known")),
            },
        };
        if result.is_err() {
            self.metrics.calls_refused.inc();
        }
        result
    }

    async fn execute(&self, operation: Operation) -> Result<Value, ApiError> {
        let rev = |rev: Rev| json!({ "rev": rev });
        match operation {
            Operation::Register(instance) => {
                let rev = self.write(Command::Register(instance)).await?;
                Ok(json!({"rev": rev, "lease_ms": self.settings.lease_ms}))
            }
            Operation::Drain(InstanceKey { uid, boot_ms }) => {
                self.write(Command::Drain { uid, boot_ms }).await.map(rev)
            }
            Operation::Leave(InstanceKey { uid, boot_ms }) => {
                self.write(Command::Leave { uid, boot_ms }).await.map(rev)
            }
            Operation::Renew(renewal) => self.renew(renewal).await,
            Operation::Decide(decision) => self.resolve_suspects(decision).await,
            Operation::Restore(BackupPart { part, parts, lines }) => {
                let past = revision_floor(unix_s());
                self.write(Command::Restore { part, parts, lines, past }).await.map(rev)
            }
            Operation::Confirm => {
                let confirmation = self.confirm_leadership().await?;
                serde_json::to_value(confirmation).map_err(|error| ApiError::new(500, error.to_string()))
            }
            Operation::Replicas(ReplicaChange::Add(peer)) => self.add_replica(peer).await,
            Operation::Replicas(ReplicaChange::Remove(peer)) => self.remove_replica(peer).await,
            Operation::Replicas(ReplicaChange::Lead(peer)) => self.transfer_leadership(peer).await,
            Operation::Join { id, place } => self.replace_replica(id, place).await,
        }
    }

    /// Returns a backup of the list.
    pub fn backup(&self) -> Backup {
        let state = self.shared.read();
        Backup {
            format: Backup::FORMAT,
            fleet: self.settings.fleet.clone(),
            incarnation: state.list.incarnation(),
            rev: state.list.rev(),
            lines: state.list.lines().cloned().collect(),
        }
    }
}
