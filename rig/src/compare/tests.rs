use super::*;

/// Guards against a decision for the run with more failures.
#[test]
fn the_better_run_has_the_higher_or_the_lower_value_as_the_metric_says() {
    let metric = |higher_is_better| Metric {
        name: "share",
        a: 0.2,
        b: 0.3,
        interval_90: (0.05, 0.15),
        confidence: 0.99,
        higher_is_better,
    };
    assert_eq!(decide(&metric(true)).0, Winner::B);
    assert_eq!(decide(&metric(false)).0, Winner::A);
    assert_eq!(decide(&Metric { confidence: 0.9, ..metric(false) }).0, Winner::Neither);
}
