use super::*;

#[test]
fn equal_values_share_the_mean_of_their_ranks() {
    assert_eq!(ranks(&[0.9, 0.5, 0.9, 0.1]), [1.5, 3.0, 1.5, 4.0]);
}

#[test]
fn rank_correlation_depends_only_on_the_order() {
    assert_eq!(rank_correlation(&[1.0, 2.0, 3.0], &[10.0, 200.0, 3000.0]), Some(1.0));
    assert_eq!(rank_correlation(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]), Some(-1.0));
    assert_eq!(rank_correlation(&[1.0, 2.0], &[5.0, 5.0]), None);
    assert_eq!(rank_correlation(&[1.0], &[]), None);
    // Spearman's formula for distinct ranks: 1 - 6 * (1 + 1) / (4 * 15).
    let correlation = rank_correlation(&[4.0, 3.0, 2.0, 1.0], &[3.0, 4.0, 2.0, 1.0]).expect("correlation");
    assert!((correlation - 0.8).abs() < 1e-12);
}

#[test]
fn the_policy_in_this_program_is_scored_without_an_adapter() {
    let mut experiment = Experiment::default();
    experiment.run.duration_s = 5.0;
    let (experiments, builds) =
        ([("calm".to_owned(), experiment)], [Build { name: "own".into(), command: None }]);
    let score = score(&experiments, &builds, (0, 0, 1)).expect("score");
    assert!(score.value_share > 0.9 && score.violations == 0, "{score:?}");
    let broken = [Build { name: "none".into(), command: Some("/bin/false".into()) }];
    assert!(
        super::score(&experiments, &broken, (0, 0, 1))
            .expect_err("error without an adapter")
            .contains("none on calm")
    );
}
