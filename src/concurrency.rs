//! Adaptive concurrency limit of each zone: how many attempts this node may have in flight there. Adapted to
//! response times; in force with many nodes only.

use crate::api::*;
use crate::state::*;

/// Mean response time to hold, as a share of the latency target. Response times spread evenly about the mean,
/// so at this share few miss the target.
const TARGET_LATENCY_SHARE: f64 = 0.35;
/// Change of the limit for each result, times its distance from [`TARGET_LATENCY_SHARE`].
const LIMIT_STEP: f64 = 0.5;
/// Initial limit of a zone of mean capacity.
pub(crate) const INITIAL_LIMIT: f64 = 3.0;
pub(crate) const MIN_LIMIT: f64 = 0.15;
/// Time between attempts at a limit of 1; a lower limit stretches it in proportion.
pub(crate) const PACING_INTERVAL_NS: f64 = 0.3 * SECOND as f64;
/// Share of the limit that is open to requests of low value.
pub(crate) const LOW_PRIORITY_LIMIT_SHARE: f64 = 0.5;
/// Largest random reduction of a limit where zones are compared, so that nodes do not herd.
pub(crate) const LIMIT_JITTER: f64 = 0.3;

impl Zone {
    /// Maximum number of attempts that this node may have in flight there.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.unwrap_or(self.initial_limit).max(MIN_LIMIT)
    }
}

impl Balancer {
    /// Adapts a zone's limit to the response time of an attempt, or to its failure. Limits attempts in flight
    /// and not a share of the arrivals, as retries of rejected requests increase the arrivals but not the
    /// capacity. `short` marks an attempt that had little time left when it was sent.
    pub(crate) fn adjust_concurrency_limit(
        &mut self,
        zone: ZoneId,
        result: &AttemptResult,
        class: usize,
        short: bool,
    ) {
        let latency_share = match result.outcome {
            Outcome::Served => result.elapsed as f64 / self.settings.classes[class].latency_target as f64,
            // The timeout of a late retry says nothing about the servers.
            Outcome::TimedOut if !short => 1.5,
            Outcome::Full => 1.5,
            _ => return,
        };
        let Some(state) = self.zones.get_mut(zone.0 as usize) else { return };
        let (limit, step) =
            (state.concurrency_limit(), LIMIT_STEP * (TARGET_LATENCY_SHARE - latency_share.min(1.5)));
        // A limit that is hardly used is not raised further. Arrivals come in bursts, so it may be several
        // times the number in flight.
        let step = if 4.0 * (state.in_flight + 1.0) < limit { step.min(0.0) } else { step };
        // Below 1 there are few results to go by, so each good one doubles the limit.
        let step = if step > 0.0 && limit < 1.0 { limit } else { step };
        state.concurrency_limit = Some((limit + step).max(MIN_LIMIT));
    }

    /// Whether this share of a zone's limit allows another attempt.
    pub(crate) fn has_concurrency(&self, zone: ZoneId, share: f64) -> bool {
        let Some(state) = self.zones.get(zone.0 as usize).filter(|_| self.many_nodes()) else { return true };
        let limit = share * state.concurrency_limit();
        let paced = self.now.saturating_sub(state.last_sent_at) as f64 * limit >= PACING_INTERVAL_NS;
        state.in_flight < limit.max(1.0) && (limit >= 1.0 || paced)
    }
}
