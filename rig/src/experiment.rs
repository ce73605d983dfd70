//! Experiment files: TOML, checked whole before anything starts. A problem is told with its file, line and key, and
//! what would be right.

use std::path::Path;

use flaxdale_fleet::file::{self, FileError};
use flaxdale_model::scenario::{
    Class, Discovery, Fault, FaultKind, Fleet, Kind, Load, MAX_RUN_SECONDS, Network, Registry, Rules,
    Scenario, TargetKind, Tenant, ValidationError,
};
use serde::{Deserialize, Serialize};

/// Seconds that a run on sockets may last at most: its load has to be bounded.
const MAX_SOCKET_RUN_SECONDS: f64 = 3600.0;

/// Where an experiment runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Real node processes and sockets, in real time.
    #[default]
    Sockets,
    /// The decision module in virtual time.
    Virtual,
}

/// How an experiment is played.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Run {
    /// For how long requests come.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Where it runs.
    #[serde(rename = "on")]
    pub mode: Mode,
    /// The seed, where the command line names none.
    pub seed: u64,
    /// No verdict is given if the rig itself was later than this at the 99th percentile, in milliseconds.
    #[serde(rename = "lateness_ms")]
    pub max_lateness_ms: f64,
    /// By how much what two parties of the rig see may differ, in milliseconds: the rules' slack on sockets.
    #[serde(rename = "slack_ms")]
    pub tolerance_ms: f64,
    /// A node that is not ready so many seconds after its start never will be.
    #[serde(rename = "ready_s")]
    pub ready_timeout_s: f64,
    /// Most memory of a node's process, in mebibytes.
    #[serde(rename = "memory_mb")]
    pub max_memory_mib: u64,
    /// Most descriptors of a node's process.
    #[serde(rename = "sockets")]
    pub max_descriptors: u64,
    /// The nodes' log filter; with few nodes each request's steps are kept, with many they are not.
    #[serde(rename = "log")]
    pub log_filter: Option<String>,
    /// In virtual time nodes handle what has come in once in so long; 0 for at once.
    pub tick_ms: f64,
}

impl Default for Run {
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

/// An experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// What it asks.
    pub question: String,
    /// How it is played.
    pub run: Run,
    /// See [`Plan::fleet`].
    pub fleet: Fleet,
    /// See [`Plan::load`].
    pub load: Load,
    /// See [`Plan::network`].
    pub network: Network,
    /// See [`Plan::discovery`].
    pub discovery: Discovery,
    /// See [`Plan::registry`].
    pub registry: Registry,
    /// See [`Plan::rules`].
    pub rules: Rules,
    /// See [`Plan::kinds`].
    pub kind: Vec<Kind>,
    /// See [`Plan::classes`].
    pub class: Vec<Class>,
    /// See [`Plan::tenants`].
    pub tenant: Vec<Tenant>,
    /// See [`Plan::faults`].
    pub fault: Vec<Fault>,
}

impl Experiment {
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        file::read(file, |experiment: &Self| {
            experiment
                .validate()
                .map_err(|ValidationError { key, message: text }| file::ValidationError { key, text })
        })
    }

    /// What is played.
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

    /// The nodes' log filter.
    pub fn log_filter(&self) -> &str {
        const FEW: u32 = 16;
        let usual = if self.fleet.nodes <= FEW { "debug" } else { "info" };
        self.run.log_filter.as_deref().unwrap_or(usual)
    }

    /// What makes no sense in it, with the key at fault.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let problem = |key: &str, text: String| Err(ValidationError { key: key.to_owned(), message: text });
        let run = &self.run;
        let most = if run.mode == Mode::Sockets { MAX_SOCKET_RUN_SECONDS } else { MAX_RUN_SECONDS };
        if !(0.5..=most).contains(&run.duration_s) {
            return problem("run.seconds", format!("0.5 to {most} is wanted"));
        }
        if !(0.1..=10_000.0).contains(&run.max_lateness_ms) {
            return problem("run.lateness_ms", "0.1 to 10000 is wanted".into());
        }
        if !(1.0..=60_000.0).contains(&run.tolerance_ms) {
            return problem("run.slack_ms", "1 to 60000 is wanted".into());
        }
        if !(0.1..=600.0).contains(&run.ready_timeout_s) {
            return problem("run.ready_s", "0.1 to 600 is wanted".into());
        }
        if !(16..=65_536).contains(&run.max_memory_mib) {
            return problem("run.memory_mb", "16 to 65536 is wanted".into());
        }
        if !(32..=65_536).contains(&run.max_descriptors) {
            return problem("run.sockets", "32 to 65536 is wanted".into());
        }
        if !(0.0..=1000.0).contains(&run.tick_ms) {
            return problem("run.tick_ms", "0 to 1000 is wanted".into());
        }
        if run.mode == Mode::Virtual && self.registry.replicas > 0 {
            return problem("registry.replicas", "virtual time has no processes: play it on sockets".into());
        }
        for (number, fault) in self.fault.iter().enumerate() {
            let of_registry = |end: &Option<String>| {
                let number = end.as_deref().and_then(|end| end.strip_prefix('r'));
                number.is_some_and(|number| number.parse::<u32>().is_ok())
            };
            let link = fault.kind.target_kind() == TargetKind::Link;
            if self.registry.replicas > 0 && link && !of_registry(&fault.from) && !of_registry(&fault.to) {
                let text =
                    "the registry tells all nodes one address of a server: one end has to be a replica";
                return problem(&format!("fault[{number}].from"), text.to_owned());
            }
            let stand_in = matches!(
                fault.kind,
                FaultKind::LateDiscovery
                    | FaultKind::SilentDiscovery
                    | FaultKind::BusyDiscovery
                    | FaultKind::RubbishDiscovery
                    | FaultKind::MoveDiscovery
            );
            if self.registry.replicas > 0 && stand_in {
                let text = "concerns the stand-in of the list service, and this fleet has its own registry";
                return problem(&format!("fault[{number}].what"), text.to_owned());
            }
            if run.mode == Mode::Virtual
                && matches!(fault.kind, FaultKind::MoveDiscovery | FaultKind::RudeClients)
            {
                let text = "virtual time has neither addresses nor parsers: play it on sockets".to_owned();
                return problem(&format!("fault[{number}].what"), text);
            }
        }
        self.scenario().validate()
    }
}
