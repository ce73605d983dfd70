//! Discovery: what a list of backends changes, and when it is asked for again.

use std::collections::BTreeSet;

use crate::api::*;
use crate::backend_view::UTILISATION_TIME_CONSTANT;
use crate::concurrency::INITIAL_LIMIT;
use crate::crowding::SUBSET_SIZE;
use crate::state::*;

/// Least and most that one late figure moves a backend's share of the picks.
const CORRECTION_BOUNDS: (f64, f64) = (0.1, 2.0);
/// How far one list moves a backend's lasting share, and the bounds of that share.
const BIAS_STEP: f64 = 0.15;
const BIAS_BOUNDS: (f64, f64) = (0.1, 4.0);
/// First wait after a failed call to discovery; doubled up to 2^3, jittered: with the call's own time, what a
/// silent call missed comes within the 6 s after which it counts as told.
const WATCH_RETRY_BASE: Nanos = 300 * MS;

impl Balancer {
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
            let told = member.weight;
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
            backend.requests_per_core = (live && told > 0.0).then(|| (member.weight / told - 1.0).max(0.0));
        }
        // One that is told as gone and ready again in the same life has been sent what it was sent.
        let since = self.slow_start_window_start();
        let spent = |backend: &Backend| backend.slow_start_sends.back().is_some_and(|(at, _)| *at >= since);
        self.backends.retain(|_, b| b.member.stage != Stage::Gone || b.in_flight > 0 || spent(b));
        self.zone_backends.iter_mut().chain(&mut self.zone_subsets).for_each(Vec::clear);
        for (&id, backend) in &self.backends {
            self.zone_backends
                .get_mut(backend.member.zone.0 as usize)
                .into_iter()
                .for_each(|ids| ids.push(id));
        }
        for (zone, view) in self.zones.iter_mut().enumerate() {
            let all = || self.zone_backends[zone].iter().filter_map(|id| Some((*id, self.backends.get(id)?)));
            let listed = || all().map(|(_, b)| b).filter(|b| b.member.stage == Stage::InService);
            let mut hashes: Vec<u64> = listed().map(|b| b.rendezvous_hash).collect();
            hashes.sort_unstable();
            view.backend_count = hashes.len() as f64;
            view.capacity = listed().map(Backend::capacity).sum();
            view.subset_max_hash = hashes.get(SUBSET_SIZE - 1).copied().unwrap_or(u64::MAX);
            self.zone_subsets[zone]
                .extend(all().filter(|(_, b)| b.rendezvous_hash <= view.subset_max_hash).map(|(id, _)| id));
        }
        // Before anything has come back a zone is expected to be asked for as much as any other, whatever its
        // size, and by the nodes of all others together no more than by its own.
        let zones = f64::from(self.settings.zone_count);
        let mean = (self.zones.iter().map(|zone| zone.capacity).sum::<f64>() / zones).max(1e-9);
        for (zone, view) in self.zones.iter_mut().enumerate() {
            let users = if zone == self.settings.home_zone.0 as usize { 1.0 } else { zones };
            view.initial_limit = INITIAL_LIMIT * view.capacity / mean / users;
        }
        if live && scope != ListScope::Cached {
            self.apply_live_weights();
        }
    }

    /// What a list's live weights say, which reach all nodes alike and late. A backend's share of the picks
    /// moves by what evens out the figures over the arrivals of about the time until the next ones show
    /// (load interpretation), no more, or all nodes would herd; what lasts is learned in small steps.
    pub(crate) fn apply_live_weights(&mut self) {
        let period =
            self.list_received_at.map_or(1.0, |at| self.now.saturating_sub(at) as f64 / SECOND as f64);
        self.list_interval_s += (period.min(3.0) - self.list_interval_s) * 0.2;
        self.list_received_at = Some(self.now);
        let mut sums = vec![(0.0, 0.0, 0.0); self.zones.len()];
        for backend in self.backends.values().filter(|b| b.member.stage == Stage::InService) {
            if let (Some(sum), Some(held)) =
                (sums.get_mut(backend.member.zone.0 as usize), backend.requests_per_core)
            {
                *sum = (sum.0 + 1.0, sum.1 + held, sum.2 + backend.capacity());
            }
        }
        let arrivals = self.arrival_rate() * self.nodes_per_zone() * 2.0 * self.list_interval_s;
        self.zones
            .iter_mut()
            .zip(&sums)
            .for_each(|(zone, sum)| zone.mean_requests_per_core = sum.1 / f64::max(sum.0, 1.0));
        for backend in self.backends.values_mut() {
            let (Some(&(count, total, size)), Some(held)) =
                (sums.get(backend.member.zone.0 as usize), backend.requests_per_core)
            else {
                continue;
            };
            // A slow machine should hold less for the same delay.
            let mean = ((total + count) / f64::max(size, 1e-9) * backend.capacity() - 1.0).max(0.2);
            let coming = (arrivals * backend.capacity() / f64::max(size, 1e-9)).max(1.0);
            backend.weight_correction =
                (1.0 + (mean - held) / coming).clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
            let step = BIAS_STEP * (mean - held) / (mean + 1.0).max(held);
            backend.weight_bias = (backend.weight_bias * step.exp()).clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
            backend.utilisation.update(self.now, held / (1.0 + held), UTILISATION_TIME_CONSTANT, 0.05);
            self.utilisation_at = Some(self.now);
        }
        self.update_shares();
    }

    pub(crate) fn schedule_watch_retry(&mut self) {
        let wait =
            (WATCH_RETRY_BASE << self.discovery_failures.min(3)) as f64 * (0.75 + 0.5 * self.random_unit());
        self.discovery_failures += 1;
        self.watch_retry_at = Some(self.now + wait as Nanos);
    }
}
