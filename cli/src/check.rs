//! `flaxdale config check`: validates a file without starting anything.

use std::path::Path;

use flaxdale_fleet::file::Fleet;
use flaxdale_registry::settings::Settings;
use flaxdale_rig::experiment::{Experiment, Mode};
use serde_json::Value;

use crate::Exit;
use crate::print::finish;

/// Validates a file; its extension and its keys tell its kind.
pub fn run(file: &Path) -> Exit {
    let result = match file.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => match detect_kind(file) {
            Kind::Experiment => check_experiment(file),
            Kind::Fleet => check_fleet(file),
            Kind::Replica => check_replica_settings(file),
        },
        Some("json") => check_node_configuration(file),
        _ => Err(format!(
            "{}: unknown file type; expected .toml (an experiment, a fleet file, or the settings of a replica) or .json (the configuration of a node)",
            file.display()
        )),
    };
    finish(result)
}

/// The kind of a TOML file.
enum Kind {
    Experiment,
    Fleet,
    Replica,
}

/// Detects the kind of a TOML file by its keys. An unreadable file counts as an experiment, whose parser reports the
/// error.
fn detect_kind(file: &Path) -> Kind {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let Ok(table) = text.parse::<toml::Table>() else { return Kind::Experiment };
    let has_addresses = |registry: &toml::Value| registry.get("addresses").is_some();
    // The only top-level key of an experiment that is not a table is its question.
    let has_plain_key =
        table.iter().any(|(key, value)| key != "question" && !value.is_table() && !value.is_array());
    if table.get("registry").is_some_and(has_addresses) {
        Kind::Fleet
    } else if has_plain_key || table.contains_key("replicas") {
        Kind::Replica
    } else {
        Kind::Experiment
    }
}

fn check_fleet(file: &Path) -> Result<String, String> {
    let fleet = Fleet::read(file).map_err(|error| error.to_string())?;
    let replicas = fleet.registry.map_or(0, |registry| registry.addresses.len());
    Ok(format!("{}: valid fleet file: a registry of {replicas} replicas", file.display()))
}

fn check_replica_settings(file: &Path) -> Result<String, String> {
    let settings = Settings::read(file).map_err(|error| error.to_string())?;
    Ok(format!(
        "{}: valid settings of a replica of fleet {:?}: clients at {}, peers at {}, {} replicas",
        file.display(),
        settings.fleet,
        settings.listen,
        settings.peer_listen,
        settings.replicas.len().max(1)
    ))
}

fn check_experiment(file: &Path) -> Result<String, String> {
    let experiment = Experiment::read(file).map_err(|error| error.to_string())?;
    let on = if experiment.run.mode == Mode::Virtual { "in virtual time" } else { "on sockets" };
    Ok(format!(
        "{}: valid experiment of {} s {on}: {} nodes, {} app servers in {} zones, {} faults",
        file.display(),
        experiment.run.duration_s,
        experiment.fleet.nodes,
        experiment.fleet.servers,
        experiment.fleet.zones.len(),
        experiment.fault.len()
    ))
}

fn check_node_configuration(file: &Path) -> Result<String, String> {
    let file_error = |text: String| format!("{}: {text}", file.display());
    let text = std::fs::read(file).map_err(|error| file_error(error.to_string()))?;
    // The message of the parser contains line and column.
    let config: Value = serde_json::from_slice(&text).map_err(|error| file_error(error.to_string()))?;
    for key in ["name", "listen", "discovery", "seed"] {
        if !config[key].is_string() {
            return Err(file_error(format!("{key}: missing or not a string")));
        }
    }
    for key in ["listen", "discovery"] {
        let address = config[key].as_str().unwrap_or_default();
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(file_error(format!(
                "{key}: {address:?} is not a socket address such as 127.0.0.1:9000"
            )));
        }
    }
    let seed = config["seed"].as_str().unwrap_or_default();
    if u64::from_str_radix(seed, 16).is_err() {
        return Err(file_error(format!("seed: {seed:?} is not a 64-bit hexadecimal number")));
    }
    if config["limits"]["sockets"].as_u64().is_none_or(|sockets| sockets < 32) {
        return Err(file_error("limits.sockets: must be at least 32".to_owned()));
    }
    let parsed = brookfield_settings::parse(&config["settings"]).map_err(file_error)?;
    parsed.settings.validate().map_err(|error| file_error(error.to_string()))?;
    Ok(format!(
        "{}: valid configuration of a node: {} classes, {} zones, {} nodes",
        file.display(),
        parsed.settings.classes.len(),
        parsed.settings.zone_count,
        parsed.settings.node_count
    ))
}
