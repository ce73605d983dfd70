//! A plan with every figure drawn: the nodes, the servers, the load and the troubles of one run. The same plan and
//! seed give the same world, and each part draws from a stream of its own, so that a further fault moves no server.

use brookfield::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};

use crate::scenario::{Fault, FaultKind, Idempotency, LEADER, Range, RetryPolicy, Scenario, TargetKind};
use crate::server::{CancelPolicy, Congestion, LoadReporting, ServerSpec};

/// A second.
pub const SECOND: Nanos = 1_000_000_000;
/// A millisecond.
pub const MS: Nanos = 1_000_000;

/// Seconds as nanoseconds; 0 for what is negative or no number.
pub fn seconds(value: f64) -> Nanos {
    (value.max(0.0) * SECOND as f64) as Nanos
}

/// Milliseconds as nanoseconds; 0 for what is negative or no number.
pub fn millis(value: f64) -> Nanos {
    seconds(value / 1000.0)
}

/// A stream of random numbers of a world's seed, apart from all its others.
pub fn rng_stream(seed: u64, number: u64) -> ChaCha12Rng {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}

/// A node.
#[derive(Clone, Debug)]
pub struct NodeInfo {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: u32,
}

/// An app server's place: its process may be replaced.
#[derive(Clone, Copy, Debug)]
pub struct ServerInfo {
    /// What it is.
    pub spec: ServerSpec,
    /// Its size as the list tells it: cores times speed, about.
    pub weight: f64,
}

/// A class with its figures drawn.
#[derive(Clone, Debug)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Its part of the requests, all together 1.
    pub share: f64,
    /// Mean work on a standard core, in nanoseconds.
    pub work: f64,
    /// Waits on others, in nanoseconds.
    pub io_wait: Nanos,
    /// Spread of the work.
    pub cv: f64,
    /// Wanted time.
    pub latency_target: Nanos,
    /// When a client gives up.
    pub deadline: Nanos,
    /// Worth of one.
    pub value: f64,
    /// Share of it that is left after the aim.
    pub late_value_share: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// How long repeats of a keyed one are dropped.
    pub dedup_window: Nanos,
}

/// A tenant with its figures drawn.
#[derive(Clone, Debug)]
pub struct TenantInfo {
    /// Its name.
    pub name: String,
    /// Its part of the requests, all together 1.
    pub load_share: f64,
    /// Requests a second over all nodes within its share.
    pub quota: f64,
}

/// The load with its figures drawn.
#[derive(Clone, Debug)]
pub struct LoadInfo {
    /// Requests a second, on the mean.
    pub rps: f64,
    /// How far it swings up and down, as a share.
    pub wave_amplitude: f64,
    /// From one crest to the next.
    pub wave_period: Nanos,
    /// Part of the requests that come to each zone's nodes, all together 1.
    pub zone_shares: Vec<f64>,
    /// When a client comes again.
    pub retry_policy: RetryPolicy,
    /// How often at most.
    pub max_retries: u32,
    /// First wait before it.
    pub backoff: Nanos,
    /// Share of the clients that heed `Retry-After`.
    pub retry_after_share: f64,
    /// A try is given up after this share of the deadline.
    pub try_timeout_share: f64,
}

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// Everybody.
    All,
    /// The list service.
    Discovery,
    /// A node.
    Node(usize),
    /// An app server.
    Server(usize),
    /// A replica of the registry.
    Replica(usize),
    /// All nodes and servers of a zone.
    Zone(u32),
}

/// What a fault does to whom.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// See [`Trouble::KillNode`].
    KillNode(usize),
    /// See [`Trouble::PauseNode`].
    PauseNode(usize),
    /// See [`Trouble::RestartNode`].
    RestartNode(usize),
    /// See [`Trouble::LateNode`].
    LateNode(usize),
    /// See [`Trouble::KillServer`].
    KillServer(usize),
    /// See [`Trouble::SlowServer`]; times slower.
    SlowServer(usize, f64),
    /// See [`Trouble::HangServer`].
    HangServer(usize),
    /// See [`Trouble::FailServer`]; the share that fails.
    FailServer(usize, f64),
    /// See [`Trouble::BusyServer`]; the share taken.
    BusyServer(usize, f64),
    /// See [`Trouble::ReplaceServer`].
    ReplaceServer(usize),
    /// See [`Trouble::LoseZone`]; whether it comes back cold.
    LoseZone(u32, bool),
    /// What a link does, from, to, and whether only that way.
    Link(LinkEnd, LinkEnd, bool, LinkFault),
    /// See [`Trouble::LateDiscovery`].
    LateDiscovery(Nanos),
    /// See [`Trouble::SilentDiscovery`].
    SilentDiscovery,
    /// See [`Trouble::BusyDiscovery`]; the share turned away.
    BusyDiscovery(f64),
    /// See [`Trouble::RubbishDiscovery`].
    RubbishDiscovery,
    /// See [`Trouble::MoveDiscovery`].
    MoveDiscovery,
    /// See [`Trouble::KillReplica`]; none for whichever leads.
    KillReplica(Option<usize>),
    /// See [`Trouble::PauseReplica`].
    PauseReplica(Option<usize>),
    /// See [`Trouble::LoseReplica`].
    LoseReplica(Option<usize>),
    /// See [`Trouble::OrderZone`]; the zone and its share.
    OrderZone(u32, f64),
    /// See [`Trouble::Burst`].
    Burst(f64),
    /// See [`Trouble::FloodTenant`].
    FloodTenant(usize, f64),
    /// See [`Trouble::RudeClients`]; connections a second.
    RudeClients(f64),
}

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing passes.
    Cut,
    /// It takes longer.
    Delay(Nanos),
    /// Bytes a second.
    Throttle(f64),
    /// The chance of a reset in a second.
    Reset(f64),
}

/// A fault, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// From the start of the load.
    pub at: Nanos,
    /// Its end; none if it lasts.
    pub until: Option<Nanos>,
    /// What happens.
    pub action: FaultAction,
}

impl ScheduledFault {
    /// Whether it lasts at this time, on the clock of its own times.
    pub fn is_active(&self, now: Nanos) -> bool {
        self.at <= now && self.until.is_none_or(|until| now < until)
    }
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleInfo {
    /// Nothing new goes to a server so long after the node was told that it drains.
    pub drain_grace: Nanos,
    /// The longest pause that a refusal may advise.
    pub max_retry_after: Nanos,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// A cold server sent more than this multiple of its capacity falls over ...
    pub overload_factor: f64,
    /// ... counted over any span of this length.
    pub overload_window: Nanos,
}

/// A plan with every figure drawn.
#[derive(Clone, Debug)]
pub struct World {
    /// What everything was drawn from.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// The nodes.
    pub nodes: Vec<NodeInfo>,
    /// The app servers.
    pub servers: Vec<ServerInfo>,
    /// Replicas of the fleet's own registry.
    pub replicas: usize,
    /// The classes.
    pub classes: Vec<ClassInfo>,
    /// The tenants.
    pub tenants: Vec<TenantInfo>,
    /// The load.
    pub load: LoadInfo,
    /// One way within a zone.
    pub intra_zone_delay: Nanos,
    /// One way between zones.
    pub cross_zone_delay: Nanos,
    /// Relative spread of each delay.
    pub jitter: f64,
    /// A change reaches the nodes so much later.
    pub propagation_delay: Nanos,
    /// A server that has fallen silent is missed so much later.
    pub failure_detection_delay: Nanos,
    /// The figures of the rules.
    pub rules: RuleInfo,
    /// What goes wrong, in the order of its beginning.
    pub faults: Vec<ScheduledFault>,
    /// Share of its capacity that any server starts with at least.
    pub initial_capacity: f64,
    /// The time by which any server is warm.
    pub slow_start_window: Nanos,
}

fn sample_range(rng: &mut impl Rng, range: Range) -> f64 {
    range.interpolate(rng.random::<f64>())
}

/// Deals whole numbers out by shares, so that they add up.
fn apportion(total: usize, shares: &[f64]) -> Vec<usize> {
    let sum: f64 = shares.iter().sum();
    let (mut assigned, mut due) = (0, 0.0);
    shares
        .iter()
        .map(|share| {
            due += share / sum * total as f64;
            let count = (due.round() as usize).saturating_sub(assigned);
            assigned += count;
            count
        })
        .collect()
}

impl World {
    /// Draws a checked plan's figures.
    pub fn sample(plan: &Scenario, seed: u64) -> Self {
        let plan = &plan.clone().with_defaults();
        let rules = RuleInfo {
            drain_grace: millis(plan.rules.drain_grace_ms),
            max_retry_after: millis(plan.rules.max_retry_after_ms),
            max_attempts: plan.rules.max_attempts,
            overload_factor: plan.rules.overload_factor,
            overload_window: millis(plan.rules.overload_window_ms),
        };
        let zones = plan.fleet.zones.len();
        let nodes: Vec<NodeInfo> = (0..plan.fleet.nodes)
            .map(|n| NodeInfo { name: format!("n{n}"), zone: n % zones as u32 })
            .collect();
        let classes = sample_classes(plan, &mut rng_stream(seed, 2));
        let work: f64 = classes.iter().map(|class| class.share * class.work).sum();
        let servers = sample_servers(plan, &rules, work, &mut rng_stream(seed, 1));
        let capacity: f64 = servers.iter().map(|s| s.spec.cores * s.spec.speed).sum();
        // Requests a second that the servers can do, if none of them is ever idle.
        let capacity_rps = capacity * SECOND as f64 / work.max(1.0);
        let rng = &mut rng_stream(seed, 3);
        let skew = sample_range(rng, plan.load.zone_skew);
        let mut zone_weights: Vec<f64> =
            (0..zones).map(|zone| if zone == 0 { 1.0 + skew } else { 1.0 }).collect();
        // Requests come to nodes: a zone without one gets none.
        for (zone, part) in zone_weights.iter_mut().enumerate() {
            if !nodes.iter().any(|node| node.zone as usize == zone) {
                *part = 0.0;
            }
        }
        let sum: f64 = zone_weights.iter().sum();
        let load = LoadInfo {
            rps: plan.load.rps.unwrap_or(capacity_rps * plan.load.utilisation),
            wave_amplitude: sample_range(rng, plan.load.wave_amplitude),
            wave_period: seconds(sample_range(rng, plan.load.wave_period_s)),
            zone_shares: zone_weights.iter().map(|part| part / sum).collect(),
            retry_policy: plan.load.retry_policy,
            max_retries: plan.load.max_retries,
            backoff: millis(sample_range(rng, plan.load.backoff_ms)),
            retry_after_share: sample_range(rng, plan.load.retry_after_share),
            try_timeout_share: sample_range(rng, plan.load.try_timeout_share),
        };
        let tenant_load: Vec<f64> =
            plan.tenants.iter().map(|t| t.share * sample_range(rng, t.usage)).collect();
        let total_load = tenant_load.iter().sum::<f64>().max(1e-9);
        let tenants = plan.tenants.iter().zip(&tenant_load).map(|(tenant, tenant_load)| TenantInfo {
            name: tenant.name.clone(),
            load_share: tenant_load / total_load,
            quota: tenant.share * capacity_rps,
        });
        let rng = &mut rng_stream(seed, 4);
        let max_slow_start = plan
            .kinds
            .iter()
            .map(|kind| kind.slow_start_s.from.max(kind.slow_start_s.to))
            .fold(0.0, f64::max);
        let min_initial_capacity = plan
            .kinds
            .iter()
            .map(|kind| kind.initial_capacity.from.min(kind.initial_capacity.to))
            .fold(1.0, f64::min);
        let mut world = Self {
            seed,
            zones: plan.fleet.zones.clone(),
            kinds: plan.kinds.iter().map(|kind| kind.name.clone()).collect(),
            nodes,
            servers,
            classes,
            tenants: tenants.collect(),
            load,
            intra_zone_delay: millis(sample_range(rng, plan.network.intra_zone_ms)),
            cross_zone_delay: millis(sample_range(rng, plan.network.cross_zone_ms)),
            jitter: sample_range(rng, plan.network.jitter),
            propagation_delay: seconds(sample_range(rng, plan.discovery.propagation_s)),
            failure_detection_delay: seconds(sample_range(rng, plan.discovery.failure_detection_s)),
            rules,
            faults: Vec::new(),
            replicas: plan.registry.replicas as usize,
            initial_capacity: min_initial_capacity,
            slow_start_window: seconds(max_slow_start),
        };
        for (n, fault) in (0..).zip(&plan.faults) {
            let steps = world.schedule_fault(fault, &mut rng_stream(seed, 100 + n));
            world.faults.extend(steps);
        }
        world.faults.sort_by_key(|step| step.at);
        world
    }

    /// One way between two zones, before jitter.
    pub fn one_way_delay(&self, from: u32, to: u32) -> Nanos {
        if from == to { self.intra_zone_delay } else { self.cross_zone_delay }
    }

    /// A party by the name that a plan gives it.
    pub fn link_end(&self, name: &str) -> Option<LinkEnd> {
        let number = |prefix: &str| name.strip_prefix(prefix).and_then(|number| number.parse::<usize>().ok());
        match name {
            "*" => return Some(LinkEnd::All),
            "discovery" => return Some(LinkEnd::Discovery),
            _ => {}
        }
        if let Some(zone) = self.zones.iter().position(|zone| zone == name) {
            return Some(LinkEnd::Zone(zone as u32));
        }
        if let Some(node) = number("n").filter(|node| *node < self.nodes.len()) {
            return Some(LinkEnd::Node(node));
        }
        if let Some(replica) = number("r").filter(|replica| *replica < self.replicas) {
            return Some(LinkEnd::Replica(replica));
        }
        number("s").filter(|server| *server < self.servers.len()).map(LinkEnd::Server)
    }

    /// The settings object of a node in this zone, in the operators' words and units.
    pub fn settings(&self, zone: u32) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| {
                let mut object = json!({"name": class.name, "on-time-ns": class.latency_target, "deadline-ns": class.deadline,
                    "importance": class.value, "late-share": class.late_value_share});
                match class.idempotency {
                    Idempotency::Idempotent => object["effect"] = json!("repeatable"),
                    Idempotency::NonIdempotent => object["effect"] = json!("once"),
                    Idempotency::Keyed => {
                        object["effect"] = json!("by_key");
                        object["key-scope"] = json!("cell");
                        object["window-ns"] = json!(class.dedup_window);
                    }
                }
                object
            })
            .collect();
        let mut settings = json!({
            "az": self.zones[zone as usize], "zones": self.zones, "kinds": self.kinds,
            "n-instances": self.nodes.len(), "discovery": "pushed", "weights": "nominal", "classes": classes,
            "over-share-worth": 0.2, "worth-by": "request", "quantum-ns": 5 * MS,
            "policy-limits": {"attempts-cap": self.rules.max_attempts, "second-copies": false, "probes": false,
                "may-cancel": true, "max-retry-after-ns": self.rules.max_retry_after,
                "conn-idle-ns": 15 * SECOND, "connect-timeout-ns": 200 * MS},
            "goal": {"worst-class": 0.05},
            "callers": {"marks-retry": false},
            "rules": {"answer-slack-ns": 20 * MS, "drain-grace-ns": self.rules.drain_grace,
                "start-capacity": self.initial_capacity, "warm-after-ns": self.slow_start_window,
                "tip-multiple": self.rules.overload_factor, "fall-ns": self.rules.overload_window},
        });
        if !self.tenants.is_empty() {
            settings["projects"] =
                self.tenants.iter().map(|t| json!({"name": t.name, "quota-rps": t.quota})).collect();
        }
        settings
    }

    fn schedule_fault(&self, fault: &Fault, rng: &mut impl Rng) -> Vec<ScheduledFault> {
        let at = sample_range(rng, fault.at_s);
        let duration = fault.duration_s.map(|duration| sample_range(rng, duration));
        let factor = fault.factor.map_or(0.0, |factor| sample_range(rng, factor));
        let interval = fault.interval_s.map_or(0.0, |interval| sample_range(rng, interval));
        let share = fault.share.map(|share| sample_range(rng, share));
        let zone = fault.zone.as_ref().and_then(|name| self.zones.iter().position(|zone| zone == name));
        let pick = |rng: &mut _, prefix: &str, zones: Vec<u32>| -> Vec<usize> {
            if let Some(who) = &fault.target {
                let number = who.strip_prefix(prefix).and_then(|number| number.parse().ok());
                return number.filter(|number| *number < zones.len()).into_iter().collect();
            }
            let mut all: Vec<usize> =
                (0..zones.len()).filter(|&at| zone.is_none_or(|zone| zones[at] as usize == zone)).collect();
            all.shuffle(rng);
            let count = match (fault.count, share) {
                (Some(count), _) => count as usize,
                (None, share) => (share.unwrap_or(0.0) * all.len() as f64).ceil() as usize,
            };
            all.truncate(count);
            all
        };
        let each = |targets: Vec<usize>, act: &dyn Fn(usize) -> FaultAction| -> Vec<ScheduledFault> {
            let begin = |n: usize| seconds(at + interval * n as f64);
            let made = |(n, target): (usize, usize)| ScheduledFault {
                at: begin(n),
                until: duration.map(|duration| begin(n) + seconds(duration)),
                action: act(target),
            };
            targets.into_iter().enumerate().map(made).collect()
        };
        let one = |act: FaultAction| {
            vec![ScheduledFault {
                at: seconds(at),
                until: duration.map(|duration| seconds(at + duration)),
                action: act,
            }]
        };
        let link = |trouble: LinkFault| {
            let end = |name: &Option<String>| name.as_deref().and_then(|name| self.link_end(name));
            match (end(&fault.from), end(&fault.to)) {
                (Some(from), Some(to)) => one(FaultAction::Link(from, to, fault.one_way, trouble)),
                _ => Vec::new(),
            }
        };
        let targets = match fault.kind.target_kind() {
            TargetKind::Nodes => pick(rng, "n", self.nodes.iter().map(|node| node.zone).collect()),
            TargetKind::Servers => {
                pick(rng, "s", self.servers.iter().map(|server| server.spec.zone).collect())
            }
            TargetKind::Replicas => pick(rng, "r", vec![u32::MAX; self.replicas]),
            _ => Vec::new(),
        };
        let replicas = |targets: Vec<usize>, act: &dyn Fn(Option<usize>) -> FaultAction| {
            if fault.target.as_deref() == Some(LEADER) {
                one(act(None))
            } else {
                each(targets, &|at| act(Some(at)))
            }
        };
        let named = |names: &[&String]| names.iter().position(|name| Some(*name) == fault.target.as_ref());
        match fault.kind {
            FaultKind::KillNode => each(targets, &FaultAction::KillNode),
            FaultKind::PauseNode => each(targets, &FaultAction::PauseNode),
            FaultKind::RestartNode => each(targets, &FaultAction::RestartNode),
            FaultKind::LateNode => each(targets, &FaultAction::LateNode),
            FaultKind::KillServer => each(targets, &FaultAction::KillServer),
            FaultKind::SlowServer => each(targets, &|s| FaultAction::SlowServer(s, factor)),
            FaultKind::HangServer => each(targets, &FaultAction::HangServer),
            FaultKind::FailServer => each(targets, &|s| FaultAction::FailServer(s, factor)),
            FaultKind::BusyServer => each(targets, &|s| FaultAction::BusyServer(s, factor)),
            FaultKind::ReplaceServer => each(targets, &FaultAction::ReplaceServer),
            FaultKind::LoseZone => {
                let zone = named(&self.zones.iter().collect::<Vec<_>>());
                zone.map_or(Vec::new(), |zone| one(FaultAction::LoseZone(zone as u32, fault.cold)))
            }
            FaultKind::CutLink => link(LinkFault::Cut),
            FaultKind::DelayLink => link(LinkFault::Delay(millis(factor))),
            FaultKind::ThrottleLink => link(LinkFault::Throttle(factor * 1000.0)),
            FaultKind::ResetLink => link(LinkFault::Reset(factor)),
            FaultKind::LateDiscovery => one(FaultAction::LateDiscovery(seconds(factor))),
            FaultKind::SilentDiscovery => one(FaultAction::SilentDiscovery),
            FaultKind::BusyDiscovery => one(FaultAction::BusyDiscovery(factor)),
            FaultKind::RubbishDiscovery => one(FaultAction::RubbishDiscovery),
            FaultKind::MoveDiscovery => one(FaultAction::MoveDiscovery),
            FaultKind::KillReplica => replicas(targets, &FaultAction::KillReplica),
            FaultKind::PauseReplica => replicas(targets, &FaultAction::PauseReplica),
            FaultKind::LoseReplica => replicas(targets, &FaultAction::LoseReplica),
            FaultKind::OrderZone => {
                let zone = named(&self.zones.iter().collect::<Vec<_>>());
                zone.map_or(Vec::new(), |zone| one(FaultAction::OrderZone(zone as u32, factor)))
            }
            FaultKind::Burst => one(FaultAction::Burst(factor)),
            FaultKind::FloodTenant => {
                let tenant = named(&self.tenants.iter().map(|tenant| &tenant.name).collect::<Vec<_>>());
                tenant.map_or(Vec::new(), |tenant| one(FaultAction::FloodTenant(tenant, factor)))
            }
            FaultKind::RudeClients => one(FaultAction::RudeClients(factor)),
        }
    }
}

fn sample_servers(plan: &Scenario, rules: &RuleInfo, mean_work: f64, rng: &mut impl Rng) -> Vec<ServerInfo> {
    let zones = plan.fleet.zones.len();
    let sizes =
        if plan.fleet.zone_weights.is_empty() { vec![1.0; zones] } else { plan.fleet.zone_weights.clone() };
    // One for each zone, whatever its size, and the rest by size.
    let mut counts = apportion(plan.fleet.servers as usize - zones, &sizes);
    counts.iter_mut().for_each(|count| *count += 1);
    let mut kinds: Vec<usize> = Vec::new();
    let shares: Vec<f64> = plan.kinds.iter().map(|kind| kind.share).collect();
    for (kind, count) in apportion(plan.fleet.servers as usize, &shares).into_iter().enumerate() {
        kinds.extend(std::iter::repeat_n(kind, count));
    }
    kinds.shuffle(rng);
    let group = sample_range(rng, plan.fleet.group_size).round().max(1.0) as usize;
    let choke = plan.fleet.congestion.then(|| Congestion {
        queued_per_core: Range::new(7.0, 4.0).interpolate(rng.random()),
        onset: seconds(Range::new(2.5, 1.5).interpolate(rng.random())),
        slowdown: Range::new(2.0, 3.5).interpolate(rng.random()),
        recovery_utilization: Range::new(0.4, 0.25).interpolate(rng.random()),
        recovery_time: seconds(Range::new(2.1, 4.7).interpolate(rng.random())),
        max_duration: seconds(Range::new(16.0, 31.0).interpolate(rng.random())),
    });
    let reporting = plan.fleet.load_reports.then(|| LoadReporting {
        period: millis(Range::new(8.0, 91.0).interpolate(rng.random())),
        delay: millis(Range::new(1.6, 28.0).interpolate(rng.random())),
        noise: Range::new(0.03, 0.2).interpolate(rng.random()),
    });
    let cancel = if rng.random::<bool>() { CancelPolicy::DropQueued } else { CancelPolicy::Ignore };
    let drops_expired = rng.random::<bool>();
    let handshake = Range::new(730_000.0, 2_300_000.0).interpolate(rng.random());
    let full_tax = Range::new(0.03, 0.15).interpolate(rng.random());
    // Servers of all zones take turns, so that a server's number tells nothing of its zone.
    let mut zone_order: Vec<u32> = Vec::new();
    for (zone, count) in counts.into_iter().enumerate() {
        zone_order.extend(std::iter::repeat_n(zone as u32, count));
    }
    zone_order.shuffle(rng);
    let mut zone_sizes = vec![0usize; zones];
    let servers = zone_order.into_iter().zip(kinds).map(|(zone, kind_at)| {
        let kind = &plan.kinds[kind_at];
        let cores = f64::from(kind.cores);
        let speed = sample_range(rng, kind.speed);
        let cell = (zone_sizes[zone as usize] / group) as u64 * zones as u64 + u64::from(zone);
        zone_sizes[zone as usize] += 1;
        let spec = ServerSpec {
            zone,
            cell,
            kind: kind_at as u32,
            cores,
            speed,
            concurrency: (sample_range(rng, kind.concurrency) * cores).round().max(1.0) as usize,
            queue_capacity: (sample_range(rng, kind.queue_capacity) * cores).round() as usize,
            thrash: sample_range(rng, kind.thrash),
            thrash_at: sample_range(rng, kind.thrash_at),
            initial_capacity: sample_range(rng, kind.initial_capacity),
            slow_start_window: seconds(sample_range(rng, kind.slow_start_s)),
            error_rate: kind.error_rate,
            cancel_policy: cancel,
            drops_expired,
            max_connections: (Range::new(600.0, 900.0).interpolate(rng.random()) * cores) as usize,
            handshake_work: handshake,
            connection_overhead: full_tax,
            congestion: choke,
            overload_factor: rules.overload_factor,
            overload_window: rules.overload_window,
            mean_work,
            reporting,
        };
        ServerInfo { spec, weight: cores * (kind.speed.from + kind.speed.to) / 2.0 }
    });
    servers.collect()
}

fn sample_classes(plan: &Scenario, rng: &mut impl Rng) -> Vec<ClassInfo> {
    let total_share: f64 = plan.classes.iter().map(|class| class.share).sum();
    let classes = plan.classes.iter().map(|class| ClassInfo {
        name: class.name.clone(),
        share: class.share / total_share,
        work: millis(sample_range(rng, class.work_ms)) as f64,
        io_wait: millis(sample_range(rng, class.io_wait_ms)),
        cv: sample_range(rng, class.cv),
        latency_target: millis(class.latency_target_ms),
        deadline: millis(class.deadline_ms),
        value: class.value,
        late_value_share: class.late_value_share,
        idempotency: class.idempotency,
        dedup_window: millis(class.dedup_window_ms),
    });
    classes.collect()
}
