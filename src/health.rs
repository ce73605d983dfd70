//! Outlier ejection: a backend that fails is left out for a while and readmitted by trials.

use crate::api::*;
use crate::state::*;

/// Failures in a row (a broken or refused connection counts double) that make an outlier.
const EJECTION_THRESHOLD: u32 = 6;
/// A connection that was not refused by then is to a machine that says nothing.
const UNRESPONSIVE_AFTER: Nanos = 40 * MS;
/// First ejection; doubled each time up to 2^5.
const BASE_EJECTION: Nanos = SECOND;
/// Wait after a backend sent work away as full; doubled up to 2^4 while it goes on.
const BASE_REJECTION_BACKOFF: Nanos = 100 * MS;
/// At most this share of the listed backends is ejected (panic threshold).
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Balancer {
    pub(crate) fn is_available(&self, backend: &Backend) -> bool {
        if self.now < backend.backoff_until {
            return false;
        }
        match backend.health {
            Health::Healthy => true,
            Health::Ejected { until } => self.now >= until && backend.in_flight == 0,
            Health::HalfOpen { .. } => backend.in_flight == 0,
        }
    }

    /// Ejects an outlier, readmits after two served trials.
    pub(crate) fn update_health(&mut self, id: BackendId, result: &AttemptResult, actions: &mut Vec<Action>) {
        let outcome = result.outcome;
        let weight = match outcome {
            Outcome::Served => 0,
            Outcome::Error | Outcome::TimedOut | Outcome::Full => 1,
            Outcome::ConnectFailed | Outcome::Reset => 2,
            Outcome::Cancelled | Outcome::Moot => return,
        };
        let full =
            outcome == Outcome::ConnectFailed && self.many_nodes() && result.elapsed < UNRESPONSIVE_AFTER;
        let turned_away = outcome == Outcome::Full || full;
        let Some(backend) = self.backends.get_mut(&id) else { return };
        // Sent away at once, again and again, a backend looks idle and would draw all traffic. With many
        // nodes a refused connection may mean a full table as well as a dead process; a silent one does not.
        if turned_away {
            backend.backoff_until =
                self.now + (BASE_REJECTION_BACKOFF << backend.consecutive_rejections.min(4));
            backend.consecutive_rejections += 1;
            return;
        }
        backend.consecutive_rejections = 0;
        backend.failure_rate.update(self.now, if weight > 0 { 1.0 } else { 0.0 }, SECOND, 0.1);
        if weight == 0 {
            backend.consecutive_failures = 0;
            match backend.health {
                Health::HalfOpen { served: 0 } => backend.health = Health::HalfOpen { served: 1 },
                Health::HalfOpen { .. } => {
                    backend.health = Health::Healthy;
                    backend.ejections = backend.ejections.saturating_sub(1);
                    self.log(actions, LogEvent::Readmitted { backend: id });
                }
                _ => {}
            }
            return;
        }
        backend.consecutive_failures += weight;
        let listed = self.backends.values().filter(|b| b.member.stage == Stage::InService).count() as f64;
        let ejected = self.backends.values().filter(|b| b.health != Health::Healthy).count() as f64;
        let failing = self.backends.values().map(|b| b.failure_rate.value).sum::<f64>() / listed.max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outlier = backend.consecutive_failures >= EJECTION_THRESHOLD
            && backend.failure_rate.value > 2.0 * failing.min(0.4);
        let failed_trial = matches!(backend.health, Health::HalfOpen { .. });
        let room = ejected + 1.0 <= listed * MAX_EJECTED_SHARE;
        if failed_trial || (outlier && room && backend.health == Health::Healthy) {
            let span = BASE_EJECTION << backend.ejections.min(5);
            backend.ejections += 1;
            backend.consecutive_failures = 0;
            backend.health = Health::Ejected { until: self.now + span };
            self.log(actions, LogEvent::Ejected { backend: id, duration: span, cause: outcome });
        }
    }
}
