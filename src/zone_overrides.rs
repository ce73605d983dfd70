//! Operator overrides of zones: the region of each zone, and the share of its traffic that it may be given.
//! Without overrides every zone gets its full traffic and all are in one region.
//!
//! Shares change gradually, so that load reports of the zones that take over, and the warm-up of backends in
//! a zone that returns, can keep up. `zone_choice.rs` selects among the zones.

use crate::api::*;
use crate::state::*;

/// Largest decrease and increase of a zone's traffic share per second. A drain takes 4 s, in which reports
/// (some 100 ms old) and scores (every 100 ms) of the other zones follow; a return takes 20 s, in which cold
/// backends warm up.
const DRAIN_RATE: f64 = 0.25;
const RETURN_RATE: f64 = 0.05;
/// Relative spread of the rates of different nodes, so that they do not move in step.
const RATE_JITTER: f64 = 0.25;

impl Balancer {
    /// Replaces the overrides. A zone without one gets its full traffic.
    pub(crate) fn apply_zone_overrides(&mut self, overrides: &[ZoneOverride]) {
        let before = std::mem::take(&mut self.traffic_shares);
        if overrides.is_empty() && before.is_empty() {
            return;
        }
        let just_started = self.classes.iter().all(|class| class.arrivals.at == 0);
        for zone in 0..self.settings.zone_count {
            let found = overrides.iter().rev().find(|zone_override| zone_override.zone == ZoneId(zone));
            let (region, target) =
                found.map_or((0, 1.0), |zone_override| (zone_override.region, zone_override.traffic_share));
            let target = if target.is_finite() { target.clamp(0.0, 1.0) } else { 1.0 };
            // A node that has just started adopts the target at once: the other nodes have moved already.
            let current = before
                .get(zone as usize)
                .map_or(if just_started { target } else { 1.0 }, |share| share.current);
            let rate_factor = 1.0 + RATE_JITTER * (2.0 * self.random_unit() - 1.0);
            self.traffic_shares.push(TrafficShare {
                region,
                target,
                current: current.clamp(0.0, 1.0),
                rate_factor,
            });
        }
        self.traffic_shares_moved_at = self.now;
    }

    /// Moves each zone's share towards its target. Returns an event if one has reached it.
    pub(crate) fn advance_traffic_shares(&mut self) -> Option<LogEvent> {
        let elapsed = self.now.saturating_sub(std::mem::replace(&mut self.traffic_shares_moved_at, self.now));
        let seconds = elapsed as f64 / SECOND as f64;
        let mut reached = None;
        for (zone, share) in (0..).zip(&mut self.traffic_shares) {
            if share.current == share.target {
                continue;
            }
            share.current = if share.target < share.current {
                (share.current - DRAIN_RATE * share.rate_factor * seconds).max(share.target)
            } else {
                (share.current + RETURN_RATE * share.rate_factor * seconds).min(share.target)
            };
            if share.current == share.target {
                reached = Some(LogEvent::ShareReached {
                    zone: ZoneId(zone),
                    percent: (100.0 * share.current) as u32,
                });
            }
        }
        reached
    }

    /// Whether no traffic may go to a zone.
    pub(crate) fn is_zone_closed(&self, zone: ZoneId) -> bool {
        self.traffic_shares.get(zone.0 as usize).is_some_and(|share| share.current <= 0.0)
    }

    /// Whether a zone is in the region of the home zone.
    pub(crate) fn is_in_home_region(&self, zone: ZoneId) -> bool {
        let region = |zone: ZoneId| self.traffic_shares.get(zone.0 as usize).map_or(0, |share| share.region);
        region(zone) == region(self.settings.home_zone)
    }

    /// Whether one request may go to a zone: drawn at random, with the zone's share as the probability.
    pub(crate) fn draw_zone_share(&mut self, zone: ZoneId) -> bool {
        match self.traffic_shares.get(zone.0 as usize).map(|share| share.current) {
            None => true,
            Some(current) if current >= 1.0 => true,
            Some(current) => current > 0.0 && self.random_unit() < current,
        }
    }
}
