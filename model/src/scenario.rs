//! Description of a simulated fleet: its size, load, network and faults. A value may be given as a range to
//! sample from, and every field has a default. [`Scenario::validate`] checks the values;
//! [`World::sample`](crate::world::World::sample) draws all random values from a seed.

use std::fmt;
use std::ops::Range as StdRange;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Upper bounds, set by the descriptors and memory of one machine.
pub const MAX_NODES: u32 = 2_000;
/// See [`MAX_NODES`].
pub const MAX_SERVERS: u32 = 5_000;
/// See [`MAX_NODES`].
pub const MAX_ZONES: usize = 64;
/// Maximum duration of a run, in seconds.
pub const MAX_RUN_SECONDS: f64 = 7_200.0;
/// Maximum load, in requests per second.
pub const MAX_RPS: f64 = 1_000_000.0;
/// Maximum number of faults.
pub const MAX_FAULTS: usize = 1_000;
/// Maximum number of registry replicas.
pub const MAX_REPLICAS: u32 = 9;
/// Value of `who` that selects the replica that is leader when the fault begins.
pub const LEADER: &str = "leader";

/// A value or a range to sample it from: `5` or `[2, 8]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// First bound.
    pub from: f64,
    /// Second bound, which may be less than the first.
    pub to: f64,
}

impl Range {
    /// A fixed value.
    pub const fn fixed(value: f64) -> Self {
        Self { from: value, to: value }
    }

    /// A range between two values.
    pub const fn new(from: f64, to: f64) -> Self {
        Self { from, to }
    }

    /// Linear interpolation between the bounds; `share` is from 0 to 1.
    pub fn interpolate(&self, share: f64) -> f64 {
        self.from + (self.to - self.from) * share
    }

    fn min(&self) -> f64 {
        self.from.min(self.to)
    }

    fn max(&self) -> f64 {
        self.from.max(self.to)
    }
}

impl Serialize for Range {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if self.from == self.to { out.serialize_f64(self.from) } else { [self.from, self.to].serialize(out) }
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct RangeVisitor;
        impl<'de> Visitor<'de> for RangeVisitor {
            type Value = Range;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number or a range such as [2, 8]")
            }

            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if value.is_finite() {
                    Ok(Range::fixed(value))
                } else {
                    Err(E::custom("expected a finite number"))
                }
            }

            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let invalid = || de::Error::custom("expected a range of two numbers such as [2, 8]");
                let from: f64 = seq.next_element()?.ok_or_else(invalid)?;
                let to: f64 = seq.next_element()?.ok_or_else(invalid)?;
                if seq.next_element::<f64>()?.is_some() || !from.is_finite() || !to.is_finite() {
                    return Err(invalid());
                }
                Ok(Range { from, to })
            }
        }
        input.deserialize_any(RangeVisitor)
    }
}

/// Byte span in a file; empty if there is no file.
pub type Span = StdRange<usize>;

/// An invalid value in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// Path of the key, such as `fault[2].zone`.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

impl std::error::Error for ValidationError {}

/// Everything that is simulated.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Nodes, servers and zones.
    pub fleet: Fleet,
    /// Load from clients.
    pub load: Load,
    /// Network delays.
    pub network: Network,
    /// The discovery service.
    pub discovery: Discovery,
    /// The fleet's own registry; without replicas, a stand-in for the discovery service is used.
    pub registry: Registry,
    /// Limits that the fleet is checked against.
    pub rules: Rules,
    /// Machine kinds; three defaults if empty.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Request classes; `save` and `sign` if empty.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; none if empty.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Faults and their times.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The fleet's own registry, and its clients besides the nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    /// Number of replicas; 0 for no registry.
    pub replicas: u32,
    /// Duration of a lease.
    pub lease_ms: f64,
    /// Interval at which instances renew their leases.
    pub renew_ms: f64,
    /// Log entries after which a replica takes a snapshot.
    pub snapshot_every: u32,
    /// Additional instances that register and renew, at the addresses of the app servers.
    pub instances: u32,
    /// Sequential registrations per second; each must be present at the end of the run.
    pub writes_per_s: f64,
    /// Clients that watch the list and verify what they receive, each starting with a different replica.
    pub watchers: u32,
    /// Number of clients watching the first replica in each equal part of the run, while the list changes.
    #[serde(rename = "crowd")]
    pub watcher_steps: Vec<u32>,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            replicas: 0,
            lease_ms: 6000.0,
            renew_ms: 1000.0,
            snapshot_every: 2000,
            instances: 0,
            writes_per_s: 0.0,
            watchers: 3,
            watcher_steps: Vec::new(),
        }
    }
}

/// Nodes, servers and zones.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of nodes, assigned to zones round-robin.
    pub nodes: u32,
    /// Number of app servers.
    pub servers: u32,
    /// Relative number of servers in each zone; equal if empty.
    #[serde(rename = "sizes")]
    pub zone_weights: Vec<f64>,
    /// Number of app servers that share one table of idempotency keys.
    #[serde(rename = "group")]
    pub group_size: Range,
    /// Whether overloaded servers slow down, see [`Congestion`](crate::server::Congestion).
    #[serde(rename = "chokes")]
    pub congestion: bool,
    /// Whether responses carry load reports.
    #[serde(rename = "reports")]
    pub load_reports: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            zones: vec!["north".to_owned(), "south".to_owned()],
            nodes: 3,
            servers: 8,
            zone_weights: Vec::new(),
            group_size: Range::new(6.0, 10.0),
            congestion: false,
            load_reports: false,
        }
    }
}

/// When a client retries a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Immediately.
    #[serde(rename = "at-once")]
    Immediate,
    /// With exponential backoff.
    #[serde(rename = "later")]
    Backoff,
}

/// Load from clients.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second over all nodes; derived from `utilisation` if absent.
    pub rps: Option<f64>,
    /// Load as a share of the servers' capacity, used if `rps` is absent.
    pub utilisation: f64,
    /// Relative amplitude of the load's sine wave.
    #[serde(rename = "swing")]
    pub wave_amplitude: Range,
    /// Period of the load's sine wave, in seconds.
    #[serde(rename = "wave_s")]
    pub wave_period_s: Range,
    /// Additional load of the first zone, as a share.
    pub zone_skew: Range,
    /// When clients retry.
    #[serde(rename = "again")]
    pub retry_policy: RetryPolicy,
    /// Maximum number of retries.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Initial backoff, in milliseconds.
    pub backoff_ms: Range,
    /// Share of clients that honor `Retry-After`.
    #[serde(rename = "heeds")]
    pub retry_after_share: Range,
    /// Timeout of one try, as a share of the class's deadline.
    #[serde(rename = "try_share")]
    pub try_timeout_share: Range,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rps: None,
            utilisation: 0.5,
            wave_amplitude: Range::new(0.1, 0.2),
            wave_period_s: Range::new(8.0, 15.0),
            zone_skew: Range::new(0.05, 0.3),
            retry_policy: RetryPolicy::Backoff,
            max_retries: 2,
            backoff_ms: Range::new(23.0, 180.0),
            retry_after_share: Range::new(0.28, 0.44),
            try_timeout_share: Range::new(0.4, 1.0),
        }
    }
}

/// One-way network delays.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone, in milliseconds.
    #[serde(rename = "same_ms")]
    pub intra_zone_ms: Range,
    /// Between zones, in milliseconds.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: Range,
    /// Relative jitter of each delay.
    pub jitter: Range,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            intra_zone_ms: Range::new(0.16, 0.34),
            cross_zone_ms: Range::new(4.8, 8.6),
            jitter: Range::new(0.09, 0.31),
        }
    }
}

/// The discovery service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Time until nodes learn of a change, in seconds.
    #[serde(rename = "notice_s")]
    pub propagation_s: Range,
    /// Time until a silent server is removed from the list, in seconds.
    #[serde(rename = "silent_s")]
    pub failure_detection_s: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Self { propagation_s: Range::new(0.58, 2.9), failure_detection_s: Range::new(5.3, 12.0) }
    }
}

/// Limits that the fleet is checked against.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after being notified of a drain a node may still send to the server.
    pub drain_grace_ms: f64,
    /// A cold server crashes if the work it receives within the overload window exceeds this multiple of its
    /// current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Length of the overload window.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Maximum `Retry-After` of a rejection.
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts per request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 500.0,
            overload_factor: 3.0,
            overload_window_ms: 1500.0,
            max_retry_after_ms: 1500.0,
            max_attempts: 3,
        }
    }
}

/// A machine kind.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Relative number of servers of this kind.
    pub share: f64,
    /// Number of cores.
    pub cores: u32,
    /// Speed of a core relative to the standard core.
    pub speed: Range,
    /// Maximum number of requests in progress, per core.
    #[serde(rename = "slots")]
    pub concurrency: Range,
    /// Maximum number of queued requests, per core.
    #[serde(rename = "room")]
    pub queue_capacity: Range,
    /// Efficiency lost for each further `thrash_at` requests per core.
    pub thrash: Range,
    /// Requests per core up to which no efficiency is lost.
    pub thrash_at: Range,
    /// Share of its capacity right after a cold start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: Range,
    /// Duration of the warm-up, in seconds.
    #[serde(rename = "cold_s")]
    pub slow_start_s: Range,
    /// Share of requests that fail without a fault.
    #[serde(default)]
    pub error_rate: f64,
}

impl Kind {
    fn with_defaults(name: &str, share: f64, cores: u32, speed: Range) -> Self {
        Self {
            name: name.to_owned(),
            share,
            cores,
            speed,
            concurrency: Range::new(7.0, 16.0),
            queue_capacity: Range::new(12.0, 23.0),
            thrash: Range::new(0.15, 0.4),
            thrash_at: Range::new(11.0, 26.0),
            initial_capacity: Range::new(0.15, 0.35),
            slow_start_s: Range::new(11.0, 22.0),
            error_rate: 0.0005,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Safe to repeat.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Repeats are deduplicated by key within a group of servers.
    Keyed,
    /// Must not run twice.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Relative number of requests.
    pub share: f64,
    /// CPU time on a standard core, in milliseconds.
    pub work_ms: Range,
    /// Time spent waiting on downstream calls, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub io_wait_ms: Range,
    /// Coefficient of variation of the CPU time.
    pub cv: Range,
    /// Latency target, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// Deadline of the client, in milliseconds.
    pub deadline_ms: f64,
    /// Value of a request served in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the value of a request served after its latency target.
    #[serde(rename = "late_worth")]
    pub late_value_share: f64,
    /// Whether a request may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long repeats of a keyed request are deduplicated, in milliseconds.
    #[serde(rename = "window_ms", default)]
    pub dedup_window_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Its share of the fleet's capacity.
    pub share: f64,
    /// Its load relative to its share.
    pub usage: Range,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kills a node; it restarts after `for_s`.
    KillNode,
    /// Pauses a node for `for_s`.
    PauseNode,
    /// Terminates a node gracefully; it restarts after `for_s`.
    RestartNode,
    /// Starts a node only at this time.
    LateNode,
    /// Kills an app server; it restarts cold after `for_s`.
    KillServer,
    /// Slows app servers down by `factor`.
    SlowServer,
    /// App servers accept requests and never respond.
    HangServer,
    /// App servers fail the share `factor` of their requests immediately.
    FailServer,
    /// Another program takes the share `factor` of the CPU.
    BusyServer,
    /// An app server drains and ends, and a cold one takes its place.
    ReplaceServer,
    /// The app servers of a zone become unreachable, and restart cold if `cold` is set.
    LoseZone,
    /// Nothing passes the link; data is held until it heals.
    CutLink,
    /// Adds `factor` milliseconds to the delay of a link.
    DelayLink,
    /// Limits a link to `factor` kilobytes per second.
    ThrottleLink,
    /// Resets the connections over a link with probability `factor` per second.
    ResetLink,
    /// Delays updates of the discovery service by `factor` seconds.
    LateDiscovery,
    /// The discovery service accepts calls and never responds.
    SilentDiscovery,
    /// The discovery service rejects the share `factor` of its calls.
    BusyDiscovery,
    /// The discovery service responds with an invalid list.
    RubbishDiscovery,
    /// The discovery service moves to another address; nodes reload with SIGHUP.
    MoveDiscovery,
    /// Kills a registry replica; it restarts after `for_s`.
    KillReplica,
    /// Pauses a registry replica for `for_s`.
    PauseReplica,
    /// Kills a registry replica and deletes its store; it restarts after `for_s`.
    LoseReplica,
    /// The operator reduces a zone's traffic to the share `factor`, and restores it after `for_s`.
    OrderZone,
    /// Multiplies the load by `factor`.
    Burst,
    /// Multiplies the load of one tenant by `factor`.
    FloodTenant,
    /// `factor` connections per second that send invalid requests.
    RudeClients,
}

/// A fault. Which fields apply depends on its kind.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Start in seconds after the start of the load.
    pub at_s: Range,
    /// Duration in seconds; until the end of the run if absent.
    #[serde(rename = "for_s", default)]
    pub duration_s: Option<Range>,
    /// Name of a node, server, replica, zone or tenant, or `leader` for the current leader of the registry.
    #[serde(rename = "who", default)]
    pub target: Option<String>,
    /// Number of targets, chosen at random.
    #[serde(default)]
    pub count: Option<u32>,
    /// Share of the targets, chosen at random.
    #[serde(default)]
    pub share: Option<Range>,
    /// Restricts the choice to this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Magnitude; its unit depends on the kind.
    #[serde(default)]
    pub factor: Option<Range>,
    /// One end of a link: a node, server, replica, zone, `discovery`, or `*` for all.
    #[serde(default)]
    pub from: Option<String>,
    /// The other end of the link.
    #[serde(default)]
    pub to: Option<String>,
    /// Whether only traffic from `from` to `to` is affected.
    #[serde(default)]
    pub one_way: bool,
    /// Whether the servers of a lost zone restart cold.
    #[serde(default)]
    pub cold: bool,
    /// Seconds between one target and the next.
    #[serde(rename = "step_s", default)]
    pub interval_s: Option<Range>,
}

impl Fault {
    /// A fault without targets that lasts until the end of the run.
    pub fn new(kind: FaultKind, at_s: Range) -> Self {
        Self {
            kind,
            at_s,
            duration_s: None,
            target: None,
            count: None,
            share: None,
            zone: None,
            factor: None,
            from: None,
            to: None,
            one_way: false,
            cold: false,
            interval_s: None,
        }
    }
}

impl FaultKind {
    /// What the fault applies to.
    pub fn target_kind(self) -> TargetKind {
        match self {
            Self::KillNode | Self::PauseNode | Self::RestartNode | Self::LateNode => TargetKind::Nodes,
            Self::KillServer
            | Self::SlowServer
            | Self::HangServer
            | Self::FailServer
            | Self::BusyServer
            | Self::ReplaceServer => TargetKind::Servers,
            Self::KillReplica | Self::PauseReplica | Self::LoseReplica => TargetKind::Replicas,
            Self::LoseZone | Self::OrderZone => TargetKind::Zone,
            Self::CutLink | Self::DelayLink | Self::ThrottleLink | Self::ResetLink => TargetKind::Link,
            Self::FloodTenant => TargetKind::Tenant,
            _ => TargetKind::Global,
        }
    }

    /// Meaning, minimum and maximum of `factor`; `None` if it does not apply.
    pub fn factor_bounds(self) -> Option<(&'static str, f64, f64)> {
        Some(match self {
            Self::SlowServer => ("a slowdown factor, 1 to 100", 1.0, 100.0),
            Self::FailServer => ("the share that fails, 0 to 1", 0.0, 1.0),
            Self::BusyServer => ("the share of the CPU taken, 0 to 0.99", 0.0, 0.99),
            Self::DelayLink => ("a delay in milliseconds, 0 to 10000", 0.0, 10_000.0),
            Self::ThrottleLink => ("a rate in kilobytes per second, 1 to 1000000", 1.0, 1_000_000.0),
            Self::ResetLink => ("a probability per second, 0 to 1", 0.0, 1.0),
            Self::LateDiscovery => ("a delay in seconds, 0 to 60", 0.0, 60.0),
            Self::BusyDiscovery => ("the share of calls rejected, 0 to 1", 0.0, 1.0),
            Self::OrderZone => ("a share of the traffic, 0 to 1", 0.0, 1.0),
            Self::Burst | Self::FloodTenant => ("a load factor, 0 to 100", 0.0, 100.0),
            Self::RudeClients => ("a rate in connections per second, 0 to 1000", 0.0, 1000.0),
            _ => return None,
        })
    }
}

/// What a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Nodes, selected by `who`, `count` or `share`.
    Nodes,
    /// App servers, selected by `who`, `count` or `share`.
    Servers,
    /// Registry replicas, selected by `who`, `count` or `share`.
    Replicas,
    /// The zone named by `who`.
    Zone,
    /// The link between `from` and `to`.
    Link,
    /// The tenant named by `who`.
    Tenant,
    /// The whole fleet.
    Global,
}

impl Scenario {
    /// Fills in the default kinds and classes if there are none.
    pub fn with_defaults(mut self) -> Self {
        if self.kinds.is_empty() {
            self.kinds = vec![
                Kind::with_defaults("fast-single", 0.25, 1, Range::new(1.1, 1.5)),
                Kind::with_defaults("dual-core", 0.44, 2, Range::new(0.85, 1.1)),
                Kind::with_defaults("slow-single", 0.31, 1, Range::new(0.59, 0.8)),
            ];
        }
        if self.classes.is_empty() {
            let class = |name: &str, share, latency_target_ms, value, late_value_share, idempotency| Class {
                name: String::from(name),
                share,
                work_ms: Range::new(53.0, 97.0),
                io_wait_ms: Range::new(37.0, 68.0),
                cv: Range::new(0.32, 0.79),
                latency_target_ms,
                deadline_ms: 1500.0,
                value,
                late_value_share,
                idempotency,
                dedup_window_ms: 1500.0,
            };
            self.classes = vec![
                class("save", 0.84, 750.0, 8.0, 0.2, Idempotency::Keyed),
                class("sign", 0.16, 500.0, 10.0, 0.25, Idempotency::NonIdempotent),
            ];
        }
        self
    }

    /// Checks all values and returns the first error.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let error = |key: String, message: String| Err(ValidationError { key, message });
        let fleet = &self.fleet;
        if fleet.zones.is_empty() || fleet.zones.len() > MAX_ZONES {
            return error("fleet.zones".into(), format!("must have 1 to {MAX_ZONES} names"));
        }
        for (index, zone) in fleet.zones.iter().enumerate() {
            if zone.is_empty() || fleet.zones[..index].contains(zone) {
                return error("fleet.zones".into(), format!("{zone:?} is empty or duplicated"));
            }
        }
        for (key, value, max) in
            [("fleet.nodes", fleet.nodes, MAX_NODES), ("fleet.servers", fleet.servers, MAX_SERVERS)]
        {
            if value == 0 || value > max {
                return error(key.into(), format!("must be between 1 and {max}, not {value}"));
            }
        }
        if (fleet.servers as usize) < fleet.zones.len() {
            return error("fleet.servers".into(), "must be at least the number of zones".into());
        }
        if !fleet.zone_weights.is_empty() && fleet.zone_weights.len() != fleet.zones.len() {
            return error(
                "fleet.sizes".into(),
                format!("must have {} values, one per zone", fleet.zones.len()),
            );
        }
        if !fleet.zone_weights.iter().all(|weight| *weight > 0.0 && weight.is_finite()) {
            return error("fleet.sizes".into(), "must be above 0".into());
        }
        let check_range = |key: &str, range: Range, min: f64, max: f64| {
            if range.min() < min || range.max() > max {
                return error(key.to_owned(), format!("must be between {min} and {max}"));
            }
            Ok(())
        };
        check_range("fleet.group", fleet.group_size, 1.0, 10_000.0)?;
        let load = &self.load;
        if let Some(rps) = load.rps {
            check_range("load.rps", Range::fixed(rps), 0.1, MAX_RPS)?;
        }
        check_range("load.utilisation", Range::fixed(load.utilisation), 0.01, 10.0)?;
        check_range("load.swing", load.wave_amplitude, 0.0, 0.9)?;
        check_range("load.wave_s", load.wave_period_s, 0.5, MAX_RUN_SECONDS)?;
        check_range("load.zone_skew", load.zone_skew, 0.0, 0.9)?;
        check_range("load.retries", Range::fixed(load.max_retries.into()), 0.0, 10.0)?;
        check_range("load.backoff_ms", load.backoff_ms, 1.0, 60_000.0)?;
        check_range("load.heeds", load.retry_after_share, 0.0, 1.0)?;
        check_range("load.try_share", load.try_timeout_share, 0.05, 1.0)?;
        check_range("network.same_ms", self.network.intra_zone_ms, 0.01, 1000.0)?;
        check_range("network.cross_ms", self.network.cross_zone_ms, 0.01, 1000.0)?;
        check_range("network.jitter", self.network.jitter, 0.0, 0.9)?;
        check_range("discovery.notice_s", self.discovery.propagation_s, 0.0, 60.0)?;
        check_range("discovery.silent_s", self.discovery.failure_detection_s, 0.0, 600.0)?;
        check_range("rules.drain_grace_ms", Range::fixed(self.rules.drain_grace_ms), 1.0, 60_000.0)?;
        check_range("rules.fall_multiple", Range::fixed(self.rules.overload_factor), 1.0, 100.0)?;
        check_range("rules.fall_ms", Range::fixed(self.rules.overload_window_ms), 10.0, 60_000.0)?;
        check_range("rules.retry_after_ms", Range::fixed(self.rules.max_retry_after_ms), 0.0, 60_000.0)?;
        check_range("rules.attempts", Range::fixed(self.rules.max_attempts.into()), 1.0, 10.0)?;
        for (n, kind) in self.kinds.iter().enumerate() {
            let key = |field: &str| format!("kind[{n}].{field}");
            check_range(&key("share"), Range::fixed(kind.share), 1e-6, 1e6)?;
            check_range(&key("cores"), Range::fixed(kind.cores.into()), 1.0, 1024.0)?;
            check_range(&key("speed"), kind.speed, 0.01, 100.0)?;
            check_range(&key("slots"), kind.concurrency, 1.0, 10_000.0)?;
            check_range(&key("room"), kind.queue_capacity, 0.0, 100_000.0)?;
            check_range(&key("thrash"), kind.thrash, 0.0, 10.0)?;
            check_range(&key("thrash_at"), kind.thrash_at, 1.0, 10_000.0)?;
            check_range(&key("cold_from"), kind.initial_capacity, 0.01, 1.0)?;
            check_range(&key("cold_s"), kind.slow_start_s, 0.0, 600.0)?;
            check_range(&key("error_rate"), Range::fixed(kind.error_rate), 0.0, 1.0)?;
        }
        for (n, class) in self.classes.iter().enumerate() {
            let key = |field: &str| format!("class[{n}].{field}");
            if class.name.is_empty() || self.classes[..n].iter().any(|other| other.name == class.name) {
                return error(key("name"), "is empty or duplicated".into());
            }
            check_range(&key("share"), Range::fixed(class.share), 1e-6, 1e6)?;
            check_range(&key("work_ms"), class.work_ms, 0.01, 60_000.0)?;
            check_range(&key("wait_ms"), class.io_wait_ms, 0.0, 60_000.0)?;
            check_range(&key("cv"), class.cv, 0.0, 5.0)?;
            check_range(&key("aim_ms"), Range::fixed(class.latency_target_ms), 1.0, 60_000.0)?;
            check_range(
                &key("deadline_ms"),
                Range::fixed(class.deadline_ms),
                class.latency_target_ms,
                60_000.0,
            )?;
            check_range(&key("worth"), Range::fixed(class.value), 0.0, 1e6)?;
            check_range(&key("late_worth"), Range::fixed(class.late_value_share), 0.0, 1.0)?;
            if class.idempotency == Idempotency::Keyed {
                check_range(&key("window_ms"), Range::fixed(class.dedup_window_ms), 1.0, 600_000.0)?;
            }
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            let key = |field: &str| format!("tenant[{n}].{field}");
            if tenant.name.is_empty() || self.tenants[..n].iter().any(|other| other.name == tenant.name) {
                return error(key("name"), "is empty or duplicated".into());
            }
            check_range(&key("share"), Range::fixed(tenant.share), 0.0, 1.0)?;
            check_range(&key("usage"), tenant.usage, 0.0, 100.0)?;
        }
        let registry = &self.registry;
        if registry.replicas > MAX_REPLICAS || registry.replicas.is_multiple_of(2) && registry.replicas > 0 {
            return error("registry.replicas".into(), format!("must be 0, 1, 3, 5, 7 or {MAX_REPLICAS}"));
        }
        check_range("registry.lease_ms", Range::fixed(registry.lease_ms), 500.0, 600_000.0)?;
        check_range("registry.renew_ms", Range::fixed(registry.renew_ms), 50.0, registry.lease_ms / 2.0)?;
        check_range("registry.snapshot_every", Range::fixed(registry.snapshot_every.into()), 10.0, 1e6)?;
        check_range("registry.instances", Range::fixed(registry.instances.into()), 0.0, 10_000.0)?;
        check_range("registry.writes_per_s", Range::fixed(registry.writes_per_s), 0.0, 1000.0)?;
        check_range("registry.watchers", Range::fixed(registry.watchers.into()), 0.0, 1000.0)?;
        for watchers in &registry.watcher_steps {
            check_range("registry.crowd", Range::fixed((*watchers).into()), 1.0, 15_000.0)?;
        }
        if self.faults.len() > MAX_FAULTS {
            return error(
                "fault".into(),
                format!("must have at most {MAX_FAULTS} entries, not {}", self.faults.len()),
            );
        }
        self.faults.iter().enumerate().try_for_each(|(n, fault)| self.validate_fault(n, fault))
    }

    fn validate_fault(&self, n: usize, fault: &Fault) -> Result<(), ValidationError> {
        let error = |field: &str, message: String| {
            Err(ValidationError { key: format!("fault[{n}].{field}"), message })
        };
        let target_kind = fault.kind.target_kind();
        if fault.at_s.min() < 0.0 || fault.at_s.max() > MAX_RUN_SECONDS {
            return error("at_s", format!("must be between 0 and {MAX_RUN_SECONDS}"));
        }
        for (field, range) in [("for_s", fault.duration_s), ("step_s", fault.interval_s)] {
            if range.is_some_and(|range| range.min() < 0.0) {
                return error(field, "must not be negative".into());
            }
        }
        let is_zone = |zone: &String| self.fleet.zones.contains(zone);
        let zones = self.fleet.zones.join(", ");
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !is_zone(zone)) {
            return error("zone", format!("{zone:?} is not one of {zones}"));
        }
        match (fault.kind.factor_bounds(), fault.factor) {
            (Some((unit, ..)), None) => return error("factor", format!("is required: {unit}")),
            (None, Some(_)) => return error("factor", "does not apply to this kind of fault".into()),
            (Some((unit, min, max)), Some(range)) if range.min() < min || range.max() > max => {
                return error("factor", format!("must be {unit}"));
            }
            _ => {}
        }
        let selectors = [fault.target.is_some(), fault.count.is_some(), fault.share.is_some()];
        let selector_count = selectors.iter().filter(|is_set| **is_set).count();
        match target_kind {
            TargetKind::Nodes | TargetKind::Servers | TargetKind::Replicas => {
                if selector_count != 1 {
                    return error("who", "exactly one of who, count and share is required".into());
                }
                if fault.share.is_some_and(|share| share.min() < 0.0 || share.max() > 1.0) {
                    return error("share", "must be between 0 and 1".into());
                }
                let (prefix, max) = match target_kind {
                    TargetKind::Nodes => ("n", self.fleet.nodes),
                    TargetKind::Servers => ("s", self.fleet.servers),
                    _ => ("r", self.registry.replicas),
                };
                if target_kind == TargetKind::Replicas && max == 0 {
                    return error("what", "requires a registry: set registry.replicas".into());
                }
                let is_leader =
                    target_kind == TargetKind::Replicas && fault.target.as_deref() == Some(LEADER);
                if let Some(target) = fault.target.as_ref().filter(|_| !is_leader) {
                    let number = target.strip_prefix(prefix).and_then(|number| number.parse::<u32>().ok());
                    if number.is_none_or(|number| number >= max) {
                        return error(
                            "who",
                            format!("{target:?} is not one of {prefix}0 to {prefix}{}", max - 1),
                        );
                    }
                }
            }
            TargetKind::Zone => match &fault.target {
                Some(zone) if is_zone(zone) => {}
                Some(zone) => return error("who", format!("{zone:?} is not one of {zones}")),
                None => return error("who", format!("must be a zone, one of {zones}")),
            },
            TargetKind::Tenant => {
                let names: Vec<&str> = self.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
                if !fault.target.as_deref().is_some_and(|target| names.contains(&target)) {
                    return error("who", format!("must be a tenant, one of: {}", names.join(", ")));
                }
            }
            TargetKind::Link => {
                for (field, end) in [("from", &fault.from), ("to", &fault.to)] {
                    let Some(end) = end else {
                        return error(field, "is required: a node, a server, a zone, discovery or *".into());
                    };
                    if !self.is_link_end(end) {
                        return error(field, format!("{end:?} is not a node, server, zone, discovery or *"));
                    }
                }
            }
            TargetKind::Global if selector_count > 0 => {
                return error("who", "does not apply to this kind of fault".into());
            }
            TargetKind::Global => {}
        }
        if target_kind != TargetKind::Link && (fault.from.is_some() || fault.to.is_some() || fault.one_way) {
            return error("from", "applies to links only".into());
        }
        if fault.kind != FaultKind::LoseZone && fault.cold {
            return error("cold", "applies to lose-zone only".into());
        }
        Ok(())
    }

    fn is_link_end(&self, name: &str) -> bool {
        let index = |prefix: &str| name.strip_prefix(prefix).and_then(|index| index.parse::<u32>().ok());
        matches!(name, "*" | "discovery")
            || self.fleet.zones.iter().any(|zone| zone == name)
            || index("n").is_some_and(|index| index < self.fleet.nodes)
            || index("s").is_some_and(|index| index < self.fleet.servers)
            || index("r").is_some_and(|index| index < self.registry.replicas)
    }
}
