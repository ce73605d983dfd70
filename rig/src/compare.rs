//! Which of two runs is better, and how sure that is.
//!
//! Both runs are cut into the same seconds. Where they have the same plan and seed, each second is paired with its
//! twin and the differences are resampled in blocks (a moving-block bootstrap, Künsch 1989), since what happens in one
//! second goes on in the next. Otherwise the seconds of each run are resampled by themselves. The sureness is the share of the
//! resampled differences that have the sign of the one that was seen.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::result::{RunResult, SecondStats, Verdict};

/// Resampled differences.
const RESAMPLES: usize = 4000;
/// Seconds that stay together when resampled.
const BLOCK_SECONDS: usize = 5;
/// A difference that is surer than this is called one.
const MIN_CONFIDENCE: f64 = 0.95;

/// A figure of both runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// Of the first run.
    pub a: f64,
    /// Of the second.
    pub b: f64,
    /// The second less the first, between these with nine in ten resampled differences.
    pub interval_90: (f64, f64),
    /// Share of the resampled differences with this one's sign, 0.5 to 1.
    pub confidence: f64,
    /// Whether more is better.
    pub higher_is_better: bool,
}

/// Which run is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Winner {
    /// The first.
    A,
    /// The second.
    B,
    /// Neither, as far as these two tell.
    Neither,
}

/// Two runs beside each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Whether each second has its twin.
    pub paired: bool,
    /// The figures, the first of which decides.
    pub metrics: Vec<Metric>,
    /// Which is better: one that broke a rule never is.
    pub winner: Winner,
    /// Why, in words.
    pub reason: String,
}

type MetricTerms = fn(&SecondStats) -> (f64, f64);

/// The figures that are compared: the first decides.
const METRICS: [(&str, MetricTerms, bool); 4] = [
    ("worth_share", |moment| (moment.value_share * moment.requests as f64, moment.requests as f64), true),
    ("served_in_time_share", |moment| (moment.in_time as f64, moment.requests as f64), true),
    ("refused_share", |moment| (moment.rejected as f64, moment.requests as f64), false),
    ("failed_share", |moment| (moment.failed as f64, moment.requests as f64), false),
];

fn ratio(moments: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (part, of) = moments.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    if of > 0.0 { part / of } else { 0.0 }
}

/// Compares two runs. The draws are seeded: the same two runs compare the same.
pub fn compare(a: &RunResult, b: &RunResult) -> Comparison {
    let paired = a.scenario == b.scenario && a.seed == b.seed && a.per_second.len() == b.per_second.len();
    let mut rng = ChaCha12Rng::seed_from_u64(0);
    let metrics: Vec<Metric> = METRICS
        .iter()
        .map(|&(name, part, higher_is_better)| {
            let of = |run: &RunResult| ratio(run.per_second.iter().map(part));
            let (of_a, of_b) = (of(a), of(b));
            let mut draws: Vec<f64> = (0..RESAMPLES)
                .map(|_| {
                    let first = resample(a.per_second.len(), &mut rng);
                    let second = if paired { first.clone() } else { resample(b.per_second.len(), &mut rng) };
                    let drawn =
                        |run: &RunResult, at: &[usize]| ratio(at.iter().map(|&at| part(&run.per_second[at])));
                    drawn(b, &second) - drawn(a, &first)
                })
                .collect();
            draws.sort_by(f64::total_cmp);
            let seen = of_b - of_a;
            let same = draws.iter().filter(|draw| **draw * seen > 0.0).count() as f64;
            let ties = draws.iter().filter(|draw| **draw == 0.0).count() as f64;
            let at =
                |share: f64| draws.get((share * (RESAMPLES - 1) as f64) as usize).copied().unwrap_or(0.0);
            let confidence = ((same + ties / 2.0) / RESAMPLES as f64).max(0.5);
            Metric { name, a: of_a, b: of_b, interval_90: (at(0.05), at(0.95)), confidence, higher_is_better }
        })
        .collect();
    let broken = |run: &RunResult| run.verdict == Verdict::Failed;
    let (winner, reason) = match (broken(a), broken(b)) {
        (true, true) => (Winner::Neither, "both broke a rule".to_owned()),
        (true, false) => (Winner::B, "A broke a rule".to_owned()),
        (false, true) => (Winner::A, "B broke a rule".to_owned()),
        (false, false) if a.verdict == Verdict::Inconclusive || b.verdict == Verdict::Inconclusive => {
            (Winner::Neither, "the rig was too late in one of them".to_owned())
        }
        (false, false) => decide(&metrics[0]),
    };
    Comparison { paired, metrics, winner, reason }
}

fn decide(first: &Metric) -> (Winner, String) {
    let difference = first.b - first.a;
    let words = format!("{} differs by {difference:+.4}, {:.1}% sure", first.name, first.confidence * 100.0);
    if first.confidence < MIN_CONFIDENCE || difference == 0.0 {
        (Winner::Neither, words)
    } else if difference > 0.0 {
        (Winner::B, words)
    } else {
        (Winner::A, words)
    }
}

/// As many seconds as there are, in blocks that begin anywhere.
fn resample(count: usize, rng: &mut ChaCha12Rng) -> Vec<usize> {
    let mut drawn = Vec::with_capacity(count + BLOCK_SECONDS);
    let last = count.saturating_sub(BLOCK_SECONDS.min(count));
    while drawn.len() < count {
        let begin = rng.random_range(0..=last);
        drawn.extend(begin..(begin + BLOCK_SECONDS).min(count));
    }
    drawn.truncate(count);
    drawn
}
