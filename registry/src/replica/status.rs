//! How a replica stands, for figures, people and scripts.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde_json::{Value, json};

use super::Replica;
use crate::list::{Line, State as Stage};
use crate::metrics::Levels;

impl Replica {
    /// What its figures are read from.
    pub fn levels(&self) -> Levels {
        let metrics = self.raft.metrics().borrow().clone();
        let state = self.shared.read();
        Levels {
            rev: state.list.rev(),
            instances: state.list.lines().count(),
            suspects: state.list.lines().filter(|line| line.suspect).count(),
            watches: self.watches.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
            leads: metrics.current_leader == Some(self.id),
            term: metrics.current_term,
            applied: metrics.last_applied.map_or(0, |id| id.index),
            age_s: self.age().map(|age| age.as_secs_f64()),
            store: self.store.size(),
        }
    }

    /// How it stands, for a person or a script.
    pub fn status(&self) -> Value {
        let metrics = self.raft.metrics().borrow().clone();
        let (levels, unready) = (self.levels(), self.unready());
        let voters = self.voters();
        let replicas: Vec<Value> = self
            .members()
            .into_iter()
            .map(|(id, place)| {
                let behind = metrics.replication.as_ref().and_then(|all| all.get(&id)).map(|at| {
                    metrics.last_log_index.unwrap_or(0).saturating_sub(at.map_or(0, |at| at.index))
                });
                json!({"id": id, "peer": place.peer, "client": place.client, "votes": voters.contains(&id),
                    "leads": metrics.current_leader == Some(id), "entries_behind": behind})
            })
            .collect();
        let mut zones: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
        let state = self.shared.read();
        for Line { instance, state, suspect, .. } in state.list.lines() {
            let zone = zones.entry(instance.zone.clone()).or_default();
            zone.0 += u64::from(*state == Stage::Ready);
            zone.1 += u64::from(*state == Stage::Terminating);
            zone.2 += u64::from(*suspect);
        }
        let zones: BTreeMap<String, Value> = zones
            .into_iter()
            .map(|(name, (ready, draining, suspects))| {
                (name, json!({"ready": ready, "draining": draining, "suspects": suspects}))
            })
            .collect();
        json!({
            "fleet": self.settings.fleet, "id": self.id, "leads": levels.leads,
            "ready": unready.is_none(), "unready": unready,
            "term": levels.term, "applied": levels.applied, "log": metrics.last_log_index,
            "snapshot": metrics.snapshot.map(|id| id.index), "purged": metrics.purged.map(|id| id.index),
            "incarnation": state.list.incarnation(), "rev": levels.rev,
            "age_ms": self.age().map(|age| age.as_millis() as u64),
            "replicas": replicas, "zones": zones, "watches": levels.watches,
            "connections": levels.connections, "store_bytes": levels.store,
        })
    }
}
