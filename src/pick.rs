//! Which backend of a zone a request goes to.

use crate::api::*;
use crate::backend_view::SLOWNESS_DECAY;
use crate::state::*;

/// Spread of the pick's jitter, so that nodes with the same view do not herd.
const DELAY_JITTER: f64 = 0.1;

impl Balancer {
    /// Among the permitted backends that would answer in time: with few nodes the one with the least expected
    /// delay; with many one by chance, weighted by size and by what all nodes have been told.
    pub(crate) fn pick_in_zone(&self, id: RequestId, zone: ZoneId) -> Option<BackendId> {
        // Many nodes on every backend would fill its table of connections and pay for opening them: each
        // keeps to a few by its own lots. One that is busy is still its own: the others are as busy.
        let subset =
            self.zones.get(zone.0 as usize).filter(|_| self.has_concurrency(zone, 1.0))?.subset_max_hash;
        self.pick_among(id, zone, if self.many_nodes() { subset } else { u64::MAX })
    }

    pub(crate) fn pick_among(&self, id: RequestId, zone: ZoneId, subset: u64) -> Option<BackendId> {
        let (mut best, mut total) = (None, 0.0);
        let request = self.requests.get(&id)?;
        let mut jitter = self.rng_state ^ id.0.wrapping_mul(0xd6e8_feb8_6659_fd93);
        // A zone of hundreds is gone through only where its subset has nobody.
        let within = if subset == u64::MAX { &self.zone_backends } else { &self.zone_subsets };
        for &to in within.get(zone.0 as usize)? {
            let Some(backend) = self.backends.get(&to) else { continue };
            if !self.is_available(backend)
                || !self.meets_latency_target(request, backend)
                || !self.permits(request, backend)
            {
                continue;
            }
            jitter = jitter.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            let chance = (jitter >> 40) as f64 / (1u64 << 24) as f64;
            let tried = request.attempts.iter().any(|attempt| attempt.backend == to);
            // Failing fast must not look idle: failures weigh like delay; faded, or no trial would be made.
            let failing = 1.0
                + 8.0 * backend.failure_rate.decayed(self.now, SLOWNESS_DECAY)
                + if tried { 4.0 } else { 0.0 };
            if self.many_nodes() {
                // Where the list tells the load, a few answers of one's own would only add noise.
                let drag = match backend.requests_per_core {
                    Some(_) => 1.0 / backend.ramp(self.now, &self.settings.rules),
                    None => backend.slowness(self.now, &self.settings.rules).max(0.5),
                };
                let share =
                    backend.capacity() * backend.weight_bias * backend.weight_correction / (failing * drag);
                total += share;
                if chance * total < share {
                    best = Some((0.0, to));
                }
                continue;
            }
            let slowness = backend.slowness(self.now, &self.settings.rules);
            let delay =
                slowness * backend.load(self.nodes_per_zone()) * failing * (1.0 + DELAY_JITTER * chance);
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, to));
            }
        }
        best.map(|(_, to)| to)
    }
}
