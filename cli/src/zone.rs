//! `flaxdale zone`: edits the zone overrides in a fleet file, which nodes reload on SIGHUP.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use flaxdale_fleet::file::Fleet;
use toml_edit::{DocumentMut, Item, Table, value};

use crate::Exit;
use crate::print::finish;

/// Set the traffic shares and regions of zones in a fleet file.
///
/// Nodes reload the file on SIGHUP.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Move all traffic out of a zone
    ///
    /// Takes about 4 s after the nodes have reloaded the file.
    Drain(ZoneArgs),
    /// Return all traffic to a zone
    ///
    /// Takes about 20 s after the nodes have reloaded the file.
    Return(ZoneArgs),
    /// Set the share of its usual traffic that a zone receives
    Share {
        #[command(flatten)]
        which: ZoneArgs,
        /// Traffic share, from 0 to 1
        share: f64,
    },
    /// Assign a zone to a region
    Region {
        #[command(flatten)]
        which: ZoneArgs,
        /// Name of the region; traffic of a zone prefers other zones of the same region
        region: String,
    },
    /// Print the traffic shares and regions of zones
    Show {
        /// Fleet file
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct ZoneArgs {
    /// Fleet file; nodes reload it on SIGHUP
    file: PathBuf,
    /// Name of the zone, as in the settings of the nodes
    zone: String,
}

impl ZoneCommand {
    pub fn run(self) -> Exit {
        let result = match self {
            Self::Drain(which) => set_zone_key(&which, "share", value(0.0)),
            Self::Return(which) => set_zone_key(&which, "share", value(1.0)),
            Self::Share { which, share } => set_zone_key(&which, "share", value(share)),
            Self::Region { which, region } => set_zone_key(&which, "region", value(region)),
            Self::Show { file } => {
                Fleet::read(&file).map_err(|error| error.to_string()).map(|fleet| format_zones(&fleet))
            }
        };
        finish(result)
    }
}

fn format_zones(fleet: &Fleet) -> String {
    if fleet.zones.is_empty() {
        return "no zone overrides: all zones are open and in the same region".to_owned();
    }
    let line = |(name, zone): (&String, &flaxdale_fleet::file::Zone)| {
        let region = if zone.region.is_empty() { "(none)" } else { &zone.region };
        format!("{name:<20} share {:>5.1}%  region {region}", 100.0 * zone.share)
    };
    fleet.zones.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Sets one key of a zone and keeps the rest of the file, including comments. A file that would be invalid is not
/// written.
fn set_zone_key(which: &ZoneArgs, key: &str, value: Item) -> Result<String, String> {
    let file_error = |text: String| format!("{}: {text}", which.file.display());
    Fleet::read(&which.file).map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(&which.file).map_err(|error| file_error(error.to_string()))?;
    let mut document: DocumentMut =
        text.parse().map_err(|error: toml_edit::TomlError| file_error(error.to_string()))?;
    let zones = document.entry("zones").or_insert_with(|| {
        let mut table = Table::new();
        table.set_implicit(true);
        Item::Table(table)
    });
    let zones = zones.as_table_like_mut().ok_or_else(|| file_error("zones: must be a table".to_owned()))?;
    let zone = zones.entry(&which.zone).or_insert_with(|| Item::Table(Table::new()));
    let zone = zone
        .as_table_like_mut()
        .ok_or_else(|| file_error(format!("zones.{}: must be a table", which.zone)))?;
    zone.insert(key, value);
    let directory =
        which.file.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let write = || {
        let mut temporary = tempfile::NamedTempFile::new_in(directory)?;
        temporary.write_all(document.to_string().as_bytes())?;
        temporary.as_file().sync_all()?;
        Ok::<_, std::io::Error>(temporary)
    };
    let temporary = write().map_err(|error| file_error(error.to_string()))?;
    let fleet = Fleet::read(temporary.path()).map_err(|error| file_error(error.text))?;
    temporary.persist(&which.file).map_err(|error| file_error(error.error.to_string()))?;
    Ok(format!("{}\nnodes apply the change on SIGHUP", format_zones(&fleet)))
}
