use proptest::prelude::*;

use super::*;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn header(incarnation: u64, rev: u64, full: bool) -> ListHeader {
    ListHeader { incarnation, rev, full, age: Some(Duration::ZERO) }
}

#[test]
fn the_full_list_is_requested_first_and_changes_afterwards() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.5);
    let (_, request) = client.next_request(secs(0.0));
    assert_eq!((request.replica, request.from, request.hold), (1, None, Duration::ZERO));
    assert_eq!(client.on_response(secs(0.0), secs(0.0), header(1, 7, true)), ListUpdate::Full);
    let (at, request) = client.next_request(secs(0.0));
    assert_eq!((at, request.from, request.seen), (WatchPolicy::default().min_interval, Some(7), Some(7)));
    assert_eq!(client.on_response(secs(0.0), secs(1.0), header(1, 9, false)), ListUpdate::Changes);
    assert_eq!(client.next_request(secs(1.0)).1.from, Some(9));
    assert_eq!(client.age(secs(3.0)), Some(secs(2.0)));
}

#[test]
fn a_failing_replica_is_replaced_quickly_and_a_failing_registry_is_retried_with_backoff() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    client.on_response(secs(0.0), secs(0.0), header(1, 7, true));
    let mut replicas = Vec::new();
    let mut now = secs(1.0);
    let mut waits = Vec::new();
    for _ in 0..12 {
        client.on_failure(now, None, 1.0);
        let (at, request) = client.next_request(now);
        assert_eq!(request.from, Some(7), "a failure keeps the revision");
        replicas.push(request.replica);
        waits.push(at - now);
        now = at;
    }
    assert_eq!(replicas[..4], [1, 2, 0, 1]);
    assert!(waits[0] <= secs(0.05), "the next replica is tried quickly: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= secs(2.0)));
    assert!(waits[11] > 4 * waits[0], "{waits:?}");
    client.on_response(now, now, header(1, 7, false));
    client.on_failure(now, None, 1.0);
    assert!(client.next_request(now).0 - now <= secs(0.05), "a response resets the backoff");
}

/// Guards against waiting out the hold time of a second unresponsive replica, which delays changes.
#[test]
fn after_a_failure_the_next_request_is_not_a_long_poll() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    client.on_response(secs(0.0), secs(0.0), header(1, 7, true));
    assert_eq!(client.next_request(secs(0.0)).1.hold, WatchPolicy::default().hold);
    client.on_failure(secs(6.0), None, 0.5);
    let (_, request) = client.next_request(secs(6.0));
    assert_eq!((request.replica, request.from, request.hold), (1, Some(7), Duration::ZERO));
    client.on_failure(secs(7.0), None, 0.5);
    assert_eq!(client.next_request(secs(7.0)).1.hold, Duration::ZERO);
    client.on_response(secs(7.1), secs(7.1), header(1, 8, false));
    assert_eq!(
        client.next_request(secs(7.1)).1.hold,
        WatchPolicy::default().hold,
        "long polls resume after a response"
    );
}

/// Guards against giving up every call to a registry whose replicas are all slow: the list was never updated again.
#[test]
fn a_list_is_received_from_replicas_that_are_all_slow() {
    for latency in [0.5, 1.5, 2.5, 5.0] {
        let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
        let (mut now, mut responses, mut timeouts) = (secs(0.0), 0, 0);
        while now < secs(120.0) {
            let (sent_at, request) = client.next_request(now);
            let response_time = request.hold + secs(latency);
            if response_time > request.timeout {
                now = sent_at + request.timeout;
                timeouts += 1;
                client.on_failure(now, None, 1.0);
            } else {
                now = sent_at + response_time;
                responses += 1;
                client.on_response(sent_at, now, header(1, 7, request.from.is_none()));
            }
        }
        // A round of timeouts or two until the timeout has grown, and none once the latency is known.
        assert!(responses >= 8 && timeouts <= 9, "{latency} s: {responses} responses, {timeouts} timeouts");
    }
}

#[test]
fn a_new_incarnation_adds_instances_at_once_and_removes_them_only_after_the_grace_period() {
    let policy = WatchPolicy::default();
    let mut client = WatchClient::new(policy, 1, 0.0);
    client.on_response(secs(0.0), secs(0.0), header(1, 40, true));
    assert_eq!(
        client.on_response(secs(1.0), secs(1.0), header(2, 100, true)),
        ListUpdate::Changes,
        "no instance is removed"
    );
    assert_eq!(client.on_response(secs(2.0), secs(2.0), header(2, 103, false)), ListUpdate::Changes);
    let grace_end = secs(1.0) + policy.incarnation_grace;
    let (_, request) = client.next_request(grace_end - secs(0.5));
    assert!(request.hold <= secs(0.5), "the long poll ends with the grace period: {request:?}");
    let (_, request) = client.next_request(grace_end);
    assert_eq!(
        (request.from, request.seen),
        (None, Some(103)),
        "the full list is requested after the grace period"
    );
    assert_eq!(client.on_response(grace_end, grace_end, header(2, 103, true)), ListUpdate::Full);
    assert_eq!(client.next_request(grace_end).1.from, Some(103));
}

#[test]
fn a_stale_replica_is_replaced_unless_all_replicas_are_stale() {
    let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.0);
    let stale = |age| ListHeader { age, ..header(1, 7, true) };
    assert_eq!(
        client.on_response(secs(0.0), secs(9.0), stale(None)),
        ListUpdate::Full,
        "a stale list is applied"
    );
    assert_eq!(client.next_request(secs(9.0)).1.replica, 1);
    assert_eq!(client.age(secs(9.0)), None, "the age is unknown");
    client.on_response(secs(9.0), secs(9.0), ListHeader { full: false, ..stale(Some(secs(7.0))) });
    assert_eq!(client.next_request(secs(9.0)).1.replica, 2);
    assert_eq!(client.age(secs(9.0)), Some(secs(7.0)));
    for _ in 0..5 {
        client.on_response(secs(9.0), secs(9.0), ListHeader { full: false, ..stale(None) });
    }
    assert_eq!(
        client.next_request(secs(9.0)).1.replica,
        2,
        "all replicas are stale: the client stays at the last one"
    );
}

proptest! {
    /// For any sequence of responses the revision never decreases, changes are applied only to a known list, and the
    /// wait before a request stays within its bounds.
    #[test]
    fn the_revision_never_decreases(
        responses in prop::collection::vec((0u8..4, 1u64..4, 0u64..50, any::<bool>(), 0u64..9000), 1..200)
    ) {
        let mut client = WatchClient::new(WatchPolicy::default(), 3, 0.3);
        let (mut now, mut last) = (secs(0.0), (0, 0));
        for (kind, incarnation, rev, full, age) in responses {
            let (at, request) = client.next_request(now);
            prop_assert!(at >= now && at <= now + secs(2.0));
            now = at;
            if kind == 0 {
                client.on_failure(now, None, 0.7);
                continue;
            }
            let age = (kind > 1).then(|| Duration::from_millis(age));
            let update = client.on_response(at, now, ListHeader { incarnation, rev, full, age });
            if update != ListUpdate::Ignore {
                prop_assert!((incarnation, rev) >= last);
                prop_assert!(full || request.from.is_some(), "changes applied without a list");
                last = (incarnation, rev);
            }
            prop_assert_eq!(client.rev().is_some(), last != (0, 0) || client.rev() == Some(0));
        }
    }
}
