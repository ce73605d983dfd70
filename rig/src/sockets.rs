//! An experiment on sockets: real node processes between emulated app servers, agents and clients, with faults.

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
use crate::load_generator::{ANSWER_SLACK, Callers};
use crate::nodes::{LaunchConfig, NodeError, NodeProcess};
use crate::registry::Registry;
use crate::relay::{MAX_LINKS, Relay, ZonedEnd};
use crate::servers::{AppServer, InitialState};
use crate::shared::{Shared, lock};

/// Nodes that are started at a time.
const STARTS: usize = 12;
/// Between the last node's readiness and the first request.
const LEAD: Nanos = SECOND / 4;
/// How often processes are looked at.
const SAMPLE: Duration = Duration::from_millis(500);
/// How long the front goes on sending to a dead node.
const FRONT_NOTICE: Range = Range::new(1.1, 3.9);
/// How long connections go on coming to a node that was told to end.
const STILL_COMES: Duration = Duration::from_millis(300);
const HUNDREDTH_MS: f64 = 10.0;

/// What to play, with which programs.
pub struct RunOptions {
    /// The experiment.
    pub experiment: Experiment,
    /// Its seed.
    pub seed: u64,
    /// The node's program.
    pub node_binary: PathBuf,
    /// The program that runs replicas of the registry.
    pub registry_binary: PathBuf,
    /// A folder that exists, for the logs and configurations.
    pub folder: PathBuf,
    /// This program, asked to run the keeper.
    pub keeper: Option<Command>,
    /// Whether the folder goes with the run.
    pub remove_folder: bool,
    /// Whether it plays until it is told to stop.
    pub until_stopped: bool,
}

/// How a run goes, once a second.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Seconds since the start of the load.
    pub elapsed_s: f64,
    /// Requests that ended since the last look.
    pub interval: OutcomeCounts,
    /// All so far.
    pub total: OutcomeCounts,
    /// Median delay of what was served, in milliseconds.
    pub latency_p50_ms: f64,
    /// Its 99th percentile.
    pub latency_p99_ms: f64,
    /// Servers that are up, and how many there are.
    pub servers: (usize, usize),
    /// Nodes that run, and how many there are.
    pub nodes: (usize, usize),
    /// The rig's own lateness at the 99th percentile, in milliseconds.
    pub lateness_ms: f64,
    /// Broken rules so far.
    pub violations: u64,
}

/// What a run on sockets left.
pub struct SocketRunResult {
    /// Everything that the parties shared.
    pub shared: Arc<Shared>,
    /// Requests that the rig could not make for want of room.
    pub requests_dropped: u64,
    /// Improper peers, and those of them that were left waiting.
    pub improper_peers: (u64, u64),
    /// Most memory of a node's process, in kibibytes, and most descriptors.
    pub peak_usage: (u64, u64),
    /// Processor time of all nodes, in milliseconds.
    pub node_cpu_ms: f64,
    /// For how long requests came, in seconds.
    pub load_duration_s: f64,
    /// What the fleet's own registry came to.
    pub registry_measures: BTreeMap<String, f64>,
}

/// Why a run came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A node did not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The machine did not give what the run needs.
    #[error("{resource}: {source}")]
    Setup {
        /// What was wanted.
        resource: &'static str,
        /// Why it was not given.
        source: std::io::Error,
    },
    /// The registry did not start.
    #[error("the registry: {0}")]
    Registry(String),
    /// More links than a run may have.
    #[error("the faults concern {0} links, and {MAX_LINKS} is the most: name fewer parties")]
    TooManyLinks(usize),
}

struct Run {
    shared: Arc<Shared>,
    servers: Vec<Arc<AppServer>>,
    agents: Vec<Arc<DiscoveryAgent>>,
    /// Where each node finds its agent, at the start of the run; a link may stand between.
    discovery: Vec<SocketAddr>,
    nodes: Vec<Arc<NodeProcess>>,
    registry: Option<Arc<Registry>>,
    callers: Arc<Callers>,
    front_notice: Duration,
    most_memory: AtomicU64,
    most_descriptors: AtomicU64,
    /// Processor time by node, as last seen.
    cpu: Vec<AtomicU64>,
    bounds: (u64, u64),
}

/// Plays an experiment. `stop` ends the load early; `progress` is called once a second.
pub async fn play(
    stage: RunOptions,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<SocketRunResult, RunError> {
    let setup_error = |resource| move |source| RunError::Setup { resource, source };
    let experiment = &stage.experiment;
    let plan = experiment.scenario();
    let world = World::sample(&plan, stage.seed);
    let clock = Clock::start();
    let slack = millis(experiment.run.tolerance_ms);
    let limits = Tolerances {
        answer_slack: ANSWER_SLACK + slack,
        drain_grace: world.rules.drain_grace,
        clock_skew: slack,
    };
    // The load starts when all is ready; until then nothing of the timeline comes due.
    let far = clock.now() + 86_400 * SECOND;
    let timeline = Timeline::new(&world, far);
    let shared = Arc::new(Shared::new(world, timeline, clock, InvariantChecker::new(limits, far)));
    let mut servers = Vec::new();
    for (number, instance) in shared.timeline().instances.iter().enumerate() {
        let first = if instance.starts_at == 0 { InitialState::Up } else { InitialState::Down };
        let server = AppServer::spawn(shared.clone(), number as u32, first);
        servers.push(server.map_err(setup_error("an app server's port"))?);
    }
    let direct: Endpoints = servers.iter().map(|server| server.address()).collect();
    let faulted = each_link(&shared);
    let touched = touched_links(&shared, &faulted);
    if touched.len() > MAX_LINKS {
        return Err(RunError::TooManyLinks(touched.len()));
    }
    let (mut agents, mut discovery) = (Vec::new(), Vec::new());
    for node in 0..shared.world.nodes.len() {
        let mut endpoints = direct.clone();
        for &(_, instance) in touched.iter().filter(|(of, _)| *of == node) {
            let place = shared.timeline().instances[instance];
            let from = (LinkEnd::Node(node), shared.world.nodes[node].zone);
            let to = (LinkEnd::Server(place.server), place.zone);
            let link = Relay::start(shared.clone(), from, to, direct[instance]);
            endpoints[instance] = link.map_err(setup_error("a link's port"))?;
        }
        let agent =
            DiscoveryAgent::start(shared.clone(), node, endpoints).map_err(setup_error("an agent's port"))?;
        let own = (LinkEnd::Node(node), shared.world.nodes[node].zone);
        let direct = agent.address();
        let found = if faulted.iter().any(|one| one.concerns(own, DISCOVERY_END)) {
            Relay::start(shared.clone(), own, DISCOVERY_END, direct).map_err(setup_error("a link's port"))?
        } else {
            direct
        };
        discovery.push(found);
        agents.push(agent);
    }
    let cleanup = match stage.keeper {
        Some(command) => Some(CleanupProcess::start(command).map_err(setup_error("the keeper's process"))?),
        None => None,
    };
    if let Some(cleanup) = cleanup.as_ref().filter(|_| stage.remove_folder) {
        cleanup.add_folder(&stage.folder);
    }
    let (logs, configs) = (stage.folder.join("logs"), stage.folder.join("configs"));
    for folder in [&logs, &configs] {
        std::fs::create_dir_all(folder).map_err(setup_error("a folder for logs"))?;
    }
    let launch = Arc::new(LaunchConfig {
        node_binary: stage.node_binary,
        log_dir: logs,
        config_dir: configs.clone(),
        log_filter: experiment.log_filter().to_owned(),
        ready_timeout: Duration::from_secs_f64(experiment.run.ready_timeout_s),
        max_descriptors: experiment.run.max_descriptors,
        max_memory_mib: experiment.run.max_memory_mib,
        cleanup,
    });
    let zone_of = |party: LinkEnd| match party {
        LinkEnd::Node(node) => shared.world.nodes[node].zone,
        _ => u32::MAX,
    };
    let concerns = |one: LinkEnd, other: LinkEnd| {
        faulted.iter().any(|fault| fault.concerns((one, zone_of(one)), (other, zone_of(other))))
    };
    let registry = if plan.registry.replicas > 0 {
        let (plan, launch, folder) = (&plan.registry, launch.clone(), &stage.folder);
        let prepared = Registry::prepare(
            plan,
            stage.registry_binary,
            launch,
            shared.clone(),
            folder,
            &servers,
            concerns,
        );
        Some(prepared.map_err(setup_error("the registry's files and ports"))?)
    } else {
        None
    };
    let ordered = shared.world.faults.iter().any(|step| matches!(step.action, FaultAction::OrderZone(..)));
    let mut nodes: Vec<Arc<NodeProcess>> = Vec::new();
    for number in 0..shared.world.nodes.len() {
        let replicas = registry.as_ref().map(|registry| registry.addresses(number, concerns));
        let replicas = replicas.transpose().map_err(setup_error("a link's port"))?;
        let fleet = if registry.is_some() || ordered {
            let write = FleetFile::create(shared.clone(), number, replicas.unwrap_or_default(), &configs);
            Some(write.map_err(setup_error("a fleet file"))?)
        } else {
            None
        };
        nodes.push(Arc::new(NodeProcess::new(launch.clone(), shared.clone(), number, fleet)));
    }
    let notice = FRONT_NOTICE.interpolate(rng_stream(shared.world.seed, 12).random());
    let run = Arc::new(Run {
        callers: Callers::new(shared.clone()),
        registry,
        servers,
        agents,
        discovery,
        front_notice: Duration::from_secs_f64(notice),
        most_memory: AtomicU64::new(0),
        most_descriptors: AtomicU64::new(0),
        cpu: nodes.iter().map(|_| AtomicU64::new(0)).collect(),
        bounds: (experiment.run.max_memory_mib * 1024, experiment.run.max_descriptors),
        nodes,
        shared: shared.clone(),
    });
    if let Some(registry) = &run.registry {
        let patience = Duration::from_secs_f64(experiment.run.ready_timeout_s);
        if let Err(problem) = registry.start(&run.servers, patience).await {
            registry.stop().await;
            return Err(RunError::Registry(problem));
        }
    }
    if let Err(error) = run.start_all().await {
        run.end_all().await;
        return Err(error.into());
    }
    let start = clock.now() + LEAD;
    shared.start_load(start, InvariantChecker::new(limits, start));
    run.callers.begin(start);
    let span = if stage.until_stopped { Nanos::MAX / 4 } else { seconds(experiment.run.duration_s) };
    if let Some(registry) = &run.registry {
        registry.start_load(start, span).await;
    }
    run.clone().carry(start.saturating_add(span), stop, progress).await;
    let load_s = shared.run_time_ms(clock.now()) / 1000.0;
    let registry = match &run.registry {
        Some(registry) => registry.finish().await,
        None => BTreeMap::new(),
    };
    run.end_all().await;
    // Configurations are the run's own; logs stay.
    let _ = std::fs::remove_dir_all(&configs);
    let ticks: u64 = run.cpu.iter().map(|cpu| cpu.load(Ordering::Relaxed)).sum();
    let [asked, left] = &run.callers.rude;
    Ok(SocketRunResult {
        requests_dropped: run.callers.turned_away.load(Ordering::Relaxed),
        improper_peers: (asked.load(Ordering::Relaxed), left.load(Ordering::Relaxed)),
        peak_usage: (run.most_memory.load(Ordering::Relaxed), run.most_descriptors.load(Ordering::Relaxed)),
        node_cpu_ms: ticks as f64 * HUNDREDTH_MS,
        load_duration_s: load_s,
        registry_measures: registry,
        shared,
    })
}

/// One fault on links, alone.
struct OneLink {
    at: Nanos,
    alone: Timeline,
}

impl OneLink {
    fn concerns(&self, one: ZonedEnd, other: ZonedEnd) -> bool {
        self.alone
            .link_fault(self.at, one, other)
            .or_else(|| self.alone.link_fault(self.at, other, one))
            .is_some()
    }
}

fn each_link(shared: &Shared) -> Vec<OneLink> {
    let timeline = shared.timeline();
    let of_links = timeline.faults.iter().filter(|step| matches!(step.action, FaultAction::Link(..)));
    let alone = |step: &ScheduledFault| Timeline { faults: vec![step.clone()], ..Timeline::clone(&timeline) };
    of_links.map(|step| OneLink { at: step.at, alone: alone(step) }).collect()
}

/// The links between a node and a server's process that any fault concerns.
fn touched_links(shared: &Shared, faulted: &[OneLink]) -> Vec<(usize, usize)> {
    let (world, timeline) = (&shared.world, shared.timeline());
    let mut touched = Vec::new();
    for (node, info) in world.nodes.iter().enumerate() {
        for (number, instance) in timeline.instances.iter().enumerate() {
            let (from, to) =
                ((LinkEnd::Node(node), info.zone), (LinkEnd::Server(instance.server), instance.zone));
            if faulted.iter().any(|one| one.concerns(from, to)) {
                touched.push((node, number));
            }
        }
    }
    touched
}

impl Run {
    async fn start_all(self: &Arc<Self>) -> Result<(), NodeError> {
        let late: Vec<usize> = self
            .shared
            .world
            .faults
            .iter()
            .filter_map(|step| if let FaultAction::LateNode(node) = step.action { Some(node) } else { None })
            .collect();
        let slots = Arc::new(Semaphore::new(STARTS));
        let mut starting = JoinSet::new();
        for node in (0..self.nodes.len()).filter(|node| !late.contains(node)) {
            let (run, slots) = (self.clone(), slots.clone());
            starting.spawn(async move {
                let _slot = slots.acquire_owned().await;
                run.start_node(node).await
            });
        }
        while let Some(started) = starting.join_next().await {
            // A task that panicked is a fault of the rig, and leaves a node out: that shows as one not ready.
            started.unwrap_or(Ok(()))?;
        }
        Ok(())
    }

    async fn start_node(&self, node: usize) -> Result<(), NodeError> {
        let agent = &self.agents[node];
        lock(&self.shared.notified_drains[node]).clear();
        lock(&self.shared.notified_starts[node]).clear();
        let known = if self.registry.is_some() { json!(null) } else { agent.list() };
        // An agent that has moved is found at its new address, without the link that stood before the old one.
        let at = if agent.has_moved() { agent.address() } else { self.discovery[node] };
        self.nodes[node].start(at, known).await?;
        let place = &self.callers.places[node];
        *lock(&place.at) = self.nodes[node].address();
        place.open.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Ends every process that was started, and holds that each has ended as it was told to.
    async fn end_all(self: &Arc<Self>) {
        let mut ending = JoinSet::new();
        for node in &self.nodes {
            let (node, run) = (node.clone(), self.clone());
            ending.spawn(async move {
                run.look_at(&node);
                // A paused process can't end.
                node.set_paused(false);
                if node.pid().is_some() {
                    lock(&run.shared.tracker).invariants.record_check(Rule::ProcessesEnded);
                    if !node.stop().await {
                        let what = "did not end after SIGTERM, and was killed".to_owned();
                        run.shared.record_violation(Rule::ProcessesEnded, node.name.clone(), what);
                    }
                }
            });
        }
        while ending.join_next().await.is_some() {}
        if let Some(registry) = &self.registry {
            registry.stop().await;
        }
        let left: Vec<u32> = self.nodes.iter().filter_map(|node| node.pid()).collect();
        for pid in left {
            let what = "still there after the run".to_owned();
            self.shared.record_violation(Rule::ProcessesEnded, pid.to_string(), what);
        }
    }

    /// Load, faults and the look at it, until `end` or until told to stop.
    async fn carry(
        self: Arc<Self>,
        end: Nanos,
        mut stop: watch::Receiver<bool>,
        progress: impl Fn(&Progress) + Send + 'static,
    ) {
        let mut beside = JoinSet::new();
        beside.spawn(self.callers.clone().tidy());
        beside.spawn(self.clone().watch_processes());
        beside.spawn(self.clone().tell(progress));
        beside.spawn(self.clone().make_trouble());
        let asking = tokio::spawn(self.callers.clone().run(end));
        let stopping = asking.abort_handle();
        tokio::select! {
            _ = asking => {}
            told = stop.wait_for(|stop| *stop) => {
                // Whoever held the other end is gone, or wants an end: both mean it.
                drop(told);
                stopping.abort();
                self.callers.settle().await;
            }
        }
        beside.abort_all();
        while beside.join_next().await.is_some() {}
    }

    async fn watch_processes(self: Arc<Self>) {
        let mut every = interval(SAMPLE);
        loop {
            every.tick().await;
            for node in &self.nodes {
                self.look_at(node);
            }
            self.registry.iter().for_each(|registry| registry.check_processes());
        }
    }

    fn look_at(&self, node: &NodeProcess) {
        if let Some(how) = node.reap() {
            self.callers.places[node.index].open.store(false, Ordering::Relaxed);
            self.shared.record_violation(Rule::ProcessesEnded, node.name.clone(), how);
            return;
        }
        let Some(usage) = node.resource_usage() else { return };
        self.most_memory.fetch_max(usage.memory_kib, Ordering::Relaxed);
        self.most_descriptors.fetch_max(usage.descriptors, Ordering::Relaxed);
        self.cpu[node.index].fetch_max(usage.cpu_ticks, Ordering::Relaxed);
        lock(&self.shared.tracker).invariants.record_check(Rule::ProcessBounds);
        let (memory, descriptors) = self.bounds;
        if usage.memory_kib > memory || usage.descriptors > descriptors {
            let what = format!(
                "holds {} KiB and {} descriptors, of {memory} and {descriptors}",
                usage.memory_kib, usage.descriptors
            );
            self.shared.record_violation(Rule::ProcessBounds, node.name.clone(), what);
        }
    }

    async fn tell(self: Arc<Self>, progress: impl Fn(&Progress) + Send + 'static) {
        let shared = self.shared.clone();
        shared.clock.sleep_until(shared.timeline().start).await;
        let mut every = interval(Duration::from_secs(1));
        every.tick().await;
        let mut before = OutcomeCounts::default();
        loop {
            every.tick().await;
            let (total, p50, p99) = {
                let tally = lock(&shared.stats);
                let at = |share| tally.served_latency.value_at_quantile(share) as f64 / 1000.0;
                (tally.total(), at(0.5), at(0.99))
            };
            let lately = OutcomeCounts {
                requests: total.requests - before.requests,
                in_time: total.in_time - before.in_time,
                late: total.late - before.late,
                rejected: total.rejected - before.rejected,
                failed: total.failed - before.failed,
                value: total.value - before.value,
                earned_value: total.earned_value - before.earned_value,
            };
            before = total;
            let up = self.servers.iter().filter(|server| server.is_up()).count();
            let broken = lock(&shared.tracker).invariants.reports().iter().map(|rule| rule.violated).sum();
            let now = Progress {
                elapsed_s: shared.run_time_ms(shared.clock.now()) / 1000.0,
                interval: lately,
                total,
                latency_p50_ms: p50,
                latency_p99_ms: p99,
                servers: (up, shared.world.servers.len()),
                nodes: (self.nodes.iter().filter(|node| node.pid().is_some()).count(), self.nodes.len()),
                lateness_ms: lock(&shared.lateness).value_at_quantile(0.99) as f64 / 1000.0,
                violations: broken,
            };
            shared.record_event(
                "second",
                json!({"asked": lately.requests, "in_time": lately.in_time, "late": lately.late,
                    "refused": lately.rejected, "failed": lately.failed, "servers_up": up,
                    "p50_ms": p50, "p99_ms": p99}),
            );
            progress(&now);
        }
    }

    /// Plays the faults as they come due, each in its own task: one that takes its time holds up no other.
    async fn make_trouble(self: Arc<Self>) {
        let timeline = self.shared.timeline();
        let mut due: Vec<(Nanos, usize, bool)> = Vec::new();
        for (number, step) in timeline.faults.iter().enumerate() {
            due.push((step.at, number, true));
            due.extend(step.until.map(|until| (until, number, false)));
        }
        for (number, instance) in timeline.instances.iter().enumerate() {
            // Processes that replace others.
            if instance.starts_at > 0 {
                due.push((instance.starts_at, usize::MAX - number, true));
            }
            due.extend(instance.ends_at.map(|ends| (ends, usize::MAX - number, false)));
        }
        due.sort_unstable();
        let mut acting = JoinSet::new();
        for (at, number, begins) in due {
            self.shared.clock.sleep_until(at).await;
            let run = self.clone();
            if number > timeline.faults.len() {
                let server = &run.servers[usize::MAX - number];
                if begins {
                    server.start()
                } else {
                    server.kill()
                }
                self.shared.record_event("server", json!({"server": server.uid(), "up": begins}));
                continue;
            }
            let act = timeline.faults[number].action.clone();
            let kind = if begins { "fault-begins" } else { "fault-ends" };
            self.shared.record_event(kind, json!({"fault": format!("{act:?}")}));
            acting.spawn(async move { run.act(act, begins).await });
        }
        while acting.join_next().await.is_some() {}
    }

    async fn act(self: Arc<Self>, act: FaultAction, begins: bool) {
        match act {
            FaultAction::KillNode(node) if begins => {
                self.harm(node);
                self.nodes[node].kill().await;
                sleep(self.front_notice).await;
                if self.nodes[node].pid().is_none() {
                    self.callers.places[node].open.store(false, Ordering::Relaxed);
                }
            }
            FaultAction::KillNode(node) | FaultAction::LateNode(node) => self.start_again(node).await,
            FaultAction::PauseNode(node) => {
                self.harm(node);
                let place = &self.callers.places[node];
                place.paused.store(begins, Ordering::Relaxed);
                // What came while it was paused is answered late, and that is the pause's doing.
                if !self.nodes[node].set_paused(begins) {
                    self.shared.record_event(
                        "fault-missed",
                        json!({"node": self.nodes[node].name, "why": "not there"}),
                    );
                }
            }
            FaultAction::RestartNode(node) if begins => {
                let place = &self.callers.places[node];
                let stopping = async {
                    if !self.nodes[node].stop().await {
                        let what = "did not end after SIGTERM, and was killed".to_owned();
                        self.shared.record_violation(
                            Rule::ProcessesEnded,
                            self.nodes[node].name.clone(),
                            what,
                        );
                    }
                };
                let closing = async {
                    sleep(STILL_COMES).await;
                    place.open.store(false, Ordering::Relaxed);
                };
                tokio::join!(stopping, closing);
                self.start_again(node).await;
            }
            FaultAction::KillServer(server) => {
                self.on_server(server, |server| if begins { server.kill() } else { server.start() })
            }
            FaultAction::SlowServer(server, factor) => {
                self.ail(server, begins, |ailment| ailment.slowdown = factor)
            }
            FaultAction::HangServer(server) => self.ail(server, begins, |ailment| ailment.hung = true),
            FaultAction::FailServer(server, share) => {
                self.ail(server, begins, |ailment| ailment.failure_rate = share)
            }
            FaultAction::BusyServer(server, share) => {
                self.ail(server, begins, |ailment| ailment.stolen_cpu = share)
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
                self.on_server(server, AppServer::drain);
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
                    registry.apply_fault(act, begins).await;
                }
            }
            FaultAction::MoveDiscovery if begins => {
                for (agent, node) in self.agents.iter().zip(&self.nodes) {
                    let moved = agent.relocate().map_err(|error| error.to_string());
                    let told = moved.and_then(|()| {
                        node.set_discovery(agent.address()).map_err(|error| error.to_string())
                    });
                    if let Err(cause) = told {
                        self.shared.record_event("rig-trouble", json!({"node": node.name, "cause": cause}));
                    }
                }
            }
            FaultAction::Burst(factor) => {
                self.callers.change(|clients| clients.set_load_factor(if begins { factor } else { 1.0 }))
            }
            FaultAction::FloodTenant(tenant, factor) => {
                self.callers
                    .change(|clients| clients.set_tenant_factor(tenant, if begins { factor } else { 1.0 }));
            }
            FaultAction::RudeClients(rate) if begins => {
                let timeline = self.shared.timeline();
                let now = self.shared.clock.now();
                let until = timeline.faults.iter().find(|step| step.action == act && step.at <= now);
                let until = until.and_then(|step| step.until).unwrap_or(Nanos::MAX);
                let mut peers = JoinSet::new();
                let mut every = interval(Duration::from_secs_f64(1.0 / rate.max(0.01)));
                while self.shared.clock.now() < until {
                    every.tick().await;
                    peers.spawn(self.callers.clone().rude_peer());
                }
                while peers.join_next().await.is_some() {}
            }
            _ => {}
        }
    }

    fn harm(&self, node: usize) {
        self.callers.places[node].harms.fetch_add(1, Ordering::Relaxed);
    }

    async fn start_again(&self, node: usize) {
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

    /// The process that is at a place now.
    fn on_server(&self, place: usize, then: impl Fn(&AppServer)) {
        let now = self.shared.clock.now();
        let timeline = self.shared.timeline();
        let here =
            |server: &&Arc<AppServer>| timeline.instances[server.instance as usize].occupies(place, now);
        match self.servers.iter().find(here) {
            Some(server) => then(server),
            None => self.shared.record_event("fault-missed", json!({"server": place, "why": "not there"})),
        }
    }

    fn ail(&self, place: usize, begins: bool, change: impl Fn(&mut ServerFault)) {
        self.on_server(place, |server| {
            let mut ailment = ServerFault::default();
            if begins {
                change(&mut ailment);
            }
            server.set_fault(ailment);
        });
    }
}
