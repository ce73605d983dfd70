//! The leader's office: the leases that it keeps for its time, and its silence when nobody answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use openraft::ServerState;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use super::{Office, Replica, Trouble, lock, unix_s};
use crate::leases::Leases;
use crate::list::{Command, revision_floor};
use crate::wire::{InstanceKey, Renewal, RenewalResponse, SuspectDecision};

impl Replica {
    pub(super) fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    /// While this replica leads: keeps the leases, and tells the list of those that lapse; never ends.
    pub(super) async fn hold_office(self: Arc<Self>) {
        let look = Duration::from_millis((self.settings.lease_ms / 20).clamp(50, 250));
        let mut changes = self.raft.server_metrics();
        let mut heard = Instant::now();
        loop {
            let Some(term) = self.leads() else {
                if lock(&self.office).take().is_some() {
                    tracing::info!("the lead has gone to another replica");
                }
                self.fall_silent(false);
                heard = Instant::now();
                let _ = timeout(look, changes.changed()).await;
                continue;
            };
            heard = lock(&self.as_of).map_or(heard, |as_of| as_of.max(heard));
            self.fall_silent(self.is_unheard(heard.elapsed()));
            if lock(&self.office).as_ref().is_none_or(|office| office.term != term) {
                self.come_into_office(term).await;
            } else {
                self.look_after_leases().await;
            }
            sleep(look).await;
        }
    }

    /// Whether a leader whom no majority has answered for so long should fall silent: its word may still reach the others
    /// and keep them from standing, while their answers are lost. Now and then it speaks again, or it would never learn
    /// that they hear each other again.
    pub(super) fn is_unheard(&self, unheard: Duration) -> bool {
        let election = Duration::from_millis(self.settings.election_ms);
        let (patience, round) = (election * 4, election * 16);
        unheard > patience && unheard.as_millis() % round.as_millis() >= patience.as_millis()
    }

    pub(super) fn fall_silent(&self, silent: bool) {
        if self.leaving.load(Ordering::Relaxed) || self.peers.is_suppressed() == silent {
            return;
        }
        if silent {
            tracing::warn!("no majority answers: falls silent, so that another one may lead");
        }
        self.peers.suppress_leader_messages(silent);
    }

    /// After each election that this replica stood in and did not win, it waits for a while drawn anew. The library draws
    /// its patience once for a process: two that drew alike would go on splitting the votes. Never ends.
    pub(super) async fn spread_elections(self: Arc<Self>) {
        let mut changes = self.raft.server_metrics();
        while changes.changed().await.is_ok() {
            if changes.borrow_and_update().state == ServerState::Candidate {
                self.raft.runtime_config().elect(false);
                let longest = 2 * self.settings.election_ms;
                sleep(Duration::from_millis((rand::random::<f64>() * longest as f64) as u64)).await;
                self.raft.runtime_config().elect(true);
            }
        }
    }

    pub(super) async fn come_into_office(&self, term: u64) {
        *lock(&self.office) = None;
        if let Err(trouble) = self.confirm().await {
            tracing::warn!(cause = trouble.text, "the lead is in doubt");
            return;
        }
        if self.shared.read().list.incarnation() == 0 {
            let past = revision_floor(unix_s());
            if let Err(trouble) = self.write_any(Command::Begin { past }).await {
                tracing::warn!(cause = trouble.text, "the list can't be begun");
                return;
            }
        }
        let leases = Leases::new(self.settings.lease_policy(), &self.shared.read().list, self.now());
        tracing::info!(term, leases = leases.len(), rev = self.rev(), "leads: every lease has its full time");
        self.metrics.terms_led.inc();
        *lock(&self.office) = Some(Office { term, leases });
    }

    pub(super) async fn look_after_leases(&self) {
        let commands = {
            let mut office = lock(&self.office);
            let Some(office) = office.as_mut() else { return };
            let (state, now) = (self.shared.read(), self.now());
            office.leases.sync(&state.list, now);
            office.leases.expire(&state.list, now)
        };
        for command in commands {
            self.metrics.lapses.inc();
            match &command {
                Command::Suspect(lives) => {
                    tracing::warn!(count = lives.len(), "too many leases lapsed at once: held as suspects");
                }
                Command::Leave { uid, .. } => tracing::info!(uid, "its lease has lapsed"),
                _ => {}
            }
            if let Err(trouble) = self.write(command).await {
                tracing::warn!(cause = trouble.text, "a lapse could not be written");
            }
        }
    }

    pub(super) async fn renew(&self, renewal: Renewal) -> Result<Value, Trouble> {
        // Whoever only believes to lead renews nothing.
        let confirmed = self.confirm().await?;
        let mut unknown = Vec::new();
        let mut cleared = Vec::new();
        {
            let mut office = lock(&self.office);
            let office = office.as_mut().filter(|office| office.term == confirmed.term);
            let office = office.ok_or_else(|| Trouble::later("the leader has just come into office"))?;
            let now = self.now();
            office.leases.sync(&self.shared.read().list, now);
            for InstanceKey { uid, boot_ms } in &renewal.lives {
                match office.leases.renew(uid, *boot_ms, now) {
                    Ok(Some(Command::Clear(lives))) => cleared.extend(lives),
                    Ok(_) => {}
                    Err(_) => unknown.push(uid.clone()),
                }
            }
        }
        self.metrics.renewals.inc_by((renewal.lives.len() - unknown.len()) as u64);
        if !cleared.is_empty() {
            self.write(Command::Clear(cleared)).await?;
        }
        serde_json::to_value(RenewalResponse { lease_ms: self.settings.lease_ms, unknown })
            .map_err(|error| Trouble::refused(500, error.to_string()))
    }

    pub(super) async fn decide(&self, decision: SuspectDecision) -> Result<Value, Trouble> {
        let confirmed = self.confirm().await?;
        let commands = {
            let mut office = lock(&self.office);
            let office = office.as_mut().filter(|office| office.term == confirmed.term);
            let office = office.ok_or_else(|| Trouble::later("the leader has just come into office"))?;
            let state = self.shared.read();
            office.leases.resolve_suspects(&state.list, &decision.zone, decision.alive, self.now())
        };
        if commands.is_empty() {
            return Err(Trouble::refused(404, format!("zone {:?} has no suspects", decision.zone)));
        }
        let mut concerned = 0;
        for command in commands {
            concerned += if let Command::Clear(lives) = &command { lives.len() } else { 1 };
            self.write(command).await?;
        }
        Ok(json!({"rev": self.rev(), "concerned": concerned}))
    }
}
