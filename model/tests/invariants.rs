//! Each rule of the book, kept and broken.

use flaxdale_model::invariants::*;
use flaxdale_model::scenario::Idempotency;
use flaxdale_model::world::{MS, SECOND};

const LIMITS: Tolerances = Tolerances { answer_slack: 20 * MS, drain_grace: 500 * MS, clock_skew: 10 * MS };

fn ledger(effect: Idempotency) -> InvariantChecker {
    let mut ledger = InvariantChecker::new(LIMITS, 0);
    ledger.request_sent(1, effect, SECOND, SECOND, 0);
    ledger
}

/// The rules that are broken, and how often.
fn broken(ledger: &InvariantChecker) -> Vec<(String, u64)> {
    let broken = ledger.reports().iter().filter(|rule| rule.violated > 0);
    broken.map(|rule| (rule.name.clone(), rule.violated)).collect()
}

fn only(rule: Rule) -> Vec<(String, u64)> {
    vec![(rule.name().to_owned(), 1)]
}

#[test]
fn a_request_served_in_time_breaks_nothing_and_is_forgotten() {
    let mut ledger = ledger(Idempotency::NonIdempotent);
    let attempt = ledger.attempt_arrived(1, 7, 0, None, 10 * MS).expect("known");
    ledger.attempt_ended(1, attempt, true, 50 * MS);
    ledger.request_answered(1, FinalAnswer::Served, 50 * MS);
    ledger.remove_if_done(1);
    assert_eq!((broken(&ledger), ledger.open_requests()), (vec![], 0));
    assert!(ledger.reports().iter().filter(|rule| rule.checked > 0).count() >= 5);
}

#[test]
fn no_answer_or_a_late_one_is_no_final_outcome_in_time() {
    let mut lost = ledger(Idempotency::Idempotent);
    lost.request_expired(1, 2 * SECOND);
    assert_eq!(broken(&lost), only(Rule::OneOutcome));
    for (at, expected) in [(SECOND + 20 * MS, vec![]), (SECOND + 21 * MS, only(Rule::OneOutcome))] {
        let mut late = ledger(Idempotency::Idempotent);
        late.request_answered(1, FinalAnswer::Failed, at);
        assert_eq!(broken(&late), expected, "{at}");
    }
    let mut twice = ledger(Idempotency::Idempotent);
    twice.request_answered(1, FinalAnswer::Failed, SECOND);
    twice.request_answered(1, FinalAnswer::Served, SECOND);
    assert_eq!(broken(&twice), only(Rule::OneOutcome));
    let mut excused = ledger(Idempotency::Idempotent);
    excused.excuse(1);
    excused.request_expired(1, 2 * SECOND);
    assert_eq!(broken(&excused), []);
}

#[test]
fn what_must_run_once_goes_on_only_if_it_surely_never_ran() {
    for (ran, expected) in [(false, vec![]), (true, only(Rule::RunsOnce))] {
        let mut ledger = ledger(Idempotency::NonIdempotent);
        let first = ledger.attempt_arrived(1, 7, 0, None, 0).expect("known");
        ledger.attempt_ended(1, first, ran, 10 * MS);
        ledger.attempt_arrived(1, 8, 0, None, 20 * MS);
        assert_eq!(broken(&ledger), expected, "{ran}");
    }
    let mut refused = ledger(Idempotency::NonIdempotent);
    let first = refused.attempt_arrived(1, 7, 0, None, 0).expect("known");
    refused.attempt_ended(1, first, true, 10 * MS);
    refused.request_answered(1, FinalAnswer::Rejected, 10 * MS);
    assert_eq!(broken(&refused), only(Rule::RunsOnce));
}

#[test]
fn a_keyed_repeat_stays_in_its_group_and_window() {
    for (cell, at, expected) in [
        (3, 500 * MS, vec![]),
        (4, 500 * MS, only(Rule::KeyedInGroup)),
        (3, SECOND + 11 * MS, only(Rule::KeyedInGroup)),
    ] {
        let mut ledger = ledger(Idempotency::Keyed);
        let first = ledger.attempt_arrived(1, 7, 3, None, 0).expect("known");
        ledger.attempt_ended(1, first, true, 10 * MS);
        ledger.attempt_arrived(1, 8, cell, None, at);
        assert_eq!(broken(&ledger), expected, "group {cell} at {at}");
    }
}

#[test]
fn two_attempts_of_one_request_are_never_out_together() {
    for (ended, expected) in [(25 * MS, vec![]), (31 * MS, only(Rule::NeverTwoOut))] {
        let mut ledger = ledger(Idempotency::Idempotent);
        let first = ledger.attempt_arrived(1, 7, 0, None, 0).expect("known");
        ledger.attempt_arrived(1, 8, 0, None, 20 * MS);
        ledger.attempt_ended(1, first, true, ended);
        assert_eq!(broken(&ledger), expected, "{ended}");
    }
}

#[test]
fn nothing_new_goes_to_a_draining_server_after_the_grace() {
    for (at, expected) in [(509 * MS, vec![]), (511 * MS, only(Rule::DrainKept))] {
        let mut ledger = ledger(Idempotency::Idempotent);
        ledger.attempt_arrived(1, 7, 0, Some(0), at);
        assert_eq!(broken(&ledger), expected, "{at}");
    }
}

#[test]
fn an_id_that_nobody_sent_and_a_cold_server_pushed_over_are_told_with_their_names() {
    let mut ledger = ledger(Idempotency::Idempotent);
    assert_eq!(ledger.attempt_arrived(0xbeef, 7, 0, None, 5 * MS), None);
    ledger.server_crashed("s3", true, 6 * MS);
    let told = |rule: Rule| ledger.reports()[rule as usize].violations[0].clone();
    assert_eq!((told(Rule::KnownOnly).id, told(Rule::KnownOnly).at_ms), ("000000000000beef".to_owned(), 5.0));
    assert_eq!(told(Rule::ColdSpared).id, "s3");
}

#[test]
fn books_add_up_and_keep_a_bound_of_breaches() {
    let mut whole = ledger(Idempotency::Idempotent);
    for _ in 0..100 {
        let mut part = ledger(Idempotency::Idempotent);
        part.request_expired(1, 2 * SECOND);
        whole.merge(&part);
    }
    let rule = &whole.reports()[Rule::OneOutcome as usize];
    assert_eq!((rule.violated, rule.violations.len()), (100, 50));
}
