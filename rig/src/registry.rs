//! A fleet's own registry in a run: its processes, who registers there and who watches, the faults that concern it, and
//! what it came to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_model::invariants::Rule;
use flaxdale_model::scenario::Registry as Plan;
use flaxdale_model::world::{FaultAction, LinkEnd, SECOND};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::nodes::LaunchConfig;
use crate::registrants::Registrants;
use crate::relay::Relay;
use crate::replicas::Replicas;
use crate::servers::AppServer;
use crate::shared::{Shared, lock};
use crate::watchers::Watchers;

/// Everybody that is to register before the load begins has so long.
const COME: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);
/// How long a replica to be harmed is looked for, if it is the one that leads.
const LEADS: Duration = Duration::from_secs(5);
/// How long a watch of the clients that keep account waits.
const HOLD: Duration = Duration::from_secs(2);
/// The crowd's watches wait as long as nodes' do.
const CROWD_HOLD: Duration = Duration::from_secs(5);
/// Watches that are opened at a time: all at once would overrun the queue of new connections.
const COME_AT_A_TIME: usize = 100;

/// What was read off the processes at one time.
#[derive(Clone, Copy, Default)]
struct Reading {
    cpu_ticks: u64,
    entries: f64,
    rounds: f64,
    renewals: f64,
    at: Nanos,
}

/// A part of the run with so many watches.
struct Stage {
    watches: u32,
    from: Nanos,
    to: Nanos,
    memory_kib: u64,
}

/// The registry of a run.
pub struct Registry {
    shared: Arc<Shared>,
    plan: Plan,
    /// Its processes.
    pub replicas: Replicas,
    registrants: Arc<Registrants>,
    watchers: Arc<Watchers>,
    crowd: Arc<Watchers>,
    /// Who was harmed by which fault, until it ends.
    harmed: Mutex<Vec<(FaultAction, usize)>>,
    stages: Mutex<Vec<Stage>>,
    /// Whether any process was started again.
    restarted: AtomicBool,
    first: Mutex<(Reading, u64)>,
    stop: watch::Sender<bool>,
}

impl Registry {
    /// Prepares a registry; no process runs yet. `touched` tells of two parties whether a fault concerns the link between.
    pub fn prepare(
        plan: &Plan,
        binary: PathBuf,
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        folder: &Path,
        servers: &[Arc<AppServer>],
        touched: impl Fn(LinkEnd, LinkEnd) -> bool,
    ) -> std::io::Result<Arc<Self>> {
        let between = |one, other| touched(LinkEnd::Replica(one), LinkEnd::Replica(other));
        let replicas = Replicas::prepare(binary, launch, shared.clone(), plan, folder, between)?;
        let addresses: Vec<SocketAddr> = replicas.all.iter().map(|one| one.client).collect();
        let endpoints =
            servers.iter().filter(|server| server.is_up()).map(|server| server.address()).collect();
        let registrants = Registrants::new(shared.clone(), plan.clone(), addresses.clone(), endpoints);
        let register = registrants.register.clone();
        let watchers = Watchers::new(shared.clone(), register.clone(), addresses.clone(), HOLD);
        let crowd = Watchers::new(shared.clone(), register, addresses, CROWD_HOLD);
        let (harmed, stages, restarted, first) = Default::default();
        let (plan, stop) = (plan.clone(), watch::Sender::new(false));
        Ok(Arc::new(Self {
            shared,
            plan,
            replicas,
            registrants,
            watchers,
            crowd,
            harmed,
            stages,
            restarted,
            first,
            stop,
        }))
    }

    /// Where a node finds the replicas; links stand between where a fault concerns them.
    pub fn addresses(
        &self,
        node: usize,
        touched: impl Fn(LinkEnd, LinkEnd) -> bool,
    ) -> std::io::Result<Vec<SocketAddr>> {
        let info = &self.shared.world.nodes[node];
        let mut addresses = Vec::new();
        for (number, replica) in self.replicas.all.iter().enumerate() {
            addresses.push(if touched(LinkEnd::Node(node), LinkEnd::Replica(number)) {
                let own = (LinkEnd::Node(node), info.zone);
                Relay::start(
                    self.shared.clone(),
                    own,
                    flaxdale_model::timeline::replica_end(number),
                    replica.client,
                )?
            } else {
                replica.client
            });
        }
        Ok(addresses)
    }

    /// Starts the processes and has everybody register who is there from the start. The text says what did not come.
    pub async fn start(
        self: &Arc<Self>,
        servers: &[Arc<AppServer>],
        patience: Duration,
    ) -> Result<(), String> {
        self.replicas.start_all(patience).await?;
        let up = servers.iter().filter(|server| server.is_up()).count();
        for server in servers {
            tokio::spawn(self.registrants.clone().keep(server.clone()));
        }
        tokio::spawn(self.registrants.clone().crowd());
        let wanted = up + self.plan.instances as usize;
        let began = tokio::time::Instant::now();
        while lock(&self.registrants.register.alive).len() < wanted {
            if began.elapsed() > COME {
                let came = lock(&self.registrants.register.alive).len();
                return Err(format!("{came} of {wanted} instances could register"));
            }
            sleep(LOOK).await;
        }
        let count = self.replicas.all.len();
        (0..self.plan.watchers as usize).for_each(|number| self.watchers.add(number % count));
        Ok(())
    }

    /// The load begins: writes, and watches in their steps.
    pub async fn start_load(self: &Arc<Self>, start: Nanos, span: Nanos) {
        let memory = self.replicas.resource_usage(0).map_or(0, |usage| usage.memory_kib);
        *lock(&self.first) = (self.read().await, memory);
        tokio::spawn(self.registrants.clone().write(self.stop.subscribe()));
        if !self.plan.watcher_steps.is_empty() {
            tokio::spawn(self.clone().come(start, span));
        }
    }

    async fn come(self: Arc<Self>, start: Nanos, span: Nanos) {
        let part = span / self.plan.watcher_steps.len() as u64;
        let mut there = 0;
        for (number, &watches) in (1..).zip(&self.plan.watcher_steps) {
            while there < watches as usize {
                let more = COME_AT_A_TIME.min(watches as usize - there);
                (0..more).for_each(|_| self.crowd.add(0));
                there += more;
                while self.crowd.ready() < there {
                    sleep(Duration::from_millis(5)).await;
                }
            }
            let (from, to) = (self.shared.clock.now(), start + number * part);
            self.shared.clock.sleep_until(to).await;
            let memory_kib = self.replicas.resource_usage(0).map_or(0, |usage| usage.memory_kib);
            lock(&self.stages).push(Stage { watches, from, to, memory_kib });
        }
    }

    async fn read(&self) -> Reading {
        let mut all = Reading { at: self.shared.clock.now(), ..Reading::default() };
        for at in 0..self.replicas.all.len() {
            all.cpu_ticks += self.replicas.resource_usage(at).map_or(0, |usage| usage.cpu_ticks);
            all.entries += self.replicas.figure(at, "log_entries_total").await.unwrap_or(0.0);
            all.rounds += self.replicas.figure(at, "confirmations_total").await.unwrap_or(0.0);
            all.renewals += self.replicas.figure(at, "renewals_total").await.unwrap_or(0.0);
        }
        all
    }

    /// Plays a fault that concerns a replica.
    pub async fn apply_fault(&self, act: FaultAction, begins: bool) {
        let who = match act {
            FaultAction::KillReplica(who)
            | FaultAction::PauseReplica(who)
            | FaultAction::LoseReplica(who) => who,
            _ => return,
        };
        let at = if begins { self.whom(who).await } else { self.was_harmed(&act) };
        let Some(at) = at else {
            self.shared
                .record_event("fault-missed", json!({"fault": format!("{act:?}"), "why": "nobody to harm"}));
            return;
        };
        let name = self.replicas.all[at].name.clone();
        self.shared.record_event("replica-harmed", json!({"replica": name, "begins": begins}));
        match (&act, begins) {
            (FaultAction::PauseReplica(_), _) => drop(self.replicas.set_paused(at, begins)),
            (FaultAction::KillReplica(_), true) => self.replicas.kill(at, true).await,
            (FaultAction::LoseReplica(_), true) => self.replicas.kill(at, false).await,
            _ => {
                self.restarted.store(true, Ordering::Relaxed);
                if let Err(error) = self.replicas.start(at) {
                    self.shared.record_violation(Rule::ProcessesEnded, name, error.to_string());
                }
            }
        }
        if begins {
            lock(&self.harmed).push((act, at));
        }
    }

    async fn whom(&self, who: Option<usize>) -> Option<usize> {
        let began = tokio::time::Instant::now();
        let free = |at: &usize| !lock(&self.harmed).iter().any(|(_, harmed)| harmed == at);
        loop {
            let found = match who {
                Some(at) => Some(at),
                None => self.replicas.leader().await,
            };
            if let Some(at) = found.filter(free) {
                return Some(at);
            }
            if began.elapsed() > LEADS {
                return None;
            }
            sleep(LOOK).await;
        }
    }

    fn was_harmed(&self, act: &FaultAction) -> Option<usize> {
        let mut harmed = lock(&self.harmed);
        let at = harmed.iter().position(|(by, _)| by == act)?;
        Some(harmed.remove(at).1)
    }

    /// Looks whether a process has ended by itself.
    pub fn check_processes(&self) {
        for at in 0..self.replicas.all.len() {
            if let Some(how) = self.replicas.reap(at) {
                self.shared.record_violation(Rule::ProcessesEnded, self.replicas.all[at].name.clone(), how);
            }
        }
    }

    /// The load is over: holds the rules on what the registry told, and tells what it came to.
    pub async fn finish(&self) -> BTreeMap<String, f64> {
        let last = self.read().await;
        self.stop.send_replace(true);
        self.watchers.settle().await;
        let (first, memory) = *lock(&self.first);
        let mut measures = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            measures.insert(format!("registry_{name}"), value);
        };
        let seconds = (last.at - first.at) as f64 / SECOND as f64;
        let register = &self.registrants.register;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
        put("writes", lock(&register.acknowledged).len() as f64);
        put("write_gap_ms_max", load(&register.gap) / 1e6);
        if let Some(took) = lock(&register.took).as_ref().filter(|took| !took.is_empty()) {
            put("write_ms_p50", took.value_at_quantile(0.5) as f64 / 1000.0);
            put("write_ms_p99", took.value_at_quantile(0.99) as f64 / 1000.0);
        }
        put("renewals_missed", load(&register.missed));
        // A replica that was started again counts from 0: then these say nothing.
        if !self.restarted.load(Ordering::Relaxed) {
            put("renewals_per_s", (last.renewals - first.renewals) / seconds);
            put("log_entries_per_s", (last.entries - first.entries) / seconds);
            put("confirmations_per_s", (last.rounds - first.rounds) / seconds);
            put("cpu_ms_per_s", (last.cpu_ticks - first.cpu_ticks) as f64 * 10.0 / seconds);
        }
        let whole = self.watchers.account(first.at, last.at);
        put("watch_silent_ms_max", whole.silent_ms);
        if let Some(p99) = whole.heard_by(0.99) {
            put("heard_ms_p99", p99);
        }
        for stage in lock(&self.stages).iter() {
            let account = self.crowd.account(stage.from, stage.to.saturating_sub(SECOND));
            let of = stage.watches;
            put(&format!("crowd_heard.{of}"), account.heard_ms.len() as f64);
            for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
                if let Some(ms) = account.heard_by(share) {
                    put(&format!("crowd_heard_ms_{name}.{of}"), ms);
                }
            }
            let more = stage.memory_kib.saturating_sub(memory) as f64;
            put(&format!("kib_per_watch.{of}"), more / f64::from(of));
        }
        measures
    }

    /// Ends every process, and holds that each ended as it was told to.
    pub async fn stop(&self) {
        for at in 0..self.replicas.all.len() {
            if self.replicas.pid(at).is_none() {
                continue;
            }
            lock(&self.shared.tracker).invariants.record_check(Rule::ProcessesEnded);
            if !self.replicas.stop(at).await {
                let what = "did not end after SIGTERM, and was killed".to_owned();
                self.shared.record_violation(Rule::ProcessesEnded, self.replicas.all[at].name.clone(), what);
            }
        }
    }
}
