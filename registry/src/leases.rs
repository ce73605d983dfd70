//! Who has renewed when, and which silences are believed. Kept by the leader alone, in memory: a thousand servers
//! that renew each second cost the log nothing. Time is an argument, on the leader's own monotonic clock; no clock of
//! another machine is looked at.

use std::collections::BTreeMap;

use crate::list::{Command, List};

/// Nanoseconds on the leader's clock.
pub type Nanos = u64;

/// When a silence is believed.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A lease lasts so long from its last renewal.
    pub lease: Nanos,
    /// When more than this share of a zone's instances lapse within a lease, they are held as suspects.
    pub believed_share: f64,
    /// Lapses that are believed in a zone whatever their share: in a zone of two a single one is half.
    pub believed_count: usize,
    /// Suspects are held for so long at most; then they have left after all.
    pub hold: Nanos,
}

impl Default for Rules {
    fn default() -> Self {
        const SECOND: Nanos = 1_000_000_000;
        Self { lease: 6 * SECOND, believed_share: 0.3, believed_count: 1, hold: 120 * SECOND }
    }
}

/// Why a renewal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRenewed {
    /// The list does not know this life: it has to register.
    #[error("not on the list with this start: register")]
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    boot_ms: u64,
    until: Nanos,
    suspect_since: Option<Nanos>,
}

/// The leases of one leader's time in office.
#[derive(Clone, Debug)]
pub struct Leases {
    rules: Rules,
    leases: BTreeMap<String, Lease>,
    /// Lapses that were believed of late, by zone, with their times.
    lapsed: BTreeMap<String, Vec<Nanos>>,
    last_look: Nanos,
}

impl Leases {
    /// A leader takes office: every lease gets its full time, since the silence before was the registry's.
    pub fn new(rules: Rules, list: &List, now: Nanos) -> Self {
        let mut leases = Self { rules, leases: BTreeMap::new(), lapsed: BTreeMap::new(), last_look: now };
        leases.follow(list, now);
        leases
    }

    /// Takes in what the list has become: new lives get a full lease, those that left lose theirs.
    pub fn follow(&mut self, list: &List, now: Nanos) {
        let until = now.saturating_add(self.rules.lease);
        self.leases
            .retain(|uid, lease| list.line(uid).is_some_and(|line| line.instance.boot_ms == lease.boot_ms));
        for line in list.lines() {
            let fresh =
                Lease { boot_ms: line.instance.boot_ms, until, suspect_since: line.suspect.then_some(now) };
            self.leases.entry(line.instance.uid.clone()).or_insert(fresh);
        }
    }

    /// An instance renews. The command, if any, is for the log: a suspect has shown that it lives.
    pub fn renew(&mut self, uid: &str, boot_ms: u64, now: Nanos) -> Result<Option<Command>, NotRenewed> {
        let lease = self.leases.get_mut(uid).filter(|lease| lease.boot_ms == boot_ms);
        let lease = lease.ok_or(NotRenewed::Unknown)?;
        lease.until = lease.until.max(now.saturating_add(self.rules.lease));
        let suspected = lease.suspect_since.take().is_some();
        Ok(suspected.then(|| Command::Clear(vec![(uid.to_owned(), boot_ms)])))
    }

    /// A person says that a zone's suspects live, and get a full lease; or that they have gone.
    pub fn decide(&mut self, list: &List, zone: &str, alive: bool, now: Nanos) -> Vec<Command> {
        let of_zone = |uid: &str| list.line(uid).is_some_and(|line| line.instance.zone == zone);
        let until = now.saturating_add(self.rules.lease);
        let mut concerned = Vec::new();
        for (uid, lease) in &mut self.leases {
            if of_zone(uid) && lease.suspect_since.is_some() {
                if alive {
                    (lease.until, lease.suspect_since) = (until, None);
                }
                concerned.push((uid.clone(), lease.boot_ms));
            }
        }
        match (alive, concerned.is_empty()) {
            (_, true) => Vec::new(),
            (true, false) => vec![Command::Clear(concerned)],
            (false, false) => {
                concerned.into_iter().map(|(uid, boot_ms)| Command::Leave { uid, boot_ms }).collect()
            }
        }
    }

    /// Looks which leases have lapsed by now, and what may be believed of them. To be called a few times in a lease.
    ///
    /// A leader that was itself paused, and looks again after half a lease or more, believes nothing that it missed:
    /// every lease gets its full time again.
    pub fn look(&mut self, list: &List, now: Nanos) -> Vec<Command> {
        let missed = now.saturating_sub(self.last_look) >= self.rules.lease / 2;
        self.last_look = self.last_look.max(now);
        if missed {
            let until = now.saturating_add(self.rules.lease);
            self.leases.values_mut().for_each(|lease| lease.until = lease.until.max(until));
            return Vec::new();
        }
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut held: BTreeMap<&str, usize> = BTreeMap::new();
        let mut due: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for line in list.lines() {
            let (uid, zone) = (line.instance.uid.as_str(), line.instance.zone.as_str());
            *sizes.entry(zone).or_default() += 1;
            let lapses = |lease: &Lease| lease.until <= now && lease.suspect_since.is_none();
            let lease = self.leases.get(uid);
            if lease.is_some_and(lapses) {
                due.entry(zone).or_default().push(uid);
            }
            *held.entry(zone).or_default() += usize::from(lease.is_some_and(|l| l.suspect_since.is_some()));
        }
        let mut commands = Vec::new();
        for (zone, uids) in due {
            let recent = self.lapsed.entry(zone.to_owned()).or_default();
            recent.retain(|at| now.saturating_sub(*at) < self.rules.lease);
            // Those that are held count too, or each further one would look like a single death.
            let before = recent.len();
            let lapsing = uids.len() + before + held.get(zone).copied().unwrap_or(0);
            let size = sizes.get(zone).copied().unwrap_or(0) + before;
            let believed =
                ((size as f64 * self.rules.believed_share) as usize).max(self.rules.believed_count);
            let lives =
                uids.iter().filter_map(|uid| Some(((*uid).to_owned(), self.leases.get(*uid)?.boot_ms)));
            let lives: Vec<(String, u64)> = lives.collect();
            if lapsing <= believed {
                recent.extend(lives.iter().map(|_| now));
                commands.extend(lives.into_iter().map(|(uid, boot_ms)| Command::Leave { uid, boot_ms }));
            } else {
                for (uid, _) in &lives {
                    let lease = self.leases.get_mut(uid);
                    lease.into_iter().for_each(|lease| lease.suspect_since = Some(now));
                }
                commands.push(Command::Suspect(lives));
            }
        }
        let long =
            |lease: &Lease| lease.suspect_since.is_some_and(|at| now.saturating_sub(at) >= self.rules.hold);
        let over = self.leases.iter().filter(|(_, lease)| long(lease));
        commands.extend(over.map(|(uid, lease)| Command::Leave { uid: uid.clone(), boot_ms: lease.boot_ms }));
        self.lapsed.retain(|_, times| !times.is_empty());
        commands
    }

    /// Leases that are kept: one for each line.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
