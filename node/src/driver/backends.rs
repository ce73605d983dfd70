//! The backends by the names and the numbers that they go by, where each listens and since when it drains.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use brookfield::{BackendId, ListScope, Member, Nanos, Stage};
use brookfield_settings::Words;

use super::exchange::Listed;

struct Known {
    uid: String,
    endpoint: SocketAddr,
    boot_ms: u64,
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
    next: u32,
}

impl Backends {
    /// Takes a list in. [`Backends::drop_left`] ends what this begins.
    pub fn take(&mut self, scope: ListScope, list: Vec<Listed>, now: Nanos, words: &mut Words) -> Changed {
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
        Changed { members, retired, left }
    }

    /// Drops those that have left and tells their numbers. Under its name a backend that has gone may come
    /// again: as a new one, since its number is not kept.
    pub fn drop_left(&mut self, left: Vec<String>) -> impl Iterator<Item = BackendId> {
        left.into_iter().filter_map(|uid| {
            let id = self.ids.remove(&uid)?;
            self.known.remove(&id);
            tracing::info!(backend = uid, "backend has left the list");
            Some(id)
        })
    }

    /// One line of a list as the module takes it; none for one that has gone and was never known.
    pub(super) fn member(
        &mut self,
        listed: Listed,
        now: Nanos,
        words: &mut Words,
        retired: &mut Vec<BackendId>,
    ) -> Option<Member> {
        let gone = listed.stage == Stage::Gone;
        let id = match self.ids.get(&listed.uid) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = BackendId(self.next);
                self.next += 1;
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
        self.known.insert(id, Known { uid, endpoint, boot_ms, draining_since });
        Some(Member {
            backend: id,
            zone: words.zone(&listed.zone),
            kind: words.kind(&listed.kind),
            cell: listed.cell,
            stage: listed.stage,
            size: listed.size,
            online_since: (boot_ms > 0).then(|| boot_ms.saturating_mul(1_000_000)),
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
    pub fn open_to_writes(&self, backend: BackendId, now: Nanos, grace: Nanos) -> bool {
        self.known.get(&backend).is_some_and(|backend| {
            backend.draining_since.is_none_or(|since| now < since.saturating_add(grace))
        })
    }

    /// Whether any takes requests.
    pub fn any_in_service(&self) -> bool {
        self.known.values().any(|known| known.draining_since.is_none())
    }

    /// Whether a backend takes requests, at this address.
    pub fn in_service(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let known = self.known.get(&backend);
        known.is_some_and(|known| known.draining_since.is_none() && known.endpoint == endpoint)
    }
}
