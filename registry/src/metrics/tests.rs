use super::*;

#[test]
fn the_text_contains_every_metric_once() {
    let metrics = Metrics::default();
    metrics.renewals.inc_by(3);
    let text = metrics.text(&Gauges { rev: 41, is_leader: true, ..Gauges::default() });
    assert!(text.contains("flaxdale_registry_renewals_total 3\n"), "{text}");
    assert!(text.contains("flaxdale_registry_changes 41.0\n"), "{text}");
    assert!(
        text.contains("flaxdale_registry_list_age_seconds +Inf\n") || text.contains("seconds inf"),
        "{text}"
    );
    assert_eq!(text.matches("# HELP").count(), 19, "{text}");
}
