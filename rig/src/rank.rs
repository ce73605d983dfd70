//! Several builds of the decisions held against each other on the same worlds in virtual time.

use flaxdale_model::balancers::{BalancerSet, LocalBalancers};
use flaxdale_model::simulation::{SimulationOptions, simulate_with};
use flaxdale_model::world::{millis, seconds};

use crate::adapter::Adapter;
use crate::experiment::Experiment;

/// Handled once in so long where an experiment names no tick: what the operators' simulator does.
const TICK_MS: f64 = 5.0;

/// A build of the decisions.
#[derive(Clone, Debug)]
pub struct Build {
    /// What it is called.
    pub name: String,
    /// The command that starts its adapter; this program's own decisions if none.
    pub command: Option<String>,
}

/// What a build came to on one world.
#[derive(Clone, Debug)]
pub struct Score {
    /// The build's position.
    pub build: usize,
    /// The experiment's position.
    pub experiment: usize,
    /// The seed.
    pub seed: u64,
    /// Share of the worth that was earned.
    pub value_share: f64,
    /// Rules broken.
    pub violations: u64,
}

/// Plays a build on one world.
pub fn score(
    experiments: &[(String, Experiment)],
    builds: &[Build],
    (build, experiment, seed): (usize, usize, u64),
) -> Result<Score, String> {
    let (name, of) = &experiments[experiment];
    let tick = if of.run.tick_ms > 0.0 { of.run.tick_ms } else { TICK_MS };
    let options =
        SimulationOptions { load_duration: seconds(of.run.duration_s), tick: millis(tick), threads: 1 };
    let plan = of.scenario();
    let world = flaxdale_model::world::World::sample(&plan, seed);
    let command = builds[build].command.clone();
    let module = |_| -> Result<Box<dyn BalancerSet>, String> {
        match &command {
            Some(command) => Ok(Box::new(Adapter::start(command, &world)?)),
            None => Ok(Box::<LocalBalancers>::default()),
        }
    };
    let tell = |problem| format!("{} on {name}, seed {seed}: {problem}", builds[build].name);
    let played = simulate_with(&plan, seed, options, module).map_err(tell)?;
    let total = played.stats.total();
    let violations = played.invariants.reports().iter().map(|rule| rule.violated).sum();
    let value_share = if total.value > 0.0 { total.earned_value / total.value } else { 0.0 };
    Ok(Score { build, experiment, seed, value_share, violations })
}

/// The ranks of some figures, the largest first and equal ones in the middle of their ranks.
pub fn ranks(figures: &[f64]) -> Vec<f64> {
    let rank = |figure: f64| {
        let above = figures.iter().filter(|other| **other > figure).count() as f64;
        let same = figures.iter().filter(|other| **other == figure).count() as f64;
        above + (same + 1.0) / 2.0
    };
    figures.iter().map(|figure| rank(*figure)).collect()
}

/// Spearman's rank correlation of two series; none where one of them is all the same, or they differ in length.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    if a.len() != b.len() || a.is_empty() {
        return None;
    }
    let (a, b) = (ranks(a), ranks(b));
    let mean = (a.len() as f64 + 1.0) / 2.0;
    let sum = |of: &dyn Fn(usize) -> f64| (0..a.len()).map(of).sum::<f64>();
    let both = sum(&|at| (a[at] - mean) * (b[at] - mean));
    let spread = (sum(&|at| (a[at] - mean).powi(2)) * sum(&|at| (b[at] - mean).powi(2))).sqrt();
    (spread > 0.0).then(|| both / spread)
}

#[cfg(test)]
mod tests;
