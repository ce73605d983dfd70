//! The faults of a scenario, and what each kind may target.

use serde::{Deserialize, Serialize};

use super::Range;

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
