//! Subsetting: whether many nodes share the backends, and which part of them one node uses.

use crate::api::*;
use crate::state::*;

/// With more nodes per zone than this, a node's own requests in flight say little about a backend's load:
/// picks are then random, weighted by the load that the list or load reports give.
pub(crate) const MANY_NODES_PER_ZONE: f64 = 8.0;
/// Number of backends in a zone that one of many nodes uses.
pub(crate) const SUBSET_SIZE: usize = 4;

impl Balancer {
    /// Whether more than [`MANY_NODES_PER_ZONE`] nodes share a zone's backends.
    pub(crate) fn many_nodes(&self) -> bool {
        self.nodes_per_zone() > MANY_NODES_PER_ZONE
    }

    /// Share of a zone's backends that is in a node's subset.
    pub(crate) fn subset_share(&self, zone: ZoneId) -> f64 {
        let count = self.zones.get(zone.0 as usize).map_or(0.0, |zone| zone.backend_count);
        if self.many_nodes() { (SUBSET_SIZE as f64 / count.max(1.0)).min(1.0) } else { 1.0 }
    }
}
