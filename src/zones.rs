//! The operator's hand on zones, and how near they lie: which zones are candidates, and what part of the
//! requests that the design would send to a zone it may be given. Which of the candidates it is,
//! `zone_choice.rs` decides as ever. Without orders every zone is open and all lie in one region.
//!
//! A share that was ordered is not reached at once: the zones that take over, and the servers of one that
//! comes back, need time to be seen to bear it.

use crate::api::*;
use crate::state::*;

/// Part of a zone's requests that leave it in a second, and that return: leaving takes 4 s, in which the
/// others' figures (reports some 100 ms old, scores each 100 ms) follow; a return 20 s, in which cold servers
/// warm up.
const DRAIN_RATE: f64 = 0.25;
const RETURN_RATE: f64 = 0.05;
/// Nodes differ by this part in their pace, so that they do not move in step.
const RATE_JITTER: f64 = 0.25;

impl Balancer {
    /// Takes the operator's orders in, in place of the last ones. A zone that none of them names is open.
    pub(crate) fn apply_zone_overrides(&mut self, orders: &[ZoneOverride]) {
        let before = std::mem::take(&mut self.traffic_shares);
        if orders.is_empty() && before.is_empty() {
            return;
        }
        let fresh = self.classes.iter().all(|class| class.arrivals.at == 0);
        for zone in 0..self.settings.zone_count {
            let named = orders.iter().rev().find(|order| order.zone == ZoneId(zone));
            let (region, target) = named.map_or((0, 1.0), |order| (order.region, order.traffic_share));
            // A node that has just started moves nothing: what others moved before stands.
            let current =
                before.get(zone as usize).map_or(if fresh { target } else { 1.0 }, |share| share.current);
            let rate_factor = 1.0 + RATE_JITTER * (2.0 * self.random_unit() - 1.0);
            let target = if target.is_finite() { target.clamp(0.0, 1.0) } else { 1.0 };
            self.traffic_shares.push(TrafficShare {
                region,
                target,
                current: current.clamp(0.0, 1.0),
                rate_factor,
            });
        }
        self.traffic_shares_moved_at = self.now;
    }

    /// Moves each zone's share towards what was ordered. One that has got there is told.
    pub(crate) fn advance_traffic_shares(&mut self) -> Option<LogEvent> {
        let span = self.now.saturating_sub(std::mem::replace(&mut self.traffic_shares_moved_at, self.now));
        let step = span as f64 / SECOND as f64;
        let mut there = None;
        for (zone, share) in (0..).zip(&mut self.traffic_shares) {
            if share.current == share.target {
                continue;
            }
            share.current = if share.target < share.current {
                (share.current - DRAIN_RATE * share.rate_factor * step).max(share.target)
            } else {
                (share.current + RETURN_RATE * share.rate_factor * step).min(share.target)
            };
            if share.current == share.target {
                there = Some(LogEvent::ShareReached {
                    zone: ZoneId(zone),
                    percent: (100.0 * share.current) as u32,
                });
            }
        }
        there
    }

    /// Whether nothing may go to a zone.
    pub(crate) fn is_zone_closed(&self, zone: ZoneId) -> bool {
        self.traffic_shares.get(zone.0 as usize).is_some_and(|share| share.current <= 0.0)
    }

    /// Whether a zone lies in the node's own region.
    pub(crate) fn is_in_home_region(&self, zone: ZoneId) -> bool {
        let region = |zone: ZoneId| self.traffic_shares.get(zone.0 as usize).map_or(0, |share| share.region);
        region(zone) == region(self.settings.home_zone)
    }

    /// Whether one request may go to a zone: by chance, so that the zone's share of them does.
    pub(crate) fn draw_zone_share(&mut self, zone: ZoneId) -> bool {
        match self.traffic_shares.get(zone.0 as usize).map(|share| share.current) {
            None => true,
            Some(current) if current >= 1.0 => true,
            Some(current) => current > 0.0 && self.random_unit() < current,
        }
    }
}
