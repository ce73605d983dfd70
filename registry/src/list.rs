//! The instance list and its revisions: the deterministic part of the replicated state. Applying the same commands in
//! the same order gives the same list on every replica, so nothing here reads a clock.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum number of instances on the list.
pub const MAX_INSTANCES: usize = 20_000;
/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 128;
/// Number of changes that are kept for watchers. A watcher that is further behind gets the full list.
pub const MAX_HISTORY: usize = 10_000;
/// Maximum number of lines in a part of a backup, which is replicated as one log entry.
pub const MAX_PART_LINES: usize = 200;
/// Maximum number of instances that one command marks or clears.
pub const MAX_KEYS: usize = 500;
/// Approximate sizes of a line and of a name with its start time in the log.
const LINE_BYTES: usize = 400;
const KEY_BYTES: usize = 100;
/// A revision of the list.
pub type Rev = u64;

/// Returns a revision that is greater than all revisions assigned before this second of Unix time. A new incarnation
/// starts after it, so its revisions exceed those that clients of an earlier incarnation have seen. The seconds are the
/// upper 32 bits; the lower 32 bits count the changes within the incarnation.
pub fn revision_floor(unix_s: u64) -> Rev {
    unix_s << 32
}

/// The lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is draining: it completes its current requests and accepts no new ones.
    Terminating,
    /// It has left the list; occurs only in changes.
    Gone,
}

/// The registration data of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The name, unique on the list.
    pub uid: String,
    /// The address it listens on.
    pub endpoint: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The machine type it runs on.
    pub kind: String,
    /// The group of instances that share the idempotency keys they have seen.
    pub group: u64,
    /// The capacity relative to other instances.
    pub capacity: f64,
    /// The start time of the process, in Unix milliseconds of its own clock; distinguishes successive processes of the
    /// same name.
    pub boot_ms: u64,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The instance.
    pub instance: Instance,
    /// The lifecycle state.
    pub state: State,
    /// Whether its lease has expired together with too many others: it stays on the list until it renews, an operator
    /// decides, or the hold time is over.
    pub suspect: bool,
    /// The revision in which this line last changed.
    pub rev: Rev,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Registers an instance, or registers it again. A later start time under the same name replaces the earlier
    /// process.
    Register(Instance),
    /// Starts draining the instance with this name and start time.
    Drain {
        /// The name.
        uid: String,
        /// The start time.
        boot_ms: u64,
    },
    /// Removes an instance, which has left by itself or whose lease has expired.
    Leave {
        /// The name.
        uid: String,
        /// The start time.
        boot_ms: u64,
    },
    /// Marks instances as suspects: too many leases have expired at once to treat the instances as failed.
    Suspect(Vec<(String, u64)>),
    /// Clears the suspect mark of instances that have renewed, or that an operator has declared alive.
    Clear(Vec<(String, u64)>),
    /// Starts the first incarnation of a new registry.
    Begin {
        /// The revision floor, see [`revision_floor`].
        past: Rev,
    },
    /// Stages a part of a backup. The last part replaces the list by the backup.
    Restore {
        /// Identifies the restore, so that parts of two concurrent ones are not mixed and a repeated part changes
        /// nothing. Absent in parts from former versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        restore_id: Option<u64>,
        /// The index of the part, from 0.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// The lines of the part.
        lines: Vec<Line>,
        /// The revision floor, see [`revision_floor`].
        past: Rev,
    },
}

impl Command {
    /// Returns the approximate size of the command in the log.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Register(_) => LINE_BYTES,
            Self::Drain { .. } | Self::Leave { .. } | Self::Begin { .. } => KEY_BYTES,
            Self::Suspect(keys) | Self::Clear(keys) => KEY_BYTES * keys.len(),
            Self::Restore { lines, .. } => LINE_BYTES * lines.len(),
        }
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ListError {
    /// A name is empty, too long or contains control characters.
    #[error("{field}: must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName {
        /// The field.
        field: &'static str,
    },
    /// The capacity is not a positive number.
    #[error("capacity: must be a finite number greater than 0")]
    InvalidCapacity,
    /// The list has its maximum size.
    #[error("the list is full: at most {MAX_INSTANCES} instances")]
    Full,
    /// The command refers to a process that is not the one on the list.
    #[error("{uid} is on the list with another start time: {boot_ms}")]
    StartTimeMismatch {
        /// The name.
        uid: String,
        /// The start time of the process that is on the list.
        boot_ms: u64,
    },
    /// An instance with the same name and start time differs in its endpoint, zone, kind or group.
    #[error(
        "{uid} is on the list with the same start time but another {field}: two processes have the same name"
    )]
    DuplicateName {
        /// The name.
        uid: String,
        /// The field that differs.
        field: &'static str,
    },
    /// A part of a backup is invalid or out of order.
    #[error(
        "part {part} of {parts} of a backup, with {lines} lines, is too large or out of order: restart with part 0"
    )]
    UnexpectedPart {
        /// The index of the part.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// The number of lines.
        lines: usize,
    },
    /// The instance is not on the list.
    #[error("{uid} is not on the list")]
    NotFound {
        /// The name.
        uid: String,
    },
}

/// The full list, or the changes since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The revision of the list after the update.
    pub rev: Rev,
    /// Whether this is the full list: instances that are missing have left.
    pub all: bool,
    /// The lines.
    pub lines: Vec<Line>,
}

/// The instance list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Increases with each restore. Revisions of different incarnations cannot be compared.
    incarnation: u64,
    rev: Rev,
    lines: BTreeMap<String, Line>,
    /// The last changes, oldest first, each with its revision.
    history: VecDeque<Line>,
    /// The oldest revision since which the history is complete.
    reaches: Rev,
    /// The number of parts of a backup that are staged, and their lines.
    #[serde(default)]
    staged: (u32, Vec<Line>),
    /// The restore that the staged parts belong to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    staged_restore: Option<u64>,
    /// The last restore that was completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    completed_restore: Option<u64>,
}

fn check_name(field: &'static str, text: &str) -> Result<(), ListError> {
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
    if valid { Ok(()) } else { Err(ListError::InvalidName { field }) }
}

impl Instance {
    /// Validates the registration data.
    pub fn check(&self) -> Result<(), ListError> {
        check_name("uid", &self.uid)?;
        check_name("zone", &self.zone)?;
        check_name("kind", &self.kind)?;
        let valid = self.capacity.is_finite() && self.capacity > 0.0;
        if valid { Ok(()) } else { Err(ListError::InvalidCapacity) }
    }
}

impl List {
    /// Returns the current revision.
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Returns the incarnation, 0 if the registry is not initialized.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the lines, ordered by name.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// Returns the line of an instance.
    pub fn line(&self, uid: &str) -> Option<&Line> {
        self.lines.get(uid)
    }

    /// Applies a command. Returns the new revision if the command changed the list.
    pub fn apply(&mut self, command: &Command) -> Result<Option<Rev>, ListError> {
        match command {
            Command::Register(instance) => self.register(instance),
            Command::Drain { uid, boot_ms } => self.modify(uid, *boot_ms, |line| {
                if line.state == State::Ready {
                    line.state = State::Terminating;
                }
            }),
            Command::Leave { uid, boot_ms } => self.modify(uid, *boot_ms, |line| line.state = State::Gone),
            Command::Suspect(keys) => Ok(self.set_suspect(keys, true)),
            Command::Clear(keys) => Ok(self.set_suspect(keys, false)),
            Command::Begin { past } => Ok((self.incarnation == 0).then(|| self.start_incarnation(*past))),
            Command::Restore { restore_id, part, parts, lines, past } => {
                self.restore(*restore_id, *part, *parts, lines, *past)
            }
        }
    }

    /// Returns the update for a watcher at revision `from`, or `None` if that is the current one. The update is the
    /// full list if `from` is unknown to this list or older than the history.
    pub fn changes_since(&self, from: Rev) -> Option<WatchUpdate> {
        if from == self.rev {
            return None;
        }
        if from > self.rev || from < self.reaches {
            return Some(self.full());
        }
        // Only the last change of each line is sent.
        let mut last: BTreeMap<&str, &Line> = BTreeMap::new();
        for line in self.history.iter().rev().take_while(|line| line.rev > from) {
            last.entry(&line.instance.uid).or_insert(line);
        }
        Some(WatchUpdate { rev: self.rev, all: false, lines: last.into_values().cloned().collect() })
    }

    /// Returns the empty update for a watcher at the current revision.
    pub fn no_changes(&self) -> WatchUpdate {
        WatchUpdate { rev: self.rev, all: false, lines: Vec::new() }
    }

    /// Returns the full list.
    pub fn full(&self) -> WatchUpdate {
        WatchUpdate { rev: self.rev, all: true, lines: self.lines.values().cloned().collect() }
    }

    /// Returns the list as a new incarnation, whose revision is greater than `seen`, the newest that any client is
    /// known to have.
    pub fn restored(mut self, seen: Rev) -> Self {
        self.start_incarnation(seen);
        self
    }

    fn start_incarnation(&mut self, past: Rev) -> Rev {
        // Also derived from the time, so that it is new even if the previous incarnation is unknown, as in a restore
        // into empty stores.
        self.incarnation = (self.incarnation + 1).max(past >> 32);
        self.rev = self.rev.max(past) + 1;
        self.history.clear();
        self.reaches = self.rev;
        self.rev
    }

    fn restore(
        &mut self,
        restore_id: Option<u64>,
        part: u32,
        parts: u32,
        lines: &[Line],
        past: Rev,
    ) -> Result<Option<Rev>, ListError> {
        let is_same = |other: Option<u64>| restore_id.is_some() && restore_id == other;
        let already_staged = is_same(self.staged_restore) && part < self.staged.0;
        if already_staged || is_same(self.completed_restore) {
            return Ok(None);
        }
        if part == 0 {
            self.staged = Default::default();
            self.staged_restore = restore_id;
        }
        let error = ListError::UnexpectedPart { part, parts, lines: lines.len() };
        if restore_id != self.staged_restore {
            return Err(error);
        }
        if part != self.staged.0 || part >= parts || lines.len() > MAX_PART_LINES {
            return Err(error);
        }
        lines.iter().try_for_each(|line| line.instance.check())?;
        if self.staged.1.len() + lines.len() > MAX_INSTANCES {
            self.staged = Default::default();
            return Err(ListError::Full);
        }
        self.staged.0 += 1;
        self.staged.1.extend_from_slice(lines);
        if part + 1 < parts {
            return Ok(None);
        }
        let (_, lines) = std::mem::take(&mut self.staged);
        self.completed_restore = self.staged_restore.take();
        // Suspect marks are dropped, because every instance gets a new lease.
        let lines = lines.into_iter().filter(|line| line.state != State::Gone);
        self.lines = lines.map(|line| (line.instance.uid.clone(), Line { suspect: false, ..line })).collect();
        Ok(Some(self.start_incarnation(past)))
    }

    fn register(&mut self, instance: &Instance) -> Result<Option<Rev>, ListError> {
        instance.check()?;
        let uid = &instance.uid;
        match self.lines.get(uid) {
            None if self.lines.len() >= MAX_INSTANCES => return Err(ListError::Full),
            Some(line) if line.instance.boot_ms > instance.boot_ms => {
                return Err(ListError::StartTimeMismatch {
                    uid: uid.clone(),
                    boot_ms: line.instance.boot_ms,
                });
            }
            Some(line) if line.instance.boot_ms == instance.boot_ms => {
                let registered = &line.instance;
                let differs = [
                    ("endpoint", registered.endpoint != instance.endpoint),
                    ("zone", registered.zone != instance.zone),
                    ("kind", registered.kind != instance.kind),
                    ("group", registered.group != instance.group),
                ];
                if let Some((field, _)) = differs.into_iter().find(|(_, differs)| *differs) {
                    return Err(ListError::DuplicateName { uid: uid.clone(), field });
                }
                // A retried registration changes nothing.
                if registered.capacity == instance.capacity && !line.suspect {
                    return Ok(None);
                }
            }
            _ => {}
        }
        let state = match self.lines.get(uid) {
            Some(line) if line.instance.boot_ms == instance.boot_ms => line.state,
            _ => State::Ready,
        };
        Ok(Some(self.record_change(Line { instance: instance.clone(), state, suspect: false, rev: 0 })))
    }

    fn modify(
        &mut self,
        uid: &str,
        boot_ms: u64,
        modify: impl FnOnce(&mut Line),
    ) -> Result<Option<Rev>, ListError> {
        let Some(line) = self.lines.get(uid) else { return Err(ListError::NotFound { uid: uid.to_owned() }) };
        if line.instance.boot_ms != boot_ms {
            let boot_ms = line.instance.boot_ms;
            return Err(ListError::StartTimeMismatch { uid: uid.to_owned(), boot_ms });
        }
        let mut changed = line.clone();
        modify(&mut changed);
        if changed == *line { Ok(None) } else { Ok(Some(self.record_change(changed))) }
    }

    /// Sets or clears the suspect mark. Instances that have left or restarted since are skipped.
    fn set_suspect(&mut self, keys: &[(String, u64)], suspect: bool) -> Option<Rev> {
        let mut last = None;
        for (uid, boot_ms) in keys {
            let line = self.lines.get(uid);
            let line = line.filter(|line| line.instance.boot_ms == *boot_ms && line.suspect != suspect);
            if let Some(line) = line.cloned() {
                last = Some(self.record_change(Line { suspect, ..line }));
            }
        }
        last
    }

    fn record_change(&mut self, mut line: Line) -> Rev {
        self.rev += 1;
        line.rev = self.rev;
        if self.history.len() == MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.reaches = oldest.rev;
        }
        self.history.push_back(line.clone());
        let uid = line.instance.uid.clone();
        if line.state == State::Gone {
            self.lines.remove(&uid);
        } else {
            self.lines.insert(uid, line);
        }
        self.rev
    }
}
