//! The known backends: their ids, names, addresses and drain times.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use brookfield::{BackendId, ListScope, Member, Nanos, Stage};
use brookfield_settings::NameTable;

use super::types::BackendEntry;

const NANOS_PER_MS: u64 = 1_000_000;
/// While discovery is reachable, a change of the list arrives within this time.
const MAX_DISCOVERY_DELAY_NS: Nanos = 6_000_000_000;
/// How long the id of a removed backend is kept. A backend that is listed again without a restart gets the
/// same id, so that what was sent to it before still counts.
const ID_RETENTION_NS: Nanos = 10_000_000_000;

struct KnownBackend {
    uid: String,
    endpoint: SocketAddr,
    boot_ms: u64,
    /// When it started, by this node's clock; none if unknown or long ago.
    online_since: Option<Nanos>,
    /// When this node learned that it is draining.
    draining_since: Option<Nanos>,
}

/// What applying a list has changed.
pub struct ListChange {
    /// The list's entries, for the balancer.
    pub members: Vec<Member>,
    /// Backends whose idle connections must be closed.
    pub close_idle: Vec<BackendId>,
    /// Names of the backends to remove once the balancer has been notified.
    pub removed: Vec<String>,
}

/// The backends on the list, and the ids of those removed lately.
#[derive(Default)]
pub struct Backends {
    ids: HashMap<String, BackendId>,
    known: HashMap<BackendId, KnownBackend>,
    /// Backends removed within [`ID_RETENTION_NS`].
    removed: HashMap<String, RemovedBackend>,
    next_id: u32,
    /// When discovery last responded; none before the first list.
    last_response: Option<Nanos>,
}

struct RemovedBackend {
    id: BackendId,
    boot_ms: u64,
    online_since: Option<Nanos>,
    at: Nanos,
}

impl Backends {
    /// Applies a list. The caller passes [`ListChange::removed`] to [`Backends::remove`] once the balancer
    /// has been notified.
    pub fn apply_list(
        &mut self,
        scope: ListScope,
        list: Vec<BackendEntry>,
        now: Nanos,
        names: &mut NameTable,
    ) -> ListChange {
        self.removed.retain(|_, removed| now.saturating_sub(removed.at) < ID_RETENTION_NS);
        let mut removed: Vec<String> = Vec::new();
        if scope != ListScope::Changes {
            let listed: HashSet<&str> = list.iter().map(|entry| entry.uid.as_str()).collect();
            removed.extend(self.ids.keys().filter(|uid| !listed.contains(uid.as_str())).cloned());
        }
        removed.extend(list.iter().filter(|entry| entry.stage == Stage::Gone).map(|entry| entry.uid.clone()));
        let mut close_idle = Vec::new();
        let members =
            list.into_iter().filter_map(|entry| self.member(entry, now, names, &mut close_idle)).collect();
        if scope != ListScope::Cached {
            self.discovery_responded(now);
        }
        ListChange { members, close_idle, removed }
    }

    /// Records that discovery has responded, with changes or without.
    pub fn discovery_responded(&mut self, now: Nanos) {
        self.last_response = Some(now);
    }

    /// Removes backends and returns their ids. A backend that is listed again keeps its id if it has not
    /// restarted and [`ID_RETENTION_NS`] has not passed; otherwise it gets a new one.
    pub fn remove(&mut self, removed: Vec<String>, now: Nanos) -> impl Iterator<Item = BackendId> {
        removed.into_iter().filter_map(move |uid| {
            let id = self.ids.remove(&uid)?;
            tracing::info!(backend = uid, "backend removed");
            if let Some(KnownBackend { boot_ms, online_since, .. }) = self.known.remove(&id) {
                self.removed.insert(uid, RemovedBackend { id, boot_ms, online_since, at: now });
            }
            Some(id)
        })
    }

    /// When a backend started, by this node's clock. The wall clocks of both machines may be wrong, so the
    /// reported time is clamped: not later than now, and, after the first list, not earlier than a start that
    /// the previous list could have missed.
    fn online_since(&self, boot_ms: u64, now: Nanos) -> Option<Nanos> {
        if boot_ms == 0 {
            return None;
        }
        let reported = boot_ms.saturating_mul(NANOS_PER_MS).min(now);
        let earliest = self.last_response.map_or(0, |at| at.saturating_sub(MAX_DISCOVERY_DELAY_NS));
        Some(reported.max(earliest))
    }

    /// Converts an entry for the balancer; none for a gone backend that was never known.
    pub(super) fn member(
        &mut self,
        entry: BackendEntry,
        now: Nanos,
        names: &mut NameTable,
        close_idle: &mut Vec<BackendId>,
    ) -> Option<Member> {
        let gone = entry.stage == Stage::Gone;
        let same_process = self.removed.get(&entry.uid).filter(|removed| removed.boot_ms == entry.boot_ms);
        let online_since = match self.ids.get(&entry.uid).and_then(|id| self.known.get(id)) {
            Some(known) if known.boot_ms == entry.boot_ms => known.online_since,
            None if same_process.is_some() => same_process.and_then(|removed| removed.online_since),
            _ => self.online_since(entry.boot_ms, now),
        };
        let id = match self.ids.get(&entry.uid) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = same_process.map_or(BackendId(self.next_id), |removed| removed.id);
                self.next_id += u32::from(same_process.is_none());
                self.ids.insert(entry.uid.clone(), id);
                id
            }
        };
        let draining = entry.stage != Stage::InService;
        let before = self.known.get(&id);
        let draining_since = draining.then(|| before.and_then(|b| b.draining_since).unwrap_or(now));
        let replaced = |b: &KnownBackend| b.endpoint != entry.endpoint || b.boot_ms != entry.boot_ms;
        if before.is_none_or(|b| replaced(b) || b.draining_since.is_some() != draining) {
            let (backend, stage, boot_ms) = (&entry.uid, entry.stage, entry.boot_ms);
            tracing::info!(backend, ?stage, boot_ms, "backend added or changed");
        }
        if draining || before.is_some_and(replaced) {
            close_idle.push(id);
        }
        let (uid, endpoint, boot_ms) = (entry.uid, entry.endpoint, entry.boot_ms);
        self.known.insert(id, KnownBackend { uid, endpoint, boot_ms, online_since, draining_since });
        Some(Member {
            backend: id,
            zone: names.zone(&entry.zone),
            kind: names.kind(&entry.kind),
            cell: entry.cell,
            stage: entry.stage,
            weight: entry.weight,
            online_since,
        })
    }

    pub fn endpoint(&self, backend: BackendId) -> Option<SocketAddr> {
        self.known.get(&backend).map(|known| known.endpoint)
    }

    /// A backend's name, for the log.
    pub fn uid(&self, backend: BackendId) -> &str {
        self.known.get(&backend).map_or("-", |known| &known.uid)
    }

    /// Whether a request may be written to the backend: it is listed, and not draining for longer than
    /// `grace`.
    pub fn may_send_to(&self, backend: BackendId, now: Nanos, grace: Nanos) -> bool {
        self.known.get(&backend).is_some_and(|backend| {
            backend.draining_since.is_none_or(|since| now < since.saturating_add(grace))
        })
    }

    /// Number of backends on the list.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn any_in_service(&self) -> bool {
        self.known.values().any(|known| known.draining_since.is_none())
    }

    /// Whether the backend is in service at this address.
    pub fn is_in_service(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let known = self.known.get(&backend);
        known.is_some_and(|known| known.draining_since.is_none() && known.endpoint == endpoint)
    }
}
