//! Retries: their budget, and how long an answer is waited for that another backend may give.

use crate::api::*;
use crate::state::*;

/// An attempt that could be repeated is given up after this many times its expected delay, from half the aim.
const TIMEOUT_DELAY_MULTIPLE: f64 = 4.0;
/// Retries that each arrival earns, and the most that can be saved up.
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;

impl Balancer {
    /// Most retries that a node may save up: many nodes together must not save a storm.
    pub(crate) fn max_retry_tokens(&self) -> f64 {
        (MAX_RETRY_TOKENS / self.nodes_per_zone()).max(1.0)
    }

    /// How long to wait for an answer that another server may give as well: a server that hangs answers none.
    /// So long that slowness is no sign of it, and so short that there is time for the other.
    pub(crate) fn attempt_timeout(
        &self,
        class: usize,
        to: BackendId,
        target_deadline: Nanos,
    ) -> Option<Nanos> {
        let (backend, settings) = (self.backends.get(&to)?, &self.settings.classes[class]);
        let delay = self.expected_delay(backend, class);
        let wait = ((TIMEOUT_DELAY_MULTIPLE * delay) as Nanos).max(settings.latency_target / 2);
        // Given up past its window nobody could repeat it, and its answer would be lost for nothing.
        let late = |window| wait + delay as Nanos + self.settings.quantum >= window;
        if matches!(settings.idempotency, Idempotency::Keyed { window, .. } if late(window)) {
            return None;
        }
        let may = settings.idempotency != Idempotency::NonIdempotent
            && self.classes[class].samples > 50.0
            && self.retry_tokens >= 1.0;
        (may && self.now + wait < target_deadline).then_some(wait)
    }

    /// After an attempt that did not serve: again, where the gate and the retry budget let it.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().any(Attempt::is_in_flight) {
            return;
        }
        // What was turned away at once has cost little: its first retry is free.
        let unseen = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        let again =
            (self.retry_tokens >= 1.0 || (unseen && self.many_nodes())) && self.now < request.target_deadline;
        match again.then(|| self.choose_backend(id)).flatten() {
            Some(to) if self.send(id, to, actions) => self.retry_tokens = (self.retry_tokens - 1.0).max(0.0),
            _ => self.finish(id, actions),
        }
    }
}
