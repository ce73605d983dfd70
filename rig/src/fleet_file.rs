//! Fleet files of the nodes: the addresses of the registry and the zone overrides in effect during a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use brookfield::Nanos;
use flaxdale_fleet::file::{Fleet, Registry, Zone};

use crate::shared::Shared;

/// The fleet file of one node.
pub struct FleetFile {
    file: PathBuf,
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl FleetFile {
    /// Writes the fleet file of a node as of the start of the run. `addresses` are those of the registry; empty without
    /// one.
    pub fn create(
        shared: Arc<Shared>,
        node: usize,
        addresses: Vec<SocketAddr>,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let file = folder.join(format!("{}-fleet.toml", shared.world.nodes[node].name));
        let fleet_file = Self { file, addresses, shared };
        fleet_file.update(0)?;
        Ok(fleet_file)
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.file
    }

    /// Rewrites the file with the zone overrides in effect at `now`.
    pub fn update(&self, now: Nanos) -> std::io::Result<()> {
        let zones = &self.shared.world.zones;
        let zone_entry = |zone_override: &brookfield::ZoneOverride| {
            (
                zones[zone_override.zone.0 as usize].clone(),
                Zone { share: zone_override.traffic_share, ..Zone::default() },
            )
        };
        let zones: BTreeMap<String, Zone> =
            self.shared.timeline().zone_overrides(now).iter().map(zone_entry).collect();
        let registry = (!self.addresses.is_empty()).then(|| Registry { addresses: self.addresses.clone() });
        let text = toml::to_string(&Fleet { registry, zones }).map_err(std::io::Error::other)?;
        // Written to a temporary file and renamed, so that a node never reads a partial file.
        let new_file = self.file.with_extension("new");
        std::fs::write(&new_file, text)?;
        std::fs::rename(&new_file, &self.file)
    }
}
