//! Description of a simulated fleet: its size, load, network and faults. A value may be given as a range to
//! sample from, and every field has a default. [`Scenario::validate`] checks the values;
//! [`World::sample`](crate::world::World::sample) draws all random values from a seed.

use serde::{Deserialize, Serialize};

mod fault;
mod range;
mod validation;

pub use fault::{Fault, FaultKind, TargetKind};
pub use range::Range;
pub use validation::ValidationError;

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
}
