//! One replica: the consensus, the state, the leader's office, and what may be asked of them. It decides nothing on the
//! list itself: that is [`crate::list`]'s and [`crate::leases`]'s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdale_fleet::call::Call;
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::{ChangeMembers, Config, ServerState, SnapshotPolicy};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::figures::{Figures, Levels};
use crate::hub::Hub;
use crate::leases::Leases;
use crate::list::{Command, Instance, Line, Rev, State as Stage, past_all_before};
use crate::machine::{Machine, Shared};
use crate::peers::Peers;
use crate::raft::{Applied, Place, Raft, ReplicaId};
use crate::settings::Settings;
use crate::store::{Store, StoreError};
use crate::wire::{Backup, Decision, Life, Part, Refusal, Renewal, Renewed, Replicas};

/// A command that is not through the log by then may or may not be carried out.
const WRITE: Duration = Duration::from_secs(2);
/// Commands that wait for the log, and those that share an entry.
const MOST_WAITING: usize = 4096;
const MOST_BATCH: usize = 128;
/// A lead that is not confirmed by then is in doubt.
const CONFIRM: Duration = Duration::from_secs(1);
/// Confirmations are this far apart at least, however many wait for one.
const CONFIRM_EACH: Duration = Duration::from_millis(20);
/// How often a replica asks how far the list has come.
const FRESHEN: Duration = Duration::from_millis(250);
/// A replica that leads answers another one by then; a command's own time is in it.
const FORWARD: Duration = Duration::from_secs(4);
const MOST_ANSWER: usize = 1024 * 1024;
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
    Drain(Life),
    /// A life leaves.
    Leave(Life),
    /// A person's word on suspects.
    Decide(Decision),
    /// A part of a backup comes back.
    Restore(Part),
    /// The replicas change.
    Replicas(Replicas),
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
type Renewing = (Renewal, oneshot::Sender<Result<Renewed, Trouble>>);
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
    shared: Arc<Shared>,
    peers: Peers,
    /// Answers to watchers.
    pub hub: Hub,
    /// What it counts.
    pub figures: Figures,
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
        let peers = Peers::new(&settings.fleet, settings.via.clone());
        let machine = Machine::open(store.clone()).await.map_err(|error| raft_of(&error))?;
        let shared = machine.shared();
        let raft = Raft::new(id, config, peers.clone(), store.clone(), machine).await;
        let raft = raft.map_err(|error| raft_of(&error))?;
        let (confirmations, asked) = mpsc::channel(MOST_WAITING);
        let (writes, written) = mpsc::channel(MOST_WAITING);
        let (renewals, renewing) = mpsc::channel(MOST_WAITING);
        let own = Arc::new(Self {
            id,
            raft,
            store,
            hub: Hub::new(shared.clone()),
            shared,
            peers,
            figures: Figures::default(),
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
    pub fn unready(&self) -> Option<String> {
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
        if let Some(trouble) = self.store.trouble() {
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
            self.figures.refusals.inc();
        }
        done
    }

    async fn send_on(
        &self,
        leader: ReplicaId,
        place: Place,
        operation: &Operation,
    ) -> Result<Value, Trouble> {
        let _one_of_few = self.sent_on.acquire().await;
        self.ask(place.peer, Some(leader), DO, operation, FORWARD).await
    }

    async fn renew_elsewhere(&self, renewal: Renewal) -> Result<Value, Trouble> {
        let (told, renewed) = oneshot::channel();
        self.renewals.try_send((renewal, told)).map_err(|_| Trouble::later("too many renewals wait"))?;
        let renewed = renewed.await.unwrap_or_else(|_| Err(Trouble::later("the program ends")))?;
        serde_json::to_value(renewed).map_err(|error| Trouble::refused(500, error.to_string()))
    }

    /// Takes renewals to the leader, all that have come in meanwhile in one call; never ends.
    async fn send_renewals_on(self: Arc<Self>, mut renewing: mpsc::Receiver<Renewing>) {
        while let Some((first, told)) = renewing.recv().await {
            let at = Instant::now();
            let mut parts = vec![(first.lives.clone(), told)];
            let mut lives = first.lives;
            while lives.len() < MOST_LIVES
                && let Ok((next, told)) = renewing.try_recv()
            {
                lives.extend(next.lives.iter().cloned());
                parts.push((next.lives, told));
            }
            let own = self.clone();
            // The next ones need not wait for the answer to these.
            tokio::spawn(async move {
                let operation = Operation::Renew(Renewal { lives });
                let renewed: Result<Renewed, Trouble> = match own.leader() {
                    Some((leader, place)) if leader != own.id => {
                        let _one_of_few = own.sent_on.acquire().await;
                        own.ask(place.peer, Some(leader), DO, &operation, FORWARD).await
                    }
                    _ => Err(Trouble::later("the lead has moved")),
                };
                for (lives, told) in parts {
                    // Whoever asked may have gone.
                    let _ = told.send(renewed.clone().map(|renewed| {
                        Renewed {
                            unknown: lives
                                .into_iter()
                                .map(|life| life.uid)
                                .filter(|uid| renewed.unknown.contains(uid))
                                .collect(),
                            ..renewed
                        }
                    }));
                }
            });
            sleep_until(at + CONFIRM_EACH).await;
        }
    }

    async fn ask<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        to: Option<ReplicaId>,
        path: &str,
        body: &impl Serialize,
        patience: Duration,
    ) -> Result<A, Trouble> {
        let body = serde_json::to_vec(body).map_err(|error| Trouble::refused(500, error.to_string()))?;
        let answer = self.peers.call(peer, to, Call::post(path, body, patience, MOST_ANSWER)).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(flaxdale_fleet::call::CallError::Connect(error)) => {
                return Err(Trouble::later(format!("replica {peer} can't be reached: {error}")));
            }
            Err(error) => return Err(Trouble::unknown(&format!("replica {peer}: {error}"))),
        };
        if answer.status == hyper::StatusCode::OK {
            return serde_json::from_slice(&answer.body)
                .map_err(|error| Trouble::refused(502, format!("replica {peer}: {error}")));
        }
        let text = match serde_json::from_slice::<Refusal>(&answer.body) {
            Ok(refusal) => refusal.error,
            Err(_) => String::from_utf8_lossy(&answer.body).into_owned(),
        };
        let status = answer.status.as_u16();
        let again = matches!(status, 421 | 503 | 504).then_some(SOON);
        // One that is not the replica that was meant will not become it.
        let status = if status == 421 { 503 } else { status };
        Err(Trouble { status, text, again })
    }

    async fn carry_out(&self, operation: Operation) -> Result<Value, Trouble> {
        let rev = |rev: Rev| json!({ "rev": rev });
        match operation {
            Operation::Register(instance) => {
                let rev = self.write(Command::Register(instance)).await?;
                Ok(json!({"rev": rev, "lease_ms": self.settings.lease_ms}))
            }
            Operation::Drain(Life { uid, boot_ms }) => {
                self.write(Command::Drain { uid, boot_ms }).await.map(rev)
            }
            Operation::Leave(Life { uid, boot_ms }) => {
                self.write(Command::Leave { uid, boot_ms }).await.map(rev)
            }
            Operation::Renew(renewal) => self.renew(renewal).await,
            Operation::Decide(decision) => self.decide(decision).await,
            Operation::Restore(Part { part, parts, lines }) => {
                let past = past_all_before(unix_s());
                self.write(Command::Restore { part, parts, lines, past }).await.map(rev)
            }
            Operation::Confirm => {
                let confirmed = self.confirm().await?;
                serde_json::to_value(confirmed).map_err(|error| Trouble::refused(500, error.to_string()))
            }
            Operation::Replicas(Replicas::Add(peer)) => self.add(peer).await,
            Operation::Replicas(Replicas::Remove(peer)) => self.remove(peer).await,
            Operation::Replicas(Replicas::Lead(peer)) => self.hand_over(peer).await,
            Operation::Join { id, place } => self.join(id, place).await,
        }
    }

    /// Brings a command through the log.
    async fn write(&self, command: Command) -> Result<Rev, Trouble> {
        if lock(&self.office).is_none() {
            return Err(Trouble::later("the leader has just come into office"));
        }
        self.write_any(command).await
    }

    async fn write_any(&self, command: Command) -> Result<Rev, Trouble> {
        if let Some(trouble) = self.trouble() {
            return Err(Trouble::refused(507, trouble));
        }
        let (size, most) = (self.store.size(), self.settings.most_store_mb * 1024 * 1024);
        if size >= most {
            let text =
                format!("the store has {size} bytes, and {most} are the most: it takes no more writes");
            return Err(Trouble::refused(507, text));
        }
        if self.leaving.load(Ordering::Relaxed) {
            return Err(Trouble::later("the lead is being handed over"));
        }
        let (told, applied) = oneshot::channel();
        self.writes.try_send((command, told)).map_err(|_| Trouble::later("too many commands wait"))?;
        let late = Trouble::unknown("the log did not take it in time");
        match timeout(WRITE, applied).await {
            Ok(Ok(Ok(Applied::Done(rev)))) => Ok(rev),
            Ok(Ok(Ok(Applied::Refused { status, text }))) => Err(Trouble::refused(status, text)),
            Ok(Ok(Err(trouble))) => Err(trouble),
            Ok(Err(_)) | Err(_) => Err(late),
        }
    }

    /// Takes commands to the log, all that have come in meanwhile in one entry.
    async fn write_all(self: Arc<Self>, mut written: mpsc::Receiver<Write>) {
        while let Some(first) = written.recv().await {
            let (mut commands, mut waiting) = (vec![first.0], vec![first.1]);
            while commands.len() < MOST_BATCH
                && let Ok((command, told)) = written.try_recv()
            {
                commands.push(command);
                waiting.push(told);
            }
            let count = commands.len() as u64;
            self.figures.commands.inc_by(count);
            self.figures.entries.inc();
            let told = match timeout(WRITE, self.raft.client_write(commands)).await {
                Ok(Ok(response)) => Ok(response.data),
                Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                    Err(Trouble::later("the lead has moved"))
                }
                Ok(Err(RaftError::APIError(error))) => Err(Trouble::later(error.to_string())),
                Ok(Err(RaftError::Fatal(error))) => {
                    let stopped = || format!("the consensus has stopped: {error}");
                    Err(Trouble::refused(507, self.trouble().unwrap_or_else(stopped)))
                }
                Err(_) => Err(Trouble::unknown("the log did not take it in time")),
            };
            match told {
                Ok(applied) => waiting.into_iter().zip(applied).for_each(|(told, applied)| {
                    // Whoever asked may have gone.
                    let _ = told.send(Ok(applied));
                }),
                Err(trouble) => waiting.into_iter().for_each(|told| {
                    let _ = told.send(Err(trouble.clone()));
                }),
            }
        }
    }

    /// Waits until a majority has said, after this call, that this replica leads.
    async fn confirm(&self) -> Result<Confirmed, Trouble> {
        let (told, confirmed) = oneshot::channel();
        self.confirmations.try_send(told).map_err(|_| Trouble::later("too many calls wait"))?;
        confirmed.await.unwrap_or_else(|_| Err(Trouble::later("the program ends")))
    }

    async fn confirm_all(self: Arc<Self>, mut asked: mpsc::Receiver<Confirmation>) {
        while let Some(first) = asked.recv().await {
            let mut waiting = vec![first];
            while waiting.len() < MOST_WAITING
                && let Ok(next) = asked.try_recv()
            {
                waiting.push(next);
            }
            let at = Instant::now();
            self.figures.rounds.inc();
            let confirmed = if self.leaving.load(Ordering::Relaxed) {
                // A round would be heard as a sign of life, and the lead could not pass.
                Err(Trouble::later("the lead is being handed over"))
            } else {
                match timeout(CONFIRM, self.raft.ensure_linearizable()).await {
                    Ok(Ok(read)) => match self.leads() {
                        Some(term) => Ok(Confirmed { index: read.map(|id| id.index), term }),
                        None => Err(Trouble::later("the lead has moved")),
                    },
                    Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => {
                        Err(Trouble::later("the lead has moved"))
                    }
                    Ok(Err(error)) => Err(Trouble::later(format!("the lead is in doubt: {error}"))),
                    Err(_) => Err(Trouble::later("the lead is in doubt: no majority answers")),
                }
            };
            if confirmed.is_ok() {
                self.known_as_of(at);
            }
            for told in waiting {
                let _ = told.send(confirmed.clone());
            }
            sleep_until(at + CONFIRM_EACH).await;
        }
    }

    fn known_as_of(&self, at: Instant) {
        let mut as_of = lock(&self.as_of);
        *as_of = Some(as_of.map_or(at, |known| known.max(at)));
    }

    /// Asks again and again how far the list has come, and so knows how old its own may be; never ends.
    async fn stay_fresh(self: Arc<Self>) {
        loop {
            let at = Instant::now();
            let confirmed = match self.leader() {
                Some((leader, _)) if leader == self.id => self.confirm().await,
                Some((leader, place)) => {
                    self.ask(place.peer, Some(leader), DO, &Operation::Confirm, CONFIRM * 2).await
                }
                None => Err(Trouble::later("no leader is known")),
            };
            match confirmed {
                Ok(Confirmed { index, .. }) => {
                    let applied = self.raft.wait(Some(CONFIRM));
                    if applied.applied_index_at_least(index, "fresh").await.is_ok() {
                        self.known_as_of(at);
                    }
                }
                Err(trouble) => tracing::debug!(cause = trouble.text, "the list can't be confirmed"),
            }
            sleep_until(at + FRESHEN).await;
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    /// While this replica leads: keeps the leases, and tells the list of those that lapse; never ends.
    async fn hold_office(self: Arc<Self>) {
        let look = Duration::from_millis((self.settings.lease_ms / 20).clamp(50, 250));
        let mut changes = self.raft.server_metrics();
        let mut heard = Instant::now();
        loop {
            let Some(term) = self.leads() else {
                if lock(&self.office).take().is_some() {
                    tracing::info!("the lead has gone to another replica");
                }
                self.fall_silent(false);
                heard = Instant::now();
                let _ = timeout(look, changes.changed()).await;
                continue;
            };
            heard = lock(&self.as_of).map_or(heard, |as_of| as_of.max(heard));
            self.fall_silent(self.is_unheard(heard.elapsed()));
            if lock(&self.office).as_ref().is_none_or(|office| office.term != term) {
                self.come_into_office(term).await;
            } else {
                self.look_after_leases().await;
            }
            sleep(look).await;
        }
    }

    /// Whether a leader whom no majority has answered for so long should fall silent: its word may still reach the others
    /// and keep them from standing, while their answers are lost. Now and then it speaks again, or it would never learn
    /// that they hear each other again.
    fn is_unheard(&self, unheard: Duration) -> bool {
        let election = Duration::from_millis(self.settings.election_ms);
        let (patience, round) = (election * 4, election * 16);
        unheard > patience && unheard.as_millis() % round.as_millis() >= patience.as_millis()
    }

    fn fall_silent(&self, silent: bool) {
        if self.leaving.load(Ordering::Relaxed) || self.peers.is_silent() == silent {
            return;
        }
        if silent {
            tracing::warn!("no majority answers: falls silent, so that another one may lead");
        }
        self.peers.keep_silent(silent);
    }

    /// After each election that this replica stood in and did not win, it waits for a while drawn anew. The library draws
    /// its patience once for a process: two that drew alike would go on splitting the votes. Never ends.
    async fn spread_elections(self: Arc<Self>) {
        let mut changes = self.raft.server_metrics();
        while changes.changed().await.is_ok() {
            if changes.borrow_and_update().state == ServerState::Candidate {
                self.raft.runtime_config().elect(false);
                let longest = 2 * self.settings.election_ms;
                sleep(Duration::from_millis((rand::random::<f64>() * longest as f64) as u64)).await;
                self.raft.runtime_config().elect(true);
            }
        }
    }

    async fn come_into_office(&self, term: u64) {
        *lock(&self.office) = None;
        if let Err(trouble) = self.confirm().await {
            tracing::warn!(cause = trouble.text, "the lead is in doubt");
            return;
        }
        if self.shared.read().list.incarnation() == 0 {
            let past = past_all_before(unix_s());
            if let Err(trouble) = self.write_any(Command::Begin { past }).await {
                tracing::warn!(cause = trouble.text, "the list can't be begun");
                return;
            }
        }
        let leases = Leases::new(self.settings.rules(), &self.shared.read().list, self.now());
        tracing::info!(term, leases = leases.len(), rev = self.rev(), "leads: every lease has its full time");
        self.figures.terms.inc();
        *lock(&self.office) = Some(Office { term, leases });
    }

    async fn look_after_leases(&self) {
        let commands = {
            let mut office = lock(&self.office);
            let Some(office) = office.as_mut() else { return };
            let (state, now) = (self.shared.read(), self.now());
            office.leases.follow(&state.list, now);
            office.leases.look(&state.list, now)
        };
        for command in commands {
            self.figures.lapses.inc();
            match &command {
                Command::Suspect(lives) => {
                    tracing::warn!(count = lives.len(), "too many leases lapsed at once: held as suspects");
                }
                Command::Leave { uid, .. } => tracing::info!(uid, "its lease has lapsed"),
                _ => {}
            }
            if let Err(trouble) = self.write(command).await {
                tracing::warn!(cause = trouble.text, "a lapse could not be written");
            }
        }
    }

    async fn renew(&self, renewal: Renewal) -> Result<Value, Trouble> {
        // Whoever only believes to lead renews nothing.
        let confirmed = self.confirm().await?;
        let mut unknown = Vec::new();
        let mut cleared = Vec::new();
        {
            let mut office = lock(&self.office);
            let office = office.as_mut().filter(|office| office.term == confirmed.term);
            let office = office.ok_or_else(|| Trouble::later("the leader has just come into office"))?;
            let now = self.now();
            office.leases.follow(&self.shared.read().list, now);
            for Life { uid, boot_ms } in &renewal.lives {
                match office.leases.renew(uid, *boot_ms, now) {
                    Ok(Some(Command::Clear(lives))) => cleared.extend(lives),
                    Ok(_) => {}
                    Err(_) => unknown.push(uid.clone()),
                }
            }
        }
        self.figures.renewals.inc_by((renewal.lives.len() - unknown.len()) as u64);
        if !cleared.is_empty() {
            self.write(Command::Clear(cleared)).await?;
        }
        serde_json::to_value(Renewed { lease_ms: self.settings.lease_ms, unknown })
            .map_err(|error| Trouble::refused(500, error.to_string()))
    }

    async fn decide(&self, decision: Decision) -> Result<Value, Trouble> {
        let confirmed = self.confirm().await?;
        let commands = {
            let mut office = lock(&self.office);
            let office = office.as_mut().filter(|office| office.term == confirmed.term);
            let office = office.ok_or_else(|| Trouble::later("the leader has just come into office"))?;
            let state = self.shared.read();
            office.leases.decide(&state.list, &decision.zone, decision.alive, self.now())
        };
        if commands.is_empty() {
            return Err(Trouble::refused(404, format!("zone {:?} has no suspects", decision.zone)));
        }
        let mut concerned = 0;
        for command in commands {
            concerned += if let Command::Clear(lives) = &command { lives.len() } else { 1 };
            self.write(command).await?;
        }
        Ok(json!({"rev": self.rev(), "concerned": concerned}))
    }

    fn members(&self) -> BTreeMap<ReplicaId, Place> {
        let membership = self.raft.metrics().borrow().membership_config.clone();
        membership.nodes().map(|(id, place)| (*id, *place)).collect()
    }

    fn voters(&self) -> std::collections::BTreeSet<ReplicaId> {
        self.raft.metrics().borrow().membership_config.voter_ids().collect()
    }

    fn member_at(&self, peer: SocketAddr) -> Result<ReplicaId, Trouble> {
        let found = self.members().into_iter().find(|(_, place)| place.peer == peer);
        found
            .map(|(id, _)| id)
            .ok_or_else(|| Trouble::refused(404, format!("no replica has the peer address {peer}")))
    }

    async fn learner(&self, id: ReplicaId, place: Place) -> Result<(), Trouble> {
        let added = timeout(CATCH_UP, self.raft.add_learner(id, place, true)).await;
        let added = added.map_err(|_| Trouble::later(format!("replica {} does not catch up", place.peer)))?;
        added.map(|_| ()).map_err(|error| Trouble::later(error.to_string()))
    }

    async fn change(&self, change: ChangeMembers<ReplicaId, Place>) -> Result<Value, Trouble> {
        let changed = timeout(CATCH_UP, self.raft.change_membership(change, false)).await;
        let changed = changed.map_err(|_| Trouble::unknown("the replicas' change"))?;
        changed.map_err(|error| Trouble::later(error.to_string()))?;
        Ok(json!({"replicas": self.members().len()}))
    }

    async fn add(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let who: Who = self.ask(peer, None, WHO, &json!({}), CONFIRM).await?;
        if self.voters().contains(&who.id) {
            return Err(Trouble::refused(409, format!("replica {peer} is one already")));
        }
        if who.begun && !self.members().contains_key(&who.id) {
            return Err(Trouble::refused(
                409,
                format!("replica {peer} belongs to another registry: empty its store"),
            ));
        }
        self.learner(who.id, who.place).await?;
        tracing::info!(replica = who.id, %peer, "replica added");
        self.change(ChangeMembers::AddVoterIds([who.id].into())).await
    }

    async fn remove(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let id = self.member_at(peer)?;
        if self.voters().len() <= 1 {
            return Err(Trouble::refused(409, "the last replica can't be removed"));
        }
        tracing::info!(replica = id, %peer, "replica removed");
        self.change(ChangeMembers::RemoveVoters([id].into())).await
    }

    /// A replica at a known address has lost its store and comes under another name: it takes the old one's place.
    async fn join(&self, id: ReplicaId, place: Place) -> Result<Value, Trouble> {
        let members = self.members();
        if self.voters().contains(&id) {
            return Ok(json!({"replicas": members.len()}));
        }
        let Some((&lost, _)) = members.iter().find(|(known, at)| **known != id && at.peer == place.peer)
        else {
            return Err(Trouble::refused(403, format!("no replica is expected at {}: add it", place.peer)));
        };
        tracing::warn!(lost, replica = id, peer = %place.peer, "a replica lost its store: it comes anew");
        self.learner(id, place).await?;
        let mut voters = self.voters();
        voters.remove(&lost);
        voters.insert(id);
        self.change(ChangeMembers::ReplaceAllVoters(voters)).await
    }

    /// Gives the lead away: falls silent for the time of its lease, after which another one may stand.
    async fn hand_over(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let to = self.member_at(peer)?;
        if to == self.id {
            return Ok(json!({"leader": peer}));
        }
        if !self.voters().contains(&to) {
            return Err(Trouble::refused(409, format!("replica {peer} has no vote yet")));
        }
        if self.leaving.swap(true, Ordering::Relaxed) {
            return Err(Trouble::later("the lead is being handed over"));
        }
        tracing::info!(replica = to, %peer, "hands the lead over");
        self.peers.keep_silent(true);
        sleep(Duration::from_millis(2 * self.settings.election_ms + self.settings.heartbeat_ms / 2)).await;
        let stood: Result<Value, Trouble> = self.ask(peer, Some(to), ELECT, &json!({}), CONFIRM).await;
        let taken = self.raft.wait(Some(Duration::from_secs(3)));
        let taken = taken.metrics(|metrics| metrics.current_leader == Some(to), "the lead passes").await;
        self.peers.keep_silent(false);
        self.leaving.store(false, Ordering::Relaxed);
        stood?;
        taken.map_err(|_| Trouble::later(format!("replica {peer} was not elected")))?;
        Ok(json!({"leader": peer}))
    }

    /// A new registry begins once all its replicas are there and none belongs to one; a replica that lost its store
    /// joins the others again.
    async fn begin(self: Arc<Self>) {
        let own = self.settings.place();
        let others: Vec<SocketAddr> =
            self.settings.replicas.iter().copied().filter(|peer| *peer != own.peer).collect();
        while !self.raft.is_initialized().await.unwrap_or(true) {
            let mut fresh = BTreeMap::from([(self.id, own)]);
            for peer in &others {
                match self.ask::<Who>(*peer, None, WHO, &json!({}), CONFIRM).await {
                    Ok(who) if who.begun => {
                        let join = Operation::Join { id: self.id, place: own };
                        let joined: Result<Value, Trouble> =
                            self.ask(*peer, None, "/peer/join", &join, CATCH_UP * 2).await;
                        if let Err(trouble) = joined {
                            tracing::warn!(%peer, cause = trouble.text, "can't join");
                        }
                    }
                    Ok(who) => drop(fresh.insert(who.id, who.place)),
                    Err(trouble) => tracing::debug!(%peer, cause = trouble.text, "not there yet"),
                }
            }
            let all = fresh.len() == others.len() + 1;
            let first = fresh.values().all(|place| own.peer <= place.peer);
            if all && first {
                tracing::info!(replicas = fresh.len(), "a new registry begins");
                if let Err(error) = self.raft.initialize(fresh).await {
                    tracing::warn!(cause = %error, "it could not begin");
                }
            }
            sleep(BEGIN).await;
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

    /// What its figures are read from.
    pub fn levels(&self) -> Levels {
        let metrics = self.raft.metrics().borrow().clone();
        let state = self.shared.read();
        Levels {
            rev: state.list.rev(),
            instances: state.list.lines().count(),
            suspects: state.list.lines().filter(|line| line.suspect).count(),
            watches: self.watches.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
            leads: metrics.current_leader == Some(self.id),
            term: metrics.current_term,
            applied: metrics.last_applied.map_or(0, |id| id.index),
            age_s: self.age().map(|age| age.as_secs_f64()),
            store: self.store.size(),
        }
    }

    /// How it stands, for a person or a script.
    pub fn status(&self) -> Value {
        let metrics = self.raft.metrics().borrow().clone();
        let levels = self.levels();
        let voters = self.voters();
        let replicas: Vec<Value> = self
            .members()
            .into_iter()
            .map(|(id, place)| {
                let behind = metrics.replication.as_ref().and_then(|all| all.get(&id)).map(|at| {
                    metrics.last_log_index.unwrap_or(0).saturating_sub(at.map_or(0, |at| at.index))
                });
                json!({"id": id, "peer": place.peer, "client": place.client, "votes": voters.contains(&id),
                    "leads": metrics.current_leader == Some(id), "entries_behind": behind})
            })
            .collect();
        let mut zones: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
        let state = self.shared.read();
        for Line { instance, state, suspect, .. } in state.list.lines() {
            let zone = zones.entry(instance.zone.clone()).or_default();
            zone.0 += u64::from(*state == Stage::Ready);
            zone.1 += u64::from(*state == Stage::Terminating);
            zone.2 += u64::from(*suspect);
        }
        let zones: BTreeMap<String, Value> = zones
            .into_iter()
            .map(|(name, (ready, draining, suspects))| {
                (name, json!({"ready": ready, "draining": draining, "suspects": suspects}))
            })
            .collect();
        json!({
            "fleet": self.settings.fleet, "id": self.id, "leads": levels.leads,
            "ready": self.unready().is_none(), "unready": self.unready(),
            "term": levels.term, "applied": levels.applied, "log": metrics.last_log_index,
            "snapshot": metrics.snapshot.map(|id| id.index), "purged": metrics.purged.map(|id| id.index),
            "incarnation": state.list.incarnation(), "rev": levels.rev,
            "age_ms": self.age().map(|age| age.as_millis() as u64),
            "replicas": replicas, "zones": zones, "watches": levels.watches,
            "connections": levels.connections, "store_bytes": levels.store,
        })
    }
}
