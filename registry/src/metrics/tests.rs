use super::*;

#[test]
fn the_text_has_every_figure_once() {
    let figures = Figures::default();
    figures.renewals.inc_by(3);
    let text = figures.text(&Levels { rev: 41, leads: true, ..Levels::default() });
    assert!(text.contains("flaxdale_registry_renewals_total 3\n"), "{text}");
    assert!(text.contains("flaxdale_registry_changes 41.0\n"), "{text}");
    assert!(
        text.contains("flaxdale_registry_list_age_seconds +Inf\n") || text.contains("seconds inf"),
        "{text}"
    );
    assert_eq!(text.matches("# HELP").count(), 19, "{text}");
}
