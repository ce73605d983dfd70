//! `flaxdale config check`: whether a file makes sense, before anything is started with it.

use std::path::Path;

use flaxdale_fleet::file::Fleet;
use flaxdale_registry::settings::Settings;
use flaxdale_rig::experiment::{Experiment, Mode};
use serde_json::Value;

use crate::Exit;
use crate::print::conclude;

/// Checks a file by what its name says it is.
pub fn check(file: &Path) -> Exit {
    let told = match file.extension().and_then(|ending| ending.to_str()) {
        Some("toml") => match kind(file) {
            Kind::Experiment => experiment(file),
            Kind::Fleet => fleet(file),
            Kind::Replica => replica(file),
        },
        Some("json") => node(file),
        _ => Err(format!(
            "{}: neither an experiment, a fleet file or a replica's settings (.toml) nor a node's configuration (.json)",
            file.display()
        )),
    };
    conclude(told)
}

/// What a TOML file is meant to be.
enum Kind {
    Experiment,
    Fleet,
    Replica,
}

/// Told by its keys; one that can't be read is left to the reader of experiments to explain.
fn kind(file: &Path) -> Kind {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let Ok(table) = text.parse::<toml::Table>() else { return Kind::Experiment };
    let names_addresses = |registry: &toml::Value| registry.get("addresses").is_some();
    // No experiment has a key beside its tables but for its question.
    let plain = table.iter().any(|(key, value)| key != "question" && !value.is_table() && !value.is_array());
    if table.get("registry").is_some_and(names_addresses) {
        Kind::Fleet
    } else if plain || table.contains_key("replicas") {
        Kind::Replica
    } else {
        Kind::Experiment
    }
}

fn fleet(file: &Path) -> Result<String, String> {
    let fleet = Fleet::read(file).map_err(|error| error.to_string())?;
    let replicas = fleet.registry.map_or(0, |registry| registry.addresses.len());
    Ok(format!("{}: a fleet file: a registry of {replicas} replicas", file.display()))
}

fn replica(file: &Path) -> Result<String, String> {
    let settings = Settings::read(file).map_err(|error| error.to_string())?;
    Ok(format!(
        "{}: settings of a replica of {:?}: clients at {}, peers at {}, {} replicas",
        file.display(),
        settings.fleet,
        settings.listen,
        settings.peer_listen,
        settings.replicas.len().max(1)
    ))
}

fn experiment(file: &Path) -> Result<String, String> {
    let experiment = Experiment::read(file).map_err(|error| error.to_string())?;
    let on = if experiment.run.mode == Mode::Virtual { "in virtual time" } else { "on sockets" };
    Ok(format!(
        "{}: an experiment of {} s {on}: {} nodes, {} app servers in {} zones, {} faults",
        file.display(),
        experiment.run.duration_s,
        experiment.fleet.nodes,
        experiment.fleet.servers,
        experiment.fleet.zones.len(),
        experiment.fault.len()
    ))
}

fn node(file: &Path) -> Result<String, String> {
    let problem = |text: String| format!("{}: {text}", file.display());
    let text = std::fs::read(file).map_err(|error| problem(error.to_string()))?;
    // Its own words tell line and column.
    let config: Value = serde_json::from_slice(&text).map_err(|error| problem(error.to_string()))?;
    for key in ["name", "listen", "discovery", "seed"] {
        if !config[key].is_string() {
            return Err(problem(format!("{key} is missing or no text")));
        }
    }
    for key in ["listen", "discovery"] {
        let address = config[key].as_str().unwrap_or_default();
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(problem(format!("{key}: {address:?} is no address such as 127.0.0.1:9000")));
        }
    }
    let seed = config["seed"].as_str().unwrap_or_default();
    if u64::from_str_radix(seed, 16).is_err() {
        return Err(problem(format!("seed: {seed:?} is no hexadecimal number of 64 bits")));
    }
    if config["limits"]["sockets"].as_u64().is_none_or(|sockets| sockets < 32) {
        return Err(problem("limits.sockets: 32 or more is wanted".to_owned()));
    }
    let site = brookfield_settings::parse(&config["settings"]).map_err(problem)?;
    site.settings.validate().map_err(|error| problem(error.to_string()))?;
    Ok(format!(
        "{}: a node's configuration: {} classes, {} zones, {} nodes",
        file.display(),
        site.settings.classes.len(),
        site.settings.zone_count,
        site.settings.node_count
    ))
}
