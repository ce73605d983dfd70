//! Experiment files in TOML. A file is validated completely before a run starts; errors give the file, line and key and
//! the expected values.

use std::path::Path;

use flaxdale_fleet::file::{self, FileError};
use flaxdale_model::scenario::{
    Class, Discovery, Fault, FaultKind, Fleet, Kind, Load, MAX_RUN_SECONDS, Network, Registry, Rules,
    Scenario, TargetKind, Tenant, ValidationError,
};
use serde::{Deserialize, Serialize};

/// Longest duration of a run on sockets, in seconds.
const MAX_SOCKET_RUN_SECONDS: f64 = 3600.0;

/// How an experiment is run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Real node processes and sockets, in real time.
    #[default]
    Sockets,
    /// The balancing policy alone, in virtual time.
    Virtual,
}

/// Settings of the run itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunSettings {
    /// Duration of the load.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Whether it is run on sockets or in virtual time.
    #[serde(rename = "on")]
    pub mode: Mode,
    /// Seed of the run unless the command line sets one.
    pub seed: u64,
    /// The run is inconclusive if the 99th percentile of the rig's own lateness is above this, in milliseconds.
    #[serde(rename = "lateness_ms")]
    pub max_lateness_ms: f64,
    /// Tolerance of the rules on sockets, in milliseconds: how far observations of two components of the rig may
    /// differ.
    #[serde(rename = "slack_ms")]
    pub tolerance_ms: f64,
    /// How long a node may take to become ready.
    #[serde(rename = "ready_s")]
    pub ready_timeout_s: f64,
    /// Limit of the memory of a node process.
    #[serde(rename = "memory_mb")]
    pub max_memory_mib: u64,
    /// Limit of the open file descriptors of a node process.
    #[serde(rename = "sockets")]
    pub max_descriptors: u64,
    /// Log filter of the nodes. By default each request is logged only if there are few nodes.
    #[serde(rename = "log")]
    pub log_filter: Option<String>,
    /// In virtual time, the interval at which nodes handle their input; 0 handles it at once.
    pub tick_ms: f64,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            duration_s: 15.0,
            mode: Mode::Sockets,
            seed: 1,
            max_lateness_ms: 50.0,
            tolerance_ms: 50.0,
            ready_timeout_s: 20.0,
            max_memory_mib: 192,
            max_descriptors: 1024,
            log_filter: None,
            tick_ms: 0.0,
        }
    }
}

/// An experiment: a scenario and the settings of the run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// The question that the experiment answers.
    pub question: String,
    /// Settings of the run.
    pub run: RunSettings,
    /// See [`Scenario::fleet`].
    pub fleet: Fleet,
    /// See [`Scenario::load`].
    pub load: Load,
    /// See [`Scenario::network`].
    pub network: Network,
    /// See [`Scenario::discovery`].
    pub discovery: Discovery,
    /// See [`Scenario::registry`].
    pub registry: Registry,
    /// See [`Scenario::rules`].
    pub rules: Rules,
    /// See [`Scenario::kinds`].
    pub kind: Vec<Kind>,
    /// See [`Scenario::classes`].
    pub class: Vec<Class>,
    /// See [`Scenario::tenants`].
    pub tenant: Vec<Tenant>,
    /// See [`Scenario::faults`].
    pub fault: Vec<Fault>,
}

impl Experiment {
    /// Reads and validates an experiment file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        file::read(file, |experiment: &Self| {
            experiment
                .validate()
                .map_err(|ValidationError { key, message: text }| file::ValidationError { key, text })
        })
    }

    /// The scenario, with defaults filled in.
    pub fn scenario(&self) -> Scenario {
        Scenario {
            fleet: self.fleet.clone(),
            load: self.load.clone(),
            network: self.network.clone(),
            discovery: self.discovery.clone(),
            registry: self.registry.clone(),
            rules: self.rules.clone(),
            kinds: self.kind.clone(),
            classes: self.class.clone(),
            tenants: self.tenant.clone(),
            faults: self.fault.clone(),
        }
        .with_defaults()
    }

    /// Log filter of the nodes.
    pub fn log_filter(&self) -> &str {
        const MAX_NODES_AT_DEBUG: u32 = 16;
        let default = if self.fleet.nodes <= MAX_NODES_AT_DEBUG { "debug" } else { "info" };
        self.run.log_filter.as_deref().unwrap_or(default)
    }

    /// Validates the settings of the run and the scenario.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let invalid = |key: &str, message: String| Err(ValidationError { key: key.to_owned(), message });
        let run = &self.run;
        let max_duration_s = if run.mode == Mode::Sockets { MAX_SOCKET_RUN_SECONDS } else { MAX_RUN_SECONDS };
        if !(0.5..=max_duration_s).contains(&run.duration_s) {
            return invalid("run.seconds", format!("must be between 0.5 and {max_duration_s}"));
        }
        if !(0.1..=10_000.0).contains(&run.max_lateness_ms) {
            return invalid("run.lateness_ms", "must be between 0.1 and 10000".into());
        }
        if !(1.0..=60_000.0).contains(&run.tolerance_ms) {
            return invalid("run.slack_ms", "must be between 1 and 60000".into());
        }
        if !(0.1..=600.0).contains(&run.ready_timeout_s) {
            return invalid("run.ready_s", "must be between 0.1 and 600".into());
        }
        if !(16..=65_536).contains(&run.max_memory_mib) {
            return invalid("run.memory_mb", "must be between 16 and 65536".into());
        }
        if !(32..=65_536).contains(&run.max_descriptors) {
            return invalid("run.sockets", "must be between 32 and 65536".into());
        }
        if !(0.0..=1000.0).contains(&run.tick_ms) {
            return invalid("run.tick_ms", "must be between 0 and 1000".into());
        }
        if run.mode == Mode::Virtual && self.registry.replicas > 0 {
            return invalid(
                "registry.replicas",
                "must be 0 in virtual time: replicas need run.on = \"sockets\"".into(),
            );
        }
        for (index, fault) in self.fault.iter().enumerate() {
            let is_replica = |end: &Option<String>| {
                let number = end.as_deref().and_then(|end| end.strip_prefix('r'));
                number.is_some_and(|number| number.parse::<u32>().is_ok())
            };
            let is_link_fault = fault.kind.target_kind() == TargetKind::Link;
            if self.registry.replicas > 0
                && is_link_fault
                && !is_replica(&fault.from)
                && !is_replica(&fault.to)
            {
                let message = "must be a replica, or `to` must be: with a registry all nodes use the same address of a server";
                return invalid(&format!("fault[{index}].from"), message.to_owned());
            }
            let is_discovery_fault = matches!(
                fault.kind,
                FaultKind::LateDiscovery
                    | FaultKind::SilentDiscovery
                    | FaultKind::BusyDiscovery
                    | FaultKind::RubbishDiscovery
                    | FaultKind::MoveDiscovery
            );
            if self.registry.replicas > 0 && is_discovery_fault {
                let message =
                    "must not affect the emulated discovery service, which is not used with a registry";
                return invalid(&format!("fault[{index}].what"), message.to_owned());
            }
            if run.mode == Mode::Virtual
                && matches!(fault.kind, FaultKind::MoveDiscovery | FaultKind::RudeClients)
            {
                let message =
                    "must be a fault that virtual time supports; this one needs run.on = \"sockets\""
                        .to_owned();
                return invalid(&format!("fault[{index}].what"), message);
            }
        }
        self.scenario().validate()
    }
}
