//! `flaxdale up`: a small fleet at once, with nothing to write first.

use std::path::PathBuf;

use clap::Args;
use flaxdale_rig::experiment::Experiment;
use flaxdale_rig::shared::lock;
use flaxdale_rig::sockets::{self, RunError, RunOptions};

use crate::print::{complain, end_live, live, say};
use crate::rig::{runtime, told_to_stop};
use crate::{Exit, keeper, node_program, own_program};

/// Start a small fleet on loopback, with emulated app servers, discovery and some traffic, until Ctrl-C.
///
/// Nothing has to be written first. A line of figures is shown each second: requests asked for, the share served in
/// time, refused and failed, the median and 99th percentile delay, and the servers in use.
#[derive(Args)]
pub struct Up {
    /// How many nodes
    #[arg(long, default_value_t = 3)]
    nodes: u32,
    /// How many emulated app servers, in two zones
    #[arg(long, default_value_t = 8)]
    servers: u32,
    /// How many replicas of the fleet's own registry; with 0 a stand-in tells the list
    #[arg(long, default_value_t = 0)]
    replicas: u32,
    /// Requests a second; half of what the servers can do if absent
    #[arg(long)]
    rps: Option<f64>,
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End by itself after so many seconds
    #[arg(long)]
    seconds: Option<f64>,
    /// The node's program; the one beside this program if absent
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
}

impl Up {
    /// Runs the fleet until it is told to stop.
    pub fn run(self) -> Exit {
        let mut experiment = Experiment::default();
        (experiment.fleet.nodes, experiment.fleet.servers) = (self.nodes, self.servers);
        experiment.registry.replicas = self.replicas;
        experiment.load.rps = self.rps;
        experiment.run.log_filter = Some("info".to_owned());
        if let Some(seconds) = self.seconds {
            experiment.run.duration_s = seconds;
        }
        if let Err(problem) = experiment.validate() {
            complain(&problem.to_string());
            return Exit::Usage;
        }
        let binary = match node_program(self.node.as_ref()) {
            Ok(binary) => binary,
            Err(problem) => {
                complain(&problem);
                return Exit::Usage;
            }
        };
        let (folder, runtime) = match tempfile::Builder::new()
            .prefix("flaxdale-up-")
            .tempdir()
            .and_then(|folder| Ok((folder, runtime()?)))
        {
            Ok(both) => both,
            Err(error) => {
                complain(&error.to_string());
                return Exit::Machine;
            }
        };
        say(&format!(
            "starting {} nodes and {} app servers in 2 zones; Ctrl-C ends them; logs are in {} meanwhile",
            self.nodes,
            self.servers,
            folder.path().join("logs").display()
        ));
        let stage = RunOptions {
            experiment,
            seed: self.seed,
            node_binary: binary,
            registry_binary: own_program(),
            folder: folder.path().to_owned(),
            cleanup_command: keeper(),
            remove_folder: true,
            until_stopped: self.seconds.is_none(),
        };
        let ran = runtime.block_on(async { sockets::run(stage, told_to_stop()?, live).await });
        end_live();
        match ran {
            Ok(ran) => {
                let total = lock(&ran.shared.stats).total();
                let broken: u64 =
                    lock(&ran.shared.tracker).invariants.reports().iter().map(|rule| rule.violated).sum();
                let share = |part: u64| 100.0 * part as f64 / total.requests.max(1) as f64;
                say(&format!(
                    "{} requests in {:.0} s: {:.1}% in time, {:.1}% refused, {:.1}% failed; {broken} rules broken; all \
                     processes have ended",
                    total.requests,
                    ran.load_duration_s,
                    share(total.in_time),
                    share(total.rejected),
                    share(total.failed)
                ));
                if broken > 0 { Exit::Broken } else { Exit::Well }
            }
            Err(error) => {
                complain(&error.to_string());
                if matches!(error, RunError::TooManyLinks(_)) { Exit::Usage } else { Exit::Machine }
            }
        }
    }
}
