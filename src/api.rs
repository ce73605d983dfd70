//! The interface of the decision core: its settings, the events that it handles and the actions that it
//! returns.
//!
//! Ids are integers, so no name can influence a decision. Times are nanoseconds on the embedder's clock.

use std::fmt;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// A backend, numbered by the embedder. Its number survives a restart of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);
/// A zone: its index among the zones of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A request class: its index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);
/// A request of this node; an id is never reused while the node runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which backends share the keys that they have seen, and so deduplicate retries of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether requests of a class may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    Idempotent,
    /// Requests carry an idempotency key: backends of the `group` drop duplicates for `window`, counted from
    /// the first attempt that may have run.
    Keyed {
        /// The backends that deduplicate together.
        group: DedupGroup,
        /// How long they remember a key.
        window: Nanos,
    },
    /// Must not run more than once.
    NonIdempotent,
}

/// Settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// A response within this time earns the full value.
    pub latency_target: Nanos,
    /// The time that a client allows for all its tries together.
    pub deadline: Nanos,
    /// Value of one request.
    pub value: f64,
    /// Share of the value that a response after the latency target still earns.
    pub late_value_share: f64,
    /// Whether requests may be retried.
    pub idempotency: Idempotency,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            latency_target: 500_000_000,
            deadline: 1_000_000_000,
            value: 1.0,
            late_value_share: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

/// How the node obtains the list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes by itself.
    Push,
    /// Discovery responds to [`Action::Watch`] and [`Action::Fetch`] only.
    OnRequest,
}

/// Meaning of [`Member::weight`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// The registered capacity, approximate or absent.
    Static,
    /// The capacity divided by 1 + requests held per core, with some delay.
    Live,
}

/// Limits that the operator sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub concurrent_attempts: bool,
    /// Whether probes may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Longest time to advise a client to wait after a rejection; 0 for no advice.
    pub max_retry_after: Nanos,
}

/// Parameters of the contract's rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleParameters {
    /// A final response is accepted up to this long after the client's deadline.
    pub answer_slack: Nanos,
    /// A node in [`DiscoveryMode::OnRequest`] that has not polled for this long counts as notified of the
    /// list as it was then.
    pub max_poll_interval: Nanos,
    /// Sends to a draining backend must have ended this long after the node was notified.
    pub drain_grace: Nanos,
    /// Share of its capacity that a backend has at its start, at least.
    pub initial_capacity: f64,
    /// Time after its start until a backend is warm, at most.
    pub slow_start_window: Nanos,
    /// A cold backend is overloaded when it is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... within any window of this length.
    pub overload_window: Nanos,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own zone.
    pub home_zone: ZoneId,
    /// How many zones there are.
    pub zone_count: u32,
    /// How many nodes share the backends, this one included.
    pub node_count: u32,
    /// The request classes, indexed by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant over all nodes, in requests per second.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request over its tenant's quota, relative to one within it.
    pub over_quota_value: f64,
    /// How the node obtains the list of backends.
    pub discovery: DiscoveryMode,
    /// Meaning of the weights in the list.
    pub weight_kind: WeightKind,
    /// The operator's limits.
    pub limits: Limits,
    /// Parameters of the contract's rules.
    pub rules: RuleParameters,
    /// Weight of the worst-served class in the operator's goal, 0 to 1.
    pub worst_class_weight: f64,
    /// Whether clients mark all their retries.
    pub retries_marked: bool,
    /// Whether value counts per unit of work instead of per request.
    pub value_per_work: bool,
    /// Shortest time between two events.
    pub quantum: Nanos,
}

impl Settings {
    /// Settings of a node in zone `home` of `zones` zones, with defaults for the rest and without classes.
    pub fn new(home: ZoneId, zones: u32) -> Self {
        Self {
            home_zone: home,
            zone_count: zones,
            node_count: 1,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            discovery: DiscoveryMode::Push,
            weight_kind: WeightKind::Static,
            limits: Limits {
                max_attempts: 3,
                concurrent_attempts: true,
                probes: false,
                cancel: true,
                max_retry_after: 0,
            },
            rules: RuleParameters {
                answer_slack: 20_000_000,
                max_poll_interval: 10_000_000_000,
                drain_grace: 500_000_000,
                initial_capacity: 0.1,
                slow_start_window: 30_000_000_000,
                overload_factor: 2.0,
                overload_window: 2_000_000_000,
            },
            worst_class_weight: 0.0,
            retries_marked: false,
            value_per_work: false,
            quantum: 1_000_000,
        }
    }

    /// Checks that the settings are valid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fail = |field, problem| Err(SettingsError { field, problem });
        let is_valid = |v: f64| v.is_finite() && v >= 0.0;
        if self.zone_count == 0 {
            return fail("zone_count", "must be at least 1");
        }
        if self.home_zone.0 >= self.zone_count {
            return fail("home_zone", "must be less than the number of zones");
        }
        if self.node_count == 0 {
            return fail("node_count", "must be at least 1");
        }
        if self.classes.is_empty() {
            return fail("classes", "must contain at least one class");
        }
        for class in &self.classes {
            if class.latency_target == 0 || class.deadline == 0 {
                return fail("classes", "latency target and deadline must be above 0");
            }
            if !is_valid(class.value) || !is_valid(class.late_value_share) {
                return fail("classes", "value and late value share must be finite and not negative");
            }
        }
        if self.limits.max_attempts == 0 {
            return fail("limits.max_attempts", "must be at least 1");
        }
        if !is_valid(self.rules.overload_factor) || self.rules.overload_factor == 0.0 {
            return fail("rules.overload_factor", "must be finite and above 0");
        }
        if !is_valid(self.rules.initial_capacity) || self.rules.initial_capacity > 1.0 {
            return fail("rules.initial_capacity", "must be between 0 and 1");
        }
        if !self.tenant_quotas.iter().all(|&quota| is_valid(quota)) {
            return fail("tenant_quotas", "must be finite and not negative");
        }
        if !is_valid(self.over_quota_value) {
            return fail("over_quota_value", "must be finite and not negative");
        }
        if !is_valid(self.worst_class_weight) {
            return fail("worst_class_weight", "must be finite and not negative");
        }
        Ok(())
    }
}

/// Invalid settings: which field, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The invalid field.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Lifecycle stage of a backend in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Accepts requests.
    #[default]
    InService,
    /// Completes its requests; no new ones may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind, by number.
    pub kind: u32,
    /// Its cell; see [`DedupGroup::Cell`].
    pub cell: u64,
    /// Its lifecycle stage.
    pub stage: Stage,
    /// Its relative capacity, as [`WeightKind`] specifies; 0 or less counts as 1.
    pub weight: f64,
    /// When it last started, if recently.
    pub online_since: Option<Nanos>,
}

/// What the list of an [`Event::BackendList`] covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// The full list: a missing backend is gone.
    Full,
    /// The full list from the node's cache, possibly stale.
    Cached,
}

/// A backend's load, as it reports it; absent values were not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of its cores in use.
    pub util: Option<f64>,
    /// Requests that it serves per second.
    pub rate: Option<f64>,
    /// Requests that it holds.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The backend returned an error.
    Error,
    /// Rejected at once, as the backend was full.
    Full,
    /// No response in time.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke during the attempt.
    Reset,
    /// Cancelled by the node.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Expected work, as time on a standard core.
    pub cost_hint: Option<Nanos>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Its tenant: an index in [`Settings::tenant_quotas`].
    pub tenant: Option<u32>,
    /// When the client stops waiting for this try.
    pub not_after: Nanos,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, counted from 0 in the order of sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Nanos,
    /// Whether the request has ended, now or earlier.
    pub request_ended: bool,
    /// The backend's load report, if any.
    pub report: LoadReport,
}

/// An operator's override for one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneOverride {
    /// The zone.
    pub zone: ZoneId,
    /// Its region; zones of the same region are near each other.
    pub region: u32,
    /// Share of the traffic that would normally go there which it may be given, 0 to 1.
    pub traffic_share: f64,
}

/// An event that the decision core handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must be the first event, and occur once.
    Start,
    /// A list of backends.
    BackendList {
        /// What the list covers.
        scope: ListScope,
        /// Its entries.
        members: Vec<Member>,
    },
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed,
    /// The operator's overrides, which replace all earlier ones. A zone without one gets its full traffic.
    ZoneOverrides(Vec<ZoneOverride>),
    /// A request arrived; it must get exactly one final response.
    Request(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A streamed response has started.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The backend's load report, if any.
        report: LoadReport,
    },
    /// The client disconnected; no response is needed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    Timer {
        /// As given in [`Action::Timer`].
        token: u64,
    },
}

/// An action that the decision core asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Its timeout; `None` to wait as long as the client does.
        timeout: Option<Nanos>,
        /// Latest time to send it, on the clock of [`Balancer::handle`]: a retry that is sent later may run a
        /// second time. `None` for no limit.
        ///
        /// [`Balancer::handle`]: crate::Balancer::handle
        send_by: Option<Nanos>,
    },
    /// Final response: rejected; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client is advised to wait before a retry; 0 for no advice.
        retry_after: Nanos,
    },
    /// Final response: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probe a backend.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Watch discovery for changes from now on.
    Watch,
    /// Fetch the full list from discovery once.
    Fetch,
    /// Set a timer.
    Timer {
        /// How long from now.
        after: Nanos,
        /// Returned in [`Event::Timer`].
        token: u64,
    },
    /// An event for the operator's log.
    Log(LogEvent),
}

/// Which rule of slow start permitted or denied an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartBranch {
    /// This attempt and the work sent in the current window fit into the node's budget.
    WithinBudget,
    /// Nothing was sent in the current window, and the node was drawn for a trial request.
    Trial,
    /// The budget is spent, and the node was not drawn for a trial.
    OverBudget,
    /// The backend is not in the node's subset.
    OutsideSubset,
}

impl SlowStartBranch {
    /// Whether the attempt is permitted.
    pub fn grants(self) -> bool {
        matches!(self, Self::WithinBudget | Self::Trial)
    }
}

/// One slow-start decision with its inputs. Work is in requests of mean work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartDecision {
    /// The backend that is warming up.
    pub backend: BackendId,
    /// Time since its start, in nanoseconds.
    pub age: Nanos,
    /// Share of its capacity that it is assumed to have, 0 to 1.
    pub ramp: f64,
    /// Estimated throughput of a unit of warm capacity in the zone for this node, in work per second.
    pub capacity_estimate: f64,
    /// Rate by that estimate on which the budget is based, in work per second.
    pub measured_rate: f64,
    /// Minimum of the budget: the node's share of serving one request at a time.
    pub min_budget: f64,
    /// Addition to the budget: the node's share of the random variation that the rule tolerates.
    pub variance_allowance: f64,
    /// Response time of the backend relative to the expected one.
    pub slowness: f64,
    /// Factor on the budget for responses that were faster than the ramp implies.
    pub speed_factor: f64,
    /// Work that this node may send within [`RuleParameters::overload_window`].
    pub budget: f64,
    /// Work that it has sent in the current window.
    pub spent: f64,
    /// Work of the attempt.
    pub cost: f64,
    /// Which rule decided.
    pub branch: SlowStartBranch,
    /// Attempts denied since the last log event of the backend, this one included.
    pub denials: u32,
}

/// An event for the operator's log. [`fmt::Display`] gives its text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Slow start has permitted an attempt to a cold backend, or has denied some.
    SlowStart(SlowStartDecision),
    /// A backend has ended slow start.
    WarmedUp {
        /// The backend.
        backend: BackendId,
    },
    /// The home zone's utilisation has crossed the spill threshold.
    Spillover {
        /// The node's own zone.
        home: ZoneId,
        /// Whether it is at or over the threshold now.
        spilling: bool,
        /// The other zone with the best score, or the home zone if there is none.
        best: ZoneId,
    },
    /// An outlier was ejected: it gets no requests for a while.
    Ejected {
        /// The backend.
        backend: BackendId,
        /// For how long.
        duration: Nanos,
        /// Outcome of the last attempt.
        cause: Outcome,
    },
    /// An ejected backend has served its trial requests and is used again.
    Readmitted {
        /// The backend.
        backend: BackendId,
    },
    /// A zone's traffic share has reached its override.
    ShareReached {
        /// The zone.
        zone: ZoneId,
        /// The share, in percent.
        percent: u32,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Spillover { spilling, best, .. } => {
                let state = if *spilling { "over" } else { "under" };
                write!(f, "home zone {state} the spill threshold; best other zone: {}", best.0)
            }
            Self::Ejected { backend, duration, cause } => {
                write!(f, "backend {} ejected for {} ms after {cause:?}", backend.0, duration / 1_000_000)
            }
            Self::Readmitted { backend } => write!(f, "backend {} readmitted after trials", backend.0),
            Self::SlowStart(decision) => {
                write!(f, "backend {} in slow start: {:?}", decision.backend.0, decision.branch)
            }
            Self::WarmedUp { backend } => write!(f, "backend {} has ended slow start", backend.0),
            Self::ShareReached { zone, percent } => write!(f, "zone {} at its share of {percent}%", zone.0),
        }
    }
}
