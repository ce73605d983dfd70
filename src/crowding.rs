//! How many nodes share the backends: where they are many, own figures say little of these.

use crate::api::*;
use crate::state::*;

/// With more nodes a zone than this, own requests in flight say nothing of a backend's load: the pick then
/// goes by what the list or the reports tell all nodes, and by chance.
pub(crate) const MANY_NODES_PER_ZONE: f64 = 8.0;
/// Backends of a zone that one of many nodes uses as long as one of them can take the request.
pub(crate) const SUBSET_SIZE: usize = 4;

impl Balancer {
    /// Whether so many nodes share the backends that own figures say little of these.
    pub(crate) fn many_nodes(&self) -> bool {
        self.nodes_per_zone() > MANY_NODES_PER_ZONE
    }

    /// The part of a zone's backends that a node keeps to.
    pub(crate) fn subset_share(&self, zone: ZoneId) -> f64 {
        let listed = self.zones.get(zone.0 as usize).map_or(0.0, |zone| zone.backend_count);
        if self.many_nodes() { (SUBSET_SIZE as f64 / listed.max(1.0)).min(1.0) } else { 1.0 }
    }
}
