//! Who the replicas are: one comes, goes, takes the lead, or comes anew without its store; and how a registry begins.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use openraft::ChangeMembers;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::{BEGIN, CATCH_UP, CONFIRM, ELECT, Operation, Replica, Trouble, WHO, Who};
use crate::raft::{Place, ReplicaId};

impl Replica {
    pub(super) fn members(&self) -> BTreeMap<ReplicaId, Place> {
        let membership = self.raft.metrics().borrow().membership_config.clone();
        membership.nodes().map(|(id, place)| (*id, *place)).collect()
    }

    pub(super) fn voters(&self) -> BTreeSet<ReplicaId> {
        self.raft.metrics().borrow().membership_config.voter_ids().collect()
    }

    pub(super) fn member_at(&self, peer: SocketAddr) -> Result<ReplicaId, Trouble> {
        let found = self.members().into_iter().find(|(_, place)| place.peer == peer);
        found
            .map(|(id, _)| id)
            .ok_or_else(|| Trouble::refused(404, format!("no replica has the peer address {peer}")))
    }

    pub(super) async fn learner(&self, id: ReplicaId, place: Place) -> Result<(), Trouble> {
        let added = timeout(CATCH_UP, self.raft.add_learner(id, place, true)).await;
        let added = added.map_err(|_| Trouble::later(format!("replica {} does not catch up", place.peer)))?;
        added.map(|_| ()).map_err(|error| Trouble::later(error.to_string()))
    }

    pub(super) async fn change(&self, change: ChangeMembers<ReplicaId, Place>) -> Result<Value, Trouble> {
        let changed = timeout(CATCH_UP, self.raft.change_membership(change, false)).await;
        let changed = changed.map_err(|_| Trouble::unknown("the replicas' change"))?;
        changed.map_err(|error| Trouble::later(error.to_string()))?;
        Ok(json!({"replicas": self.members().len()}))
    }

    pub(super) async fn add(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let who: Who = self.ask(peer, None, WHO, &json!({}), CONFIRM).await?;
        if self.voters().contains(&who.id) {
            return Err(Trouble::refused(409, format!("replica {peer} is one already")));
        }
        if who.begun && !self.members().contains_key(&who.id) {
            return Err(Trouble::refused(
                409,
                format!("replica {peer} belongs to another registry: empty its store"),
            ));
        }
        self.learner(who.id, who.place).await?;
        tracing::info!(replica = who.id, %peer, "replica added");
        self.change(ChangeMembers::AddVoterIds([who.id].into())).await
    }

    pub(super) async fn remove(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let id = self.member_at(peer)?;
        if self.voters().len() <= 1 {
            return Err(Trouble::refused(409, "the last replica can't be removed"));
        }
        tracing::info!(replica = id, %peer, "replica removed");
        self.change(ChangeMembers::RemoveVoters([id].into())).await
    }

    /// A replica at a known address has lost its store and comes under another name: it takes the old one's place.
    pub(super) async fn join(&self, id: ReplicaId, place: Place) -> Result<Value, Trouble> {
        let members = self.members();
        if self.voters().contains(&id) {
            return Ok(json!({"replicas": members.len()}));
        }
        let Some((&lost, _)) = members.iter().find(|(known, at)| **known != id && at.peer == place.peer)
        else {
            return Err(Trouble::refused(403, format!("no replica is expected at {}: add it", place.peer)));
        };
        tracing::warn!(lost, replica = id, peer = %place.peer, "a replica lost its store: it comes anew");
        self.learner(id, place).await?;
        let mut voters = self.voters();
        voters.remove(&lost);
        voters.insert(id);
        self.change(ChangeMembers::ReplaceAllVoters(voters)).await
    }

    /// Gives the lead away: falls silent for the time of its lease, after which another one may stand.
    pub(super) async fn hand_over(&self, peer: SocketAddr) -> Result<Value, Trouble> {
        let to = self.member_at(peer)?;
        if to == self.id {
            return Ok(json!({"leader": peer}));
        }
        if !self.voters().contains(&to) {
            return Err(Trouble::refused(409, format!("replica {peer} has no vote yet")));
        }
        if self.leaving.swap(true, Ordering::Relaxed) {
            return Err(Trouble::later("the lead is being handed over"));
        }
        tracing::info!(replica = to, %peer, "hands the lead over");
        self.peers.suppress_leader_messages(true);
        sleep(Duration::from_millis(2 * self.settings.election_ms + self.settings.heartbeat_ms / 2)).await;
        let stood: Result<Value, Trouble> = self.ask(peer, Some(to), ELECT, &json!({}), CONFIRM).await;
        let taken = self.raft.wait(Some(Duration::from_secs(3)));
        let taken = taken.metrics(|metrics| metrics.current_leader == Some(to), "the lead passes").await;
        self.peers.suppress_leader_messages(false);
        self.leaving.store(false, Ordering::Relaxed);
        stood?;
        taken.map_err(|_| Trouble::later(format!("replica {peer} was not elected")))?;
        Ok(json!({"leader": peer}))
    }

    /// A new registry begins once all its replicas are there and none belongs to one; a replica that lost its store
    /// joins the others again.
    pub(super) async fn begin(self: Arc<Self>) {
        let own = self.settings.place();
        let others: Vec<SocketAddr> =
            self.settings.replicas.iter().copied().filter(|peer| *peer != own.peer).collect();
        while !self.raft.is_initialized().await.unwrap_or(true) {
            let mut fresh = BTreeMap::from([(self.id, own)]);
            for peer in &others {
                match self.ask::<Who>(*peer, None, WHO, &json!({}), CONFIRM).await {
                    Ok(who) if who.begun => {
                        let join = Operation::Join { id: self.id, place: own };
                        let joined: Result<Value, Trouble> =
                            self.ask(*peer, None, "/peer/join", &join, CATCH_UP * 2).await;
                        if let Err(trouble) = joined {
                            tracing::warn!(%peer, cause = trouble.text, "can't join");
                        }
                    }
                    Ok(who) => drop(fresh.insert(who.id, who.place)),
                    Err(trouble) => tracing::debug!(%peer, cause = trouble.text, "not there yet"),
                }
            }
            let all = fresh.len() == others.len() + 1;
            let first = fresh.values().all(|place| own.peer <= place.peer);
            if all && first {
                tracing::info!(replicas = fresh.len(), "a new registry begins");
                if let Err(error) = self.raft.initialize(fresh).await {
                    tracing::warn!(cause = %error, "it could not begin");
                }
            }
            sleep(BEGIN).await;
        }
    }
}
