//! Replication of commands, and confirmation of leadership by a quorum.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

use super::{
    ApiError, CONFIRM_INTERVAL, CONFIRM_TIMEOUT, LeadershipConfirmation, OPERATION_PATH, Operation,
    PendingConfirmation, PendingWrite, QUEUE_CAPACITY, Replica, lock,
};
use crate::list::{Command, Rev};
use crate::raft::Applied;

/// Timeout of a command. One that is not applied by then may still be applied later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of commands in a log entry.
const MAX_BATCH: usize = 128;
/// Estimated size of a log entry from which on it takes no further command. A replica has to receive and store an entry
/// within a heartbeat; one that cannot would be sent the same entry again and again.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Interval at which a replica confirms how current its list is.
const AGE_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

impl Replica {
    /// Replicates a command and waits until it is applied.
    pub(super) async fn write(&self, command: Command) -> Result<Rev, ApiError> {
        if lock(&self.leadership).is_none() {
            return Err(ApiError::unavailable("the leader was just elected and is not ready yet"));
        }
        self.propose(command).await
    }

    /// Replicates commands and waits until all are applied. Returns the first error; the other commands are replicated
    /// nevertheless.
    pub(super) async fn write_all(&self, commands: Vec<Command>) -> Result<(), ApiError> {
        let mut batches = commands.into_iter().peekable();
        let mut result = Ok(());
        while batches.peek().is_some() {
            let writes = batches.by_ref().take(MAX_BATCH).map(|command| self.write(command));
            let outcomes = join_all(writes).await;
            result = outcomes.into_iter().fold(result, |result, outcome| result.and(outcome.map(|_| ())));
        }
        result
    }

    /// Like [`Self::write`], but allowed before the leader has created its leases.
    pub(super) async fn propose(&self, command: Command) -> Result<Rev, ApiError> {
        self.check_store()?;
        let (size, limit) = (lock(&self.node).store.size(), self.settings.most_store_mb * 1024 * 1024);
        if size >= limit {
            let message = format!("the store has {size} bytes, the limit is {limit}: writes are rejected");
            return Err(ApiError::new(507, message));
        }
        if self.transferring.load(Ordering::Relaxed) {
            return Err(ApiError::unavailable("leadership is being transferred"));
        }
        let (reply, applied) = oneshot::channel();
        self.write_queue
            .try_send((command, reply))
            .map_err(|_| ApiError::unavailable("too many commands are queued"))?;
        let timed_out = ApiError::outcome_unknown("the command was not replicated in time");
        match timeout(WRITE_TIMEOUT, applied).await {
            Ok(Ok(Ok(Applied::Done(rev)))) => Ok(rev),
            Ok(Ok(Ok(Applied::Refused { status, text }))) => Err(ApiError::new(status, text)),
            Ok(Ok(Err(error))) => Err(error),
            Ok(Err(_)) | Err(_) => Err(timed_out),
        }
    }

    /// Replicates queued commands, in batches of one log entry each.
    pub(super) async fn process_writes(self: Arc<Self>, mut receiver: mpsc::Receiver<PendingWrite>) {
        while let Some(first) = receiver.recv().await {
            let (mut commands, mut replies, mut bytes) = (Vec::new(), Vec::new(), 0);
            let mut next = Some(first);
            while let Some((command, reply)) = next {
                // A caller that got no response in time has been told so and retries.
                if !reply.is_closed() {
                    bytes += command.estimated_bytes();
                    commands.push(command);
                    replies.push(reply);
                }
                let has_room = commands.len() < MAX_BATCH && bytes < MAX_BATCH_BYTES;
                next = if has_room { receiver.try_recv().ok() } else { None };
            }
            if commands.is_empty() {
                continue;
            }
            let batch_size = commands.len() as u64;
            self.metrics.commands.inc_by(batch_size);
            self.metrics.log_entries.inc();
            let outcome = match timeout(WRITE_TIMEOUT, self.raft().client_write(commands)).await {
                Ok(Ok(response)) => Ok(response.data),
                Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                    Err(ApiError::unavailable("leadership has moved to another replica"))
                }
                Ok(Err(RaftError::APIError(error))) => Err(ApiError::unavailable(error.to_string())),
                Ok(Err(RaftError::Fatal(error))) => Err(self
                    .check_store()
                    .err()
                    .unwrap_or_else(|| ApiError::unavailable(format!("Raft has stopped: {error}")))),
                Err(_) => Err(ApiError::outcome_unknown("the command was not replicated in time")),
            };
            match outcome {
                Ok(applied) => replies.into_iter().zip(applied).for_each(|(reply, applied)| {
                    // The receiver is gone if the call was cancelled.
                    let _ = reply.send(Ok(applied));
                }),
                Err(error) => replies.into_iter().for_each(|reply| {
                    let _ = reply.send(Err(error.clone()));
                }),
            }
        }
    }

    /// Waits until a quorum has confirmed, after this call, that this replica is the leader.
    pub(super) async fn confirm_leadership(&self) -> Result<LeadershipConfirmation, ApiError> {
        let (reply, confirmation) = oneshot::channel();
        self.confirmation_queue
            .try_send(reply)
            .map_err(|_| ApiError::unavailable("too many calls are queued"))?;
        confirmation.await.unwrap_or_else(|_| Err(ApiError::unavailable("the replica is shutting down")))
    }

    /// Confirms leadership for queued requests, one round for all that are waiting.
    pub(super) async fn process_confirmations(
        self: Arc<Self>,
        mut receiver: mpsc::Receiver<PendingConfirmation>,
    ) {
        while let Some(first) = receiver.recv().await {
            let mut replies = vec![first];
            while replies.len() < QUEUE_CAPACITY
                && let Ok(next) = receiver.try_recv()
            {
                replies.push(next);
            }
            let started_at = Instant::now();
            self.metrics.confirmations.inc();
            let confirmation = if self.transferring.load(Ordering::Relaxed) {
                // A round sends heartbeats, which would prevent the election of another leader.
                Err(ApiError::unavailable("leadership is being transferred"))
            } else {
                match timeout(CONFIRM_TIMEOUT, self.raft().ensure_linearizable()).await {
                    Ok(Ok(read)) => match self.leading_term() {
                        Some(term) => Ok(LeadershipConfirmation { index: read.map(|id| id.index), term }),
                        None => Err(ApiError::unavailable("leadership has moved to another replica")),
                    },
                    Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => {
                        Err(ApiError::unavailable("leadership has moved to another replica"))
                    }
                    Ok(Err(error)) => {
                        Err(ApiError::unavailable(format!("leadership not confirmed: {error}")))
                    }
                    Err(_) => Err(ApiError::unavailable("leadership not confirmed: no quorum")),
                }
            };
            if confirmation.is_ok() {
                self.advance_list_as_of(started_at);
                if let Some(leadership) = lock(&self.leadership).as_mut() {
                    leadership.leases.confirm_quorum(self.now());
                }
            }
            for reply in replies {
                let _ = reply.send(confirmation.clone());
            }
            sleep_until(started_at + CONFIRM_INTERVAL).await;
        }
    }

    /// Records that the list was current at a time.
    pub(super) fn advance_list_as_of(&self, time: Instant) {
        let mut list_as_of = lock(&self.list_as_of);
        *list_as_of = Some(list_as_of.map_or(time, |known| known.max(time)));
    }

    /// Waits until the list has every write that was acknowledged before this call: obtains the commit index from a
    /// leader that a quorum confirms, and waits until it is applied here.
    pub async fn await_current_list(&self) -> Result<(), ApiError> {
        let started_at = Instant::now();
        let confirmation = match self.leader() {
            Some((leader, _)) if leader == self.id => self.confirm_leadership().await?,
            Some((leader, place)) => {
                self.call_peer(
                    place.peer,
                    Some(leader),
                    OPERATION_PATH,
                    &Operation::Confirm,
                    CONFIRM_TIMEOUT * 2,
                )
                .await?
            }
            None => {
                self.check_store()?;
                return Err(ApiError::unavailable("no leader is known"));
            }
        };
        let applied = self.raft().wait(Some(CONFIRM_TIMEOUT));
        let applied = applied.applied_index_at_least(confirmation.index, "current list").await;
        applied.map_err(|_| ApiError::unavailable("this replica is behind the leader"))?;
        self.advance_list_as_of(started_at);
        Ok(())
    }

    /// Periodically waits for the current list, which bounds the age of the list.
    pub(super) async fn refresh_list_age(self: Arc<Self>) {
        loop {
            let started_at = Instant::now();
            if let Err(error) = self.await_current_list().await {
                tracing::debug!(cause = error.message, "list age not confirmed");
            }
            sleep_until(started_at + AGE_REFRESH_INTERVAL).await;
        }
    }
}
