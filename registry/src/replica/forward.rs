//! Calls to other replicas, and forwarding of operations to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxdale_fleet::call::{Call, CallError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::{
    ApiError, CONFIRM_INTERVAL, MAX_RENEWALS_PER_CALL, OPERATION_PATH, Operation, PendingRenewal, RELAY_PATH,
    RETRY_AFTER, Replica,
};
use crate::raft::{Place, ReplicaId};
use crate::wire::{ErrorBody, Renewal, RenewalResponse};

/// Timeout of a forwarded operation, which includes the time that the leader needs to replicate a command.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

impl Replica {
    /// Forwards an operation to the leader.
    pub(super) async fn forward(
        &self,
        leader: ReplicaId,
        place: Place,
        operation: &Operation,
    ) -> Result<Value, ApiError> {
        let _permit = self.forward_permits.acquire().await;
        self.call_peer(place.peer, Some(leader), OPERATION_PATH, operation, FORWARD_TIMEOUT).await
    }

    /// Sends an operation to the other members, one after another, until one of them passes it on to the leader. Used
    /// while the store of this replica has failed, so that it does not know the leader.
    /// Returns the given error of the store if none does.
    pub(super) async fn relay(
        &self,
        operation: &Operation,
        store_error: ApiError,
    ) -> Result<Value, ApiError> {
        for (id, place) in self.members().into_iter().filter(|(id, _)| *id != self.id) {
            let _permit = self.forward_permits.acquire().await;
            let relayed = self.call_peer(place.peer, Some(id), RELAY_PATH, operation, FORWARD_TIMEOUT).await;
            match relayed {
                // The member has not executed it.
                Err(ApiError { status: 503 | 507, .. }) => {}
                relayed => return relayed,
            }
        }
        Err(store_error)
    }

    /// Queues a renewal for the leader and waits for the response.
    pub(super) async fn forward_renewal(&self, renewal: Renewal) -> Result<Value, ApiError> {
        let (reply, response) = oneshot::channel();
        self.renewal_queue
            .try_send((renewal, reply))
            .map_err(|_| ApiError::unavailable("too many renewals are queued"))?;
        let response =
            response.await.unwrap_or_else(|_| Err(ApiError::unavailable("the replica is shutting down")))?;
        serde_json::to_value(response).map_err(|error| ApiError::new(500, error.to_string()))
    }

    /// Forwards queued renewals to the leader, in batches.
    pub(super) async fn process_renewals(self: Arc<Self>, mut receiver: mpsc::Receiver<PendingRenewal>) {
        while let Some((first, reply)) = receiver.recv().await {
            let sent_at = Instant::now();
            let mut batch = vec![(first.lives.clone(), reply)];
            let mut keys = first.lives;
            while keys.len() < MAX_RENEWALS_PER_CALL
                && let Ok((next, reply)) = receiver.try_recv()
            {
                keys.extend(next.lives.iter().cloned());
                batch.push((next.lives, reply));
            }
            let replica = self.clone();
            // The next batch does not wait for the response.
            tokio::spawn(async move {
                let operation = Operation::Renew(Renewal { lives: keys });
                let response: Result<RenewalResponse, ApiError> = match replica.leader() {
                    Some((leader, place)) if leader != replica.id => {
                        let _permit = replica.forward_permits.acquire().await;
                        replica
                            .call_peer(place.peer, Some(leader), OPERATION_PATH, &operation, FORWARD_TIMEOUT)
                            .await
                    }
                    _ => Err(ApiError::unavailable("leadership has moved to another replica")),
                };
                for (keys, reply) in batch {
                    // The receiver is gone if the call was cancelled.
                    let _ = reply.send(response.clone().map(|response| {
                        RenewalResponse {
                            unknown: keys
                                .into_iter()
                                .map(|key| key.uid)
                                .filter(|uid| response.unknown.contains(uid))
                                .collect(),
                            ..response
                        }
                    }));
                }
            });
            sleep_until(sent_at + CONFIRM_INTERVAL).await;
        }
    }

    /// Sends a call to another replica. If `to` is given, only the replica with this ID processes it.
    pub(super) async fn call_peer<Resp: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        to: Option<ReplicaId>,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Resp, ApiError> {
        let body = serde_json::to_vec(body).map_err(|error| ApiError::new(500, error.to_string()))?;
        let response = self.peers.call(peer, to, Call::post(path, body, timeout, MAX_RESPONSE_BYTES)).await;
        let response = match response {
            Ok(response) => response,
            Err(CallError::Connect(error)) => {
                return Err(ApiError::unavailable(format!("replica {peer} cannot be reached: {error}")));
            }
            Err(error) => return Err(ApiError::outcome_unknown(&format!("replica {peer}: {error}"))),
        };
        if response.status == hyper::StatusCode::OK {
            return serde_json::from_slice(&response.body)
                .map_err(|error| ApiError::new(502, format!("replica {peer}: {error}")));
        }
        let message = ErrorBody::message(&response.body);
        let status = response.status.as_u16();
        let retry_after = matches!(status, 421 | 503 | 504).then_some(RETRY_AFTER);
        // 421 means that another replica is at this address. It concerns the peer, not the client.
        let status = if status == 421 { 503 } else { status };
        Err(ApiError { status, message, retry_after })
    }
}
