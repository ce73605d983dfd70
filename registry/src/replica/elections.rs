//! When this replica may start an election. openraft has no pre-vote, and each vote request restarts the election timers
//! of the replicas that receive it. A replica that does not receive their votes would keep them from electing a leader.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use openraft::ServerState;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{IDENTITY_PATH, Replica, ReplicaIdentity};
use crate::raft::Raft;

impl Replica {
    /// Allows elections as long as this replica hears a quorum. A leader that confirms the list shows that; otherwise
    /// the other replicas are called.
    pub(super) async fn gate_elections(self: Arc<Self>) {
        let raft = self.raft();
        let election_timeout = Duration::from_millis(self.settings.election_ms);
        while raft.metrics().has_changed().is_ok() {
            let hears_leader = self.age().is_some_and(|age| age < 2 * election_timeout);
            let hears_quorum = hears_leader || self.hears_quorum(election_timeout).await;
            if self.hears_quorum.swap(hears_quorum, Ordering::Relaxed) != hears_quorum {
                tracing::info!(hears_quorum, "elections allowed or suspended");
            }
            self.update_elections(&raft);
            sleep(election_timeout / 4).await;
        }
    }

    /// Returns whether a majority of the voters, this replica included, responds to a call.
    async fn hears_quorum(self: &Arc<Self>, timeout: Duration) -> bool {
        let (voters, members) = (self.voters(), self.members());
        let needed = voters.len() / 2 + 1;
        let mut calls = JoinSet::new();
        for voter in voters.iter().filter(|voter| **voter != self.id) {
            let Some(place) = members.get(voter) else { continue };
            let (replica, peer, voter) = (self.clone(), place.peer, *voter);
            calls.spawn(async move {
                let body = json!({});
                let call =
                    replica.call_peer::<ReplicaIdentity>(peer, Some(voter), IDENTITY_PATH, &body, timeout);
                call.await.is_ok()
            });
        }
        let mut heard = usize::from(voters.contains(&self.id));
        while heard < needed
            && let Some(responded) = calls.join_next().await
        {
            heard += usize::from(responded.unwrap_or(false));
        }
        heard >= needed
    }

    /// Adds a random delay before each further candidacy. openraft draws the election timeout only once per process, so
    /// two replicas with similar timeouts would keep splitting the vote.
    pub(super) async fn randomize_election_delay(self: Arc<Self>) {
        let raft = self.raft();
        let mut changes = raft.server_metrics();
        while changes.changed().await.is_ok() {
            if changes.borrow_and_update().state == ServerState::Candidate {
                self.election_delayed.store(true, Ordering::Relaxed);
                self.update_elections(&raft);
                let max_delay = 2 * self.settings.election_ms;
                sleep(Duration::from_millis((rand::random::<f64>() * max_delay as f64) as u64)).await;
                self.election_delayed.store(false, Ordering::Relaxed);
                self.update_elections(&raft);
            }
        }
    }

    fn update_elections(&self, raft: &Raft) {
        let allowed =
            self.hears_quorum.load(Ordering::Relaxed) && !self.election_delayed.load(Ordering::Relaxed);
        raft.runtime_config().elect(allowed);
    }
}
