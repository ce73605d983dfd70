//! The leader's duties during its term: leases, and stepping aside when no quorum responds. Each has a loop of its own,
//! so that a leader without a quorum steps aside in time, whatever its leases wait for.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use super::{ApiError, Leadership, Replica, lock, unix_s};
use crate::leases::Leases;
use crate::list::{Command, MAX_KEYS, revision_floor};
use crate::wire::{InstanceKey, Renewal, RenewalResponse, SuspectDecision};

impl Replica {
    /// Nanoseconds since the start of the replica, the clock of the leases.
    pub(super) fn now(&self) -> u64 {
        self.started_at.elapsed().as_nanos() as u64
    }

    /// While this replica is the leader, checks its leases periodically and replicates the resulting commands.
    pub(super) async fn run_leadership(self: Arc<Self>) {
        let check_interval = Duration::from_millis((self.settings.lease_ms / 20).clamp(50, 250));
        loop {
            let Some(term) = self.leading_term() else {
                if lock(&self.leadership).take().is_some() {
                    tracing::info!("leadership lost");
                }
                let _ = timeout(check_interval, self.raft().server_metrics().changed()).await;
                continue;
            };
            if lock(&self.leadership).as_ref().is_none_or(|leadership| leadership.term != term) {
                self.begin_term(term).await;
            } else {
                self.expire_leases().await;
                tokio::spawn(self.clone().complete_membership_change());
            }
            sleep(check_interval).await;
        }
    }

    /// While this replica is the leader, suspends its messages if no quorum confirms it. Awaits nothing but the time.
    pub(super) async fn watch_quorum_contact(self: Arc<Self>) {
        let check_interval = Duration::from_millis(self.settings.election_ms / 4);
        let mut last_quorum_contact = Instant::now();
        loop {
            if self.leading_term().is_some() {
                last_quorum_contact = lock(&self.list_as_of)
                    .map_or(last_quorum_contact, |list_as_of| list_as_of.max(last_quorum_contact));
                // What is due before the next check is done now.
                let until_next_check = last_quorum_contact.elapsed() + check_interval;
                self.update_suspension(self.should_suspend(until_next_check));
            } else {
                last_quorum_contact = Instant::now();
                self.update_suspension(false);
            }
            sleep(check_interval).await;
        }
    }

    /// Returns whether a leader without quorum contact for this long should suspend its messages. If only the responses
    /// are lost, its heartbeats would keep the other replicas from electing another leader. It resumes periodically, to
    /// detect when the connection has recovered.
    fn should_suspend(&self, since_quorum: Duration) -> bool {
        let election = Duration::from_millis(self.settings.election_ms);
        let (grace, cycle) = (election * 4, election * 16);
        since_quorum > grace && since_quorum.as_millis() % cycle.as_millis() >= grace.as_millis()
    }

    /// Suspends or resumes leader messages, except during a transfer of leadership, which controls them itself.
    pub(super) fn update_suspension(&self, suspended: bool) {
        if self.transferring.load(Ordering::Relaxed) || self.peers.is_suspended() == suspended {
            return;
        }
        if suspended {
            tracing::warn!("no quorum responds: heartbeats suspended so that another leader can be elected");
        }
        self.peers.set_suspended(suspended);
    }

    /// Prepares a new leader: confirms its leadership, initializes the list if it is new, and creates the leases.
    pub(super) async fn begin_term(&self, term: u64) {
        *lock(&self.leadership) = None;
        if let Err(error) = self.confirm_leadership().await {
            tracing::warn!(cause = error.message, "leadership not confirmed");
            return;
        }
        if self.shared.read().list.incarnation() == 0 {
            let past = revision_floor(unix_s());
            if let Err(error) = self.propose(Command::Begin { past }).await {
                tracing::warn!(cause = error.message, "the list could not be initialized");
                return;
            }
        }
        let leases = Leases::new(self.settings.lease_policy(), &self.shared.read().list, self.now());
        tracing::info!(
            term,
            leases = leases.len(),
            rev = self.rev(),
            "elected as leader: all leases renewed"
        );
        self.metrics.terms_led.inc();
        *lock(&self.leadership) = Some(Leadership { term, leases });
    }

    /// Checks the leases and replicates the commands for those that have expired. Expiry counts only up to a time after
    /// which a quorum has confirmed the leader: one that hears nobody receives no renewals.
    pub(super) async fn expire_leases(&self) {
        let checked_at = self.now();
        let any_expired = {
            let mut leadership = lock(&self.leadership);
            let Some(leadership) = leadership.as_mut() else { return };
            leadership.leases.sync(&self.shared.read().list, checked_at);
            leadership.leases.check(checked_at)
        };
        if !any_expired {
            return;
        }
        let confirmation = match self.confirm_leadership().await {
            Ok(confirmation) => confirmation,
            Err(error) => {
                tracing::debug!(cause = error.message, "expired leases are kept without a quorum");
                return;
            }
        };
        let commands = {
            let mut leadership = lock(&self.leadership);
            let leadership = leadership.as_mut().filter(|leadership| leadership.term == confirmation.term);
            let Some(leadership) = leadership else { return };
            leadership.leases.expire(&self.shared.read().list, checked_at)
        };
        self.replicate_expiry(commands).await;
    }

    async fn replicate_expiry(&self, commands: Vec<Command>) {
        self.metrics.lapses.inc_by(commands.len() as u64);
        for command in &commands {
            match command {
                Command::Suspect(keys) => {
                    tracing::warn!(
                        count = keys.len(),
                        "too many leases expired at once: instances marked as suspects"
                    );
                }
                Command::Leave { uid, .. } => tracing::info!(uid, "lease expired: removing instance"),
                _ => {}
            }
        }
        if let Err(error) = self.write_all(commands).await {
            tracing::warn!(cause = error.message, "expired lease could not be replicated");
        }
    }

    /// Renews leases. Only the leader can do this.
    pub(super) async fn renew(&self, renewal: Renewal) -> Result<Value, ApiError> {
        // A former leader that has not learned of its successor yet must not renew leases.
        let confirmation = self.confirm_leadership().await?;
        let mut unknown = Vec::new();
        let mut cleared_suspects = Vec::new();
        {
            let mut leadership = lock(&self.leadership);
            let leadership = leadership.as_mut().filter(|leadership| leadership.term == confirmation.term);
            let leadership = leadership
                .ok_or_else(|| ApiError::unavailable("the leader was just elected and is not ready yet"))?;
            let now = self.now();
            leadership.leases.sync(&self.shared.read().list, now);
            for InstanceKey { uid, boot_ms } in &renewal.lives {
                match leadership.leases.renew(uid, *boot_ms, now) {
                    Ok(Some(Command::Clear(keys))) => cleared_suspects.extend(keys),
                    Ok(_) => {}
                    Err(_) => unknown.push(uid.clone()),
                }
            }
        }
        self.metrics.renewals.inc_by((renewal.lives.len() - unknown.len()) as u64);
        let commands = cleared_suspects.chunks(MAX_KEYS).map(|keys| Command::Clear(keys.to_vec()));
        self.write_all(commands.collect()).await?;
        serde_json::to_value(RenewalResponse { lease_ms: self.settings.lease_ms, unknown })
            .map_err(|error| ApiError::new(500, error.to_string()))
    }

    /// Applies an operator's decision on the suspects of a zone.
    pub(super) async fn resolve_suspects(&self, decision: SuspectDecision) -> Result<Value, ApiError> {
        let confirmation = self.confirm_leadership().await?;
        let commands = {
            let mut leadership = lock(&self.leadership);
            let leadership = leadership.as_mut().filter(|leadership| leadership.term == confirmation.term);
            let leadership = leadership
                .ok_or_else(|| ApiError::unavailable("the leader was just elected and is not ready yet"))?;
            let state = self.shared.read();
            leadership.leases.resolve_suspects(&state.list, &decision.zone, decision.alive, self.now())
        };
        if commands.is_empty() {
            return Err(ApiError::new(404, format!("zone {:?} has no suspects", decision.zone)));
        }
        let count = |command: &Command| if let Command::Clear(keys) = command { keys.len() } else { 1 };
        let concerned: usize = commands.iter().map(count).sum();
        self.write_all(commands).await?;
        Ok(json!({"rev": self.rev(), "concerned": concerned}))
    }
}
