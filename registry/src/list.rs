//! The list and its versions. The same commands in the same order give the same list on every replica: there is no
//! time in it, since when a command was thought of is not when it is carried out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Instances on the list at most.
pub const MOST_INSTANCES: usize = 20_000;
/// Bytes of any name.
pub const MOST_NAME: usize = 128;
/// Changes that are kept for watchers; one that is further behind gets the whole list.
pub const HISTORY: usize = 10_000;
/// Lines of a part of a backup: a part has to fit into one entry of the log.
pub const MAX_PART_LINES: usize = 200;
/// A version of the list.
pub type Rev = u64;

/// A version past all that were ever told before this second of Unix time: what begins anew, from nothing or from a
/// backup, begins there, and no client has seen more. An incarnation has room for four thousand million changes.
pub fn past_all_before(unix_s: u64) -> Rev {
    unix_s << 32
}

/// What the list says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It has left; stands among changes only.
    Gone,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, unique on the list.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// The group whose members share the keys that they have seen.
    pub group: u64,
    /// Its size against the others'.
    pub capacity: f64,
    /// The Unix time of its process's start in milliseconds, by its own clock; tells one life from the next.
    pub boot_ms: u64,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The instance.
    pub instance: Instance,
    /// What it may take.
    pub state: State,
    /// Its lease has lapsed together with too many others: it is held on the list, and not believed gone yet.
    pub suspect: bool,
    /// The version in which this line last changed.
    pub rev: Rev,
}

/// What is done to the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An instance comes, or comes again: under its name with a later start it is a new life.
    Register(Instance),
    /// It finishes what it has. The start tells which life is meant.
    Drain {
        /// Its name.
        uid: String,
        /// Its life.
        boot_ms: u64,
    },
    /// It has left by itself, or its lease has lapsed and is believed to have.
    Leave {
        /// Its name.
        uid: String,
        /// Its life.
        boot_ms: u64,
    },
    /// Leases have lapsed, more than are believed at once: the lines are held.
    Suspect(Vec<(String, u64)>),
    /// They have renewed after all, or a person says that they live.
    Clear(Vec<(String, u64)>),
    /// The first of a new registry: its versions begin past what clients of an earlier one may have seen.
    Begin {
        /// See [`past_all_before`].
        past: Rev,
    },
    /// A part of a backup. The last one puts the backup in place of the list.
    Restore {
        /// Which part, from 0.
        part: u32,
        /// How many there are.
        parts: u32,
        /// Its lines.
        lines: Vec<Line>,
        /// See [`past_all_before`].
        past: Rev,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A name is empty or too long, or holds what is not printed.
    #[error("{field}: 1 to {MOST_NAME} printable characters are wanted")]
    Name {
        /// Which one.
        field: &'static str,
    },
    /// A size is none.
    #[error("capacity: a finite number above 0 is wanted")]
    Capacity,
    /// The list is full.
    #[error("the list is full: {MOST_INSTANCES} instances")]
    Full,
    /// An earlier life of an instance that has started again since.
    #[error("{uid} has started again since, at {boot_ms}")]
    Outlived {
        /// Its name.
        uid: String,
        /// The start of the life that the list knows.
        boot_ms: u64,
    },
    /// The same life with another endpoint, zone, kind or group.
    #[error("{uid} is on the list with another {field}, of the same start: two processes have one name")]
    Twice {
        /// Its name.
        uid: String,
        /// What differs.
        field: &'static str,
    },
    /// A part of a backup that is none, or not the next one.
    #[error(
        "part {part} of {parts} of a backup, with {lines} lines, is not the next one: begin again with part 0"
    )]
    Part {
        /// Which one.
        part: u32,
        /// Of how many.
        parts: u32,
        /// Its lines.
        lines: usize,
    },
    /// It is not on the list.
    #[error("{uid} is not on the list")]
    Unknown {
        /// Its name.
        uid: String,
    },
}

/// What a watcher is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The version that the watcher has then.
    pub rev: Rev,
    /// Whether this is the whole list: who is missing has gone.
    pub all: bool,
    /// The lines.
    pub lines: Vec<Line>,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Raised by each restore: versions of two incarnations say nothing of each other.
    incarnation: u64,
    rev: Rev,
    lines: BTreeMap<String, Line>,
    /// The last changes, the oldest first, each with its version.
    history: VecDeque<Line>,
    /// The version from which on the history holds every change.
    reaches: Rev,
    /// The parts of a backup that have come so far, and how many they are.
    #[serde(default)]
    staged: (u32, Vec<Line>),
}

fn name(field: &'static str, text: &str) -> Result<(), Refused> {
    let fits = !text.is_empty() && text.len() <= MOST_NAME && !text.chars().any(char::is_control);
    if fits { Ok(()) } else { Err(Refused::Name { field }) }
}

impl Instance {
    /// Whether it can stand on a list.
    pub fn check(&self) -> Result<(), Refused> {
        name("uid", &self.uid)?;
        name("zone", &self.zone)?;
        name("kind", &self.kind)?;
        let sized = self.capacity.is_finite() && self.capacity > 0.0;
        if sized { Ok(()) } else { Err(Refused::Capacity) }
    }
}

impl List {
    /// The version.
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Which incarnation this is.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The lines, by name.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// One line.
    pub fn line(&self, uid: &str) -> Option<&Line> {
        self.lines.get(uid)
    }

    /// Carries a command out. The version rises if, and only if, anything changed: then it is told.
    pub fn apply(&mut self, command: &Command) -> Result<Option<Rev>, Refused> {
        match command {
            Command::Register(instance) => self.register(instance),
            Command::Drain { uid, boot_ms } => self.change(uid, *boot_ms, |line| {
                if line.state == State::Ready {
                    line.state = State::Terminating;
                }
            }),
            Command::Leave { uid, boot_ms } => self.change(uid, *boot_ms, |line| line.state = State::Gone),
            Command::Suspect(lives) => Ok(self.mark(lives, true)),
            Command::Clear(lives) => Ok(self.mark(lives, false)),
            Command::Begin { past } => Ok((self.incarnation == 0).then(|| self.begin_anew(*past))),
            Command::Restore { part, parts, lines, past } => self.restore(*part, *parts, lines, *past),
        }
    }

    /// What a watcher has to be told that has this version; none if it has the newest. One from a version that
    /// this list has not reached, or that the history no longer reaches, gets the whole list.
    pub fn since(&self, from: Rev) -> Option<Told> {
        if from == self.rev {
            return None;
        }
        if from > self.rev || from < self.reaches {
            return Some(self.whole());
        }
        // Of several changes of one line the last one counts.
        let mut last: BTreeMap<&str, &Line> = BTreeMap::new();
        for line in self.history.iter().rev().take_while(|line| line.rev > from) {
            last.entry(&line.instance.uid).or_insert(line);
        }
        Some(Told { rev: self.rev, all: false, lines: last.into_values().cloned().collect() })
    }

    /// For a watcher that has the newest version.
    pub fn nothing_new(&self) -> Told {
        Told { rev: self.rev, all: false, lines: Vec::new() }
    }

    /// The whole list.
    pub fn whole(&self) -> Told {
        Told { rev: self.rev, all: true, lines: self.lines.values().cloned().collect() }
    }

    /// The list as a restore brings it back: a new incarnation, whose version is past `seen`, the newest that any
    /// client is known to have.
    pub fn restored(mut self, seen: Rev) -> Self {
        self.begin_anew(seen);
        self
    }

    fn begin_anew(&mut self, past: Rev) -> Rev {
        // The second in it tells apart two restores of one backup as well.
        self.incarnation = (self.incarnation + 1).max(past >> 32);
        self.rev = self.rev.max(past) + 1;
        self.history.clear();
        self.reaches = self.rev;
        self.rev
    }

    fn restore(&mut self, part: u32, parts: u32, lines: &[Line], past: Rev) -> Result<Option<Rev>, Refused> {
        if part == 0 {
            self.staged = Default::default();
        }
        let refused = Refused::Part { part, parts, lines: lines.len() };
        if part != self.staged.0 || part >= parts || lines.len() > MAX_PART_LINES {
            return Err(refused);
        }
        lines.iter().try_for_each(|line| line.instance.check())?;
        if self.staged.1.len() + lines.len() > MOST_INSTANCES {
            self.staged = Default::default();
            return Err(Refused::Full);
        }
        self.staged.0 += 1;
        self.staged.1.extend_from_slice(lines);
        if part + 1 < parts {
            return Ok(None);
        }
        let (_, lines) = std::mem::take(&mut self.staged);
        // Whoever was a suspect then gets a full lease now, as all do.
        let lines = lines.into_iter().filter(|line| line.state != State::Gone);
        self.lines = lines.map(|line| (line.instance.uid.clone(), Line { suspect: false, ..line })).collect();
        Ok(Some(self.begin_anew(past)))
    }

    fn register(&mut self, instance: &Instance) -> Result<Option<Rev>, Refused> {
        instance.check()?;
        let uid = &instance.uid;
        match self.lines.get(uid) {
            None if self.lines.len() >= MOST_INSTANCES => return Err(Refused::Full),
            Some(line) if line.instance.boot_ms > instance.boot_ms => {
                return Err(Refused::Outlived { uid: uid.clone(), boot_ms: line.instance.boot_ms });
            }
            Some(line) if line.instance.boot_ms == instance.boot_ms => {
                let known = &line.instance;
                let differs = [
                    ("endpoint", known.endpoint != instance.endpoint),
                    ("zone", known.zone != instance.zone),
                    ("kind", known.kind != instance.kind),
                    ("group", known.group != instance.group),
                ];
                if let Some((field, _)) = differs.into_iter().find(|(_, differs)| *differs) {
                    return Err(Refused::Twice { uid: uid.clone(), field });
                }
                // A registration that is repeated, as when its answer was lost, changes nothing.
                if known.capacity == instance.capacity && !line.suspect {
                    return Ok(None);
                }
            }
            _ => {}
        }
        let state = match self.lines.get(uid) {
            Some(line) if line.instance.boot_ms == instance.boot_ms => line.state,
            _ => State::Ready,
        };
        Ok(Some(self.put(Line { instance: instance.clone(), state, suspect: false, rev: 0 })))
    }

    fn change(
        &mut self,
        uid: &str,
        boot_ms: u64,
        change: impl FnOnce(&mut Line),
    ) -> Result<Option<Rev>, Refused> {
        let Some(line) = self.lines.get(uid) else { return Err(Refused::Unknown { uid: uid.to_owned() }) };
        if line.instance.boot_ms != boot_ms {
            let boot_ms = line.instance.boot_ms;
            return Err(Refused::Outlived { uid: uid.to_owned(), boot_ms });
        }
        let mut changed = line.clone();
        change(&mut changed);
        if changed == *line { Ok(None) } else { Ok(Some(self.put(changed))) }
    }

    /// Marks those of these lives that the list still has; the others have left or started again meanwhile.
    fn mark(&mut self, lives: &[(String, u64)], suspect: bool) -> Option<Rev> {
        let mut last = None;
        for (uid, boot_ms) in lives {
            let line = self.lines.get(uid);
            let line = line.filter(|line| line.instance.boot_ms == *boot_ms && line.suspect != suspect);
            if let Some(line) = line.cloned() {
                last = Some(self.put(Line { suspect, ..line }));
            }
        }
        last
    }

    fn put(&mut self, mut line: Line) -> Rev {
        self.rev += 1;
        line.rev = self.rev;
        if self.history.len() == HISTORY
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
