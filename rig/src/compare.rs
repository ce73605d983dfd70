//! Statistical comparison of two runs.
//!
//! Uses a moving-block bootstrap (Künsch 1989) over the seconds of the runs, because consecutive seconds are
//! correlated. Runs with the same scenario and seed are resampled in pairs of the same seconds, other runs
//! independently. The confidence is the share of resampled differences with the same sign as the observed difference.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::result::{RunResult, SecondStats, Verdict};

/// Number of bootstrap samples.
const BOOTSTRAP_SAMPLES: usize = 4000;
/// Length of a block.
const BLOCK_SECONDS: usize = 5;
/// Confidence from which on a difference decides.
const MIN_CONFIDENCE: f64 = 0.95;

/// A metric of both runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// Value in the first run.
    pub a: f64,
    /// Value in the second run.
    pub b: f64,
    /// Interval that contains 90 % of the resampled differences between the second and the first run.
    pub interval_90: (f64, f64),
    /// Share of the resampled differences with the sign of the observed one, 0.5 to 1.
    pub confidence: f64,
    /// Whether a higher value is better.
    pub higher_is_better: bool,
}

/// Which run is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Winner {
    /// The first run.
    A,
    /// The second run.
    B,
    /// No significant difference, or no valid comparison.
    Neither,
}

/// The comparison of two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Whether the seconds of the runs were resampled in pairs.
    pub paired: bool,
    /// The metrics; the first one decides.
    pub metrics: Vec<Metric>,
    /// The better run; never one that violated a rule.
    pub winner: Winner,
    /// Explanation of the result.
    pub reason: String,
}

/// Numerator and denominator of a metric in one second.
type MetricTerms = fn(&SecondStats) -> (f64, f64);

/// The metrics by name, with their terms and whether higher is better. The first one decides.
const METRICS: [(&str, MetricTerms, bool); 4] = [
    ("worth_share", |second| (second.value_share * second.requests as f64, second.requests as f64), true),
    ("served_in_time_share", |second| (second.in_time as f64, second.requests as f64), true),
    ("refused_share", |second| (second.rejected as f64, second.requests as f64), false),
    ("failed_share", |second| (second.failed as f64, second.requests as f64), false),
];

fn ratio(terms: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (numerator, denominator) = terms.fold((0.0, 0.0), |sum, term| (sum.0 + term.0, sum.1 + term.1));
    if denominator > 0.0 { numerator / denominator } else { 0.0 }
}

/// Compares two runs. Deterministic, as the bootstrap has a fixed seed.
pub fn compare(a: &RunResult, b: &RunResult) -> Comparison {
    let paired = a.scenario == b.scenario && a.seed == b.seed && a.per_second.len() == b.per_second.len();
    let mut rng = ChaCha12Rng::seed_from_u64(0);
    let metrics: Vec<Metric> = METRICS
        .iter()
        .map(|&(name, terms, higher_is_better)| {
            let value = |run: &RunResult| ratio(run.per_second.iter().map(terms));
            let (value_a, value_b) = (value(a), value(b));
            let mut differences: Vec<f64> = (0..BOOTSTRAP_SAMPLES)
                .map(|_| {
                    let seconds_a = resample(a.per_second.len(), &mut rng);
                    let seconds_b =
                        if paired { seconds_a.clone() } else { resample(b.per_second.len(), &mut rng) };
                    let resampled = |run: &RunResult, seconds: &[usize]| {
                        ratio(seconds.iter().map(|&second| terms(&run.per_second[second])))
                    };
                    resampled(b, &seconds_b) - resampled(a, &seconds_a)
                })
                .collect();
            differences.sort_by(f64::total_cmp);
            let observed = value_b - value_a;
            let same_sign =
                differences.iter().filter(|difference| **difference * observed > 0.0).count() as f64;
            let ties = differences.iter().filter(|difference| **difference == 0.0).count() as f64;
            let quantile = |share: f64| {
                differences.get((share * (BOOTSTRAP_SAMPLES - 1) as f64) as usize).copied().unwrap_or(0.0)
            };
            let confidence = ((same_sign + ties / 2.0) / BOOTSTRAP_SAMPLES as f64).max(0.5);
            Metric {
                name,
                a: value_a,
                b: value_b,
                interval_90: (quantile(0.05), quantile(0.95)),
                confidence,
                higher_is_better,
            }
        })
        .collect();
    let failed = |run: &RunResult| run.verdict == Verdict::Failed;
    let (winner, reason) = match (failed(a), failed(b)) {
        (true, true) => (Winner::Neither, "both violated a rule".to_owned()),
        (true, false) => (Winner::B, "A violated a rule".to_owned()),
        (false, true) => (Winner::A, "B violated a rule".to_owned()),
        (false, false) if a.verdict == Verdict::Inconclusive || b.verdict == Verdict::Inconclusive => {
            (Winner::Neither, "one of the runs is inconclusive".to_owned())
        }
        (false, false) => decide(&metrics[0]),
    };
    Comparison { paired, metrics, winner, reason }
}

fn decide(metric: &Metric) -> (Winner, String) {
    let difference = metric.b - metric.a;
    let gain = if metric.higher_is_better { difference } else { -difference };
    let reason = format!(
        "{} differs by {difference:+.4} with {:.1}% confidence",
        metric.name,
        metric.confidence * 100.0
    );
    if metric.confidence < MIN_CONFIDENCE || difference == 0.0 {
        (Winner::Neither, reason)
    } else if gain > 0.0 {
        (Winner::B, reason)
    } else {
        (Winner::A, reason)
    }
}

/// Draws `count` seconds with replacement, in blocks of consecutive seconds.
fn resample(count: usize, rng: &mut ChaCha12Rng) -> Vec<usize> {
    let mut seconds = Vec::with_capacity(count + BLOCK_SECONDS);
    let last_start = count.saturating_sub(BLOCK_SECONDS.min(count));
    while seconds.len() < count {
        let start = rng.random_range(0..=last_start);
        seconds.extend(start..(start + BLOCK_SECONDS).min(count));
    }
    seconds.truncate(count);
    seconds
}

#[cfg(test)]
mod tests;
