//! The nodes' fleet files: where the registry is, and what the operator orders of zones while a run goes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use brookfield::Nanos;
use flaxdale_fleet::file::{Fleet, Registry, Zone};

use crate::shared::Shared;

/// One node's fleet file.
pub struct FleetFile {
    file: PathBuf,
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl FleetFile {
    /// Writes a node's file as it is before the load; `addresses` are the registry's, if there is one.
    pub fn create(
        shared: Arc<Shared>,
        node: usize,
        addresses: Vec<SocketAddr>,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let file = folder.join(format!("{}-fleet.toml", shared.world.nodes[node].name));
        let own = Self { file, addresses, shared };
        own.update(0)?;
        Ok(own)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.file
    }

    /// Writes it with what is ordered at this time.
    pub fn update(&self, now: Nanos) -> std::io::Result<()> {
        let zones = &self.shared.world.zones;
        let named = |order: &brookfield::ZoneOverride| {
            (zones[order.zone.0 as usize].clone(), Zone { share: order.traffic_share, ..Zone::default() })
        };
        let zones: BTreeMap<String, Zone> =
            self.shared.timeline().zone_overrides(now).iter().map(named).collect();
        let registry = (!self.addresses.is_empty()).then(|| Registry { addresses: self.addresses.clone() });
        let text = toml::to_string(&Fleet { registry, zones }).map_err(std::io::Error::other)?;
        // Beside it first: a node that reads it meanwhile reads one of the two.
        let fresh = self.file.with_extension("new");
        std::fs::write(&fresh, text)?;
        std::fs::rename(&fresh, &self.file)
    }
}
