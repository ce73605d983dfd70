use proptest::prelude::*;

use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn header(incarnation: u64, rev: u64, full: bool) -> ListHeader {
    ListHeader { incarnation, rev, full, age: Some(Duration::ZERO) }
}

#[test]
fn it_takes_the_whole_list_first_and_then_watches_for_changes() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.5);
    let (_, request) = client.next_request(s(0.0));
    assert_eq!((request.replica, request.from, request.hold), (1, None, Duration::ZERO));
    assert_eq!(client.on_response(s(0.0), s(0.0), header(1, 7, true)), ListUpdate::Full);
    let (at, request) = client.next_request(s(0.0));
    assert_eq!((at, request.from, request.seen), (WatchPolicy::default().min_interval, Some(7), Some(7)));
    assert_eq!(client.on_response(s(0.0), s(1.0), header(1, 9, false)), ListUpdate::Changes);
    assert_eq!(client.next_request(s(1.0)).1.from, Some(9));
    assert_eq!(client.age(s(3.0)), Some(s(2.0)));
}

#[test]
fn a_failing_replica_is_left_soon_and_a_failing_registry_is_not_pressed() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    client.on_response(s(0.0), s(0.0), header(1, 7, true));
    let mut replicas = Vec::new();
    let mut now = s(1.0);
    let mut waits = Vec::new();
    for _ in 0..12 {
        client.on_failure(now, None, 1.0);
        let (at, request) = client.next_request(now);
        assert_eq!(request.from, Some(7), "it goes on from where it was");
        replicas.push(request.replica);
        waits.push(at - now);
        now = at;
    }
    assert_eq!(replicas[..4], [1, 2, 0, 1]);
    assert!(waits[0] <= s(0.05), "another one almost at once: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= s(2.0)));
    assert!(waits[11] > 4 * waits[0], "{waits:?}");
    client.on_response(now, now, header(1, 7, false));
    client.on_failure(now, None, 1.0);
    assert!(client.next_request(now).0 - now <= s(0.05), "an answer ends the waiting");
}

/// A second silent replica was waited out as long as the first: what both missed came 6 s too late.
#[test]
fn after_a_silent_replica_the_next_one_is_asked_for_an_answer_and_not_for_news() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    client.on_response(s(0.0), s(0.0), header(1, 7, true));
    assert_eq!(client.next_request(s(0.0)).1.hold, WatchPolicy::default().hold);
    client.on_failure(s(6.0), None, 0.5);
    let (_, request) = client.next_request(s(6.0));
    assert_eq!((request.replica, request.from, request.hold), (1, Some(7), Duration::ZERO));
    client.on_failure(s(7.0), None, 0.5);
    assert_eq!(client.next_request(s(7.0)).1.hold, Duration::ZERO);
    client.on_response(s(7.1), s(7.1), header(1, 8, false));
    assert_eq!(client.next_request(s(7.1)).1.hold, WatchPolicy::default().hold, "an answer is trusted again");
}

#[test]
fn a_new_incarnation_adds_at_once_and_takes_away_only_when_all_had_time_to_register() {
    let rules = WatchPolicy::default();
    let mut client = WatchClient::new(rules, 1, 0.0);
    client.on_response(s(0.0), s(0.0), header(1, 40, true));
    assert_eq!(
        client.on_response(s(1.0), s(1.0), header(2, 100, true)),
        ListUpdate::Changes,
        "none is taken for gone"
    );
    assert_eq!(client.on_response(s(2.0), s(2.0), header(2, 103, false)), ListUpdate::Changes);
    let over = s(1.0) + rules.incarnation_grace;
    let (_, request) = client.next_request(over - s(0.5));
    assert!(request.hold <= s(0.5), "the watch ends in time: {request:?}");
    let (_, request) = client.next_request(over);
    assert_eq!((request.from, request.seen), (None, Some(103)), "the whole list is wanted then");
    assert_eq!(client.on_response(over, over, header(2, 103, true)), ListUpdate::Full);
    assert_eq!(client.next_request(over).1.from, Some(103));
}

#[test]
fn one_that_knows_little_is_left_for_another_but_not_for_ever() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    let old = |age| ListHeader { age, ..header(1, 7, true) };
    assert_eq!(client.on_response(s(0.0), s(9.0), old(None)), ListUpdate::Full, "what it knows counts");
    assert_eq!(client.next_request(s(9.0)).1.replica, 1);
    assert_eq!(client.age(s(9.0)), None, "nobody knows how old that was");
    client.on_response(s(9.0), s(9.0), ListHeader { full: false, ..old(Some(s(7.0))) });
    assert_eq!(client.next_request(s(9.0)).1.replica, 2);
    assert_eq!(client.age(s(9.0)), Some(s(7.0)));
    for _ in 0..5 {
        client.on_response(s(9.0), s(9.0), ListHeader { full: false, ..old(None) });
    }
    assert_eq!(client.next_request(s(9.0)).1.replica, 2, "all are as bad: it stays");
}

proptest! {
    /// Whatever replicas answer and in whatever order, the client's version never steps back, changes are taken only
    /// onto the version that they were asked from, and calls keep their distance.
    #[test]
    fn the_version_never_steps_back(
        answers in prop::collection::vec((0u8..4, 1u64..4, 0u64..50, any::<bool>(), 0u64..9000), 1..200)
    ) {
        let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.3);
        let (mut now, mut last) = (s(0.0), (0, 0));
        for (kind, incarnation, rev, full, age) in answers {
            let (at, request) = client.next_request(now);
            prop_assert!(at >= now && at <= now + s(2.0));
            now = at;
            if kind == 0 {
                client.on_failure(now, None, 0.7);
                continue;
            }
            let age = (kind > 1).then(|| Duration::from_millis(age));
            let took = client.on_response(at, now, ListHeader { incarnation, rev, full, age });
            if took != ListUpdate::Ignore {
                prop_assert!((incarnation, rev) >= last);
                prop_assert!(full || request.from.is_some(), "changes onto nothing");
                last = (incarnation, rev);
            }
            prop_assert_eq!(client.rev().is_some(), last != (0, 0) || client.rev() == Some(0));
        }
    }
}
