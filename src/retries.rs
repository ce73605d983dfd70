//! Retries: the retry budget, and the timeout after which another backend is tried.

use crate::api::*;
use crate::state::*;

/// A retryable attempt times out after this many times its expected delay, at least half the latency target.
const TIMEOUT_DELAY_MULTIPLE: f64 = 4.0;
/// Retry tokens that each arrival adds to the budget, and the maximum that a node can save.
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;

impl Balancer {
    /// Maximum number of retry tokens of this node; lowered with many nodes, whose budgets add up.
    pub(crate) fn max_retry_tokens(&self) -> f64 {
        (MAX_RETRY_TOKENS / self.nodes_per_zone()).max(1.0)
    }

    /// Timeout of an attempt that can be retried elsewhere, so that a backend that hangs does not use up all
    /// the time. Too long to be hit by slowness alone, and short enough to leave time for a retry.
    pub(crate) fn attempt_timeout(
        &self,
        class: usize,
        to: BackendId,
        target_deadline: Nanos,
    ) -> Option<Nanos> {
        let (backend, settings) = (self.backends.get(&to)?, &self.settings.classes[class]);
        let delay = self.expected_delay(backend, class);
        let timeout = ((TIMEOUT_DELAY_MULTIPLE * delay) as Nanos).max(settings.latency_target / 2);
        // Once the deduplication window is over, the attempt could not be retried, so it is not timed out.
        let too_late = |window| timeout + delay as Nanos + self.settings.quantum >= window;
        if matches!(settings.idempotency, Idempotency::Keyed { window, .. } if too_late(window)) {
            return None;
        }
        let retryable = settings.idempotency != Idempotency::NonIdempotent
            && self.classes[class].samples > 50.0
            && self.retry_tokens >= 1.0;
        (retryable && self.now + timeout < target_deadline).then_some(timeout)
    }

    /// Retries a request after a failed attempt where budget and contract permit it, or else ends it.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().any(Attempt::is_in_flight) {
            return;
        }
        // With many nodes, the first retry of a request that never ran needs no token: it cost little.
        let never_ran = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        let may_retry = (self.retry_tokens >= 1.0 || (never_ran && self.many_nodes()))
            && self.now < request.target_deadline;
        match may_retry.then(|| self.choose_backend(id)).flatten() {
            Some(to) if self.send(id, to, actions) => self.retry_tokens = (self.retry_tokens - 1.0).max(0.0),
            _ => self.finish(id, actions),
        }
    }
}
