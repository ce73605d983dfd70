//! Compares several builds of the balancing policy on the same scenarios in virtual time.

use flaxdale_model::balancers::{BalancerSet, LocalBalancers};
use flaxdale_model::simulation::{SimulationOptions, simulate_with};
use flaxdale_model::world::{millis, seconds};

use crate::adapter::Adapter;
use crate::experiment::Experiment;

/// Tick of experiments that set none; the same as that of the operators' simulator.
const DEFAULT_TICK_MS: f64 = 5.0;

/// A build of the balancing policy.
#[derive(Clone, Debug)]
pub struct Build {
    /// Name of the build.
    pub name: String,
    /// Command that starts its adapter; `None` for the policy in this program.
    pub command: Option<String>,
}

/// Result of a build on one experiment and seed.
#[derive(Clone, Debug)]
pub struct Score {
    /// Index of the build.
    pub build: usize,
    /// Index of the experiment.
    pub experiment: usize,
    /// The seed.
    pub seed: u64,
    /// Share of the value of all requests that was earned.
    pub value_share: f64,
    /// Number of rule violations.
    pub violations: u64,
}

/// Runs a build on one experiment and seed.
pub fn score(
    experiments: &[(String, Experiment)],
    builds: &[Build],
    (build, experiment, seed): (usize, usize, u64),
) -> Result<Score, String> {
    let (name, settings) = &experiments[experiment];
    let tick_ms = if settings.run.tick_ms > 0.0 { settings.run.tick_ms } else { DEFAULT_TICK_MS };
    let options = SimulationOptions {
        load_duration: seconds(settings.run.duration_s),
        tick: millis(tick_ms),
        threads: 1,
    };
    let scenario = settings.scenario();
    let world = flaxdale_model::world::World::sample(&scenario, seed);
    let command = builds[build].command.clone();
    let balancers = |_| -> Result<Box<dyn BalancerSet>, String> {
        match &command {
            Some(command) => Ok(Box::new(Adapter::start(command, &world)?)),
            None => Ok(Box::<LocalBalancers>::default()),
        }
    };
    let with_context = |error| format!("{} on {name}, seed {seed}: {error}", builds[build].name);
    let simulated = simulate_with(&scenario, seed, options, balancers).map_err(with_context)?;
    let total = simulated.stats.total();
    let violations = simulated.invariants.reports().iter().map(|rule| rule.violated).sum();
    let value_share = if total.value > 0.0 { total.earned_value / total.value } else { 0.0 };
    Ok(Score { build, experiment, seed, value_share, violations })
}

/// Ranks of values, the largest first; equal values share the mean of their ranks.
pub fn ranks(values: &[f64]) -> Vec<f64> {
    let rank = |value: f64| {
        let above = values.iter().filter(|other| **other > value).count() as f64;
        let equal = values.iter().filter(|other| **other == value).count() as f64;
        above + (equal + 1.0) / 2.0
    };
    values.iter().map(|value| rank(*value)).collect()
}

/// Spearman's rank correlation of two series; `None` if one is constant or empty, or their lengths differ.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    if a.len() != b.len() || a.is_empty() {
        return None;
    }
    let (a, b) = (ranks(a), ranks(b));
    let mean = (a.len() as f64 + 1.0) / 2.0;
    let sum = |term: &dyn Fn(usize) -> f64| (0..a.len()).map(term).sum::<f64>();
    let covariance = sum(&|i| (a[i] - mean) * (b[i] - mean));
    let spread = (sum(&|i| (a[i] - mean).powi(2)) * sum(&|i| (b[i] - mean).powi(2))).sqrt();
    (spread > 0.0).then(|| covariance / spread)
}

#[cfg(test)]
mod tests;
