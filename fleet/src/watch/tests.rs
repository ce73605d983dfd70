use proptest::prelude::*;

use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn head(incarnation: u64, rev: u64, all: bool) -> Head {
    Head { incarnation, rev, all, age: Some(Duration::ZERO) }
}

#[test]
fn it_takes_the_whole_list_first_and_then_watches_for_changes() {
    let mut follower = Follower::new(Rules::default(), 3, 0.5);
    let (_, ask) = follower.next(s(0.0));
    assert_eq!((ask.replica, ask.from, ask.hold), (1, None, Duration::ZERO));
    assert_eq!(follower.answered(s(0.0), s(0.0), head(1, 7, true)), Take::Whole);
    let (at, ask) = follower.next(s(0.0));
    assert_eq!((at, ask.from, ask.seen), (Rules::default().pace, Some(7), Some(7)));
    assert_eq!(follower.answered(s(0.0), s(1.0), head(1, 9, false)), Take::Changes);
    assert_eq!(follower.next(s(1.0)).1.from, Some(9));
    assert_eq!(follower.age(s(3.0)), Some(s(2.0)));
}

#[test]
fn a_failing_replica_is_left_soon_and_a_failing_registry_is_not_pressed() {
    let mut follower = Follower::new(Rules::default(), 3, 0.0);
    follower.answered(s(0.0), s(0.0), head(1, 7, true));
    let mut replicas = Vec::new();
    let mut now = s(1.0);
    let mut waits = Vec::new();
    for _ in 0..12 {
        follower.failed(now, None, 1.0);
        let (at, ask) = follower.next(now);
        assert_eq!(ask.from, Some(7), "it goes on from where it was");
        replicas.push(ask.replica);
        waits.push(at - now);
        now = at;
    }
    assert_eq!(replicas[..4], [1, 2, 0, 1]);
    assert!(waits[0] <= s(0.05), "another one almost at once: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= s(2.0)));
    assert!(waits[11] > 4 * waits[0], "{waits:?}");
    follower.answered(now, now, head(1, 7, false));
    follower.failed(now, None, 1.0);
    assert!(follower.next(now).0 - now <= s(0.05), "an answer ends the waiting");
}

/// A second silent replica was waited out as long as the first: what both missed came 6 s too late.
#[test]
fn after_a_silent_replica_the_next_one_is_asked_for_an_answer_and_not_for_news() {
    let mut follower = Follower::new(Rules::default(), 3, 0.0);
    follower.answered(s(0.0), s(0.0), head(1, 7, true));
    assert_eq!(follower.next(s(0.0)).1.hold, Rules::default().hold);
    follower.failed(s(6.0), None, 0.5);
    let (_, ask) = follower.next(s(6.0));
    assert_eq!((ask.replica, ask.from, ask.hold), (1, Some(7), Duration::ZERO));
    follower.failed(s(7.0), None, 0.5);
    assert_eq!(follower.next(s(7.0)).1.hold, Duration::ZERO);
    follower.answered(s(7.1), s(7.1), head(1, 8, false));
    assert_eq!(follower.next(s(7.1)).1.hold, Rules::default().hold, "an answer is trusted again");
}

#[test]
fn a_new_incarnation_adds_at_once_and_takes_away_only_when_all_had_time_to_register() {
    let rules = Rules::default();
    let mut follower = Follower::new(rules, 1, 0.0);
    follower.answered(s(0.0), s(0.0), head(1, 40, true));
    assert_eq!(
        follower.answered(s(1.0), s(1.0), head(2, 100, true)),
        Take::Changes,
        "none is taken for gone"
    );
    assert_eq!(follower.answered(s(2.0), s(2.0), head(2, 103, false)), Take::Changes);
    let over = s(1.0) + rules.settle;
    let (_, ask) = follower.next(over - s(0.5));
    assert!(ask.hold <= s(0.5), "the watch ends in time: {ask:?}");
    let (_, ask) = follower.next(over);
    assert_eq!((ask.from, ask.seen), (None, Some(103)), "the whole list is wanted then");
    assert_eq!(follower.answered(over, over, head(2, 103, true)), Take::Whole);
    assert_eq!(follower.next(over).1.from, Some(103));
}

#[test]
fn one_that_knows_little_is_left_for_another_but_not_for_ever() {
    let mut follower = Follower::new(Rules::default(), 3, 0.0);
    let old = |age| Head { age, ..head(1, 7, true) };
    assert_eq!(follower.answered(s(0.0), s(9.0), old(None)), Take::Whole, "what it knows counts");
    assert_eq!(follower.next(s(9.0)).1.replica, 1);
    assert_eq!(follower.age(s(9.0)), None, "nobody knows how old that was");
    follower.answered(s(9.0), s(9.0), Head { all: false, ..old(Some(s(7.0))) });
    assert_eq!(follower.next(s(9.0)).1.replica, 2);
    assert_eq!(follower.age(s(9.0)), Some(s(7.0)));
    for _ in 0..5 {
        follower.answered(s(9.0), s(9.0), Head { all: false, ..old(None) });
    }
    assert_eq!(follower.next(s(9.0)).1.replica, 2, "all are as bad: it stays");
}

proptest! {
    /// Whatever replicas answer and in whatever order, the client's version never steps back, changes are taken only
    /// onto the version that they were asked from, and calls keep their distance.
    #[test]
    fn the_version_never_steps_back(
        answers in prop::collection::vec((0u8..4, 1u64..4, 0u64..50, any::<bool>(), 0u64..9000), 1..200)
    ) {
        let mut follower = Follower::new(Rules::default(), 3, 0.3);
        let (mut now, mut last) = (s(0.0), (0, 0));
        for (kind, incarnation, rev, all, age) in answers {
            let (at, ask) = follower.next(now);
            prop_assert!(at >= now && at <= now + s(2.0));
            now = at;
            if kind == 0 {
                follower.failed(now, None, 0.7);
                continue;
            }
            let age = (kind > 1).then(|| Duration::from_millis(age));
            let took = follower.answered(at, now, Head { incarnation, rev, all, age });
            if took != Take::Nothing {
                prop_assert!((incarnation, rev) >= last);
                prop_assert!(all || ask.from.is_some(), "changes onto nothing");
                last = (incarnation, rev);
            }
            prop_assert_eq!(follower.rev().is_some(), last != (0, 0) || follower.rev() == Some(0));
        }
    }
}
