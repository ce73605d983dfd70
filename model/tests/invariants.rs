//! Each rule, kept and violated.

use flaxdale_model::invariants::*;
use flaxdale_model::scenario::Idempotency;
use flaxdale_model::world::{MS, SECOND};

const LIMITS: Tolerances = Tolerances { answer_slack: 20 * MS, drain_grace: 500 * MS, clock_skew: 10 * MS };

fn checker(idempotency: Idempotency) -> InvariantChecker {
    let mut checker = InvariantChecker::new(LIMITS, 0);
    checker.request_sent(1, idempotency, SECOND, SECOND, 0);
    checker
}

/// Rules that were violated, with their counts.
fn violated_rules(checker: &InvariantChecker) -> Vec<(String, u64)> {
    let violated = checker.reports().iter().filter(|rule| rule.violated > 0);
    violated.map(|rule| (rule.name.clone(), rule.violated)).collect()
}

fn single_violation(rule: Rule) -> Vec<(String, u64)> {
    vec![(rule.name().to_owned(), 1)]
}

#[test]
fn request_served_in_time_violates_nothing_and_is_removed() {
    let mut checker = checker(Idempotency::NonIdempotent);
    let attempt = checker.attempt_arrived(1, 7, 0, None, 10 * MS).expect("known request");
    checker.attempt_ended(1, attempt, true, 50 * MS);
    checker.response_received(1, FinalResponse::Served, 50 * MS);
    checker.remove_if_done(1);
    assert_eq!((violated_rules(&checker), checker.open_requests()), (vec![], 0));
    assert!(checker.reports().iter().filter(|rule| rule.checked > 0).count() >= 5);
}

#[test]
fn missing_late_and_second_responses_violate_one_outcome() {
    let mut missing = checker(Idempotency::Idempotent);
    missing.request_expired(1, 2 * SECOND);
    assert_eq!(violated_rules(&missing), single_violation(Rule::OneOutcome));
    for (at, expected) in [(SECOND + 20 * MS, vec![]), (SECOND + 21 * MS, single_violation(Rule::OneOutcome))]
    {
        let mut late = checker(Idempotency::Idempotent);
        late.response_received(1, FinalResponse::Failed, at);
        assert_eq!(violated_rules(&late), expected, "{at}");
    }
    let mut twice = checker(Idempotency::Idempotent);
    twice.response_received(1, FinalResponse::Failed, SECOND);
    twice.response_received(1, FinalResponse::Served, SECOND);
    assert_eq!(violated_rules(&twice), single_violation(Rule::OneOutcome));
    let mut excused = checker(Idempotency::Idempotent);
    excused.excuse(1);
    excused.request_expired(1, 2 * SECOND);
    assert_eq!(violated_rules(&excused), []);
}

#[test]
fn non_idempotent_request_is_repeated_only_if_it_never_ran() {
    for (ran, expected) in [(false, vec![]), (true, single_violation(Rule::RunsOnce))] {
        let mut checker = checker(Idempotency::NonIdempotent);
        let first = checker.attempt_arrived(1, 7, 0, None, 0).expect("known request");
        checker.attempt_ended(1, first, ran, 10 * MS);
        checker.attempt_arrived(1, 8, 0, None, 20 * MS);
        assert_eq!(violated_rules(&checker), expected, "{ran}");
    }
    let mut rejected = checker(Idempotency::NonIdempotent);
    let first = rejected.attempt_arrived(1, 7, 0, None, 0).expect("known request");
    rejected.attempt_ended(1, first, true, 10 * MS);
    rejected.response_received(1, FinalResponse::Rejected, 10 * MS);
    assert_eq!(violated_rules(&rejected), single_violation(Rule::RunsOnce));
}

#[test]
fn keyed_repeat_stays_in_its_group_and_window() {
    for (cell, at, expected) in [
        (3, 500 * MS, vec![]),
        (4, 500 * MS, single_violation(Rule::KeyedInGroup)),
        (3, SECOND + 11 * MS, single_violation(Rule::KeyedInGroup)),
    ] {
        let mut checker = checker(Idempotency::Keyed);
        let first = checker.attempt_arrived(1, 7, 3, None, 0).expect("known request");
        checker.attempt_ended(1, first, true, 10 * MS);
        checker.attempt_arrived(1, 8, cell, None, at);
        assert_eq!(violated_rules(&checker), expected, "group {cell} at {at}");
    }
}

#[test]
fn attempts_of_one_request_do_not_overlap() {
    for (ended, expected) in [(25 * MS, vec![]), (31 * MS, single_violation(Rule::NeverTwoOut))] {
        let mut checker = checker(Idempotency::Idempotent);
        let first = checker.attempt_arrived(1, 7, 0, None, 0).expect("known request");
        checker.attempt_arrived(1, 8, 0, None, 20 * MS);
        checker.attempt_ended(1, first, true, ended);
        assert_eq!(violated_rules(&checker), expected, "{ended}");
    }
}

#[test]
fn no_attempt_goes_to_a_draining_server_after_the_grace_period() {
    for (at, expected) in [(509 * MS, vec![]), (511 * MS, single_violation(Rule::DrainKept))] {
        let mut checker = checker(Idempotency::Idempotent);
        checker.attempt_arrived(1, 7, 0, Some(0), at);
        assert_eq!(violated_rules(&checker), expected, "{at}");
    }
}

#[test]
fn unknown_request_and_overloaded_cold_server_are_reported_with_their_ids() {
    let mut checker = checker(Idempotency::Idempotent);
    assert_eq!(checker.attempt_arrived(0xbeef, 7, 0, None, 5 * MS), None);
    checker.server_crashed("s3", true, 6 * MS);
    let first_violation = |rule: Rule| checker.reports()[rule as usize].violations[0].clone();
    assert_eq!(
        (first_violation(Rule::KnownOnly).id, first_violation(Rule::KnownOnly).at_ms),
        ("000000000000beef".to_owned(), 5.0)
    );
    assert_eq!(first_violation(Rule::ColdSpared).id, "s3");
}

#[test]
fn merged_checkers_add_counts_and_bound_the_kept_violations() {
    let mut merged = checker(Idempotency::Idempotent);
    for _ in 0..100 {
        let mut part = checker(Idempotency::Idempotent);
        part.request_expired(1, 2 * SECOND);
        merged.merge(&part);
    }
    let rule = &merged.reports()[Rule::OneOutcome as usize];
    assert_eq!((rule.violated, rule.violations.len()), (100, 50));
}
