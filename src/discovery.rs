//! Discovery: applies lists of backends, and schedules retries of the watch.

use std::collections::BTreeSet;

use crate::api::*;
use crate::backend_view::UTILISATION_TIME_CONSTANT;
use crate::concurrency::INITIAL_LIMIT;
use crate::state::*;
use crate::subsetting::SUBSET_SIZE;

/// Bounds of the weight correction that one list makes.
const CORRECTION_BOUNDS: (f64, f64) = (0.1, 2.0);
/// Largest relative step of a backend's long-term weight bias for each list, and the bounds of the bias.
const BIAS_STEP: f64 = 0.15;
const BIAS_BOUNDS: (f64, f64) = (0.1, 4.0);
/// First delay before a failed watch is retried; doubles up to eightfold, with jitter. Together with the time
/// of the call itself, what a silent call missed arrives within the 6 s after which the node counts as
/// notified of it.
const WATCH_RETRY_BASE: Nanos = 300 * MS;

impl Balancer {
    /// Applies a list of backends, then recomputes the node's subsets and the initial concurrency limits.
    pub(crate) fn update_backends(&mut self, scope: ListScope, members: Vec<Member>) {
        if scope != ListScope::Cached {
            self.discovery_failures = 0;
        }
        if scope != ListScope::Changes {
            let named: BTreeSet<BackendId> = members.iter().map(|member| member.backend).collect();
            for backend in self.backends.values_mut().filter(|b| !named.contains(&b.member.backend)) {
                backend.member.stage = Stage::Gone;
            }
        }
        let live = self.settings.weight_kind == WeightKind::Live;
        for member in members.iter().filter(|member| live && member.weight.is_finite()) {
            let known = self.kind_capacity.entry(member.kind).or_insert(0.0);
            *known = known.max(member.weight);
        }
        for mut member in members {
            let listed_weight = member.weight;
            if live {
                member.weight = self.kind_capacity.get(&member.kind).copied().unwrap_or(1.0);
            }
            let backend = self.backends.entry(member.backend).or_insert_with(|| Backend::new(member));
            if backend.member.online_since != member.online_since {
                let in_flight = backend.in_flight;
                *backend = Backend { in_flight, ..Backend::new(member) };
            }
            backend.member = member;
            backend.rendezvous_hash =
                mix64(self.seed ^ u64::from(member.backend.0).wrapping_mul(0xd6e8_feb8_6659_fd93));
            backend.requests_per_core =
                (live && listed_weight > 0.0).then(|| (member.weight / listed_weight - 1.0).max(0.0));
        }
        // Keeps a removed backend while its sends still count against its slow-start budget, as it may be
        // listed again without a restart.
        let window_start = self.slow_start_window_start();
        let sent_recently =
            |backend: &Backend| backend.slow_start_sends.back().is_some_and(|(at, _)| *at >= window_start);
        self.backends.retain(|_, b| b.member.stage != Stage::Gone || b.in_flight > 0 || sent_recently(b));
        self.zone_backends.iter_mut().chain(&mut self.zone_subsets).for_each(Vec::clear);
        for (&id, backend) in &self.backends {
            self.zone_backends
                .get_mut(backend.member.zone.0 as usize)
                .into_iter()
                .for_each(|ids| ids.push(id));
        }
        for (zone, state) in self.zones.iter_mut().enumerate() {
            let all = || self.zone_backends[zone].iter().filter_map(|id| Some((*id, self.backends.get(id)?)));
            let listed = || all().map(|(_, b)| b).filter(|b| b.member.stage == Stage::InService);
            let mut hashes: Vec<u64> = listed().map(|b| b.rendezvous_hash).collect();
            hashes.sort_unstable();
            state.backend_count = hashes.len() as f64;
            state.capacity = listed().map(Backend::capacity).sum();
            state.subset_max_hash = hashes.get(SUBSET_SIZE - 1).copied().unwrap_or(u64::MAX);
            self.zone_subsets[zone]
                .extend(all().filter(|(_, b)| b.rendezvous_hash <= state.subset_max_hash).map(|(id, _)| id));
        }
        // Assumes that all zones receive the same traffic whatever their capacity, and that the nodes of all
        // other zones together send a zone as much as its own nodes do.
        let zones = f64::from(self.settings.zone_count);
        let mean = (self.zones.iter().map(|zone| zone.capacity).sum::<f64>() / zones).max(1e-9);
        for (zone, state) in self.zones.iter_mut().enumerate() {
            let sharing_zones = if zone == self.settings.home_zone.0 as usize { 1.0 } else { zones };
            state.initial_limit = INITIAL_LIMIT * state.capacity / mean / sharing_zones;
        }
        if live && scope != ListScope::Cached {
            self.apply_live_weights();
        }
    }

    /// Applies a list's live weights, which are old and the same for all nodes. Corrects a backend's weight
    /// by as much as evens out the load over the arrivals expected until the next list (load interpretation);
    /// more would make the nodes herd. Lasting differences are learned in small steps.
    pub(crate) fn apply_live_weights(&mut self) {
        let interval_s =
            self.list_received_at.map_or(1.0, |at| self.now.saturating_sub(at) as f64 / SECOND as f64);
        self.list_interval_s += (interval_s.min(3.0) - self.list_interval_s) * 0.2;
        self.list_received_at = Some(self.now);
        let mut totals = vec![(0.0, 0.0, 0.0); self.zones.len()];
        for backend in self.backends.values().filter(|b| b.member.stage == Stage::InService) {
            if let (Some(total), Some(requests)) =
                (totals.get_mut(backend.member.zone.0 as usize), backend.requests_per_core)
            {
                *total = (total.0 + 1.0, total.1 + requests, total.2 + backend.capacity());
            }
        }
        let arrivals = self.arrival_rate() * self.nodes_per_zone() * 2.0 * self.list_interval_s;
        self.zones
            .iter_mut()
            .zip(&totals)
            .for_each(|(zone, total)| zone.mean_requests_per_core = total.1 / f64::max(total.0, 1.0));
        for backend in self.backends.values_mut() {
            let (Some(&(count, total, capacity)), Some(requests)) =
                (totals.get(backend.member.zone.0 as usize), backend.requests_per_core)
            else {
                continue;
            };
            // A backend of less capacity should hold fewer requests for the same delay.
            let mean = ((total + count) / f64::max(capacity, 1e-9) * backend.capacity() - 1.0).max(0.2);
            let expected_arrivals = (arrivals * backend.capacity() / f64::max(capacity, 1e-9)).max(1.0);
            backend.weight_correction =
                (1.0 + (mean - requests) / expected_arrivals).clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
            let step = BIAS_STEP * (mean - requests) / (mean + 1.0).max(requests);
            backend.weight_bias = (backend.weight_bias * step.exp()).clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
            backend.utilisation.update(
                self.now,
                requests / (1.0 + requests),
                UTILISATION_TIME_CONSTANT,
                0.05,
            );
            self.utilisation_at = Some(self.now);
        }
        self.update_shares();
    }

    /// Schedules the next watch with exponential backoff.
    pub(crate) fn schedule_watch_retry(&mut self) {
        let delay =
            (WATCH_RETRY_BASE << self.discovery_failures.min(3)) as f64 * (0.75 + 0.5 * self.random_unit());
        self.discovery_failures += 1;
        self.watch_retry_at = Some(self.now + delay as Nanos);
    }
}
