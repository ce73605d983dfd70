//! The status and gauges of a replica.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde_json::{Value, json};

use super::{Replica, lock};
use crate::list::{Line, State as InstanceState};
use crate::metrics::Gauges;

impl Replica {
    /// Returns the current values of the gauges.
    pub fn gauges(&self) -> Gauges {
        let raft_metrics = self.raft_metrics();
        let state = self.shared.read();
        Gauges {
            rev: state.list.rev(),
            instances: state.list.lines().count(),
            suspects: state.list.lines().filter(|line| line.suspect).count(),
            watches: self.watches.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
            is_leader: raft_metrics.current_leader == Some(self.id),
            term: raft_metrics.current_term,
            applied_index: raft_metrics.last_applied.map_or(0, |id| id.index),
            list_age_s: self.age().map(|age| age.as_secs_f64()),
            store_bytes: lock(&self.node).store.size(),
        }
    }

    /// Returns the status of the replica and its registry as JSON.
    pub fn status(&self) -> Value {
        let raft_metrics = self.raft_metrics();
        let (gauges, not_ready_reason) = (self.gauges(), self.not_ready_reason());
        let voters = self.voters();
        let replicas: Vec<Value> = self
            .members()
            .into_iter()
            .map(|(id, place)| {
                let behind =
                    raft_metrics.replication.as_ref().and_then(|replication| replication.get(&id)).map(
                        |matched| {
                            raft_metrics
                                .last_log_index
                                .unwrap_or(0)
                                .saturating_sub(matched.map_or(0, |log_id| log_id.index))
                        },
                    );
                json!({"id": id, "peer": place.peer, "client": place.client, "votes": voters.contains(&id),
                    "leads": raft_metrics.current_leader == Some(id), "entries_behind": behind})
            })
            .collect();
        let mut zones: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
        let store_failure = self.store_failure().map(
            |failure| json!({"error": failure.error, "since_ms": failure.since.elapsed().as_millis() as u64}),
        );
        let state = self.shared.read();
        for Line { instance, state, suspect, .. } in state.list.lines() {
            let zone = zones.entry(instance.zone.clone()).or_default();
            zone.0 += u64::from(*state == InstanceState::Ready);
            zone.1 += u64::from(*state == InstanceState::Terminating);
            zone.2 += u64::from(*suspect);
        }
        let zones: BTreeMap<String, Value> = zones
            .into_iter()
            .map(|(name, (ready, draining, suspects))| {
                (name, json!({"ready": ready, "draining": draining, "suspects": suspects}))
            })
            .collect();
        json!({
            "fleet": self.settings.fleet, "id": self.id, "leads": gauges.is_leader,
            "ready": not_ready_reason.is_none(), "unready": not_ready_reason,
            "term": gauges.term, "applied": gauges.applied_index, "log": raft_metrics.last_log_index,
            "snapshot": raft_metrics.snapshot.map(|id| id.index), "purged": raft_metrics.purged.map(|id| id.index),
            "incarnation": state.list.incarnation(), "rev": gauges.rev,
            "age_ms": self.age().map(|age| age.as_millis() as u64),
            "replicas": replicas, "zones": zones, "watches": gauges.watches,
            "connections": gauges.connections, "store_bytes": gauges.store_bytes,
            "store_failure": store_failure,
        })
    }
}
