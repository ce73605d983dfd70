//! Runs an experiment on sockets: real node processes between emulated app servers, discovery agents and clients, with
//! fault injection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_fleet::clock::Clock;
use flaxdale_model::invariants::{InvariantChecker, Rule, Tolerances};
use flaxdale_model::scenario::Range;
use flaxdale_model::server::ServerFault;
use flaxdale_model::stats::OutcomeCounts;
use flaxdale_model::timeline::{DISCOVERY_END, Timeline};
use flaxdale_model::world::{
    FaultAction, LinkEnd, SECOND, ScheduledFault, World, millis, rng_stream, seconds,
};
use rand::RngExt;
use serde_json::json;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::cleanup::CleanupProcess;
use crate::discovery::{DiscoveryAgent, Endpoints};
use crate::experiment::Experiment;
use crate::fleet_file::FleetFile;
use crate::load_generator::{ANSWER_SLACK, LoadGenerator};
use crate::nodes::{LaunchConfig, NodeError, NodeProcess};
use crate::registry::Registry;
use crate::relay::{MAX_LINKS, Relay, ZonedEnd};
use crate::servers::{AppServer, InitialState};
use crate::shared::{Shared, lock};

/// Maximum number of nodes that are started concurrently.
const MAX_CONCURRENT_STARTS: usize = 12;
/// Delay between the readiness of the last node and the start of the load.
const LOAD_START_DELAY: Nanos = SECOND / 4;
/// Interval of the checks on processes and their resource usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Range in seconds of the time until the frontend of a zone stops sending to a dead node.
const FRONTEND_DETECTION_S: Range = Range::new(1.1, 3.9);
/// How long the frontend goes on sending to a node that is shutting down.
const FRONTEND_DRAIN_DELAY: Duration = Duration::from_millis(300);
/// Milliseconds per clock tick of the kernel's CPU accounting.
const MS_PER_CLOCK_TICK: f64 = 10.0;

/// What to run, and the programs it needs.
pub struct RunOptions {
    /// The experiment to run.
    pub experiment: Experiment,
    /// Seed of all random choices.
    pub seed: u64,
    /// Binary of the nodes.
    pub node_binary: PathBuf,
    /// Binary that runs replicas of the registry.
    pub registry_binary: PathBuf,
    /// Existing folder for logs and configurations.
    pub folder: PathBuf,
    /// Command that starts the cleanup process, which ends left-over processes if the rig is killed.
    pub cleanup_command: Option<Command>,
    /// Whether the cleanup process removes the folder after the run.
    pub remove_folder: bool,
    /// Whether to run until told to stop instead of for the experiment's duration.
    pub until_stopped: bool,
}

/// State of a run, reported once a second.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Seconds since the start of the load.
    pub elapsed_s: f64,
    /// Outcomes since the previous report.
    pub interval: OutcomeCounts,
    /// Outcomes since the start of the load.
    pub total: OutcomeCounts,
    /// Median latency of served requests, in milliseconds.
    pub latency_p50_ms: f64,
    /// 99th percentile of the latency of served requests, in milliseconds.
    pub latency_p99_ms: f64,
    /// Number of servers that are up, and of all servers.
    pub servers: (usize, usize),
    /// Number of running nodes, and of all nodes.
    pub nodes: (usize, usize),
    /// 99th percentile of how late the rig sent requests, in milliseconds.
    pub lateness_ms: f64,
    /// Number of rule violations so far.
    pub violations: u64,
}

/// Result of a run on sockets.
pub struct SocketRunResult {
    /// Shared state at the end of the run.
    pub shared: Arc<Shared>,
    /// Requests that were not sent because too many were in flight.
    pub requests_dropped: u64,
    /// Number of improper peers, and of those that got neither an error nor a close in time.
    pub improper_peers: (u64, u64),
    /// Maximum memory of a node process in KiB, and maximum number of its file descriptors.
    pub peak_usage: (u64, u64),
    /// CPU time of all nodes, in milliseconds.
    pub node_cpu_ms: f64,
    /// Duration of the load, in seconds.
    pub load_duration_s: f64,
    /// Measures of the registry, if the fleet has one.
    pub registry_measures: BTreeMap<String, f64>,
}

/// Why a run could not be started.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A node did not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A resource of the machine could not be obtained.
    #[error("cannot set up {resource}: {source}")]
    Setup {
        /// The resource.
        resource: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The registry did not start.
    #[error("registry: {0}")]
    Registry(String),
    /// The faults affect more links than a run may have.
    #[error("the link faults affect {0} links, but a run supports at most {MAX_LINKS}: name fewer link ends")]
    TooManyLinks(usize),
}

struct Run {
    shared: Arc<Shared>,
    servers: Vec<Arc<AppServer>>,
    agents: Vec<Arc<DiscoveryAgent>>,
    /// Initial discovery address of each node: its agent, or a relay to it.
    discovery: Vec<SocketAddr>,
    nodes: Vec<Arc<NodeProcess>>,
    registry: Option<Arc<Registry>>,
    load_generator: Arc<LoadGenerator>,
    /// Time until the frontend stops sending to a dead node.
    frontend_detection: Duration,
    max_memory_kib: AtomicU64,
    max_descriptors: AtomicU64,
    /// CPU time by node in clock ticks, as of the last check.
    cpu: Vec<AtomicU64>,
    /// Maximum memory of a node in KiB, and maximum number of its file descriptors.
    resource_limits: (u64, u64),
}

/// Runs an experiment. `stop` ends the load early; `progress` is called once a second.
pub async fn run(
    options: RunOptions,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<SocketRunResult, RunError> {
    let setup_error = |resource| move |source| RunError::Setup { resource, source };
    let experiment = &options.experiment;
    let scenario = experiment.scenario();
    let world = World::sample(&scenario, options.seed);
    let clock = Clock::start();
    let slack = millis(experiment.run.tolerance_ms);
    let tolerances = Tolerances {
        answer_slack: ANSWER_SLACK + slack,
        drain_grace: world.rules.drain_grace,
        clock_skew: slack,
    };
    // A placeholder: the timeline starts when everything is ready.
    let far_future = clock.now() + 86_400 * SECOND;
    let timeline = Timeline::new(&world, far_future);
    let shared = Arc::new(Shared::new(world, timeline, clock, InvariantChecker::new(tolerances, far_future)));
    let mut servers = Vec::new();
    for (index, instance) in shared.timeline().instances.iter().enumerate() {
        let initial_state = if instance.starts_at == 0 { InitialState::Up } else { InitialState::Down };
        let server = AppServer::spawn(shared.clone(), index as u32, initial_state);
        servers.push(server.map_err(setup_error("an app server's port"))?);
    }
    let server_addresses: Endpoints = servers.iter().map(|server| server.address()).collect();
    let link_faults = link_faults(&shared);
    let faulted_links = faulted_links(&shared, &link_faults);
    if faulted_links.len() > MAX_LINKS {
        return Err(RunError::TooManyLinks(faulted_links.len()));
    }
    let (mut agents, mut discovery) = (Vec::new(), Vec::new());
    for node in 0..shared.world.nodes.len() {
        let mut endpoints = server_addresses.clone();
        for &(_, instance) in faulted_links.iter().filter(|(link_node, _)| *link_node == node) {
            let info = shared.timeline().instances[instance];
            let from = (LinkEnd::Node(node), shared.world.nodes[node].zone);
            let to = (LinkEnd::Server(info.server), info.zone);
            let relay = Relay::start(shared.clone(), from, to, server_addresses[instance]);
            endpoints[instance] = relay.map_err(setup_error("a relay's port"))?;
        }
        let agent = DiscoveryAgent::start(shared.clone(), node, endpoints)
            .map_err(setup_error("a discovery agent's port"))?;
        let node_end = (LinkEnd::Node(node), shared.world.nodes[node].zone);
        let agent_address = agent.address();
        let discovery_address = if link_faults.iter().any(|fault| fault.affects(node_end, DISCOVERY_END)) {
            Relay::start(shared.clone(), node_end, DISCOVERY_END, agent_address)
                .map_err(setup_error("a relay's port"))?
        } else {
            agent_address
        };
        discovery.push(discovery_address);
        agents.push(agent);
    }
    let cleanup = match options.cleanup_command {
        Some(command) => Some(CleanupProcess::start(command).map_err(setup_error("the cleanup process"))?),
        None => None,
    };
    if let Some(cleanup) = cleanup.as_ref().filter(|_| options.remove_folder) {
        cleanup.add_folder(&options.folder);
    }
    let (logs, configs) = (options.folder.join("logs"), options.folder.join("configs"));
    for folder in [&logs, &configs] {
        std::fs::create_dir_all(folder).map_err(setup_error("a folder for logs"))?;
    }
    let launch_config = Arc::new(LaunchConfig {
        node_binary: options.node_binary,
        log_dir: logs,
        config_dir: configs.clone(),
        log_filter: experiment.log_filter().to_owned(),
        ready_timeout: Duration::from_secs_f64(experiment.run.ready_timeout_s),
        max_descriptors: experiment.run.max_descriptors,
        max_memory_mib: experiment.run.max_memory_mib,
        cleanup,
    });
    let zone_of = |end: LinkEnd| match end {
        LinkEnd::Node(node) => shared.world.nodes[node].zone,
        _ => u32::MAX,
    };
    let is_faulted = |from: LinkEnd, to: LinkEnd| {
        link_faults.iter().any(|fault| fault.affects((from, zone_of(from)), (to, zone_of(to))))
    };
    let registry = if scenario.registry.replicas > 0 {
        let (settings, launch_config, folder) = (&scenario.registry, launch_config.clone(), &options.folder);
        let prepared = Registry::prepare(
            settings,
            options.registry_binary,
            launch_config,
            shared.clone(),
            folder,
            &servers,
            is_faulted,
        );
        Some(prepared.map_err(setup_error("the registry's files and ports"))?)
    } else {
        None
    };
    let has_zone_overrides =
        shared.world.faults.iter().any(|fault| matches!(fault.action, FaultAction::OrderZone(..)));
    let mut nodes: Vec<Arc<NodeProcess>> = Vec::new();
    for index in 0..shared.world.nodes.len() {
        let replicas = registry.as_ref().map(|registry| registry.addresses(index, is_faulted));
        let replicas = replicas.transpose().map_err(setup_error("a relay's port"))?;
        let fleet_file = if registry.is_some() || has_zone_overrides {
            let fleet_file = FleetFile::create(shared.clone(), index, replicas.unwrap_or_default(), &configs);
            Some(fleet_file.map_err(setup_error("a fleet file"))?)
        } else {
            None
        };
        nodes.push(Arc::new(NodeProcess::new(launch_config.clone(), shared.clone(), index, fleet_file)));
    }
    let frontend_detection = FRONTEND_DETECTION_S.interpolate(rng_stream(shared.world.seed, 12).random());
    let run = Arc::new(Run {
        load_generator: LoadGenerator::new(shared.clone()),
        registry,
        servers,
        agents,
        discovery,
        frontend_detection: Duration::from_secs_f64(frontend_detection),
        max_memory_kib: AtomicU64::new(0),
        max_descriptors: AtomicU64::new(0),
        cpu: nodes.iter().map(|_| AtomicU64::new(0)).collect(),
        resource_limits: (experiment.run.max_memory_mib * 1024, experiment.run.max_descriptors),
        nodes,
        shared: shared.clone(),
    });
    if let Some(registry) = &run.registry {
        let ready_timeout = Duration::from_secs_f64(experiment.run.ready_timeout_s);
        if let Err(error) = registry.start(&run.servers, ready_timeout).await {
            registry.stop().await;
            return Err(RunError::Registry(error));
        }
    }
    if let Err(error) = run.start_all().await {
        run.end_all().await;
        return Err(error.into());
    }
    let start = clock.now() + LOAD_START_DELAY;
    shared.start_load(start, InvariantChecker::new(tolerances, start));
    run.load_generator.start_load(start);
    let duration = if options.until_stopped { Nanos::MAX / 4 } else { seconds(experiment.run.duration_s) };
    if let Some(registry) = &run.registry {
        registry.start_load(start, duration).await;
    }
    run.clone().run_load(start.saturating_add(duration), stop, progress).await;
    let load_duration_s = shared.run_time_ms(clock.now()) / 1000.0;
    let registry_measures = match &run.registry {
        Some(registry) => registry.finish().await,
        None => BTreeMap::new(),
    };
    run.end_all().await;
    // The logs are kept.
    let _ = std::fs::remove_dir_all(&configs);
    let ticks: u64 = run.cpu.iter().map(|cpu| cpu.load(Ordering::Relaxed)).sum();
    let [peers, left_waiting] = &run.load_generator.improper_peers;
    Ok(SocketRunResult {
        requests_dropped: run.load_generator.requests_dropped.load(Ordering::Relaxed),
        improper_peers: (peers.load(Ordering::Relaxed), left_waiting.load(Ordering::Relaxed)),
        peak_usage: (run.max_memory_kib.load(Ordering::Relaxed), run.max_descriptors.load(Ordering::Relaxed)),
        node_cpu_ms: ticks as f64 * MS_PER_CLOCK_TICK,
        load_duration_s,
        registry_measures,
        shared,
    })
}

/// A single link fault, used to find the links that it affects.
struct IsolatedFault {
    at: Nanos,
    timeline: Timeline,
}

impl IsolatedFault {
    fn affects(&self, from: ZonedEnd, to: ZonedEnd) -> bool {
        self.timeline
            .link_fault(self.at, from, to)
            .or_else(|| self.timeline.link_fault(self.at, to, from))
            .is_some()
    }
}

fn link_faults(shared: &Shared) -> Vec<IsolatedFault> {
    let timeline = shared.timeline();
    let link_faults = timeline.faults.iter().filter(|fault| matches!(fault.action, FaultAction::Link(..)));
    let isolate =
        |fault: &ScheduledFault| Timeline { faults: vec![fault.clone()], ..Timeline::clone(&timeline) };
    link_faults.map(|fault| IsolatedFault { at: fault.at, timeline: isolate(fault) }).collect()
}

/// Pairs of node and server instance whose link is affected by any of the faults.
fn faulted_links(shared: &Shared, link_faults: &[IsolatedFault]) -> Vec<(usize, usize)> {
    let (world, timeline) = (&shared.world, shared.timeline());
    let mut links = Vec::new();
    for (node, info) in world.nodes.iter().enumerate() {
        for (index, instance) in timeline.instances.iter().enumerate() {
            let (from, to) =
                ((LinkEnd::Node(node), info.zone), (LinkEnd::Server(instance.server), instance.zone));
            if link_faults.iter().any(|fault| fault.affects(from, to)) {
                links.push((node, index));
            }
        }
    }
    links
}

impl Run {
    async fn start_all(self: &Arc<Self>) -> Result<(), NodeError> {
        let late_nodes: Vec<usize> = self
            .shared
            .world
            .faults
            .iter()
            .filter_map(
                |fault| if let FaultAction::LateNode(node) = fault.action { Some(node) } else { None },
            )
            .collect();
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS));
        let mut starting = JoinSet::new();
        for node in (0..self.nodes.len()).filter(|node| !late_nodes.contains(node)) {
            let (run, permits) = (self.clone(), permits.clone());
            starting.spawn(async move {
                let _permit = permits.acquire_owned().await;
                run.start_node(node).await
            });
        }
        while let Some(started) = starting.join_next().await {
            // A task that panicked is a bug of the rig; its node shows as missing in the run.
            started.unwrap_or(Ok(()))?;
        }
        Ok(())
    }

    async fn start_node(&self, node: usize) -> Result<(), NodeError> {
        let agent = &self.agents[node];
        lock(&self.shared.notified_drains[node]).clear();
        lock(&self.shared.notified_starts[node]).clear();
        let initial_list = if self.registry.is_some() { json!(null) } else { agent.list() };
        // After a move the node is given the new address itself, without the relay that led to the old one.
        let discovery = if agent.has_moved() { agent.address() } else { self.discovery[node] };
        self.nodes[node].start(discovery, initial_list).await?;
        let target = &self.load_generator.nodes[node];
        *lock(&target.address) = self.nodes[node].address();
        target.in_rotation.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Stops every process and records a violation for each that does not exit on request.
    async fn end_all(self: &Arc<Self>) {
        let mut ending = JoinSet::new();
        for node in &self.nodes {
            let (node, run) = (node.clone(), self.clone());
            ending.spawn(async move {
                run.check_process(&node);
                // A paused process cannot handle SIGTERM.
                node.set_paused(false);
                if node.pid().is_some() {
                    lock(&run.shared.tracker).invariants.record_check(Rule::ProcessesEnded);
                    if !node.stop().await {
                        let detail = "did not exit after SIGTERM and was killed".to_owned();
                        run.shared.record_violation(Rule::ProcessesEnded, node.name.clone(), detail);
                    }
                }
            });
        }
        while ending.join_next().await.is_some() {}
        if let Some(registry) = &self.registry {
            registry.stop().await;
        }
        let running_pids: Vec<u32> = self.nodes.iter().filter_map(|node| node.pid()).collect();
        for pid in running_pids {
            let detail = "still running after the run".to_owned();
            self.shared.record_violation(Rule::ProcessesEnded, pid.to_string(), detail);
        }
    }

    /// Runs load, faults, process checks and progress reports until `end` or until told to stop.
    async fn run_load(
        self: Arc<Self>,
        end: Nanos,
        mut stop: watch::Receiver<bool>,
        progress: impl Fn(&Progress) + Send + 'static,
    ) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.load_generator.clone().remove_expired());
        tasks.spawn(self.clone().sample_processes());
        tasks.spawn(self.clone().report_progress(progress));
        tasks.spawn(self.clone().inject_faults());
        let load_task = tokio::spawn(self.load_generator.clone().run(end));
        let load_abort = load_task.abort_handle();
        tokio::select! {
            _ = load_task => {}
            stopped = stop.wait_for(|stop| *stop) => {
                // A dropped sender also means stop.
                drop(stopped);
                load_abort.abort();
                self.load_generator.wait_idle().await;
            }
        }
        tasks.abort_all();
        while tasks.join_next().await.is_some() {}
    }

    async fn sample_processes(self: Arc<Self>) {
        let mut ticks = interval(SAMPLE_INTERVAL);
        loop {
            ticks.tick().await;
            for node in &self.nodes {
                self.check_process(node);
            }
            self.registry.iter().for_each(|registry| registry.check_processes());
        }
    }

    fn check_process(&self, node: &NodeProcess) {
        if let Some(exit) = node.reap() {
            self.load_generator.nodes[node.index].in_rotation.store(false, Ordering::Relaxed);
            self.shared.record_violation(Rule::ProcessesEnded, node.name.clone(), exit);
            return;
        }
        let Some(usage) = node.resource_usage() else { return };
        self.max_memory_kib.fetch_max(usage.memory_kib, Ordering::Relaxed);
        self.max_descriptors.fetch_max(usage.descriptors, Ordering::Relaxed);
        self.cpu[node.index].fetch_max(usage.cpu_ticks, Ordering::Relaxed);
        lock(&self.shared.tracker).invariants.record_check(Rule::ProcessBounds);
        let (memory, descriptors) = self.resource_limits;
        if usage.memory_kib > memory || usage.descriptors > descriptors {
            let detail = format!(
                "uses {} KiB and {} file descriptors; the limits are {memory} and {descriptors}",
                usage.memory_kib, usage.descriptors
            );
            self.shared.record_violation(Rule::ProcessBounds, node.name.clone(), detail);
        }
    }

    async fn report_progress(self: Arc<Self>, progress: impl Fn(&Progress) + Send + 'static) {
        let shared = self.shared.clone();
        shared.clock.sleep_until(shared.timeline().start).await;
        let mut ticks = interval(Duration::from_secs(1));
        ticks.tick().await;
        let mut previous = OutcomeCounts::default();
        loop {
            ticks.tick().await;
            let (total, p50, p99) = {
                let stats = lock(&shared.stats);
                let latency_ms = |share| stats.served_latency.value_at_quantile(share) as f64 / 1000.0;
                (stats.total(), latency_ms(0.5), latency_ms(0.99))
            };
            let recent = OutcomeCounts {
                requests: total.requests - previous.requests,
                in_time: total.in_time - previous.in_time,
                late: total.late - previous.late,
                rejected: total.rejected - previous.rejected,
                failed: total.failed - previous.failed,
                value: total.value - previous.value,
                earned_value: total.earned_value - previous.earned_value,
            };
            previous = total;
            let up = self.servers.iter().filter(|server| server.is_up()).count();
            let violations =
                lock(&shared.tracker).invariants.reports().iter().map(|rule| rule.violated).sum();
            let current = Progress {
                elapsed_s: shared.run_time_ms(shared.clock.now()) / 1000.0,
                interval: recent,
                total,
                latency_p50_ms: p50,
                latency_p99_ms: p99,
                servers: (up, shared.world.servers.len()),
                nodes: (self.nodes.iter().filter(|node| node.pid().is_some()).count(), self.nodes.len()),
                lateness_ms: lock(&shared.lateness).value_at_quantile(0.99) as f64 / 1000.0,
                violations,
            };
            shared.record_event(
                "second",
                json!({"asked": recent.requests, "in_time": recent.in_time, "late": recent.late,
                    "refused": recent.rejected, "failed": recent.failed, "servers_up": up,
                    "p50_ms": p50, "p99_ms": p99}),
            );
            progress(&current);
        }
    }

    /// Injects the faults when they are due, each in its own task so that a slow one does not delay others.
    async fn inject_faults(self: Arc<Self>) {
        let timeline = self.shared.timeline();
        // Time, what begins or ends, and whether it begins. Faults count from 0, instances down from `usize::MAX`.
        let mut schedule: Vec<(Nanos, usize, bool)> = Vec::new();
        for (index, fault) in timeline.faults.iter().enumerate() {
            schedule.push((fault.at, index, true));
            schedule.extend(fault.until.map(|until| (until, index, false)));
        }
        for (index, instance) in timeline.instances.iter().enumerate() {
            // The instance replaces another one.
            if instance.starts_at > 0 {
                schedule.push((instance.starts_at, usize::MAX - index, true));
            }
            schedule.extend(instance.ends_at.map(|ends| (ends, usize::MAX - index, false)));
        }
        schedule.sort_unstable();
        let mut actions = JoinSet::new();
        for (at, index, begins) in schedule {
            self.shared.clock.sleep_until(at).await;
            let run = self.clone();
            if index > timeline.faults.len() {
                let server = &run.servers[usize::MAX - index];
                if begins {
                    server.start()
                } else {
                    server.kill()
                }
                self.shared.record_event("server", json!({"server": server.uid(), "up": begins}));
                continue;
            }
            let action = timeline.faults[index].action.clone();
            let kind = if begins { "fault-begins" } else { "fault-ends" };
            self.shared.record_event(kind, json!({"fault": format!("{action:?}")}));
            actions.spawn(async move { run.apply_fault(action, begins).await });
        }
        while actions.join_next().await.is_some() {}
    }

    async fn apply_fault(self: Arc<Self>, action: FaultAction, begins: bool) {
        match action {
            FaultAction::KillNode(node) if begins => {
                self.record_disruption(node);
                self.nodes[node].kill().await;
                sleep(self.frontend_detection).await;
                if self.nodes[node].pid().is_none() {
                    self.load_generator.nodes[node].in_rotation.store(false, Ordering::Relaxed);
                }
            }
            FaultAction::KillNode(node) | FaultAction::LateNode(node) => self.restart_node(node).await,
            FaultAction::PauseNode(node) => {
                self.record_disruption(node);
                let target = &self.load_generator.nodes[node];
                target.paused.store(begins, Ordering::Relaxed);
                // Responses are late because of the pause, which excuses the node.
                if !self.nodes[node].set_paused(begins) {
                    self.shared.record_event(
                        "fault-missed",
                        json!({"node": self.nodes[node].name, "why": "not there"}),
                    );
                }
            }
            FaultAction::RestartNode(node) if begins => {
                let target = &self.load_generator.nodes[node];
                let stopping = async {
                    if !self.nodes[node].stop().await {
                        let detail = "did not exit after SIGTERM and was killed".to_owned();
                        self.shared.record_violation(
                            Rule::ProcessesEnded,
                            self.nodes[node].name.clone(),
                            detail,
                        );
                    }
                };
                let closing = async {
                    sleep(FRONTEND_DRAIN_DELAY).await;
                    target.in_rotation.store(false, Ordering::Relaxed);
                };
                tokio::join!(stopping, closing);
                self.restart_node(node).await;
            }
            FaultAction::KillServer(server) => {
                self.with_server(server, |server| if begins { server.kill() } else { server.start() })
            }
            FaultAction::SlowServer(server, factor) => {
                self.set_server_fault(server, begins, |fault| fault.slowdown = factor)
            }
            FaultAction::HangServer(server) => {
                self.set_server_fault(server, begins, |fault| fault.hung = true)
            }
            FaultAction::FailServer(server, share) => {
                self.set_server_fault(server, begins, |fault| fault.failure_rate = share)
            }
            FaultAction::BusyServer(server, share) => {
                self.set_server_fault(server, begins, |fault| fault.stolen_cpu = share)
            }
            FaultAction::LoseZone(zone, cold) => {
                for server in self.servers.iter().filter(|server| self.zone_of(server) == zone) {
                    if begins {
                        server.set_unreachable(true);
                    } else if cold && server.is_up() {
                        server.kill();
                        server.start();
                    } else {
                        server.set_unreachable(false);
                    }
                }
            }
            FaultAction::ReplaceServer(server) if begins && self.registry.is_some() => {
                self.with_server(server, AppServer::drain);
            }
            FaultAction::OrderZone(..) => {
                for node in &self.nodes {
                    if let Err(error) = node.apply_zone_overrides() {
                        self.shared.record_event(
                            "rig-trouble",
                            json!({"node": node.name, "cause": error.to_string()}),
                        );
                    }
                }
            }
            FaultAction::KillReplica(_) | FaultAction::PauseReplica(_) | FaultAction::LoseReplica(_) => {
                if let Some(registry) = &self.registry {
                    registry.apply_fault(action, begins).await;
                }
            }
            FaultAction::MoveDiscovery if begins => {
                for (agent, node) in self.agents.iter().zip(&self.nodes) {
                    let moved = agent.relocate().map_err(|error| error.to_string());
                    let result = moved.and_then(|()| {
                        node.set_discovery(agent.address()).map_err(|error| error.to_string())
                    });
                    if let Err(cause) = result {
                        self.shared.record_event("rig-trouble", json!({"node": node.name, "cause": cause}));
                    }
                }
            }
            FaultAction::Burst(factor) => self
                .load_generator
                .update_load(|generator| generator.set_load_factor(if begins { factor } else { 1.0 })),
            FaultAction::FloodTenant(tenant, factor) => {
                self.load_generator.update_load(|generator| {
                    generator.set_tenant_factor(tenant, if begins { factor } else { 1.0 })
                });
            }
            FaultAction::RudeClients(rate) if begins => {
                let timeline = self.shared.timeline();
                let now = self.shared.clock.now();
                let until = timeline.faults.iter().find(|fault| fault.action == action && fault.at <= now);
                let until = until.and_then(|fault| fault.until).unwrap_or(Nanos::MAX);
                let mut peers = JoinSet::new();
                let mut ticks = interval(Duration::from_secs_f64(1.0 / rate.max(0.01)));
                while self.shared.clock.now() < until {
                    ticks.tick().await;
                    peers.spawn(self.load_generator.clone().run_improper_peer());
                }
                while peers.join_next().await.is_some() {}
            }
            _ => {}
        }
    }

    fn record_disruption(&self, node: usize) {
        self.load_generator.nodes[node].disruptions.fetch_add(1, Ordering::Relaxed);
    }

    async fn restart_node(&self, node: usize) {
        if let Err(error) = self.start_node(node).await {
            self.shared.record_violation(
                Rule::ProcessesEnded,
                self.nodes[node].name.clone(),
                error.to_string(),
            );
        }
    }

    fn zone_of(&self, server: &AppServer) -> u32 {
        self.shared.timeline().instances[server.instance as usize].zone
    }

    /// Applies `apply` to the current instance of a server.
    fn with_server(&self, server: usize, apply: impl Fn(&AppServer)) {
        let now = self.shared.clock.now();
        let timeline = self.shared.timeline();
        let is_current = |candidate: &&Arc<AppServer>| {
            timeline.instances[candidate.instance as usize].occupies(server, now)
        };
        match self.servers.iter().find(is_current) {
            Some(current) => apply(current),
            None => self.shared.record_event("fault-missed", json!({"server": server, "why": "not there"})),
        }
    }

    fn set_server_fault(&self, server: usize, begins: bool, change: impl Fn(&mut ServerFault)) {
        self.with_server(server, |server| {
            let mut fault = ServerFault::default();
            if begins {
                change(&mut fault);
            }
            server.set_fault(fault);
        });
    }
}
