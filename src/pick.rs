//! Picks a backend within a zone.

use crate::api::*;
use crate::backend_view::SLOWNESS_DECAY;
use crate::state::*;

/// Largest random increase of an expected delay, so that nodes with the same view do not herd.
const DELAY_JITTER: f64 = 0.1;

impl Balancer {
    /// Picks among the permitted backends that should respond in time: with few nodes the one with the least
    /// expected delay; with many a random one, weighted by capacity and by the load that the list reports.
    pub(crate) fn pick_in_zone(&self, id: RequestId, zone: ZoneId) -> Option<BackendId> {
        // With many nodes, each uses a subset of the backends, as connections from all nodes would fill a
        // backend's connection table. A busy subset is not widened: the other backends are as busy.
        let subset_max_hash =
            self.zones.get(zone.0 as usize).filter(|_| self.has_concurrency(zone, 1.0))?.subset_max_hash;
        self.pick_among(id, zone, if self.many_nodes() { subset_max_hash } else { u64::MAX })
    }

    /// Picks among the backends of a zone whose rendezvous hash is at most `subset_max_hash`.
    pub(crate) fn pick_among(&self, id: RequestId, zone: ZoneId, subset_max_hash: u64) -> Option<BackendId> {
        let (mut best, mut total_weight) = (None, 0.0);
        let request = self.requests.get(&id)?;
        let mut rng = self.rng_state ^ id.0.wrapping_mul(0xd6e8_feb8_6659_fd93);
        // Scans the whole zone, maybe hundreds of backends, only without a subset.
        let candidates = if subset_max_hash == u64::MAX { &self.zone_backends } else { &self.zone_subsets };
        for &to in candidates.get(zone.0 as usize)? {
            let Some(backend) = self.backends.get(&to) else { continue };
            if !self.is_available(backend)
                || !self.meets_latency_target(request, backend)
                || !self.permits(request, backend)
            {
                continue;
            }
            rng = rng.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            let random = (rng >> 40) as f64 / (1u64 << 24) as f64;
            let tried = request.attempts.iter().any(|attempt| attempt.backend == to);
            // Failures count as delay, or a backend that fails fast would look idle. They decay, so that it
            // is tried again.
            let failure_penalty = 1.0
                + 8.0 * backend.failure_rate.decayed(self.now, SLOWNESS_DECAY)
                + if tried { 4.0 } else { 0.0 };
            if self.many_nodes() {
                // If the list reports the load, this node's few samples would only add noise.
                let relative_delay = match backend.requests_per_core {
                    Some(_) => 1.0 / backend.ramp(self.now, &self.settings.rules),
                    None => backend.slowness(self.now, &self.settings.rules).max(0.5),
                };
                let weight = backend.capacity() * backend.weight_bias * backend.weight_correction
                    / (failure_penalty * relative_delay);
                total_weight += weight;
                if random * total_weight < weight {
                    best = Some((0.0, to));
                }
                continue;
            }
            let slowness = backend.slowness(self.now, &self.settings.rules);
            let delay = slowness
                * backend.load(self.nodes_per_zone())
                * failure_penalty
                * (1.0 + DELAY_JITTER * random);
            if best.is_none_or(|(least_delay, _)| delay < least_delay) {
                best = Some((delay, to));
            }
        }
        best.map(|(_, to)| to)
    }
}
