//! What one replica asks of another, and what it takes to whoever leads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxdale_fleet::call::{Call, CallError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::{CONFIRM_EACH, DO, MOST_LIVES, Operation, Renewing, Replica, SOON, Trouble};
use crate::raft::{Place, ReplicaId};
use crate::wire::{ErrorBody, Renewal, RenewalResponse};

/// A replica that leads answers another one by then; a command's own time is in it.
const FORWARD: Duration = Duration::from_secs(4);
const MOST_ANSWER: usize = 1024 * 1024;

impl Replica {
    pub(super) async fn send_on(
        &self,
        leader: ReplicaId,
        place: Place,
        operation: &Operation,
    ) -> Result<Value, Trouble> {
        let _one_of_few = self.sent_on.acquire().await;
        self.ask(place.peer, Some(leader), DO, operation, FORWARD).await
    }

    pub(super) async fn renew_elsewhere(&self, renewal: Renewal) -> Result<Value, Trouble> {
        let (told, renewed) = oneshot::channel();
        self.renewals.try_send((renewal, told)).map_err(|_| Trouble::later("too many renewals wait"))?;
        let renewed = renewed.await.unwrap_or_else(|_| Err(Trouble::later("the program ends")))?;
        serde_json::to_value(renewed).map_err(|error| Trouble::refused(500, error.to_string()))
    }

    /// Takes renewals to the leader, all that have come in meanwhile in one call; never ends.
    pub(super) async fn send_renewals_on(self: Arc<Self>, mut renewing: mpsc::Receiver<Renewing>) {
        while let Some((first, told)) = renewing.recv().await {
            let at = Instant::now();
            let mut parts = vec![(first.lives.clone(), told)];
            let mut lives = first.lives;
            while lives.len() < MOST_LIVES
                && let Ok((next, told)) = renewing.try_recv()
            {
                lives.extend(next.lives.iter().cloned());
                parts.push((next.lives, told));
            }
            let own = self.clone();
            // The next ones need not wait for the answer to these.
            tokio::spawn(async move {
                let operation = Operation::Renew(Renewal { lives });
                let renewed: Result<RenewalResponse, Trouble> = match own.leader() {
                    Some((leader, place)) if leader != own.id => {
                        let _one_of_few = own.sent_on.acquire().await;
                        own.ask(place.peer, Some(leader), DO, &operation, FORWARD).await
                    }
                    _ => Err(Trouble::later("the lead has moved")),
                };
                for (lives, told) in parts {
                    // Whoever asked may have gone.
                    let _ = told.send(renewed.clone().map(|renewed| {
                        RenewalResponse {
                            unknown: lives
                                .into_iter()
                                .map(|life| life.uid)
                                .filter(|uid| renewed.unknown.contains(uid))
                                .collect(),
                            ..renewed
                        }
                    }));
                }
            });
            sleep_until(at + CONFIRM_EACH).await;
        }
    }

    pub(super) async fn ask<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        to: Option<ReplicaId>,
        path: &str,
        body: &impl Serialize,
        patience: Duration,
    ) -> Result<A, Trouble> {
        let body = serde_json::to_vec(body).map_err(|error| Trouble::refused(500, error.to_string()))?;
        let answer = self.peers.call(peer, to, Call::post(path, body, patience, MOST_ANSWER)).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(CallError::Connect(error)) => {
                return Err(Trouble::later(format!("replica {peer} can't be reached: {error}")));
            }
            Err(error) => return Err(Trouble::unknown(&format!("replica {peer}: {error}"))),
        };
        if answer.status == hyper::StatusCode::OK {
            return serde_json::from_slice(&answer.body)
                .map_err(|error| Trouble::refused(502, format!("replica {peer}: {error}")));
        }
        let text = ErrorBody::message(&answer.body);
        let status = answer.status.as_u16();
        let again = matches!(status, 421 | 503 | 504).then_some(SOON);
        // One that is not the replica that was meant will not become it.
        let status = if status == 421 { 503 } else { status };
        Err(Trouble { status, text, again })
    }
}
