//! One replica: the consensus, the state, the leader's office, and what may be asked of them. It decides nothing on the
//! list itself: that is [`crate::list`]'s and [`crate::leases`]'s.
//!
//! Here are the replica itself and what may be asked of it. `consensus` is the way through the log and the majority's word,
//! `leadership` what the leader keeps, `forward` what goes to whoever leads, `membership` who the replicas are, `status` how it
//! stands.

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

/// Commands, confirmations or renewals that wait.
const MOST_WAITING: usize = 4096;
/// A lead that is not confirmed by then is in doubt.
const CONFIRM: Duration = Duration::from_secs(1);
/// Confirmations are this far apart at least, however many wait for one.
const CONFIRM_EACH: Duration = Duration::from_millis(20);
/// A replica that comes has so long to catch up.
const CATCH_UP: Duration = Duration::from_secs(30);
/// How often a replica that belongs to nothing yet asks the others.
const BEGIN: Duration = Duration::from_millis(300);
/// When to ask again that was turned away for want of a leader.
const SOON: Duration = Duration::from_millis(300);
/// Renewals in one call.
pub const MOST_LIVES: usize = 10_000;
/// Calls that a replica has on their way to the leader at a time; the others wait.
const MOST_SENT_ON: usize = 64;

/// Where one replica asks another.
pub const DO: &str = "/peer/do";
/// Who a replica is.
pub const WHO: &str = "/peer/who";
/// Tells a replica to stand for the lead.
pub const ELECT: &str = "/peer/elect";

/// Why something was not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// The HTTP status that says of what kind the reason is.
    pub status: u16,
    /// The reason.
    pub text: String,
    /// When to ask again, if that may help.
    pub again: Option<Duration>,
}

impl Trouble {
    /// What can't be done as it was asked.
    pub fn refused(status: u16, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), again: None }
    }

    /// What may be done a little later.
    pub fn later(text: impl Into<String>) -> Self {
        Self { status: 503, text: text.into(), again: Some(SOON) }
    }

    fn unknown(what: &str) -> Self {
        let text = format!("{what}: not known whether it was carried out; ask again");
        Self { status: 504, text, again: Some(SOON) }
    }
}

/// What is asked of whoever leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// An instance comes.
    Register(Instance),
    /// Lives renew their leases.
    Renew(Renewal),
    /// A life drains.
    Drain(InstanceKey),
    /// A life leaves.
    Leave(InstanceKey),
    /// A person's word on suspects.
    Decide(SuspectDecision),
    /// A part of a backup comes back.
    Restore(BackupPart),
    /// The replicas change.
    Replicas(ReplicaChange),
    /// How far the list has come, by a leader that is one.
    Confirm,
    /// A replica that lost its store comes again under another name.
    Join {
        /// Its new name.
        id: ReplicaId,
        /// Where it is.
        place: Place,
    },
}

/// Who a replica is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Who {
    /// Its fleet.
    pub fleet: String,
    /// Its name.
    pub id: ReplicaId,
    /// Where it is.
    pub place: Place,
    /// Whether it belongs to a registry already.
    pub begun: bool,
}

/// A lead that was confirmed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Confirmed {
    /// Entries up to here were committed when it was asked for.
    index: Option<u64>,
    /// In which term.
    term: u64,
}

/// The leader's office: what it keeps for its time.
struct Office {
    term: u64,
    leases: Leases,
}

type Confirmation = oneshot::Sender<Result<Confirmed, Trouble>>;
type Renewing = (Renewal, oneshot::Sender<Result<RenewalResponse, Trouble>>);
type Write = (Command, oneshot::Sender<Result<Applied, Trouble>>);

/// Why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its store.
    #[error("store: {0}")]
    Store(#[from] StoreError),
    /// The consensus.
    #[error("consensus: {0}")]
    Raft(String),
}

/// One replica.
pub struct Replica {
    settings: Settings,
    id: ReplicaId,
    raft: Raft,
    store: Store,
    shared: Arc<SharedState>,
    peers: PeerPool,
    /// Answers to watchers.
    pub response_cache: ResponseCache,
    /// What it counts.
    pub metrics: Metrics,
    /// Watches that wait.
    pub watches: AtomicUsize,
    /// Client connections.
    pub connections: Arc<AtomicUsize>,
    office: Mutex<Option<Office>>,
    /// As of when the list is known to be true.
    as_of: Mutex<Option<Instant>>,
    began: Instant,
    /// It is giving the lead away.
    leaving: AtomicBool,
    confirmations: mpsc::Sender<Confirmation>,
    writes: mpsc::Sender<Write>,
    /// Renewals for whoever leads.
    renewals: mpsc::Sender<Renewing>,
    /// Calls that are on their way to the leader.
    sent_on: Semaphore,
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

impl Replica {
    /// Opens the store and starts the consensus; its tasks end with the runtime.
    pub async fn start(settings: Settings) -> Result<Arc<Self>, StartError> {
        // Below 2^53, so that every reader of JSON takes it whole.
        let fresh = (rand::random::<u64>() >> 11).max(1);
        let store = Store::open(&settings.data, &settings.fleet, fresh)?;
        let id = store.id()?;
        let raft_of = |error: &dyn std::fmt::Display| StartError::Raft(error.to_string());
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
        let config = Arc::new(config.validate().map_err(|error| raft_of(&error))?);
        let peers = PeerPool::new(&settings.fleet, settings.via.clone());
        let state_machine = StateMachine::open(store.clone()).await.map_err(|error| raft_of(&error))?;
        let shared = state_machine.shared();
        let raft = Raft::new(id, config, peers.clone(), store.clone(), state_machine).await;
        let raft = raft.map_err(|error| raft_of(&error))?;
        let (confirmations, asked) = mpsc::channel(MOST_WAITING);
        let (writes, written) = mpsc::channel(MOST_WAITING);
        let (renewals, renewing) = mpsc::channel(MOST_WAITING);
        let own = Arc::new(Self {
            id,
            raft,
            store,
            response_cache: ResponseCache::new(shared.clone()),
            shared,
            peers,
            metrics: Metrics::default(),
            watches: AtomicUsize::new(0),
            connections: Arc::default(),
            office: Mutex::default(),
            as_of: Mutex::default(),
            began: Instant::now(),
            leaving: AtomicBool::new(false),
            confirmations,
            writes,
            renewals,
            sent_on: Semaphore::new(MOST_SENT_ON),
            settings,
        });
        tracing::info!(replica = id, place = ?own.settings.place(), rev = own.rev(), "replica starts");
        tokio::spawn(own.clone().confirm_all(asked));
        tokio::spawn(own.clone().write_all(written));
        tokio::spawn(own.clone().send_renewals_on(renewing));
        tokio::spawn(own.clone().hold_office());
        tokio::spawn(own.clone().spread_elections());
        tokio::spawn(own.clone().stay_fresh());
        tokio::spawn(own.clone().begin());
        Ok(own)
    }

    /// Ends the consensus; what is on disk stays.
    pub async fn stop(&self) {
        // It ends with the process in any case.
        let _ = timeout(Duration::from_secs(2), self.raft.shutdown()).await;
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Its name.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The consensus, for what other replicas send.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The list's version here.
    pub fn rev(&self) -> Rev {
        self.shared.read().list.rev()
    }

    /// Tells of each new version.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<Rev> {
        self.shared.watch()
    }

    /// How old the list may be at most; none if it was never known to be true.
    pub fn age(&self) -> Option<Duration> {
        lock(&self.as_of).map(|as_of| as_of.elapsed())
    }

    /// Who it is.
    pub async fn who(&self) -> Who {
        let begun = self.raft.is_initialized().await.unwrap_or(true);
        Who { fleet: self.settings.fleet.clone(), id: self.id, place: self.settings.place(), begun }
    }

    /// Stands for the lead.
    pub async fn stand(&self) -> Result<Value, Trouble> {
        let stood = self.raft.trigger().elect().await;
        stood.map_err(|error| Trouble::refused(500, error.to_string()))?;
        Ok(json!({}))
    }

    /// Why it is not ready, if it is not: it has to vouch for its list, and to know a leader.
    pub fn not_ready_reason(&self) -> Option<String> {
        if let Some(trouble) = self.trouble() {
            return Some(trouble);
        }
        if self.raft.metrics().borrow().current_leader.is_none() {
            return Some("no leader is known".to_owned());
        }
        let most = Duration::from_millis(self.settings.ready_age_ms);
        match self.age() {
            None => Some("the list was never confirmed".to_owned()),
            Some(age) if age > most => Some(format!("the list may be {} ms old", age.as_millis())),
            Some(_) => None,
        }
    }

    /// What has gone wrong for good in this life.
    fn trouble(&self) -> Option<String> {
        if let Some(trouble) = self.store.first_write_error() {
            return Some(format!("the store takes no more writes: {trouble}"));
        }
        let running = self.raft.metrics().borrow().running_state.clone();
        running.err().map(|fatal| format!("the consensus has stopped: {fatal}"))
    }

    fn leader(&self) -> Option<(ReplicaId, Place)> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let leader = metrics.current_leader?;
        let place = metrics.membership_config.membership().get_node(&leader).copied()?;
        Some((leader, place))
    }

    /// The term in which it leads, as far as it knows.
    fn leads(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader && metrics.current_leader == Some(self.id))
            .then_some(metrics.current_term)
    }

    /// Does what is asked, here or at the replica that leads. What was sent on once is not sent on again.
    pub async fn perform(&self, operation: Operation, sent_on: bool) -> Result<Value, Trouble> {
        let done = match self.leader() {
            Some((leader, _)) if leader == self.id => self.carry_out(operation).await,
            Some((leader, place)) if !sent_on => match operation {
                Operation::Renew(renewal) => self.renew_elsewhere(renewal).await,
                operation => self.send_on(leader, place, &operation).await,
            },
            Some(_) => Err(Trouble::later("the lead has moved")),
            None => match self.trouble() {
                Some(trouble) => Err(Trouble::refused(507, trouble)),
                None => Err(Trouble::later("no leader is known")),
            },
        };
        if done.is_err() {
            self.metrics.calls_refused.inc();
        }
        done
    }

    async fn carry_out(&self, operation: Operation) -> Result<Value, Trouble> {
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
            Operation::Decide(decision) => self.decide(decision).await,
            Operation::Restore(BackupPart { part, parts, lines }) => {
                let past = revision_floor(unix_s());
                self.write(Command::Restore { part, parts, lines, past }).await.map(rev)
            }
            Operation::Confirm => {
                let confirmed = self.confirm().await?;
                serde_json::to_value(confirmed).map_err(|error| Trouble::refused(500, error.to_string()))
            }
            Operation::Replicas(ReplicaChange::Add(peer)) => self.add(peer).await,
            Operation::Replicas(ReplicaChange::Remove(peer)) => self.remove(peer).await,
            Operation::Replicas(ReplicaChange::Lead(peer)) => self.hand_over(peer).await,
            Operation::Join { id, place } => self.join(id, place).await,
        }
    }

    /// The list as a backup.
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
