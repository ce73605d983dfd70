//! `flaxdale zone`: an operator's orders on zones, in a fleet file. Nodes read it again at SIGHUP.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use flaxdale_fleet::file::Fleet;
use toml_edit::{DocumentMut, Item, Table, value};

use crate::Exit;
use crate::print::conclude;

/// Order what part of the requests a zone may be given, in a fleet file that nodes read again at SIGHUP.
#[derive(Subcommand)]
pub enum Zone {
    /// Let all requests leave a zone, within about 4 s of the nodes' reading it
    Drain(Which),
    /// Let a zone have its requests again, over about 20 s
    Return(Which),
    /// Give a zone a part of the requests that would go there
    Share {
        #[command(flatten)]
        which: Which,
        /// The part, 0 to 1
        share: f64,
    },
    /// Name the region that a zone lies in
    Region {
        #[command(flatten)]
        which: Which,
        /// The region; zones of one name are near to each other
        region: String,
    },
    /// Print what is ordered
    Show {
        /// The fleet file
        file: PathBuf,
    },
}

/// A zone, in a fleet file.
#[derive(Args)]
pub struct Which {
    /// The fleet file
    file: PathBuf,
    /// The zone's name, as in the nodes' settings
    zone: String,
}

impl Zone {
    /// Does it.
    pub fn run(self) -> Exit {
        let done = match self {
            Self::Drain(which) => change(&which, "share", value(0.0)),
            Self::Return(which) => change(&which, "share", value(1.0)),
            Self::Share { which, share } => change(&which, "share", value(share)),
            Self::Region { which, region } => change(&which, "region", value(region)),
            Self::Show { file } => {
                Fleet::read(&file).map_err(|error| error.to_string()).map(|fleet| told(&fleet))
            }
        };
        conclude(done)
    }
}

fn told(fleet: &Fleet) -> String {
    if fleet.zones.is_empty() {
        return "nothing is ordered: every zone is open, and all lie in one region".to_owned();
    }
    let line = |(name, zone): (&String, &flaxdale_fleet::file::Zone)| {
        let region = if zone.region.is_empty() { "(none named)" } else { &zone.region };
        format!("{name:<20} share {:>5.1}%  region {region}", 100.0 * zone.share)
    };
    fleet.zones.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Changes one key and leaves the rest of the file, comments too, as it is. A file that would make no sense is not
/// written.
fn change(which: &Which, key: &str, to: Item) -> Result<String, String> {
    let problem = |text: String| format!("{}: {text}", which.file.display());
    Fleet::read(&which.file).map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(&which.file).map_err(|error| problem(error.to_string()))?;
    let mut document: DocumentMut =
        text.parse().map_err(|error: toml_edit::TomlError| problem(error.to_string()))?;
    let zones = document.entry("zones").or_insert_with(|| {
        let mut table = Table::new();
        table.set_implicit(true);
        Item::Table(table)
    });
    let zones = zones.as_table_like_mut().ok_or_else(|| problem("zones: no table".to_owned()))?;
    let zone = zones.entry(&which.zone).or_insert_with(|| Item::Table(Table::new()));
    let zone = zone.as_table_like_mut().ok_or_else(|| problem(format!("zones.{}: no table", which.zone)))?;
    zone.insert(key, to);
    let folder =
        which.file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let write = || {
        let mut fresh = tempfile::NamedTempFile::new_in(folder)?;
        fresh.write_all(document.to_string().as_bytes())?;
        fresh.as_file().sync_all()?;
        Ok::<_, std::io::Error>(fresh)
    };
    let fresh = write().map_err(|error| problem(error.to_string()))?;
    let fleet = Fleet::read(fresh.path()).map_err(|error| problem(error.text))?;
    fresh.persist(&which.file).map_err(|error| problem(error.error.to_string()))?;
    Ok(format!("{}\nnodes take it at SIGHUP", told(&fleet)))
}
