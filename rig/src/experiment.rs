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
const MOST_SOCKET_SECONDS: f64 = 3600.0;

/// On what an experiment is played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum On {
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
    pub seconds: f64,
    /// On what it is played.
    pub on: On,
    /// The seed, where the command line names none.
    pub seed: u64,
    /// No verdict is given if the rig itself was later than this at the 99th percentile, in milliseconds.
    pub lateness_ms: f64,
    /// By how much what two parties of the rig see may differ, in milliseconds: the rules' slack on sockets.
    pub slack_ms: f64,
    /// A node that is not ready so many seconds after its start never will be.
    pub ready_s: f64,
    /// Most memory of a node's process, in mebibytes.
    pub memory_mb: u64,
    /// Most descriptors of a node's process.
    pub sockets: u64,
    /// The nodes' log filter; with few nodes each request's steps are kept, with many they are not.
    pub log: Option<String>,
    /// In virtual time nodes handle what has come in once in so long; 0 for at once.
    pub tick_ms: f64,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            seconds: 15.0,
            on: On::Sockets,
            seed: 1,
            lateness_ms: 50.0,
            slack_ms: 50.0,
            ready_s: 20.0,
            memory_mb: 192,
            sockets: 1024,
            log: None,
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
                .check()
                .map_err(|ValidationError { key, message: text }| file::ValidationError { key, text })
        })
    }

    /// What is played.
    pub fn plan(&self) -> Scenario {
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
    pub fn log(&self) -> &str {
        const FEW: u32 = 16;
        let usual = if self.fleet.nodes <= FEW { "debug" } else { "info" };
        self.run.log.as_deref().unwrap_or(usual)
    }

    /// What makes no sense in it, with the key at fault.
    pub fn check(&self) -> Result<(), ValidationError> {
        let problem = |key: &str, text: String| Err(ValidationError { key: key.to_owned(), message: text });
        let run = &self.run;
        let most = if run.on == On::Sockets { MOST_SOCKET_SECONDS } else { MAX_RUN_SECONDS };
        if !(0.5..=most).contains(&run.seconds) {
            return problem("run.seconds", format!("0.5 to {most} is wanted"));
        }
        if !(0.1..=10_000.0).contains(&run.lateness_ms) {
            return problem("run.lateness_ms", "0.1 to 10000 is wanted".into());
        }
        if !(1.0..=60_000.0).contains(&run.slack_ms) {
            return problem("run.slack_ms", "1 to 60000 is wanted".into());
        }
        if !(0.1..=600.0).contains(&run.ready_s) {
            return problem("run.ready_s", "0.1 to 600 is wanted".into());
        }
        if !(16..=65_536).contains(&run.memory_mb) {
            return problem("run.memory_mb", "16 to 65536 is wanted".into());
        }
        if !(32..=65_536).contains(&run.sockets) {
            return problem("run.sockets", "32 to 65536 is wanted".into());
        }
        if !(0.0..=1000.0).contains(&run.tick_ms) {
            return problem("run.tick_ms", "0 to 1000 is wanted".into());
        }
        if run.on == On::Virtual && self.registry.replicas > 0 {
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
            if run.on == On::Virtual
                && matches!(fault.kind, FaultKind::MoveDiscovery | FaultKind::RudeClients)
            {
                let text = "virtual time has neither addresses nor parsers: play it on sockets".to_owned();
                return problem(&format!("fault[{number}].what"), text);
            }
        }
        self.plan().validate()
    }
}
