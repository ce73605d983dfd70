//! Membership changes, transfer of leadership, and bootstrap of a new registry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use openraft::ChangeMembers;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::{
    ApiError, BOOTSTRAP_INTERVAL, CATCH_UP_TIMEOUT, CONFIRM_TIMEOUT, ELECT_PATH, IDENTITY_PATH, Operation,
    RELAY_PATH, Replica, ReplicaIdentity,
};
use crate::raft::{Place, ReplicaId};

/// Counts an operation for as long as it exists.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn increment(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Suspends the messages of the leader and rejects writes for as long as it exists.
struct TransferGuard<'a>(&'a Replica);

impl<'a> TransferGuard<'a> {
    fn acquire(replica: &'a Replica) -> Result<Self, ApiError> {
        if replica.transferring.swap(true, Ordering::Relaxed) {
            return Err(ApiError::unavailable("leadership is being transferred"));
        }
        replica.peers.set_suspended(true);
        Ok(Self(replica))
    }
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.0.peers.set_suspended(false);
        self.0.transferring.store(false, Ordering::Relaxed);
    }
}

impl Replica {
    /// Returns all members, including learners.
    pub(super) fn members(&self) -> BTreeMap<ReplicaId, Place> {
        let membership = self.raft_metrics().membership_config;
        membership.nodes().map(|(id, place)| (*id, *place)).collect()
    }

    pub(super) fn voters(&self) -> BTreeSet<ReplicaId> {
        self.raft_metrics().membership_config.voter_ids().collect()
    }

    /// Returns the ID of the member with this peer address.
    pub(super) fn replica_at(&self, peer: SocketAddr) -> Result<ReplicaId, ApiError> {
        let entry = self.members().into_iter().find(|(_, place)| place.peer == peer);
        entry
            .map(|(id, _)| id)
            .ok_or_else(|| ApiError::new(404, format!("no replica has the peer address {peer}")))
    }

    /// Adds a learner and waits until it has caught up.
    pub(super) async fn add_learner(&self, id: ReplicaId, place: Place) -> Result<(), ApiError> {
        let added = timeout(CATCH_UP_TIMEOUT, self.raft().add_learner(id, place, true)).await;
        let added = added
            .map_err(|_| ApiError::unavailable(format!("replica {} did not catch up in time", place.peer)))?;
        added.map(|_| ()).map_err(|error| ApiError::unavailable(error.to_string()))
    }

    /// Changes the voters. Removed voters leave the membership.
    pub(super) async fn change_membership(
        &self,
        change: ChangeMembers<ReplicaId, Place>,
    ) -> Result<Value, ApiError> {
        let _changing = CountGuard::increment(&self.membership_changes);
        let changed = timeout(CATCH_UP_TIMEOUT, self.raft().change_membership(change, false)).await;
        let changed = changed.map_err(|_| ApiError::outcome_unknown("membership change"))?;
        changed.map_err(|error| ApiError::unavailable(error.to_string()))?;
        Ok(json!({"replicas": self.members().len()}))
    }

    /// Completes a membership change that was interrupted, by a failure of the former leader or a timeout, between its
    /// two steps. Until then a majority of both the former and the new voters is needed.
    pub(super) async fn complete_membership_change(self: Arc<Self>) {
        let is_joint = self.raft_metrics().membership_config.membership().get_joint_config().len() > 1;
        if !is_joint || self.membership_changes.load(Ordering::Relaxed) > 0 {
            return;
        }
        tracing::info!("completing an interrupted membership change");
        let no_change = ChangeMembers::AddVoterIds(BTreeSet::new());
        if let Err(error) = self.change_membership(no_change).await {
            tracing::warn!(cause = error.message, "the membership change could not be completed");
        }
    }

    /// Adds a running replica that belongs to no registry yet.
    pub(super) async fn add_replica(&self, peer: SocketAddr) -> Result<Value, ApiError> {
        let identity: ReplicaIdentity =
            self.call_peer(peer, None, IDENTITY_PATH, &json!({}), CONFIRM_TIMEOUT).await?;
        if self.voters().contains(&identity.id) {
            return Err(ApiError::new(409, format!("replica {peer} is already a member")));
        }
        if identity.begun && !self.members().contains_key(&identity.id) {
            return Err(ApiError::new(
                409,
                format!("replica {peer} belongs to another registry: its store must be deleted first"),
            ));
        }
        self.add_learner(identity.id, identity.place).await?;
        tracing::info!(replica = identity.id, %peer, "adding replica");
        self.change_membership(ChangeMembers::AddVoterIds([identity.id].into())).await
    }

    /// Removes a replica, which need not be running.
    pub(super) async fn remove_replica(&self, peer: SocketAddr) -> Result<Value, ApiError> {
        let id = self.replica_at(peer)?;
        if self.voters().len() <= 1 {
            return Err(ApiError::new(409, "the last replica cannot be removed"));
        }
        tracing::info!(replica = id, %peer, "removing replica");
        self.change_membership(ChangeMembers::RemoveVoters([id].into())).await
    }

    /// Replaces a member by a replica at the same peer address that has a new ID because it has lost its store.
    pub(super) async fn replace_replica(&self, id: ReplicaId, place: Place) -> Result<Value, ApiError> {
        let members = self.members();
        if self.voters().contains(&id) {
            return Ok(json!({"replicas": members.len()}));
        }
        let Some((&lost, _)) =
            members.iter().find(|(member, member_place)| **member != id && member_place.peer == place.peer)
        else {
            return Err(ApiError::new(
                403,
                format!("no member has the peer address {}: add the replica first", place.peer),
            ));
        };
        tracing::warn!(lost, replica = id, peer = %place.peer, "replacing a replica that has lost its store");
        self.add_learner(id, place).await?;
        let mut voters = self.voters();
        voters.remove(&lost);
        voters.insert(id);
        self.change_membership(ChangeMembers::ReplaceAllVoters(voters)).await
    }

    /// Transfers leadership to another replica. Stops sending heartbeats until the leader's lease has expired, then
    /// makes the target start an election.
    pub(super) async fn transfer_leadership(&self, peer: SocketAddr) -> Result<Value, ApiError> {
        let target = self.replica_at(peer)?;
        if target == self.id {
            return Ok(json!({"leader": peer}));
        }
        if !self.voters().contains(&target) {
            return Err(ApiError::new(409, format!("replica {peer} is not a voter")));
        }
        let _transfer = TransferGuard::acquire(self)?;
        tracing::info!(replica = target, %peer, "transferring leadership");
        sleep(Duration::from_millis(2 * self.settings.election_ms + self.settings.heartbeat_ms / 2)).await;
        let elected: Result<Value, ApiError> =
            self.call_peer(peer, Some(target), ELECT_PATH, &json!({}), CONFIRM_TIMEOUT).await;
        let transferred = self.raft().wait(Some(Duration::from_secs(3)));
        let transferred = transferred
            .metrics(|metrics| metrics.current_leader == Some(target), "leadership transfer")
            .await;
        elected?;
        transferred.map_err(|_| ApiError::unavailable(format!("replica {peer} was not elected")))?;
        Ok(json!({"leader": peer}))
    }

    /// Bootstraps an uninitialized replica. If another configured replica is initialized, this one asks to join it.
    /// Otherwise, once all configured replicas are reachable, the one with the lowest peer address initializes the
    /// registry.
    pub(super) async fn bootstrap(self: Arc<Self>) {
        let own_place = self.settings.place();
        let peers: Vec<SocketAddr> =
            self.settings.replicas.iter().copied().filter(|peer| *peer != own_place.peer).collect();
        let raft = self.raft();
        while !raft.is_initialized().await.unwrap_or(true) {
            let mut initial_members = BTreeMap::from([(self.id, own_place)]);
            for peer in &peers {
                match self
                    .call_peer::<ReplicaIdentity>(*peer, None, IDENTITY_PATH, &json!({}), CONFIRM_TIMEOUT)
                    .await
                {
                    Ok(identity) if identity.begun => {
                        let join = Operation::Join { id: self.id, place: own_place };
                        let result: Result<Value, ApiError> =
                            self.call_peer(*peer, None, RELAY_PATH, &join, CATCH_UP_TIMEOUT * 2).await;
                        if let Err(error) = result {
                            tracing::warn!(%peer, cause = error.message, "could not join the registry");
                        }
                    }
                    Ok(identity) => drop(initial_members.insert(identity.id, identity.place)),
                    Err(error) => tracing::debug!(%peer, cause = error.message, "replica not reachable yet"),
                }
            }
            let all_present = initial_members.len() == peers.len() + 1;
            let is_initiator = initial_members.values().all(|place| own_place.peer <= place.peer);
            if all_present && is_initiator {
                tracing::info!(replicas = initial_members.len(), "initializing a new registry");
                if let Err(error) = raft.initialize(initial_members).await {
                    tracing::warn!(cause = %error, "initialization of the registry failed");
                }
            }
            sleep(BOOTSTRAP_INTERVAL).await;
        }
    }
}
