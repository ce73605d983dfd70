//! What is to be played, as a person writes it: a fleet, its load, its links and its troubles, with a range wherever
//! a figure may be drawn. Every field has a default, so that an empty plan plays. [`Plan::check`] tells what makes
//! no sense; [`World::draw`](crate::world::World::draw) turns a plan and a seed into figures.

use std::fmt;
use std::ops::Range as Bytes;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bounds of what a plan may ask for: what one machine's descriptors and memory bear.
pub const MAX_NODES: u32 = 2_000;
/// See [`MOST_NODES`].
pub const MAX_SERVERS: u32 = 5_000;
/// See [`MOST_NODES`].
pub const MAX_ZONES: usize = 64;
/// Seconds that a run may last at most.
pub const MAX_RUN_SECONDS: f64 = 7_200.0;
/// Requests a second that a plan may ask for at most.
pub const MAX_RPS: f64 = 1_000_000.0;
/// Faults in a plan.
pub const MAX_FAULTS: usize = 1_000;
/// Replicas of a registry.
pub const MAX_REPLICAS: u32 = 9;
/// The replica that leads when a fault begins, as `who`.
pub const LEADER: &str = "leader";

/// A figure, or the range that it is drawn from: `5` or `[2, 8]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The one end.
    pub from: f64,
    /// The other, which may be the lower one.
    pub to: f64,
}

impl Range {
    /// A range of one figure.
    pub const fn fixed(value: f64) -> Self {
        Self { from: value, to: value }
    }

    /// A range between two figures.
    pub const fn new(from: f64, to: f64) -> Self {
        Self { from, to }
    }

    /// The figure at a share of the way, 0 to 1.
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
                f.write_str("a number, or a range of two such as [2, 8]")
            }

            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if value.is_finite() {
                    Ok(Range::fixed(value))
                } else {
                    Err(E::custom("a finite number is wanted"))
                }
            }

            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let invalid = || de::Error::custom("a range has two numbers, such as [2, 8]");
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

/// Where in its file something stands, as a span of bytes; empty where it came from no file.
pub type Span = Bytes<usize>;

/// What is wrong with a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// The key at fault, as `fault[2].zone`.
    pub key: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

impl std::error::Error for ValidationError {}

/// What is to be played.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Nodes, servers and zones.
    pub fleet: Fleet,
    /// What clients ask for.
    pub load: Load,
    /// Delays between the parties.
    pub network: Network,
    /// The list service.
    pub discovery: Discovery,
    /// The fleet's own registry; without replicas the stand-in of the protocol page tells the list.
    pub registry: Registry,
    /// The figures of the rules.
    pub rules: Rules,
    /// Machine kinds; the usual three if none is named.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Request classes; `save` and `sign` if none is named.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Customers; none if none is named.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// What goes wrong, and when.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The fleet's own registry, in processes of its own, and who talks to it beside the nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    /// How many replicas; 0 for none.
    pub replicas: u32,
    /// A lease lasts so long.
    pub lease_ms: f64,
    /// How often each instance renews.
    pub renew_ms: f64,
    /// Entries after which a replica compacts its log.
    pub snapshot_every: u32,
    /// Further instances, which register and renew. They are found at the app servers' addresses.
    pub instances: u32,
    /// Registrations a second, one after the other, of which each has to be there in the end.
    pub writes_per_s: f64,
    /// Clients that watch and keep account of what they are told, each with a replica of its own first.
    pub watchers: u32,
    /// Clients that watch the first replica, as many as that in each equal part of the run, while the list changes.
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
    /// How many nodes, dealt out over the zones in turn.
    pub nodes: u32,
    /// How many app servers.
    pub servers: u32,
    /// Each zone's part of the servers against the others'; even if none is named.
    #[serde(rename = "sizes")]
    pub zone_weights: Vec<f64>,
    /// App servers that share the keys they have seen, in a group.
    #[serde(rename = "group")]
    pub group_size: Range,
    /// Whether crowded servers turn slow.
    #[serde(rename = "chokes")]
    pub congestion: bool,
    /// Whether answers carry load reports.
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

/// When a client comes again after an answer that did not serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// At once.
    #[serde(rename = "at-once")]
    Immediate,
    /// After a wait that doubles.
    #[serde(rename = "later")]
    Backoff,
}

/// What clients ask for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second over all nodes; `utilisation` decides if absent.
    pub rps: Option<f64>,
    /// Share of what the servers can do, if `rps` is absent.
    pub utilisation: f64,
    /// How far it swings up and down, as a share.
    #[serde(rename = "swing")]
    pub wave_amplitude: Range,
    /// Seconds from one crest to the next.
    #[serde(rename = "wave_s")]
    pub wave_period_s: Range,
    /// How much more one zone is asked for than another, as a share.
    pub zone_skew: Range,
    /// When a client comes again.
    #[serde(rename = "again")]
    pub retry_policy: RetryPolicy,
    /// How often at most.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The first wait before it, in milliseconds.
    pub backoff_ms: Range,
    /// Share of the clients that heed `Retry-After`.
    #[serde(rename = "heeds")]
    pub retry_after_share: Range,
    /// A try is given up after this share of the class's deadline.
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

/// Delays between the parties, one way.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone, in milliseconds.
    #[serde(rename = "same_ms")]
    pub intra_zone_ms: Range,
    /// Between zones, in milliseconds.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: Range,
    /// Relative spread of each delay.
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

/// The list service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// A change reaches the nodes so many seconds after it happened.
    #[serde(rename = "notice_s")]
    pub propagation_s: Range,
    /// A server that has fallen silent is missed after so many seconds.
    #[serde(rename = "silent_s")]
    pub failure_detection_s: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Self { propagation_s: Range::new(0.58, 2.9), failure_detection_s: Range::new(5.3, 12.0) }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new goes to a server so long after the node was told that it drains.
    pub drain_grace_ms: f64,
    /// A cold server sent more than this multiple of its capacity falls over ...
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// ... counted over any span of this length.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// The longest pause that a refusal may advise.
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: f64,
    /// Attempts for one request at most.
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
    /// Its name.
    pub name: String,
    /// Its part of the servers.
    pub share: f64,
    /// Cores of a machine.
    pub cores: u32,
    /// Speed of a core against the standard one.
    pub speed: Range,
    /// Requests in work for each core.
    #[serde(rename = "slots")]
    pub concurrency: Range,
    /// Requests that wait for each core.
    #[serde(rename = "room")]
    pub queue_capacity: Range,
    /// Loss of efficiency when crowded.
    pub thrash: Range,
    /// Requests held for each core from which on efficiency is lost.
    pub thrash_at: Range,
    /// Share of its capacity that it starts with.
    #[serde(rename = "cold_from")]
    pub initial_capacity: Range,
    /// Seconds until it is warm.
    #[serde(rename = "cold_s")]
    pub slow_start_s: Range,
    /// Share of its requests that fail by themselves.
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

/// Whether a request may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Safe to repeat.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Repeats are dropped inside a group of servers for a while.
    Keyed,
    /// Must not run twice.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Work on a standard core, in milliseconds.
    pub work_ms: Range,
    /// Waits on others, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub io_wait_ms: Range,
    /// Spread of the work, as a coefficient of variation.
    pub cv: Range,
    /// Wanted time, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// When a client gives up, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of one.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the worth that is left after the aim.
    #[serde(rename = "late_worth")]
    pub late_value_share: f64,
    /// Whether it may be repeated.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long repeats of a keyed one are dropped, in milliseconds.
    #[serde(rename = "window_ms", default)]
    pub dedup_window_ms: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of what the fleet can do.
    pub share: f64,
    /// What it asks for against its share.
    pub usage: Range,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node's process is killed, and started again after `for_s`.
    KillNode,
    /// A node's process is paused for `for_s`.
    PauseNode,
    /// A node is told to end, and started again after `for_s`.
    RestartNode,
    /// A node starts only now.
    LateNode,
    /// An app server's process dies, and comes back cold after `for_s`.
    KillServer,
    /// App servers are `factor` times slower.
    SlowServer,
    /// App servers take requests and answer none.
    HangServer,
    /// App servers fail `factor` of their requests at once.
    FailServer,
    /// Another program takes `factor` of the machine.
    BusyServer,
    /// An app server drains, goes, and a new one comes cold in its place.
    ReplaceServer,
    /// A zone's app servers are silent, and come back; cold if `cold` says so.
    LoseZone,
    /// Nothing passes a link: the bytes wait, as when a cable is out.
    CutLink,
    /// A link takes `factor` milliseconds more.
    DelayLink,
    /// A link carries `factor` kilobytes a second.
    ThrottleLink,
    /// Connections over a link are reset, now and when they come, with the chance `factor` each second.
    ResetLink,
    /// What the list service tells is `factor` seconds late.
    LateDiscovery,
    /// The list service takes calls and answers none.
    SilentDiscovery,
    /// The list service turns `factor` of its calls away.
    BusyDiscovery,
    /// The list service answers what is no list.
    RubbishDiscovery,
    /// The list service moves to another address, and the nodes are told by SIGHUP.
    MoveDiscovery,
    /// A replica of the registry is killed, and started again after `for_s`.
    KillReplica,
    /// A replica is paused for `for_s`.
    PauseReplica,
    /// A replica is killed and its store is lost; it is started again after `for_s`.
    LoseReplica,
    /// The operator orders that a zone gets the part `factor` of its requests, and all of them again after `for_s`.
    OrderZone,
    /// `factor` times the requests.
    Burst,
    /// One tenant asks for `factor` times as much.
    FloodTenant,
    /// `factor` connections a second that ask nothing proper.
    RudeClients,
}

/// One fault. Which of the fields it takes depends on what it is.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins, in seconds from the start of the load.
    pub at_s: Range,
    /// How long it lasts; to the end of the run if absent.
    #[serde(rename = "for_s", default)]
    pub duration_s: Option<Range>,
    /// One node, server or replica by its name, a zone by its name, or `leader` for the replica that leads then.
    #[serde(rename = "who", default)]
    pub target: Option<String>,
    /// How many nodes or servers, drawn by the seed.
    #[serde(default)]
    pub count: Option<u32>,
    /// Which share of the nodes or servers, drawn by the seed.
    #[serde(default)]
    pub share: Option<Range>,
    /// Drawn from this zone only.
    #[serde(default)]
    pub zone: Option<String>,
    /// How strong it is; its unit depends on what it is.
    #[serde(default)]
    pub factor: Option<Range>,
    /// A link's one end: a node, a server, a zone, `discovery`, or `*` for all.
    #[serde(default)]
    pub from: Option<String>,
    /// A link's other end.
    #[serde(default)]
    pub to: Option<String>,
    /// Only what goes from `from` to `to` is concerned.
    #[serde(default)]
    pub one_way: bool,
    /// Whether a lost zone comes back cold.
    #[serde(default)]
    pub cold: bool,
    /// Seconds between one target and the next.
    #[serde(rename = "step_s", default)]
    pub interval_s: Option<Range>,
}

impl Fault {
    /// One that begins then and lasts to the end of the run, and says nothing else.
    pub fn new(what: FaultKind, at_s: Range) -> Self {
        Self {
            kind: what,
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
    /// Whether it picks nodes, servers, or neither.
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

    /// What `factor` stands for, with its least and its most; none where it takes none.
    pub fn factor_bounds(self) -> Option<(&'static str, f64, f64)> {
        Some(match self {
            Self::SlowServer => ("times slower, 1 to 100", 1.0, 100.0),
            Self::FailServer => ("the share that fails, 0 to 1", 0.0, 1.0),
            Self::BusyServer => ("the share that is taken, 0 to 0.99", 0.0, 0.99),
            Self::DelayLink => ("milliseconds, 0 to 10000", 0.0, 10_000.0),
            Self::ThrottleLink => ("kilobytes a second, 1 to 1000000", 1.0, 1_000_000.0),
            Self::ResetLink => ("the chance in a second, 0 to 1", 0.0, 1.0),
            Self::LateDiscovery => ("seconds, 0 to 60", 0.0, 60.0),
            Self::BusyDiscovery => ("the share turned away, 0 to 1", 0.0, 1.0),
            Self::OrderZone => ("a share, 0 to 1", 0.0, 1.0),
            Self::Burst | Self::FloodTenant => ("times as much, 0 to 100", 0.0, 100.0),
            Self::RudeClients => ("connections a second, 0 to 1000", 0.0, 1000.0),
            _ => return None,
        })
    }
}

/// Whom a trouble concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Nodes, by `who`, `count` or `share`.
    Nodes,
    /// App servers, by `who`, `count` or `share`.
    Servers,
    /// Replicas of the registry, by `who`, `count` or `share`.
    Replicas,
    /// The zone that `who` names.
    Zone,
    /// What lies between `from` and `to`.
    Link,
    /// The tenant that `who` names.
    Tenant,
    /// Nobody in particular.
    Global,
}

impl Scenario {
    /// Fills in what an empty plan leaves to the usual: kinds and classes.
    pub fn with_defaults(mut self) -> Self {
        if self.kinds.is_empty() {
            self.kinds = vec![
                Kind::with_defaults("fast-single", 0.25, 1, Range::new(1.1, 1.5)),
                Kind::with_defaults("dual-core", 0.44, 2, Range::new(0.85, 1.1)),
                Kind::with_defaults("slow-single", 0.31, 1, Range::new(0.59, 0.8)),
            ];
        }
        if self.classes.is_empty() {
            let class = |name: &str, share, aim_ms, worth, late_worth, effect| Class {
                name: String::from(name),
                share,
                work_ms: Range::new(53.0, 97.0),
                io_wait_ms: Range::new(37.0, 68.0),
                cv: Range::new(0.32, 0.79),
                latency_target_ms: aim_ms,
                deadline_ms: 1500.0,
                value: worth,
                late_value_share: late_worth,
                idempotency: effect,
                dedup_window_ms: 1500.0,
            };
            self.classes = vec![
                class("save", 0.84, 750.0, 8.0, 0.2, Idempotency::Keyed),
                class("sign", 0.16, 500.0, 10.0, 0.25, Idempotency::NonIdempotent),
            ];
        }
        self
    }

    /// What makes no sense in it, with the key at fault; the first of all.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let error = |key: String, text: String| Err(ValidationError { key, message: text });
        let fleet = &self.fleet;
        if fleet.zones.is_empty() || fleet.zones.len() > MAX_ZONES {
            return error("fleet.zones".into(), format!("1 to {MAX_ZONES} names are wanted"));
        }
        for (index, zone) in fleet.zones.iter().enumerate() {
            if zone.is_empty() || fleet.zones[..index].contains(zone) {
                return error("fleet.zones".into(), format!("{zone:?} is empty or stands twice"));
            }
        }
        for (key, value, max) in
            [("fleet.nodes", fleet.nodes, MAX_NODES), ("fleet.servers", fleet.servers, MAX_SERVERS)]
        {
            if value == 0 || value > max {
                return error(key.into(), format!("1 to {max} is wanted, not {value}"));
            }
        }
        if (fleet.servers as usize) < fleet.zones.len() {
            return error("fleet.servers".into(), "each zone needs one at least".into());
        }
        if !fleet.zone_weights.is_empty() && fleet.zone_weights.len() != fleet.zones.len() {
            return error(
                "fleet.sizes".into(),
                format!("{} figures are wanted, one a zone", fleet.zones.len()),
            );
        }
        if !fleet.zone_weights.iter().all(|size| *size > 0.0 && size.is_finite()) {
            return error("fleet.sizes".into(), "figures above 0 are wanted".into());
        }
        let check_range = |key: &str, range: Range, min: f64, max: f64| {
            if range.min() < min || range.max() > max {
                return error(key.to_owned(), format!("{min} to {max} is wanted"));
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
                return error(key("name"), "is empty or stands twice".into());
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
                return error(key("name"), "is empty or stands twice".into());
            }
            check_range(&key("share"), Range::fixed(tenant.share), 0.0, 1.0)?;
            check_range(&key("usage"), tenant.usage, 0.0, 100.0)?;
        }
        let registry = &self.registry;
        if registry.replicas > MAX_REPLICAS || registry.replicas.is_multiple_of(2) && registry.replicas > 0 {
            return error("registry.replicas".into(), format!("0, 1, 3, 5, 7 or {MAX_REPLICAS} is wanted"));
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
            return error("fault".into(), format!("{MAX_FAULTS} at most, not {}", self.faults.len()));
        }
        self.faults.iter().enumerate().try_for_each(|(n, fault)| self.validate_fault(n, fault))
    }

    fn validate_fault(&self, n: usize, fault: &Fault) -> Result<(), ValidationError> {
        let error = |field: &str, text: String| {
            Err(ValidationError { key: format!("fault[{n}].{field}"), message: text })
        };
        let target_kind = fault.kind.target_kind();
        if fault.at_s.min() < 0.0 || fault.at_s.max() > MAX_RUN_SECONDS {
            return error("at_s", format!("0 to {MAX_RUN_SECONDS} is wanted"));
        }
        if fault.duration_s.is_some_and(|span| span.min() < 0.0)
            || fault.interval_s.is_some_and(|s| s.min() < 0.0)
        {
            return error("for_s", "0 or more is wanted".into());
        }
        let is_zone = |zone: &String| self.fleet.zones.contains(zone);
        let zones = self.fleet.zones.join(", ");
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !is_zone(zone)) {
            return error("zone", format!("{zone:?} is none of {zones}"));
        }
        match (fault.kind.factor_bounds(), fault.factor) {
            (Some((unit, ..)), None) => return error("factor", format!("is wanted: {unit}")),
            (None, Some(_)) => return error("factor", "does not go with this trouble".into()),
            (Some((unit, least, most)), Some(range)) if range.min() < least || range.max() > most => {
                return error("factor", format!("is wanted as {unit}"));
            }
            _ => {}
        }
        let selectors = [fault.target.is_some(), fault.count.is_some(), fault.share.is_some()];
        let selector_count = selectors.iter().filter(|given| **given).count();
        match target_kind {
            TargetKind::Nodes | TargetKind::Servers | TargetKind::Replicas => {
                if selector_count != 1 {
                    return error("who", "one of who, count or share is wanted".into());
                }
                if fault.share.is_some_and(|share| share.min() < 0.0 || share.max() > 1.0) {
                    return error("share", "0 to 1 is wanted".into());
                }
                let (prefix, most) = match target_kind {
                    TargetKind::Nodes => ("n", self.fleet.nodes),
                    TargetKind::Servers => ("s", self.fleet.servers),
                    _ => ("r", self.registry.replicas),
                };
                if target_kind == TargetKind::Replicas && most == 0 {
                    return error("what", "there is no registry: set registry.replicas".into());
                }
                let is_leader =
                    target_kind == TargetKind::Replicas && fault.target.as_deref() == Some(LEADER);
                if let Some(who) = fault.target.as_ref().filter(|_| !is_leader) {
                    let number = who.strip_prefix(prefix).and_then(|number| number.parse::<u32>().ok());
                    if number.is_none_or(|number| number >= most) {
                        return error("who", format!("{who:?} is none of {prefix}0 to {prefix}{}", most - 1));
                    }
                }
            }
            TargetKind::Zone => match &fault.target {
                Some(zone) if is_zone(zone) => {}
                Some(zone) => return error("who", format!("{zone:?} is none of {zones}")),
                None => return error("who", format!("a zone is wanted, one of {zones}")),
            },
            TargetKind::Tenant => {
                let names: Vec<&str> = self.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
                if !fault.target.as_deref().is_some_and(|who| names.contains(&who)) {
                    return error("who", format!("a tenant is wanted, one of: {}", names.join(", ")));
                }
            }
            TargetKind::Link => {
                for (field, end) in [("from", &fault.from), ("to", &fault.to)] {
                    let Some(end) = end else {
                        return error(field, "is wanted: a node, a server, a zone, discovery or *".into());
                    };
                    if !self.is_link_end(end) {
                        return error(
                            field,
                            format!("{end:?} is no node, server or zone, nor discovery or *"),
                        );
                    }
                }
            }
            TargetKind::Global if selector_count > 0 => {
                return error("who", "does not go with this trouble".into());
            }
            TargetKind::Global => {}
        }
        if target_kind != TargetKind::Link && (fault.from.is_some() || fault.to.is_some() || fault.one_way) {
            return error("from", "goes with links only".into());
        }
        if fault.kind != FaultKind::LoseZone && fault.cold {
            return error("cold", "goes with lose-zone only".into());
        }
        Ok(())
    }

    fn is_link_end(&self, name: &str) -> bool {
        let number = |prefix: &str| name.strip_prefix(prefix).and_then(|number| number.parse::<u32>().ok());
        matches!(name, "*" | "discovery")
            || self.fleet.zones.iter().any(|zone| zone == name)
            || number("n").is_some_and(|number| number < self.fleet.nodes)
            || number("s").is_some_and(|number| number < self.fleet.servers)
            || number("r").is_some_and(|number| number < self.registry.replicas)
    }
}
