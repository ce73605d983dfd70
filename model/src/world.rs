//! A scenario with all random values drawn. The same scenario and seed give the same world. Each part draws
//! from a random stream of its own, so that adding a fault does not change the servers.

use brookfield::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};

use crate::scenario::{Fault, FaultKind, Idempotency, LEADER, Range, RetryPolicy, Scenario, TargetKind};
use crate::server::{CancelPolicy, Congestion, LoadReporting, ServerSpec};

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;

/// Converts seconds to nanoseconds; 0 for negative values and NaN.
pub fn seconds(value: f64) -> Nanos {
    (value.max(0.0) * SECOND as f64) as Nanos
}

/// Converts milliseconds to nanoseconds; 0 for negative values and NaN.
pub fn millis(value: f64) -> Nanos {
    seconds(value / 1000.0)
}

/// Independent random number stream `number` of a seed.
pub fn rng_stream(seed: u64, number: u64) -> ChaCha12Rng {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}

/// A node.
#[derive(Clone, Debug)]
pub struct NodeInfo {
    /// Name; kept across restarts.
    pub name: String,
    /// Index of its zone.
    pub zone: u32,
}

/// An app server; its process may be replaced.
#[derive(Clone, Copy, Debug)]
pub struct ServerInfo {
    /// Properties of the server.
    pub spec: ServerSpec,
    /// Nominal size on the discovery list: cores times the mean speed of the kind.
    pub weight: f64,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct ClassInfo {
    /// Name.
    pub name: String,
    /// Share of the requests; all classes add up to 1.
    pub share: f64,
    /// Mean CPU time on a standard core, in nanoseconds.
    pub work: f64,
    /// Time spent waiting on downstream calls, in nanoseconds.
    pub io_wait: Nanos,
    /// Coefficient of variation of the CPU time.
    pub cv: f64,
    /// Latency target.
    pub latency_target: Nanos,
    /// Deadline of the client.
    pub deadline: Nanos,
    /// Value of a request served in time.
    pub value: f64,
    /// Share of the value of a request served after its latency target.
    pub late_value_share: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// How long repeats of a keyed request are deduplicated.
    pub dedup_window: Nanos,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantInfo {
    /// Name.
    pub name: String,
    /// Share of the requests; all tenants add up to 1.
    pub load_share: f64,
    /// Quota over all nodes, in requests per second.
    pub quota: f64,
}

/// The load.
#[derive(Clone, Debug)]
pub struct LoadInfo {
    /// Mean rate, in requests per second.
    pub rps: f64,
    /// Relative amplitude of the load's sine wave.
    pub wave_amplitude: f64,
    /// Period of the load's sine wave.
    pub wave_period: Nanos,
    /// Share of the requests sent to each zone's nodes; all zones add up to 1.
    pub zone_shares: Vec<f64>,
    /// When clients retry.
    pub retry_policy: RetryPolicy,
    /// Maximum number of retries.
    pub max_retries: u32,
    /// Initial backoff.
    pub backoff: Nanos,
    /// Share of clients that honor `Retry-After`.
    pub retry_after_share: f64,
    /// Timeout of one try, as a share of the deadline.
    pub try_timeout_share: f64,
}

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// Any end.
    All,
    /// The discovery service.
    Discovery,
    /// A node.
    Node(usize),
    /// An app server.
    Server(usize),
    /// A registry replica.
    Replica(usize),
    /// All nodes and servers of a zone.
    Zone(u32),
}

/// A fault with its targets resolved.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// See [`FaultKind::KillNode`].
    KillNode(usize),
    /// See [`FaultKind::PauseNode`].
    PauseNode(usize),
    /// See [`FaultKind::RestartNode`].
    RestartNode(usize),
    /// See [`FaultKind::LateNode`].
    LateNode(usize),
    /// See [`FaultKind::KillServer`].
    KillServer(usize),
    /// See [`FaultKind::SlowServer`]; the slowdown factor.
    SlowServer(usize, f64),
    /// See [`FaultKind::HangServer`].
    HangServer(usize),
    /// See [`FaultKind::FailServer`]; the share that fails.
    FailServer(usize, f64),
    /// See [`FaultKind::BusyServer`]; the share of the CPU taken.
    BusyServer(usize, f64),
    /// See [`FaultKind::ReplaceServer`].
    ReplaceServer(usize),
    /// See [`FaultKind::LoseZone`]; whether the servers restart cold.
    LoseZone(u32, bool),
    /// A fault on the link between two ends; the flag restricts it to that direction.
    Link(LinkEnd, LinkEnd, bool, LinkFault),
    /// See [`FaultKind::LateDiscovery`].
    LateDiscovery(Nanos),
    /// See [`FaultKind::SilentDiscovery`].
    SilentDiscovery,
    /// See [`FaultKind::BusyDiscovery`]; the share of calls rejected.
    BusyDiscovery(f64),
    /// See [`FaultKind::RubbishDiscovery`].
    RubbishDiscovery,
    /// See [`FaultKind::MoveDiscovery`].
    MoveDiscovery,
    /// See [`FaultKind::KillReplica`]; `None` for the current leader.
    KillReplica(Option<usize>),
    /// See [`FaultKind::PauseReplica`].
    PauseReplica(Option<usize>),
    /// See [`FaultKind::LoseReplica`].
    LoseReplica(Option<usize>),
    /// See [`FaultKind::OrderZone`]; the zone and its share of traffic.
    OrderZone(u32, f64),
    /// See [`FaultKind::Burst`].
    Burst(f64),
    /// See [`FaultKind::FloodTenant`].
    FloodTenant(usize, f64),
    /// See [`FaultKind::RudeClients`]; connections per second.
    RudeClients(f64),
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing passes.
    Cut,
    /// Additional delay.
    Delay(Nanos),
    /// Bandwidth limit in bytes per second.
    Throttle(f64),
    /// Probability of a reset per second.
    Reset(f64),
}

/// A fault and its times.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start, relative to the start of the load.
    pub at: Nanos,
    /// End; `None` if it lasts until the end of the run.
    pub until: Option<Nanos>,
    /// The fault.
    pub action: FaultAction,
}

impl ScheduledFault {
    /// Whether the fault is active at `now`, on the same clock as its times.
    pub fn is_active(&self, now: Nanos) -> bool {
        self.at <= now && self.until.is_none_or(|until| now < until)
    }
}

/// Limits that the fleet is checked against.
#[derive(Clone, Copy, Debug)]
pub struct RuleInfo {
    /// How long after being notified of a drain a node may still send to the server.
    pub drain_grace: Nanos,
    /// Maximum `Retry-After` of a rejection.
    pub max_retry_after: Nanos,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// A cold server crashes if the work it receives within the overload window exceeds this multiple of its
    /// current capacity.
    pub overload_factor: f64,
    /// Length of the overload window.
    pub overload_window: Nanos,
}

/// A scenario with all random values drawn.
#[derive(Clone, Debug)]
pub struct World {
    /// Seed that the values were drawn from.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// The nodes.
    pub nodes: Vec<NodeInfo>,
    /// The app servers.
    pub servers: Vec<ServerInfo>,
    /// Number of registry replicas.
    pub replicas: usize,
    /// The request classes.
    pub classes: Vec<ClassInfo>,
    /// The tenants.
    pub tenants: Vec<TenantInfo>,
    /// The load.
    pub load: LoadInfo,
    /// One-way delay within a zone.
    pub intra_zone_delay: Nanos,
    /// One-way delay between zones.
    pub cross_zone_delay: Nanos,
    /// Relative jitter of each delay.
    pub jitter: f64,
    /// Time until nodes learn of a change.
    pub propagation_delay: Nanos,
    /// Time until a silent server is removed from the list.
    pub failure_detection_delay: Nanos,
    /// Limits that the fleet is checked against.
    pub rules: RuleInfo,
    /// Faults, ordered by start.
    pub faults: Vec<ScheduledFault>,
    /// Minimum share of its capacity that any server starts with.
    pub initial_capacity: f64,
    /// Maximum warm-up time of any server.
    pub slow_start_window: Nanos,
}

fn sample_range(rng: &mut impl Rng, range: Range) -> f64 {
    range.interpolate(rng.random::<f64>())
}

/// Splits `total` into integers in proportion to `shares`; they add up to `total`.
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
    /// Draws all random values of a validated scenario.
    pub fn sample(scenario: &Scenario, seed: u64) -> Self {
        let scenario = &scenario.clone().with_defaults();
        let rules = RuleInfo {
            drain_grace: millis(scenario.rules.drain_grace_ms),
            max_retry_after: millis(scenario.rules.max_retry_after_ms),
            max_attempts: scenario.rules.max_attempts,
            overload_factor: scenario.rules.overload_factor,
            overload_window: millis(scenario.rules.overload_window_ms),
        };
        let zones = scenario.fleet.zones.len();
        let nodes: Vec<NodeInfo> = (0..scenario.fleet.nodes)
            .map(|n| NodeInfo { name: format!("n{n}"), zone: n % zones as u32 })
            .collect();
        let classes = sample_classes(scenario, &mut rng_stream(seed, 2));
        let work: f64 = classes.iter().map(|class| class.share * class.work).sum();
        let servers = sample_servers(scenario, &rules, work, &mut rng_stream(seed, 1));
        let capacity: f64 = servers.iter().map(|s| s.spec.cores * s.spec.speed).sum();
        // Capacity of all servers, in requests per second.
        let capacity_rps = capacity * SECOND as f64 / work.max(1.0);
        let rng = &mut rng_stream(seed, 3);
        let zone_skew = sample_range(rng, scenario.load.zone_skew);
        let mut zone_weights: Vec<f64> =
            (0..zones).map(|zone| if zone == 0 { 1.0 + zone_skew } else { 1.0 }).collect();
        // A zone without nodes receives no requests.
        for (zone, weight) in zone_weights.iter_mut().enumerate() {
            if !nodes.iter().any(|node| node.zone as usize == zone) {
                *weight = 0.0;
            }
        }
        let sum: f64 = zone_weights.iter().sum();
        let load = LoadInfo {
            rps: scenario.load.rps.unwrap_or(capacity_rps * scenario.load.utilisation),
            wave_amplitude: sample_range(rng, scenario.load.wave_amplitude),
            wave_period: seconds(sample_range(rng, scenario.load.wave_period_s)),
            zone_shares: zone_weights.iter().map(|weight| weight / sum).collect(),
            retry_policy: scenario.load.retry_policy,
            max_retries: scenario.load.max_retries,
            backoff: millis(sample_range(rng, scenario.load.backoff_ms)),
            retry_after_share: sample_range(rng, scenario.load.retry_after_share),
            try_timeout_share: sample_range(rng, scenario.load.try_timeout_share),
        };
        let tenant_load: Vec<f64> =
            scenario.tenants.iter().map(|t| t.share * sample_range(rng, t.usage)).collect();
        let total_load = tenant_load.iter().sum::<f64>().max(1e-9);
        let tenants = scenario.tenants.iter().zip(&tenant_load).map(|(tenant, tenant_load)| TenantInfo {
            name: tenant.name.clone(),
            load_share: tenant_load / total_load,
            quota: tenant.share * capacity_rps,
        });
        let rng = &mut rng_stream(seed, 4);
        let max_slow_start = scenario
            .kinds
            .iter()
            .map(|kind| kind.slow_start_s.from.max(kind.slow_start_s.to))
            .fold(0.0, f64::max);
        let min_initial_capacity = scenario
            .kinds
            .iter()
            .map(|kind| kind.initial_capacity.from.min(kind.initial_capacity.to))
            .fold(1.0, f64::min);
        let mut world = Self {
            seed,
            zones: scenario.fleet.zones.clone(),
            kinds: scenario.kinds.iter().map(|kind| kind.name.clone()).collect(),
            nodes,
            servers,
            classes,
            tenants: tenants.collect(),
            load,
            intra_zone_delay: millis(sample_range(rng, scenario.network.intra_zone_ms)),
            cross_zone_delay: millis(sample_range(rng, scenario.network.cross_zone_ms)),
            jitter: sample_range(rng, scenario.network.jitter),
            propagation_delay: seconds(sample_range(rng, scenario.discovery.propagation_s)),
            failure_detection_delay: seconds(sample_range(rng, scenario.discovery.failure_detection_s)),
            rules,
            faults: Vec::new(),
            replicas: scenario.registry.replicas as usize,
            initial_capacity: min_initial_capacity,
            slow_start_window: seconds(max_slow_start),
        };
        for (n, fault) in (0..).zip(&scenario.faults) {
            let faults = world.schedule_fault(fault, &mut rng_stream(seed, 100 + n));
            world.faults.extend(faults);
        }
        world.faults.sort_by_key(|fault| fault.at);
        world
    }

    /// One-way delay between two zones, without jitter.
    pub fn one_way_delay(&self, from: u32, to: u32) -> Nanos {
        if from == to { self.intra_zone_delay } else { self.cross_zone_delay }
    }

    /// Resolves the name of a link end.
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

    /// The settings object of a node in this zone.
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
        let at_s = sample_range(rng, fault.at_s);
        let duration = fault.duration_s.map(|duration| sample_range(rng, duration));
        let factor = fault.factor.map_or(0.0, |factor| sample_range(rng, factor));
        let interval = fault.interval_s.map_or(0.0, |interval| sample_range(rng, interval));
        let share = fault.share.map(|share| sample_range(rng, share));
        let zone = fault.zone.as_ref().and_then(|name| self.zones.iter().position(|zone| zone == name));
        let select_targets = |rng: &mut _, prefix: &str, zones: Vec<u32>| -> Vec<usize> {
            if let Some(name) = &fault.target {
                let number = name.strip_prefix(prefix).and_then(|number| number.parse().ok());
                return number.filter(|number| *number < zones.len()).into_iter().collect();
            }
            let mut candidates: Vec<usize> = (0..zones.len())
                .filter(|&index| zone.is_none_or(|zone| zones[index] as usize == zone))
                .collect();
            candidates.shuffle(rng);
            let count = match (fault.count, share) {
                (Some(count), _) => count as usize,
                (None, share) => (share.unwrap_or(0.0) * candidates.len() as f64).ceil() as usize,
            };
            candidates.truncate(count);
            candidates
        };
        let for_each_target =
            |targets: Vec<usize>, act: &dyn Fn(usize) -> FaultAction| -> Vec<ScheduledFault> {
                let start = |n: usize| seconds(at_s + interval * n as f64);
                let scheduled = |(n, target): (usize, usize)| ScheduledFault {
                    at: start(n),
                    until: duration.map(|duration| start(n) + seconds(duration)),
                    action: act(target),
                };
                targets.into_iter().enumerate().map(scheduled).collect()
            };
        let single_fault = |action: FaultAction| {
            vec![ScheduledFault {
                at: seconds(at_s),
                until: duration.map(|duration| seconds(at_s + duration)),
                action,
            }]
        };
        let link_fault_between = |link_fault: LinkFault| {
            let end = |name: &Option<String>| name.as_deref().and_then(|name| self.link_end(name));
            match (end(&fault.from), end(&fault.to)) {
                (Some(from), Some(to)) => {
                    single_fault(FaultAction::Link(from, to, fault.one_way, link_fault))
                }
                _ => Vec::new(),
            }
        };
        let targets = match fault.kind.target_kind() {
            TargetKind::Nodes => select_targets(rng, "n", self.nodes.iter().map(|node| node.zone).collect()),
            TargetKind::Servers => {
                select_targets(rng, "s", self.servers.iter().map(|server| server.spec.zone).collect())
            }
            TargetKind::Replicas => select_targets(rng, "r", vec![u32::MAX; self.replicas]),
            _ => Vec::new(),
        };
        let for_replicas = |targets: Vec<usize>, act: &dyn Fn(Option<usize>) -> FaultAction| {
            if fault.target.as_deref() == Some(LEADER) {
                single_fault(act(None))
            } else {
                for_each_target(targets, &|replica| act(Some(replica)))
            }
        };
        let index_of_target =
            |names: &[&String]| names.iter().position(|name| Some(*name) == fault.target.as_ref());
        match fault.kind {
            FaultKind::KillNode => for_each_target(targets, &FaultAction::KillNode),
            FaultKind::PauseNode => for_each_target(targets, &FaultAction::PauseNode),
            FaultKind::RestartNode => for_each_target(targets, &FaultAction::RestartNode),
            FaultKind::LateNode => for_each_target(targets, &FaultAction::LateNode),
            FaultKind::KillServer => for_each_target(targets, &FaultAction::KillServer),
            FaultKind::SlowServer => for_each_target(targets, &|s| FaultAction::SlowServer(s, factor)),
            FaultKind::HangServer => for_each_target(targets, &FaultAction::HangServer),
            FaultKind::FailServer => for_each_target(targets, &|s| FaultAction::FailServer(s, factor)),
            FaultKind::BusyServer => for_each_target(targets, &|s| FaultAction::BusyServer(s, factor)),
            FaultKind::ReplaceServer => for_each_target(targets, &FaultAction::ReplaceServer),
            FaultKind::LoseZone => {
                let zone = index_of_target(&self.zones.iter().collect::<Vec<_>>());
                zone.map_or(Vec::new(), |zone| single_fault(FaultAction::LoseZone(zone as u32, fault.cold)))
            }
            FaultKind::CutLink => link_fault_between(LinkFault::Cut),
            FaultKind::DelayLink => link_fault_between(LinkFault::Delay(millis(factor))),
            FaultKind::ThrottleLink => link_fault_between(LinkFault::Throttle(factor * 1000.0)),
            FaultKind::ResetLink => link_fault_between(LinkFault::Reset(factor)),
            FaultKind::LateDiscovery => single_fault(FaultAction::LateDiscovery(seconds(factor))),
            FaultKind::SilentDiscovery => single_fault(FaultAction::SilentDiscovery),
            FaultKind::BusyDiscovery => single_fault(FaultAction::BusyDiscovery(factor)),
            FaultKind::RubbishDiscovery => single_fault(FaultAction::RubbishDiscovery),
            FaultKind::MoveDiscovery => single_fault(FaultAction::MoveDiscovery),
            FaultKind::KillReplica => for_replicas(targets, &FaultAction::KillReplica),
            FaultKind::PauseReplica => for_replicas(targets, &FaultAction::PauseReplica),
            FaultKind::LoseReplica => for_replicas(targets, &FaultAction::LoseReplica),
            FaultKind::OrderZone => {
                let zone = index_of_target(&self.zones.iter().collect::<Vec<_>>());
                zone.map_or(Vec::new(), |zone| single_fault(FaultAction::OrderZone(zone as u32, factor)))
            }
            FaultKind::Burst => single_fault(FaultAction::Burst(factor)),
            FaultKind::FloodTenant => {
                let tenant =
                    index_of_target(&self.tenants.iter().map(|tenant| &tenant.name).collect::<Vec<_>>());
                tenant.map_or(Vec::new(), |tenant| single_fault(FaultAction::FloodTenant(tenant, factor)))
            }
            FaultKind::RudeClients => single_fault(FaultAction::RudeClients(factor)),
        }
    }
}

fn sample_servers(
    scenario: &Scenario,
    rules: &RuleInfo,
    mean_work: f64,
    rng: &mut impl Rng,
) -> Vec<ServerInfo> {
    let zones = scenario.fleet.zones.len();
    let sizes = if scenario.fleet.zone_weights.is_empty() {
        vec![1.0; zones]
    } else {
        scenario.fleet.zone_weights.clone()
    };
    // Each zone has at least one server; the rest is distributed by weight.
    let mut counts = apportion(scenario.fleet.servers as usize - zones, &sizes);
    counts.iter_mut().for_each(|count| *count += 1);
    let mut kinds: Vec<usize> = Vec::new();
    let shares: Vec<f64> = scenario.kinds.iter().map(|kind| kind.share).collect();
    for (kind, count) in apportion(scenario.fleet.servers as usize, &shares).into_iter().enumerate() {
        kinds.extend(std::iter::repeat_n(kind, count));
    }
    kinds.shuffle(rng);
    let group_size = sample_range(rng, scenario.fleet.group_size).round().max(1.0) as usize;
    let congestion = scenario.fleet.congestion.then(|| Congestion {
        queued_per_core: Range::new(7.0, 4.0).interpolate(rng.random()),
        onset: seconds(Range::new(2.5, 1.5).interpolate(rng.random())),
        slowdown: Range::new(2.0, 3.5).interpolate(rng.random()),
        recovery_utilisation: Range::new(0.4, 0.25).interpolate(rng.random()),
        recovery_time: seconds(Range::new(2.1, 4.7).interpolate(rng.random())),
        max_duration: seconds(Range::new(16.0, 31.0).interpolate(rng.random())),
    });
    let reporting = scenario.fleet.load_reports.then(|| LoadReporting {
        period: millis(Range::new(8.0, 91.0).interpolate(rng.random())),
        delay: millis(Range::new(1.6, 28.0).interpolate(rng.random())),
        noise: Range::new(0.03, 0.2).interpolate(rng.random()),
    });
    let cancel_policy = if rng.random::<bool>() { CancelPolicy::DropQueued } else { CancelPolicy::Ignore };
    let drops_expired = rng.random::<bool>();
    let handshake_work = Range::new(730_000.0, 2_300_000.0).interpolate(rng.random());
    let connection_overhead = Range::new(0.03, 0.15).interpolate(rng.random());
    // Zones are shuffled, so that a server's index does not tell its zone.
    let mut zone_order: Vec<u32> = Vec::new();
    for (zone, count) in counts.into_iter().enumerate() {
        zone_order.extend(std::iter::repeat_n(zone as u32, count));
    }
    zone_order.shuffle(rng);
    let mut zone_sizes = vec![0usize; zones];
    let servers = zone_order.into_iter().zip(kinds).map(|(zone, kind_index)| {
        let kind = &scenario.kinds[kind_index];
        let cores = f64::from(kind.cores);
        let speed = sample_range(rng, kind.speed);
        let cell = (zone_sizes[zone as usize] / group_size) as u64 * zones as u64 + u64::from(zone);
        zone_sizes[zone as usize] += 1;
        let spec = ServerSpec {
            zone,
            cell,
            kind: kind_index as u32,
            cores,
            speed,
            concurrency: (sample_range(rng, kind.concurrency) * cores).round().max(1.0) as usize,
            queue_capacity: (sample_range(rng, kind.queue_capacity) * cores).round() as usize,
            thrash: sample_range(rng, kind.thrash),
            thrash_at: sample_range(rng, kind.thrash_at),
            initial_capacity: sample_range(rng, kind.initial_capacity),
            slow_start_window: seconds(sample_range(rng, kind.slow_start_s)),
            error_rate: kind.error_rate,
            cancel_policy,
            drops_expired,
            max_connections: (Range::new(600.0, 900.0).interpolate(rng.random()) * cores) as usize,
            handshake_work,
            connection_overhead,
            congestion,
            overload_factor: rules.overload_factor,
            overload_window: rules.overload_window,
            mean_work,
            reporting,
        };
        ServerInfo { spec, weight: cores * (kind.speed.from + kind.speed.to) / 2.0 }
    });
    servers.collect()
}

fn sample_classes(scenario: &Scenario, rng: &mut impl Rng) -> Vec<ClassInfo> {
    let total_share: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let classes = scenario.classes.iter().map(|class| ClassInfo {
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
