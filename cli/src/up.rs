//! `flaxdale up`: starts a small fleet without any configuration.

use std::path::PathBuf;

use clap::Args;
use flaxdale_rig::experiment::Experiment;
use flaxdale_rig::shared::lock;
use flaxdale_rig::sockets::{self, RunError, RunOptions};

use crate::print::{end_progress, print_error, print_line, show_progress};
use crate::rig::{runtime, shutdown_signal};
use crate::{Exit, cleanup_command, node_binary, registry_binary};

/// Start a small fleet with emulated app servers and traffic on this machine.
///
/// Needs no configuration. The fleet runs on loopback until Ctrl-C or SIGTERM. A status line is printed every second: the
/// requests, the shares served in time, rejected and failed, the median and 99th percentile latency, and the numbers of
/// available servers and nodes. Exit codes: 0 every rule was kept; 1 a rule was violated; 2 invalid arguments, nothing
/// was started; 4 a system resource was unavailable.
#[derive(Args)]
pub struct Up {
    /// Number of nodes
    #[arg(long, default_value_t = 3)]
    nodes: u32,
    /// Number of emulated app servers, in two zones
    #[arg(long, default_value_t = 8)]
    servers: u32,
    /// Number of registry replicas; with 0, the rig itself serves the list of app servers
    #[arg(long, default_value_t = 0)]
    replicas: u32,
    /// Requests per second [default: half of the capacity of the servers]
    #[arg(long)]
    rps: Option<f64>,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run for this many seconds instead of until Ctrl-C
    #[arg(long)]
    seconds: Option<f64>,
    /// Binary of the node [default: badgerpost in the directory of this program]
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
}

impl Up {
    /// Runs the fleet until interrupted or until the given time has passed.
    pub fn run(self) -> Exit {
        let mut experiment = Experiment::default();
        (experiment.fleet.nodes, experiment.fleet.servers) = (self.nodes, self.servers);
        experiment.registry.replicas = self.replicas;
        experiment.load.rps = self.rps;
        experiment.run.log_filter = Some("info".to_owned());
        if let Some(seconds) = self.seconds {
            experiment.run.duration_s = seconds;
        }
        if let Err(error) = experiment.validate() {
            print_error(&error.to_string());
            return Exit::Usage;
        }
        let binary = match node_binary(self.node.as_ref()) {
            Ok(binary) => binary,
            Err(error) => {
                print_error(&error);
                return Exit::Usage;
            }
        };
        let (directory, runtime) = match tempfile::Builder::new()
            .prefix("flaxdale-up-")
            .tempdir()
            .and_then(|directory| Ok((directory, runtime()?)))
        {
            Ok(created) => created,
            Err(error) => {
                print_error(&error.to_string());
                return Exit::System;
            }
        };
        print_line(&format!(
            "starting {} nodes and {} app servers in 2 zones; press Ctrl-C to stop; logs are in {} until then",
            self.nodes,
            self.servers,
            directory.path().join("logs").display()
        ));
        let options = RunOptions {
            experiment,
            seed: self.seed,
            node_binary: binary,
            registry_binary: registry_binary(),
            folder: directory.path().to_owned(),
            cleanup_command: cleanup_command(),
            remove_folder: true,
            until_stopped: self.seconds.is_none(),
        };
        let result =
            runtime.block_on(async { sockets::run(options, shutdown_signal()?, show_progress).await });
        end_progress();
        match result {
            Ok(run) => {
                let total = lock(&run.shared.stats).total();
                let violations: u64 =
                    lock(&run.shared.tracker).invariants.reports().iter().map(|rule| rule.violated).sum();
                let share = |part: u64| 100.0 * part as f64 / total.requests.max(1) as f64;
                print_line(&format!(
                    "{} requests in {:.0} s: {:.1}% in time, {:.1}% rejected, {:.1}% failed; {violations} rule violations; \
                     all processes have ended",
                    total.requests,
                    run.load_duration_s,
                    share(total.in_time),
                    share(total.rejected),
                    share(total.failed)
                ));
                if violations > 0 { Exit::Failure } else { Exit::Success }
            }
            Err(error) => {
                print_error(&error.to_string());
                if matches!(error, RunError::TooManyLinks(_)) { Exit::Usage } else { Exit::System }
            }
        }
    }
}
