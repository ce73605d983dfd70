//! What goes between the registry and its clients: the list in the form of the protocol page, and a few plain calls.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::list::{Instance, Line, State, Told};

/// A line of the list, and what an instance registers with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its machine kind.
    pub model: String,
    /// The group whose members share the keys that they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// What it may take; not looked at in a registration.
    #[serde(default = "ready")]
    pub state: State,
    /// Its size against the others'.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// The Unix time of its process's start in milliseconds, by its own clock.
    pub boot_ms: u64,
    /// Its lease has lapsed together with too many others.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

fn ready() -> State {
    State::Ready
}

fn one() -> f64 {
    1.0
}

impl From<&Line> for Target {
    fn from(line: &Line) -> Self {
        let instance = line.instance.clone();
        Self {
            uid: instance.uid,
            endpoint: instance.endpoint,
            az: instance.zone,
            model: instance.kind,
            pod_group: instance.group,
            state: line.state,
            capacity_hint: instance.capacity,
            boot_ms: instance.boot_ms,
            suspect: line.suspect,
        }
    }
}

impl From<Target> for Instance {
    fn from(target: Target) -> Self {
        Self {
            uid: target.uid,
            endpoint: target.endpoint,
            zone: target.az,
            kind: target.model,
            group: target.pod_group,
            capacity: target.capacity_hint,
            boot_ms: target.boot_ms,
        }
    }
}

/// The list, or what has changed on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The version.
    pub rev: u64,
    /// Whether this is the whole list.
    pub all: bool,
    /// The lines.
    pub targets: Vec<Target>,
    /// The registry's incarnation: raised by a restore.
    pub incarnation: u64,
}

impl Listing {
    /// What a watcher is told.
    pub fn of(told: &Told, incarnation: u64) -> Self {
        let targets = told.lines.iter().map(Target::from).collect();
        Self { rev: told.rev, all: told.all, targets, incarnation }
    }
}

/// A life: an instance by its name and its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceKey {
    /// Its name.
    pub uid: String,
    /// Its start.
    pub boot_ms: u64,
}

/// Lives that renew their leases: one, or those of a whole machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renewal {
    /// They.
    pub lives: Vec<InstanceKey>,
}

/// What a renewal came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    /// A lease lasts so long from now.
    pub lease_ms: u64,
    /// Who is not on the list with this start, and has to register.
    pub unknown: Vec<String>,
}

/// A person's word on a zone's suspects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectDecision {
    /// The zone.
    pub zone: String,
    /// Whether they live.
    pub alive: bool,
}

/// A change of the replicas, which are named by their peer addresses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ReplicaChange {
    /// One comes.
    Add(SocketAddr),
    /// One goes.
    Remove(SocketAddr),
    /// One takes the lead.
    Lead(SocketAddr),
}

/// A backup: the list as one file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backup {
    /// [`Backup::FORMAT`].
    pub format: u32,
    /// Whose it is.
    pub fleet: String,
    /// The incarnation that it was taken from.
    pub incarnation: u64,
    /// The version that it has.
    pub rev: u64,
    /// The lines.
    pub lines: Vec<Line>,
}

impl Backup {
    /// The form of backups that this program writes and reads.
    pub const FORMAT: u32 = 1;
}

/// A part of a backup on its way back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackupPart {
    /// Which part, from 0.
    pub part: u32,
    /// How many there are.
    pub parts: u32,
    /// Its lines.
    pub lines: Vec<Line>,
}

/// What was refused, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The reason.
    pub error: String,
}

impl ErrorBody {
    /// The reason that a body tells; one that is none of ours is the reason itself.
    pub fn message(body: &[u8]) -> String {
        match serde_json::from_slice::<Self>(body) {
            Ok(refusal) => refusal.error,
            Err(_) => String::from_utf8_lossy(body).into_owned(),
        }
    }
}
