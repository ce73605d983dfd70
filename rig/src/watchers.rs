//! Registry clients that watch the list and check it: revisions never decrease and no live instance is listed as gone.
//! They measure how long each change takes to arrive and how long no response arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::watch::{INSTANCES_PATH, ListHeader, ListUpdate, WatchClient, WatchPolicy};
use flaxdale_model::invariants::Rule;
use hyper::StatusCode;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::registrar::RegistrationLog;
use crate::shared::{Shared, lock};

const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of revisions whose arrival is recorded per client.
const MAX_ARRIVALS: usize = 4096;
/// How long after the load a client may take to have the committed list.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    state: String,
    boot_ms: u64,
}

/// What one client has received.
#[derive(Default)]
struct ClientState {
    started_at: Nanos,
    list: BTreeMap<String, Target>,
    rev: u64,
    /// Arrival time of each revision.
    arrivals: Vec<(u64, Nanos)>,
    last_response: Option<Nanos>,
    /// Longest time between two responses, or between the start and the first one.
    max_silence: Nanos,
}

impl ClientState {
    fn new(started_at: Nanos) -> Self {
        Self { started_at, ..Self::default() }
    }

    /// Longest time without a response until `now`.
    fn silence_until(&self, now: Nanos) -> Nanos {
        let last_contact = self.last_response.unwrap_or(self.started_at);
        self.max_silence.max(now.saturating_sub(last_contact))
    }

    fn record_response(&mut self, now: Nanos) {
        self.max_silence = self.silence_until(now);
        self.last_response = Some(now);
    }
}

/// A group of watching clients.
pub struct Watchers {
    shared: Arc<Shared>,
    registrations: Arc<RegistrationLog>,
    addresses: Vec<SocketAddr>,
    policy: WatchPolicy,
    clients: Mutex<Vec<Arc<Mutex<ClientState>>>>,
}

/// Measurements of all clients of a group.
#[derive(Clone, Debug, Default)]
pub struct WatchStats {
    /// Time from each change to its arrival at each client, in milliseconds, sorted.
    pub propagation_ms: Vec<f64>,
    /// Longest time without a response to a client, in milliseconds.
    pub max_silence_ms: f64,
}

impl Watchers {
    /// A group without clients.
    pub fn new(
        shared: Arc<Shared>,
        registrations: Arc<RegistrationLog>,
        addresses: Vec<SocketAddr>,
        hold: Duration,
    ) -> Arc<Self> {
        let policy = WatchPolicy { hold, ..WatchPolicy::default() };
        Arc::new(Self { shared, registrations, addresses, policy, clients: Mutex::default() })
    }

    /// Adds a client that first watches the replica with this index. Its task runs until the runtime ends.
    pub fn add(self: &Arc<Self>, first_replica: usize) {
        let state = Arc::new(Mutex::new(ClientState::new(self.shared.clock.now())));
        lock(&self.clients).push(state.clone());
        tokio::spawn(self.clone().watch(first_replica, state));
    }

    /// Number of clients that have received a list.
    pub fn ready_count(&self) -> usize {
        lock(&self.clients).iter().filter(|state| lock(state).rev > 0).count()
    }

    async fn watch(self: Arc<Self>, first_replica: usize, state: Arc<Mutex<ClientState>>) {
        let count = self.addresses.len();
        let mut replicas: Vec<HttpClient> = (0..count)
            .map(|offset| HttpClient::new(self.addresses[(first_replica + offset) % count]))
            .collect();
        let mut watch_client = WatchClient::new(self.policy, count, 0.0);
        let clock = self.shared.clock;
        let started_at = clock.now();
        let elapsed = || Duration::from_nanos(clock.now() - started_at);
        loop {
            let (send_at, request) = watch_client.next_request(elapsed());
            sleep(send_at.saturating_sub(elapsed())).await;
            let sent_at = elapsed();
            let response = replicas[request.replica]
                .call(&Call::get(request.path_and_query(), request.timeout, MAX_LIST_BYTES))
                .await;
            let response = response.ok().filter(|response| response.status == StatusCode::OK);
            let list = response.and_then(|response| {
                Some((serde_json::from_slice::<List>(&response.body).ok()?, response.list_age()))
            });
            let Some((list, age)) = list else {
                // The jitter differs between clients, as in a real fleet.
                watch_client.on_failure(elapsed(), None, (first_replica % 10) as f64 / 10.0);
                continue;
            };
            let mut tracker = lock(&self.shared.tracker);
            tracker.invariants.record_check(Rule::RegistryForward);
            drop(tracker);
            if request.seen.is_some_and(|rev| list.rev < rev) {
                let detail = format!("received revision {} after {:?}", list.rev, request.seen);
                self.shared.record_violation(
                    Rule::RegistryForward,
                    format!("watcher of r{first_replica}"),
                    detail,
                );
            }
            let header = ListHeader { incarnation: list.incarnation, rev: list.rev, full: list.all, age };
            let update = watch_client.on_response(sent_at, elapsed(), header);
            self.apply(&state, update, list);
        }
    }

    fn apply(&self, state: &Mutex<ClientState>, update: ListUpdate, list: List) {
        let now = self.shared.clock.now();
        let mut state = lock(state);
        state.record_response(now);
        if update == ListUpdate::Ignore {
            return;
        }
        let mut gone = Vec::new();
        if update == ListUpdate::Full {
            let listed: BTreeSet<&String> = list.targets.iter().map(|target| &target.uid).collect();
            gone.extend(state.list.keys().filter(|uid| !listed.contains(uid)).cloned());
            state.list.clear();
        }
        if list.rev > state.rev && state.arrivals.len() < MAX_ARRIVALS {
            state.arrivals.push((list.rev, now));
        }
        state.rev = list.rev;
        for target in list.targets {
            if target.state == "Gone" {
                state.list.remove(&target.uid);
                gone.push(target.uid);
            } else {
                state.list.insert(target.uid.clone(), target);
            }
        }
        drop(state);
        for uid in gone {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistryBelieves);
            if lock(&self.registrations.renewing).contains(&uid) {
                self.shared.record_violation(
                    Rule::RegistryBelieves,
                    uid,
                    "listed as gone although it renews its lease".to_owned(),
                );
            }
        }
    }

    /// Checks that all acknowledged registrations are on the committed list, and that every client gets that list in
    /// time.
    pub async fn check_final_lists(&self) {
        let Some(committed) = self.committed_list().await else {
            self.shared.record_violation(
                Rule::RegistrySame,
                "registry".to_owned(),
                "no replica returns its list".to_owned(),
            );
            return;
        };
        for uid in lock(&self.registrations.acknowledged).iter() {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistryKeeps);
            if !committed.contains_key(uid) {
                self.shared.record_violation(
                    Rule::RegistryKeeps,
                    uid.clone(),
                    "acknowledged but not on the committed list".to_owned(),
                );
            }
        }
        let clients = lock(&self.clients).clone();
        let converged = async {
            while !clients.iter().all(|state| lock(state).list == committed) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let in_time = timeout(CONVERGENCE_TIMEOUT, converged).await.is_ok();
        for (index, state) in clients.iter().enumerate() {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistrySame);
            let list = lock(state).list.clone();
            if !in_time && list != committed {
                let detail =
                    format!("has {} instances, the committed list has {}", list.len(), committed.len());
                self.shared.record_violation(Rule::RegistrySame, format!("watcher {index}"), detail);
            }
        }
    }

    /// The newest list of any replica, once two reads in a row return the same revision.
    async fn committed_list(&self) -> Option<BTreeMap<String, Target>> {
        let read_newest = async || {
            let mut newest: Option<List> = None;
            for address in &self.addresses {
                let call = Call::get(INSTANCES_PATH, Duration::from_secs(2), MAX_LIST_BYTES);
                let Ok(response) = HttpClient::new(*address).call(&call).await else { continue };
                let list = serde_json::from_slice::<List>(&response.body).ok();
                let newer = |list: &List| newest.as_ref().is_none_or(|newest| list.rev > newest.rev);
                newest = list.filter(newer).or(newest);
            }
            newest
        };
        let stable = async {
            let mut previous_rev = None;
            loop {
                let newest = read_newest().await;
                if let Some(list) = newest {
                    if previous_rev == Some(list.rev) {
                        return list;
                    }
                    previous_rev = Some(list.rev);
                }
                sleep(Duration::from_millis(500)).await;
            }
        };
        let list = timeout(CONVERGENCE_TIMEOUT, stable).await.ok()?;
        Some(list.targets.into_iter().map(|target| (target.uid.clone(), target)).collect())
    }

    /// Measurements of the changes that were sent between two times.
    pub fn stats(&self, from: Nanos, to: Nanos) -> WatchStats {
        let sent_at = lock(&self.registrations.sent_at).clone();
        let mut stats = WatchStats::default();
        for state in lock(&self.clients).iter() {
            let state = lock(state);
            stats.max_silence_ms = stats.max_silence_ms.max(state.silence_until(to) as f64 / 1e6);
            let mut previous_rev = 0;
            for &(rev, arrived_at) in &state.arrivals {
                for (_, &sent_at) in
                    sent_at.range(previous_rev + 1..=rev).filter(|(_, sent_at)| (from..to).contains(*sent_at))
                {
                    // The first list of a client contains changes made before the client started.
                    if previous_rev > 0 {
                        stats.propagation_ms.push(arrived_at.saturating_sub(sent_at) as f64 / 1e6);
                    }
                }
                previous_rev = rev;
            }
        }
        stats.propagation_ms.sort_by(f64::total_cmp);
        stats
    }
}

impl WatchStats {
    /// Quantile of the propagation time.
    pub fn propagation_quantile_ms(&self, quantile: f64) -> Option<f64> {
        let index = (quantile * self.propagation_ms.len().saturating_sub(1) as f64).round() as usize;
        self.propagation_ms.get(index).copied()
    }
}

#[cfg(test)]
mod tests;
