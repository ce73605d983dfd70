//! JSON messages between the registry and its clients.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::list::{Instance, Line, MAX_PART_LINES, State, WatchUpdate};

/// An instance on the list, and the body of a registration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The instance's unique name.
    pub uid: String,
    /// The address it listens on.
    pub endpoint: SocketAddr,
    /// The zone it runs in.
    pub az: String,
    /// The machine type it runs on.
    pub model: String,
    /// The group of instances that share the idempotency keys they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// The lifecycle state; ignored in a registration.
    #[serde(default = "default_state")]
    pub state: State,
    /// The capacity relative to other instances.
    #[serde(default = "default_capacity")]
    pub capacity_hint: f64,
    /// The start time of the process, in Unix milliseconds of its own clock.
    pub boot_ms: u64,
    /// Whether the lease has expired together with too many others, so that the instance may still be alive.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

fn default_state() -> State {
    State::Ready
}

fn default_capacity() -> f64 {
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

/// The full list, or the changes since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the list.
    pub rev: u64,
    /// Whether this is the full list, as opposed to changes.
    pub all: bool,
    /// The instances.
    pub targets: Vec<Target>,
    /// The registry's incarnation, which increases with every restore.
    pub incarnation: u64,
}

impl Listing {
    /// Creates the message for an update.
    pub fn new(update: &WatchUpdate, incarnation: u64) -> Self {
        let targets = update.lines.iter().map(Target::from).collect();
        Self { rev: update.rev, all: update.all, targets, incarnation }
    }
}

/// Identifies one process of an instance by its name and start time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceKey {
    /// The instance's name.
    pub uid: String,
    /// The start time of the process, in Unix milliseconds.
    pub boot_ms: u64,
}

/// Renews the leases of one or more instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renewal {
    /// The instances.
    pub lives: Vec<InstanceKey>,
}

/// The response to a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// The duration of a lease, in milliseconds from now.
    pub lease_ms: u64,
    /// Names of instances that are not on the list with the given start time, and must register.
    pub unknown: Vec<String>,
}

/// An operator's decision on the suspects of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectDecision {
    /// The zone.
    pub zone: String,
    /// Whether the suspects are alive.
    pub alive: bool,
}

/// A change of the replicas, which are identified by their peer addresses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ReplicaChange {
    /// Adds a replica.
    Add(SocketAddr),
    /// Removes a replica.
    Remove(SocketAddr),
    /// Transfers leadership to a replica.
    Lead(SocketAddr),
}

/// A backup of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backup {
    /// The format version, see [`Backup::FORMAT`].
    pub format: u32,
    /// The name of the fleet.
    pub fleet: String,
    /// The incarnation of the list.
    pub incarnation: u64,
    /// The revision of the list.
    pub rev: u64,
    /// The lines of the list.
    pub lines: Vec<Line>,
    /// Set if the list could not be confirmed as current, so that acknowledged writes may be missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale: Option<StaleBackup>,
}

/// How far a backup may be behind the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleBackup {
    /// The maximum age of the list when the backup was taken, in milliseconds; `None` if it is unknown.
    pub max_age_ms: Option<u64>,
}

impl Backup {
    /// The format version that this program writes and reads.
    pub const FORMAT: u32 = 1;
}

/// A part of a backup that is being restored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackupPart {
    /// Identifies the restore that the part belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_id: Option<u64>,
    /// The index of the part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The lines of the part.
    pub lines: Vec<Line>,
}

impl BackupPart {
    /// Splits a backup into the parts of a new restore.
    pub fn split(lines: &[Line]) -> Vec<Self> {
        let restore_id = Some(random_id());
        let parts = lines.len().div_ceil(MAX_PART_LINES).max(1) as u32;
        let part_lines = |part: u32| lines.chunks(MAX_PART_LINES).nth(part as usize).unwrap_or_default();
        let new_part = |part| Self { restore_id, part, parts, lines: part_lines(part).to_vec() };
        (0..parts).map(new_part).collect()
    }
}

/// Returns a random ID below 2^53, so that every JSON parser represents it exactly.
pub(crate) fn random_id() -> u64 {
    (rand::random::<u64>() >> 11).max(1)
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error message.
    pub error: String,
}

impl ErrorBody {
    /// Returns the message of an error response; a body in another format is returned as it is.
    pub fn message(body: &[u8]) -> String {
        match serde_json::from_slice::<Self>(body) {
            Ok(parsed) => parsed.error,
            Err(_) => String::from_utf8_lossy(body).into_owned(),
        }
    }
}
