//! Outlier ejection: a failing backend gets no requests for a while and is readmitted by trial requests.

use crate::api::*;
use crate::state::*;

/// Consecutive failures that make a backend an outlier; a refused or broken connection counts twice.
const EJECTION_THRESHOLD: u32 = 6;
/// A connection attempt that fails after this time was not refused: the machine is unreachable.
const UNREACHABLE_AFTER: Nanos = 40 * MS;
/// Duration of the first ejection; doubles with each further one, up to 32-fold.
const BASE_EJECTION: Nanos = SECOND;
/// Pause after a backend rejected a request as full; doubles with each consecutive rejection, up to 16-fold.
const BASE_REJECTION_BACKOFF: Nanos = 100 * MS;
/// Largest share of the listed backends that may be ejected (panic threshold).
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Balancer {
    /// Whether requests may be sent to the backend: neither backing off nor ejected, or due for a trial.
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

    /// Updates a backend's health by the result of an attempt: ejects an outlier, and readmits it after two
    /// served trials.
    pub(crate) fn update_health(&mut self, id: BackendId, result: &AttemptResult, actions: &mut Vec<Action>) {
        let outcome = result.outcome;
        let weight = match outcome {
            Outcome::Served => 0,
            Outcome::Error | Outcome::TimedOut | Outcome::Full => 1,
            Outcome::ConnectFailed | Outcome::Reset => 2,
            Outcome::Cancelled | Outcome::Moot => return,
        };
        let table_full =
            outcome == Outcome::ConnectFailed && self.many_nodes() && result.elapsed < UNREACHABLE_AFTER;
        let rejected = outcome == Outcome::Full || table_full;
        let Some(backend) = self.backends.get_mut(&id) else { return };
        // Backs off, or a backend that rejects quickly would look idle and attract all traffic. With many
        // nodes a refused connection may mean a full connection table and not a dead process; a connection
        // attempt that gets no answer cannot mean that.
        if rejected {
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
        let mean_failure_rate =
            self.backends.values().map(|b| b.failure_rate.value).sum::<f64>() / listed.max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outlier = backend.consecutive_failures >= EJECTION_THRESHOLD
            && backend.failure_rate.value > 2.0 * mean_failure_rate.min(0.4);
        let failed_trial = matches!(backend.health, Health::HalfOpen { .. });
        let below_max_ejected = ejected + 1.0 <= listed * MAX_EJECTED_SHARE;
        if failed_trial || (outlier && below_max_ejected && backend.health == Health::Healthy) {
            let duration = BASE_EJECTION << backend.ejections.min(5);
            backend.ejections += 1;
            backend.consecutive_failures = 0;
            backend.health = Health::Ejected { until: self.now + duration };
            self.log(actions, LogEvent::Ejected { backend: id, duration, cause: outcome });
        }
    }
}
