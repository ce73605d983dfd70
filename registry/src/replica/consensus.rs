//! The way through the log, and the majority's word that this replica leads.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

use super::{
    CONFIRM, CONFIRM_EACH, Confirmation, Confirmed, DO, MOST_WAITING, Operation, Replica, Trouble, Write,
    lock,
};
use crate::list::{Command, Rev};
use crate::raft::Applied;

/// A command that is not through the log by then may or may not be carried out.
const WRITE: Duration = Duration::from_secs(2);
/// Commands that share an entry.
const MOST_BATCH: usize = 128;
/// How often a replica asks how far the list has come.
const FRESHEN: Duration = Duration::from_millis(250);

impl Replica {
    /// Brings a command through the log.
    pub(super) async fn write(&self, command: Command) -> Result<Rev, Trouble> {
        if lock(&self.office).is_none() {
            return Err(Trouble::later("the leader has just come into office"));
        }
        self.write_any(command).await
    }

    pub(super) async fn write_any(&self, command: Command) -> Result<Rev, Trouble> {
        if let Some(trouble) = self.trouble() {
            return Err(Trouble::refused(507, trouble));
        }
        let (size, most) = (self.store.size(), self.settings.most_store_mb * 1024 * 1024);
        if size >= most {
            let text =
                format!("the store has {size} bytes, and {most} are the most: it takes no more writes");
            return Err(Trouble::refused(507, text));
        }
        if self.leaving.load(Ordering::Relaxed) {
            return Err(Trouble::later("the lead is being handed over"));
        }
        let (told, applied) = oneshot::channel();
        self.writes.try_send((command, told)).map_err(|_| Trouble::later("too many commands wait"))?;
        let late = Trouble::unknown("the log did not take it in time");
        match timeout(WRITE, applied).await {
            Ok(Ok(Ok(Applied::Done(rev)))) => Ok(rev),
            Ok(Ok(Ok(Applied::Refused { status, text }))) => Err(Trouble::refused(status, text)),
            Ok(Ok(Err(trouble))) => Err(trouble),
            Ok(Err(_)) | Err(_) => Err(late),
        }
    }

    /// Takes commands to the log, all that have come in meanwhile in one entry.
    pub(super) async fn write_all(self: Arc<Self>, mut written: mpsc::Receiver<Write>) {
        while let Some(first) = written.recv().await {
            let (mut commands, mut waiting) = (vec![first.0], vec![first.1]);
            while commands.len() < MOST_BATCH
                && let Ok((command, told)) = written.try_recv()
            {
                commands.push(command);
                waiting.push(told);
            }
            let count = commands.len() as u64;
            self.metrics.commands.inc_by(count);
            self.metrics.log_entries.inc();
            let told = match timeout(WRITE, self.raft.client_write(commands)).await {
                Ok(Ok(response)) => Ok(response.data),
                Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                    Err(Trouble::later("the lead has moved"))
                }
                Ok(Err(RaftError::APIError(error))) => Err(Trouble::later(error.to_string())),
                Ok(Err(RaftError::Fatal(error))) => {
                    let stopped = || format!("the consensus has stopped: {error}");
                    Err(Trouble::refused(507, self.trouble().unwrap_or_else(stopped)))
                }
                Err(_) => Err(Trouble::unknown("the log did not take it in time")),
            };
            match told {
                Ok(applied) => waiting.into_iter().zip(applied).for_each(|(told, applied)| {
                    // Whoever asked may have gone.
                    let _ = told.send(Ok(applied));
                }),
                Err(trouble) => waiting.into_iter().for_each(|told| {
                    let _ = told.send(Err(trouble.clone()));
                }),
            }
        }
    }

    /// Waits until a majority has said, after this call, that this replica leads.
    pub(super) async fn confirm(&self) -> Result<Confirmed, Trouble> {
        let (told, confirmed) = oneshot::channel();
        self.confirmations.try_send(told).map_err(|_| Trouble::later("too many calls wait"))?;
        confirmed.await.unwrap_or_else(|_| Err(Trouble::later("the program ends")))
    }

    pub(super) async fn confirm_all(self: Arc<Self>, mut asked: mpsc::Receiver<Confirmation>) {
        while let Some(first) = asked.recv().await {
            let mut waiting = vec![first];
            while waiting.len() < MOST_WAITING
                && let Ok(next) = asked.try_recv()
            {
                waiting.push(next);
            }
            let at = Instant::now();
            self.metrics.confirmations.inc();
            let confirmed = if self.leaving.load(Ordering::Relaxed) {
                // A round would be heard as a sign of life, and the lead could not pass.
                Err(Trouble::later("the lead is being handed over"))
            } else {
                match timeout(CONFIRM, self.raft.ensure_linearizable()).await {
                    Ok(Ok(read)) => match self.leads() {
                        Some(term) => Ok(Confirmed { index: read.map(|id| id.index), term }),
                        None => Err(Trouble::later("the lead has moved")),
                    },
                    Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => {
                        Err(Trouble::later("the lead has moved"))
                    }
                    Ok(Err(error)) => Err(Trouble::later(format!("the lead is in doubt: {error}"))),
                    Err(_) => Err(Trouble::later("the lead is in doubt: no majority answers")),
                }
            };
            if confirmed.is_ok() {
                self.known_as_of(at);
            }
            for told in waiting {
                let _ = told.send(confirmed.clone());
            }
            sleep_until(at + CONFIRM_EACH).await;
        }
    }

    pub(super) fn known_as_of(&self, at: Instant) {
        let mut as_of = lock(&self.as_of);
        *as_of = Some(as_of.map_or(at, |known| known.max(at)));
    }

    /// Asks again and again how far the list has come, and so knows how old its own may be; never ends.
    pub(super) async fn stay_fresh(self: Arc<Self>) {
        loop {
            let at = Instant::now();
            let confirmed = match self.leader() {
                Some((leader, _)) if leader == self.id => self.confirm().await,
                Some((leader, place)) => {
                    self.ask(place.peer, Some(leader), DO, &Operation::Confirm, CONFIRM * 2).await
                }
                None => Err(Trouble::later("no leader is known")),
            };
            match confirmed {
                Ok(Confirmed { index, .. }) => {
                    let applied = self.raft.wait(Some(CONFIRM));
                    if applied.applied_index_at_least(index, "fresh").await.is_ok() {
                        self.known_as_of(at);
                    }
                }
                Err(trouble) => tracing::debug!(cause = trouble.text, "the list can't be confirmed"),
            }
            sleep_until(at + FRESHEN).await;
        }
    }
}
