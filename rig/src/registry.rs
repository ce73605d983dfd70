//! The registry in a run of an experiment: its replicas, the instances that register, the clients that watch, its
//! faults and its measurements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_model::invariants::Rule;
use flaxdale_model::scenario::Registry as Settings;
use flaxdale_model::world::{FaultAction, LinkEnd, SECOND};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::nodes::LaunchConfig;
use crate::registrar::Registrar;
use crate::relay::Relay;
use crate::replicas::Replicas;
use crate::servers::AppServer;
use crate::shared::{Shared, lock};
use crate::watchers::Watchers;

/// How long the registrations before the start of the load may take.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait for a replica that a fault can be applied to, such as an elected leader.
const TARGET_TIMEOUT: Duration = Duration::from_secs(5);
/// Hold time of the watches of the checking clients.
const WATCH_HOLD: Duration = Duration::from_secs(2);
/// Hold time of the watches of the load clients; the same as that of nodes.
const LOAD_WATCH_HOLD: Duration = Duration::from_secs(5);
/// Number of watches that are opened at a time; more would overflow the accept queue of the replica.
const WATCH_BATCH: usize = 100;

/// Counters of all replicas at one time.
#[derive(Clone, Copy, Default)]
struct Counters {
    cpu_ticks: u64,
    log_entries: f64,
    confirmations: f64,
    renewals: f64,
    at: Nanos,
}

/// A part of the run with a constant number of watches.
struct WatchStep {
    watches: u32,
    from: Nanos,
    to: Nanos,
    memory_kib: u64,
}

/// The registry of a run.
pub struct Registry {
    shared: Arc<Shared>,
    settings: Settings,
    /// Its replica processes.
    pub replicas: Replicas,
    registrar: Arc<Registrar>,
    /// Clients that check the list during the whole run.
    watchers: Arc<Watchers>,
    /// Clients that are added in steps to put load on one replica.
    load_watchers: Arc<Watchers>,
    /// The faults in effect and the replicas they affect.
    active_faults: Mutex<Vec<(FaultAction, usize)>>,
    watch_steps: Mutex<Vec<WatchStep>>,
    /// Whether any replica was restarted.
    restarted: AtomicBool,
    /// Counters of all replicas and memory of the first one, in KiB, at the start of the load.
    baseline: Mutex<(Counters, u64)>,
    stop_writes: watch::Sender<bool>,
}

impl Registry {
    /// Prepares a registry without starting its processes. `has_link_fault` tells whether a fault affects the link
    /// between two ends.
    pub fn prepare(
        settings: &Settings,
        binary: PathBuf,
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        folder: &Path,
        servers: &[Arc<AppServer>],
        has_link_fault: impl Fn(LinkEnd, LinkEnd) -> bool,
    ) -> std::io::Result<Arc<Self>> {
        let replicas_have_link_fault =
            |first, second| has_link_fault(LinkEnd::Replica(first), LinkEnd::Replica(second));
        let replicas =
            Replicas::prepare(binary, launch, shared.clone(), settings, folder, replicas_have_link_fault)?;
        let addresses: Vec<SocketAddr> = replicas.all.iter().map(|replica| replica.client_address).collect();
        let endpoints =
            servers.iter().filter(|server| server.is_up()).map(|server| server.address()).collect();
        let registrar = Registrar::new(shared.clone(), settings.clone(), addresses.clone(), endpoints);
        let registrations = registrar.log.clone();
        let watchers = Watchers::new(shared.clone(), registrations.clone(), addresses.clone(), WATCH_HOLD);
        let load_watchers = Watchers::new(shared.clone(), registrations, addresses, LOAD_WATCH_HOLD);
        let (active_faults, watch_steps, restarted, baseline) = Default::default();
        let (settings, stop_writes) = (settings.clone(), watch::Sender::new(false));
        Ok(Arc::new(Self {
            shared,
            settings,
            replicas,
            registrar,
            watchers,
            load_watchers,
            active_faults,
            watch_steps,
            restarted,
            baseline,
            stop_writes,
        }))
    }

    /// Addresses of the replicas for a node; those of relays where a fault affects the link.
    pub fn addresses(
        &self,
        node: usize,
        has_link_fault: impl Fn(LinkEnd, LinkEnd) -> bool,
    ) -> std::io::Result<Vec<SocketAddr>> {
        let info = &self.shared.world.nodes[node];
        let mut addresses = Vec::new();
        for (index, replica) in self.replicas.all.iter().enumerate() {
            addresses.push(if has_link_fault(LinkEnd::Node(node), LinkEnd::Replica(index)) {
                let node_end = (LinkEnd::Node(node), info.zone);
                Relay::start(
                    self.shared.clone(),
                    node_end,
                    flaxdale_model::timeline::replica_end(index),
                    replica.client_address,
                )?
            } else {
                replica.client_address
            });
        }
        Ok(addresses)
    }

    /// Starts the replicas and waits until all instances that exist from the start are registered. Returns an error
    /// message otherwise.
    pub async fn start(
        self: &Arc<Self>,
        servers: &[Arc<AppServer>],
        ready_timeout: Duration,
    ) -> Result<(), String> {
        self.replicas.start_all(ready_timeout).await?;
        let up = servers.iter().filter(|server| server.is_up()).count();
        for server in servers {
            tokio::spawn(self.registrar.clone().run_server(server.clone()));
        }
        tokio::spawn(self.registrar.clone().run_additional_instances());
        let expected = up + self.settings.instances as usize;
        let started_at = tokio::time::Instant::now();
        while lock(&self.registrar.log.renewing).len() < expected {
            if started_at.elapsed() > REGISTRATION_TIMEOUT {
                let registered = lock(&self.registrar.log.renewing).len();
                return Err(format!("only {registered} of {expected} instances could register"));
            }
            sleep(POLL_INTERVAL).await;
        }
        let count = self.replicas.all.len();
        (0..self.settings.watchers as usize).for_each(|index| self.watchers.add(index % count));
        Ok(())
    }

    /// Starts the writes and the steps of watches.
    pub async fn start_load(self: &Arc<Self>, start: Nanos, duration: Nanos) {
        let memory_kib = self.replicas.resource_usage(0).map_or(0, |usage| usage.memory_kib);
        *lock(&self.baseline) = (self.read_counters().await, memory_kib);
        tokio::spawn(self.registrar.clone().write(self.stop_writes.subscribe()));
        if !self.settings.watcher_steps.is_empty() {
            tokio::spawn(self.clone().run_watch_steps(start, duration));
        }
    }

    async fn run_watch_steps(self: Arc<Self>, start: Nanos, duration: Nanos) {
        let step_duration = duration / self.settings.watcher_steps.len() as u64;
        let mut open = 0;
        for (number, &watches) in (1..).zip(&self.settings.watcher_steps) {
            while open < watches as usize {
                let batch = WATCH_BATCH.min(watches as usize - open);
                (0..batch).for_each(|_| self.load_watchers.add(0));
                open += batch;
                while self.load_watchers.ready_count() < open {
                    sleep(Duration::from_millis(5)).await;
                }
            }
            let (from, to) = (self.shared.clock.now(), start + number * step_duration);
            self.shared.clock.sleep_until(to).await;
            let memory_kib = self.replicas.resource_usage(0).map_or(0, |usage| usage.memory_kib);
            lock(&self.watch_steps).push(WatchStep { watches, from, to, memory_kib });
        }
    }

    async fn read_counters(&self) -> Counters {
        let mut counters = Counters { at: self.shared.clock.now(), ..Counters::default() };
        for index in 0..self.replicas.all.len() {
            counters.cpu_ticks += self.replicas.resource_usage(index).map_or(0, |usage| usage.cpu_ticks);
            counters.log_entries += self.replicas.metric(index, "log_entries_total").await.unwrap_or(0.0);
            counters.confirmations += self.replicas.metric(index, "confirmations_total").await.unwrap_or(0.0);
            counters.renewals += self.replicas.metric(index, "renewals_total").await.unwrap_or(0.0);
        }
        counters
    }

    /// Begins or ends a fault of a replica.
    pub async fn apply_fault(&self, action: FaultAction, begins: bool) {
        let target = match action {
            FaultAction::KillReplica(target)
            | FaultAction::PauseReplica(target)
            | FaultAction::LoseReplica(target) => target,
            _ => return,
        };
        let index = if begins { self.pick_target(target).await } else { self.take_active_fault(&action) };
        let Some(index) = index else {
            self.shared.record_event(
                "fault-missed",
                json!({"fault": format!("{action:?}"), "why": "no replica to apply it to"}),
            );
            return;
        };
        let name = self.replicas.all[index].name.clone();
        self.shared.record_event("replica-harmed", json!({"replica": name, "begins": begins}));
        match (&action, begins) {
            (FaultAction::PauseReplica(_), _) => drop(self.replicas.set_paused(index, begins)),
            (FaultAction::KillReplica(_), true) => self.replicas.kill(index, true).await,
            (FaultAction::LoseReplica(_), true) => self.replicas.kill(index, false).await,
            _ => {
                self.restarted.store(true, Ordering::Relaxed);
                if let Err(error) = self.replicas.start(index) {
                    self.shared.record_violation(Rule::ProcessesEnded, name, error.to_string());
                }
            }
        }
        if begins {
            lock(&self.active_faults).push((action, index));
        }
    }

    async fn pick_target(&self, target: Option<usize>) -> Option<usize> {
        let started_at = tokio::time::Instant::now();
        let unaffected =
            |index: &usize| !lock(&self.active_faults).iter().any(|(_, affected)| affected == index);
        loop {
            let candidate = match target {
                Some(index) => Some(index),
                None => self.replicas.leader().await,
            };
            if let Some(index) = candidate.filter(unaffected) {
                return Some(index);
            }
            if started_at.elapsed() > TARGET_TIMEOUT {
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn take_active_fault(&self, action: &FaultAction) -> Option<usize> {
        let mut active_faults = lock(&self.active_faults);
        let position = active_faults.iter().position(|(active, _)| active == action)?;
        Some(active_faults.remove(position).1)
    }

    /// Records replicas that have exited unexpectedly as rule violations.
    pub fn check_processes(&self) {
        for index in 0..self.replicas.all.len() {
            if let Some(exit) = self.replicas.reap(index) {
                self.shared.record_violation(
                    Rule::ProcessesEnded,
                    self.replicas.all[index].name.clone(),
                    exit,
                );
            }
        }
    }

    /// Checks the rules of the registry after the load and returns its measurements.
    pub async fn finish(&self) -> BTreeMap<String, f64> {
        let last = self.read_counters().await;
        self.stop_writes.send_replace(true);
        self.watchers.check_final_lists().await;
        let (first, memory_kib) = *lock(&self.baseline);
        let mut measures = BTreeMap::new();
        let mut insert = |name: &str, value: f64| {
            measures.insert(format!("registry_{name}"), value);
        };
        let seconds = (last.at - first.at) as f64 / SECOND as f64;
        let registrations = &self.registrar.log;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
        insert("writes", lock(&registrations.acknowledged).len() as f64);
        insert("write_gap_ms_max", read(&registrations.max_write_gap) / 1e6);
        if let Some(latency) =
            lock(&registrations.write_latency_us).as_ref().filter(|latency| !latency.is_empty())
        {
            insert("write_ms_p50", latency.value_at_quantile(0.5) as f64 / 1000.0);
            insert("write_ms_p99", latency.value_at_quantile(0.99) as f64 / 1000.0);
        }
        insert("renewals_missed", read(&registrations.failed_renewals));
        // The counters of a restarted replica begin at 0, so the differences would be wrong.
        if !self.restarted.load(Ordering::Relaxed) {
            insert("renewals_per_s", (last.renewals - first.renewals) / seconds);
            insert("log_entries_per_s", (last.log_entries - first.log_entries) / seconds);
            insert("confirmations_per_s", (last.confirmations - first.confirmations) / seconds);
            insert("cpu_ms_per_s", (last.cpu_ticks - first.cpu_ticks) as f64 * 10.0 / seconds);
        }
        let stats = self.watchers.stats(first.at, last.at);
        insert("watch_silent_ms_max", stats.max_silence_ms);
        if let Some(p99) = stats.propagation_quantile_ms(0.99) {
            insert("heard_ms_p99", p99);
        }
        for step in lock(&self.watch_steps).iter() {
            let stats = self.load_watchers.stats(step.from, step.to.saturating_sub(SECOND));
            let watches = step.watches;
            insert(&format!("crowd_heard.{watches}"), stats.propagation_ms.len() as f64);
            for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                if let Some(ms) = stats.propagation_quantile_ms(quantile) {
                    insert(&format!("crowd_heard_ms_{name}.{watches}"), ms);
                }
            }
            let added_kib = step.memory_kib.saturating_sub(memory_kib) as f64;
            insert(&format!("kib_per_watch.{watches}"), added_kib / f64::from(watches));
        }
        measures
    }

    /// Stops all replicas and checks that each exits on SIGTERM.
    pub async fn stop(&self) {
        for index in 0..self.replicas.all.len() {
            if self.replicas.pid(index).is_none() {
                continue;
            }
            lock(&self.shared.tracker).invariants.record_check(Rule::ProcessesEnded);
            if !self.replicas.stop(index).await {
                let detail = "did not exit after SIGTERM and was killed".to_owned();
                self.shared.record_violation(
                    Rule::ProcessesEnded,
                    self.replicas.all[index].name.clone(),
                    detail,
                );
            }
        }
    }
}
