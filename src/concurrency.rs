//! The concurrency limit on a zone: how many own attempts may be out there, moved by what answers took.

use crate::api::*;
use crate::state::*;

/// Part of the aim that answers should take on the mean: spread evenly about it, as delays are, few pass the
/// aim. And what an answer's difference from it, as a part of the aim, moves the zone's window by.
const TARGET_LATENCY_SHARE: f64 = 0.35;
const LIMIT_STEP: f64 = 0.5;
/// A window at the start where zones are alike, the least, and the time that paces one below 1.
pub(crate) const INITIAL_LIMIT: f64 = 3.0;
pub(crate) const MIN_LIMIT: f64 = 0.15;
pub(crate) const PACING_INTERVAL_NS: f64 = 0.3 * SECOND as f64;
/// Part of a window open to what is worth little, and how far chance lowers one where zones are compared.
pub(crate) const LOW_PRIORITY_LIMIT_SHARE: f64 = 0.5;
pub(crate) const LIMIT_JITTER: f64 = 0.3;

impl Zone {
    /// Most own attempts out there.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.unwrap_or(self.initial_limit).max(MIN_LIMIT)
    }
}

impl Balancer {
    /// Moves a zone's window by what an attempt there took, or by its having got nothing. Bounds the attempts
    /// out, not the share of the arrivals: these grow as the refused come again, and the servers do not.
    pub(crate) fn adjust_concurrency_limit(
        &mut self,
        zone: ZoneId,
        result: &AttemptResult,
        class: usize,
        short: bool,
    ) {
        let part = match result.outcome {
            Outcome::Served => result.elapsed as f64 / self.settings.classes[class].latency_target as f64,
            // It goes by what the server took: a client's further try may have little time left.
            Outcome::TimedOut if !short => 1.5,
            Outcome::Full => 1.5,
            _ => return,
        };
        let Some(view) = self.zones.get_mut(zone.0 as usize) else { return };
        let (window, step) = (view.concurrency_limit(), LIMIT_STEP * (TARGET_LATENCY_SHARE - part.min(1.5)));
        // One that is hardly used says nothing of what would come of using it. Yet a node's few requests come
        // by chance, some at once and then none: that takes several times as much as is out on the mean.
        let step = if 4.0 * (view.in_flight + 1.0) < window { step.min(0.0) } else { step };
        // So few sends prove little each: the next window is the double, up to one at a time.
        let step = if step > 0.0 && window < 1.0 { window } else { step };
        view.concurrency_limit = Some((window + step).max(MIN_LIMIT));
    }

    /// Whether a zone's window, or this part of it, has room.
    pub(crate) fn has_concurrency(&self, zone: ZoneId, part: f64) -> bool {
        let Some(view) = self.zones.get(zone.0 as usize).filter(|_| self.many_nodes()) else { return true };
        let window = part * view.concurrency_limit();
        let rested = self.now.saturating_sub(view.last_sent_at) as f64 * window >= PACING_INTERVAL_NS;
        view.in_flight < window.max(1.0) && (window >= 1.0 || rested)
    }
}
