//! A replica of the registry: its Raft node, the replicated state, and the operations on them.
//!
//! - `consensus` replicates commands and confirms leadership.
//! - `elections` decides when this replica may start an election.
//! - `leadership` keeps the leases while this replica is the leader.
//! - `forward` calls other replicas and forwards operations to the leader.
//! - `membership` adds, removes and replaces replicas, transfers leadership and bootstraps a new registry.
//! - `raft_node` holds the Raft node and replaces it after a failure of its store.
//! - `status` reports the state of the replica.

mod consensus;
mod elections;
mod forward;
mod leadership;
mod membership;
mod raft_node;
mod status;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use openraft::ServerState;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout};

use self::raft_node::{RaftNode, StoreFailure};
use crate::leases::Leases;
use crate::list::{Command, Instance, Rev, revision_floor};
use crate::metrics::Metrics;
use crate::peers::PeerPool;
use crate::raft::{Applied, Place, ReplicaId};
use crate::response_cache::ResponseCache;
use crate::settings::Settings;
use crate::state_machine::SharedState;
use crate::store::{Store, StoreError};
use crate::wire::{
    Backup, BackupPart, InstanceKey, Renewal, RenewalResponse, ReplicaChange, StaleBackup, SuspectDecision,
    random_id,
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
/// Path at which a replica accepts operations from other replicas and forwards them to the leader.
pub const RELAY_PATH: &str = "/peer/join";
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

/// Where an operation came from, which bounds how often it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client. The operation may be forwarded to the leader, or relayed by a replica whose store has failed.
    Client,
    /// Another replica, which does not know the leader. The operation may be forwarded to the leader.
    Relayed,
    /// Another replica, which takes this one for the leader. The operation is executed here or rejected.
    Forwarded,
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
    /// The Raft node with its store, replaced after a failure of the store.
    node: Mutex<RaftNode>,
    /// Whether the replica is shutting down.
    stopping: AtomicBool,
    /// Set while the Raft node is stopped because its store has failed.
    store_failure: Mutex<Option<StoreFailure>>,
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
    /// Whether a quorum of the replicas responds to this one.
    hears_quorum: AtomicBool,
    /// Whether this replica waits before a further candidacy.
    election_delayed: AtomicBool,
    /// Number of membership changes in progress on this replica.
    membership_changes: AtomicUsize,
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
        let store = Store::open(&settings.data, &settings.fleet, random_id())?;
        let id = store.id()?;
        let peers = PeerPool::new(&settings.fleet, settings.via.clone());
        let shared = Arc::new(SharedState::empty());
        let node = RaftNode::start(&settings, store, peers.clone(), shared.clone()).await?;
        let (confirmation_queue, confirmation_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (write_queue, write_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (renewal_queue, renewal_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let replica = Arc::new(Self {
            id,
            node: Mutex::new(node),
            store_failure: Mutex::default(),
            stopping: AtomicBool::new(false),
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
            hears_quorum: AtomicBool::new(true),
            election_delayed: AtomicBool::new(false),
            membership_changes: AtomicUsize::new(0),
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
        tokio::spawn(replica.clone().watch_quorum_contact());
        tokio::spawn(replica.clone().refresh_list_age());
        tokio::spawn(replica.clone().recover_store());
        replica.spawn_node_tasks();
        Ok(replica)
    }

    /// Shuts down the Raft node.
    pub async fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        // A shutdown that fails or times out is ignored: the process exits anyway.
        let _ = timeout(Duration::from_secs(2), self.raft().shutdown()).await;
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the ID of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
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
        let begun = self.raft().is_initialized().await.unwrap_or(true);
        ReplicaIdentity {
            fleet: self.settings.fleet.clone(),
            id: self.id,
            place: self.settings.place(),
            begun,
        }
    }

    /// Starts an election.
    pub async fn campaign(&self) -> Result<Value, ApiError> {
        let result = self.raft().trigger().elect().await;
        result.map_err(|error| ApiError::new(500, error.to_string()))?;
        Ok(json!({}))
    }

    /// Returns why the replica is not ready, if so: it must know a leader, and its list must be recent.
    pub fn not_ready_reason(&self) -> Option<String> {
        if let Some(failure) = self.store_failure() {
            return Some(failure.to_string());
        }
        if self.raft_metrics().current_leader.is_none() {
            return Some("no leader is known".to_owned());
        }
        let max_age = Duration::from_millis(self.settings.ready_age_ms);
        match self.age() {
            None => Some("the age of the list is unknown".to_owned()),
            Some(age) if age > max_age => Some(format!("the list may be {} ms old", age.as_millis())),
            Some(_) => None,
        }
    }

    fn leader(&self) -> Option<(ReplicaId, Place)> {
        let metrics = self.raft_metrics();
        let leader = metrics.current_leader?;
        let place = metrics.membership_config.membership().get_node(&leader).copied()?;
        Some((leader, place))
    }

    /// Returns the term in which this replica is the leader, as far as it knows.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft_metrics();
        (metrics.state == ServerState::Leader && metrics.current_leader == Some(self.id))
            .then_some(metrics.current_term)
    }

    /// Executes an operation if this replica is the leader, and sends it towards the leader otherwise, as far as its
    /// origin allows. Once begun, the execution is completed even if the caller goes away.
    pub async fn dispatch(self: &Arc<Self>, operation: Operation, origin: Origin) -> Result<Value, ApiError> {
        let result = match self.leader() {
            Some((leader, _)) if leader == self.id => {
                let replica = self.clone();
                let execution = tokio::spawn(async move { replica.execute(operation).await });
                execution.await.unwrap_or_else(|error| Err(ApiError::new(500, error.to_string())))
            }
            Some((leader, place)) if origin != Origin::Forwarded => match operation {
                Operation::Renew(renewal) => self.forward_renewal(renewal).await,
                operation => self.forward(leader, place, &operation).await,
            },
            Some(_) => Err(ApiError::unavailable("leadership has moved to another replica")),
            None => match self.check_store() {
                Err(error) if origin == Origin::Client => self.relay(&operation, error).await,
                Err(error) => Err(error),
                Ok(()) => Err(ApiError::unavailable("no leader is known")),
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
            Operation::Restore(BackupPart { restore_id, part, parts, lines }) => {
                let past = revision_floor(unix_s());
                self.write(Command::Restore { restore_id, part, parts, lines, past }).await.map(rev)
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

    /// Returns a backup of the list with every write that was acknowledged before this call. If that cannot be confirmed
    /// and a `stale` one is acceptable, returns what this replica has, marked with its age.
    pub async fn backup(&self, stale: bool) -> Result<Backup, ApiError> {
        let Err(error) = self.await_current_list().await else { return Ok(self.local_backup(None)) };
        if !stale {
            let advice = "try again, or `backup --stale` takes what one replica has, which may lack acknowledged writes";
            let message = format!("the list cannot be confirmed as current: {}; {advice}", error.message);
            return Err(ApiError { message, ..error });
        }
        let max_age_ms = self.age().map(|age| age.as_millis() as u64);
        Ok(self.local_backup(Some(StaleBackup { max_age_ms })))
    }

    fn local_backup(&self, stale: Option<StaleBackup>) -> Backup {
        let state = self.shared.read();
        Backup {
            format: Backup::FORMAT,
            fleet: self.settings.fleet.clone(),
            incarnation: state.list.incarnation(),
            rev: state.list.rev(),
            lines: state.list.lines().cloned().collect(),
            stale,
        }
    }
}
