//! The backends by the names and the numbers that they go by, where each listens and since when it drains.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use brookfield::{BackendId, ListScope, Member, Nanos, Stage};
use brookfield_settings::NameTable;

use super::types::BackendEntry;

const NANOS_IN_MS: u64 = 1_000_000;
/// A change of the list is told this long after it happened at the latest, while discovery can be reached.
const NOTICE: Nanos = 6_000_000_000;
/// So long a backend that has left keeps its number: in the same life it has been sent what it was sent.
const KEPT_NUMBER: Nanos = 10_000_000_000;

struct Known {
    uid: String,
    endpoint: SocketAddr,
    boot_ms: u64,
    /// When it started, by the node's clock; none for long ago.
    online_since: Option<Nanos>,
    /// When the node was told that it drains.
    draining_since: Option<Nanos>,
}

/// What a list has changed.
pub struct Changed {
    /// Its lines, for the module.
    pub members: Vec<Member>,
    /// Backends to which no idle connection is worth keeping.
    pub retired: Vec<BackendId>,
    /// Names of those that have left, to be dropped once the module has heard.
    pub left: Vec<String>,
}

/// The backends that the node knows: those on the list, and no others.
#[derive(Default)]
pub struct Backends {
    ids: HashMap<String, BackendId>,
    known: HashMap<BackendId, Known>,
    /// Those that left of late, which are as many as the lists of [`KEPT_NUMBER`] had.
    left: HashMap<String, Left>,
    next: u32,
    /// When discovery was last heard from; none before its first list.
    heard: Option<Nanos>,
}

/// A backend that has left the list.
struct Left {
    id: BackendId,
    boot_ms: u64,
    online_since: Option<Nanos>,
    at: Nanos,
}

impl Backends {
    /// Takes a list in. [`Backends::drop_left`] ends what this begins.
    pub fn take(
        &mut self,
        scope: ListScope,
        list: Vec<BackendEntry>,
        now: Nanos,
        words: &mut NameTable,
    ) -> Changed {
        self.left.retain(|_, left| now.saturating_sub(left.at) < KEPT_NUMBER);
        let mut left: Vec<String> = Vec::new();
        if scope != ListScope::Changes {
            let named: HashSet<&str> = list.iter().map(|listed| listed.uid.as_str()).collect();
            left.extend(self.ids.keys().filter(|uid| !named.contains(uid.as_str())).cloned());
        }
        left.extend(
            list.iter().filter(|listed| listed.stage == Stage::Gone).map(|listed| listed.uid.clone()),
        );
        let mut retired = Vec::new();
        let members =
            list.into_iter().filter_map(|listed| self.member(listed, now, words, &mut retired)).collect();
        if scope != ListScope::Cached {
            self.heard(now);
        }
        Changed { members, retired, left }
    }

    /// Discovery has answered, with news or without.
    pub fn heard(&mut self, now: Nanos) {
        self.heard = Some(now);
    }

    /// Drops those that have left and tells their numbers. Under its name a backend that has gone may come
    /// again: in the same life under the same number, if that is soon, and else as a new one.
    pub fn drop_left(&mut self, left: Vec<String>, now: Nanos) -> impl Iterator<Item = BackendId> {
        left.into_iter().filter_map(move |uid| {
            let id = self.ids.remove(&uid)?;
            tracing::info!(backend = uid, "backend has left the list");
            if let Some(Known { boot_ms, online_since, .. }) = self.known.remove(&id) {
                self.left.insert(uid, Left { id, boot_ms, online_since, at: now });
            }
            Some(id)
        })
    }

    /// When a backend started, by this node's clock. Another machine's time is a hint, as the wall clock
    /// may have been wrong as either was started: a life lies not in the future, and one that is new on the
    /// list began no longer ago than the list takes to tell it. A first list tells of lives of any age.
    fn online_since(&self, boot_ms: u64, now: Nanos) -> Option<Nanos> {
        if boot_ms == 0 {
            return None;
        }
        let told = boot_ms.saturating_mul(NANOS_IN_MS).min(now);
        let earliest = self.heard.map_or(0, |heard| heard.saturating_sub(NOTICE));
        Some(told.max(earliest))
    }

    /// One line of a list as the module takes it; none for one that has gone and was never known.
    pub(super) fn member(
        &mut self,
        listed: BackendEntry,
        now: Nanos,
        words: &mut NameTable,
        retired: &mut Vec<BackendId>,
    ) -> Option<Member> {
        let gone = listed.stage == Stage::Gone;
        let same_life = self.left.get(&listed.uid).filter(|left| left.boot_ms == listed.boot_ms);
        let online_since = match self.ids.get(&listed.uid).and_then(|id| self.known.get(id)) {
            Some(known) if known.boot_ms == listed.boot_ms => known.online_since,
            None if same_life.is_some() => same_life.and_then(|left| left.online_since),
            _ => self.online_since(listed.boot_ms, now),
        };
        let id = match self.ids.get(&listed.uid) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = same_life.map_or(BackendId(self.next), |left| left.id);
                self.next += u32::from(same_life.is_none());
                self.ids.insert(listed.uid.clone(), id);
                id
            }
        };
        let draining = listed.stage != Stage::InService;
        let before = self.known.get(&id);
        let draining_since = draining.then(|| before.and_then(|b| b.draining_since).unwrap_or(now));
        let moved = |b: &Known| b.endpoint != listed.endpoint || b.boot_ms != listed.boot_ms;
        if before.is_none_or(|b| moved(b) || b.draining_since.is_some() != draining) {
            let (backend, stage, boot_ms) = (&listed.uid, listed.stage, listed.boot_ms);
            tracing::info!(backend, ?stage, boot_ms, "backend listed");
        }
        if draining || before.is_some_and(moved) {
            retired.push(id);
        }
        let (uid, endpoint, boot_ms) = (listed.uid, listed.endpoint, listed.boot_ms);
        self.known.insert(id, Known { uid, endpoint, boot_ms, online_since, draining_since });
        Some(Member {
            backend: id,
            zone: words.zone(&listed.zone),
            kind: words.kind(&listed.kind),
            cell: listed.cell,
            stage: listed.stage,
            weight: listed.weight,
            online_since,
        })
    }

    /// Where a backend listens.
    pub fn endpoint(&self, backend: BackendId) -> Option<SocketAddr> {
        self.known.get(&backend).map(|known| known.endpoint)
    }

    /// A backend's name, for the log.
    pub fn uid(&self, backend: BackendId) -> &str {
        self.known.get(&backend).map_or("-", |known| &known.uid)
    }

    /// Whether a backend may still be written to, with this much time after it was told to drain.
    pub fn may_send_to(&self, backend: BackendId, now: Nanos, grace: Nanos) -> bool {
        self.known.get(&backend).is_some_and(|backend| {
            backend.draining_since.is_none_or(|since| now < since.saturating_add(grace))
        })
    }

    /// Whether any takes requests.
    pub fn any_in_service(&self) -> bool {
        self.known.values().any(|known| known.draining_since.is_none())
    }

    /// Whether a backend takes requests, at this address.
    pub fn is_in_service(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let known = self.known.get(&backend);
        known.is_some_and(|known| known.draining_since.is_none() && known.endpoint == endpoint)
    }
}
