//! Operator overrides of zones: traffic shares and regions.

mod common;

use brookfield::*;
use common::*;

/// A node with two backends in each of three zones; the first zone is its home zone.
fn node(seed: u64) -> Node {
    let members = (0..6).map(|backend| member(backend, backend / 2)).collect();
    Node::with_seed(seed, settings(Idempotency::Idempotent), members)
}

fn zone_override(zone: u32, region: u32, share: f64) -> ZoneOverride {
    ZoneOverride { zone: ZoneId(zone), region, traffic_share: share }
}

/// Number of requests that each zone served.
fn served(node: &mut Node, count: usize) -> [usize; 3] {
    let mut zones = [0; 3];
    for to in node.serve(count, |_| util(0.3)) {
        zones[to.0 as usize / 2] += 1;
    }
    zones
}

#[test]
fn an_empty_set_of_overrides_changes_nothing() {
    let (mut without_overrides, mut with_overrides) = (node(3), node(3));
    with_overrides.handle(Event::ZoneOverrides(Vec::new()));
    assert_eq!(without_overrides.serve(200, |_| util(0.9)), with_overrides.serve(200, |_| util(0.9)));
}

#[test]
fn a_drained_home_zone_is_left_gradually_and_returned_to_more_slowly() {
    let mut node = node(1);
    assert_eq!(served(&mut node, 200), [200, 0, 0]);
    node.handle(Event::ZoneOverrides(vec![zone_override(0, 0, 0.0)]));
    // At 2 s about half of the traffic has moved, at 6 s all of it.
    let leaving = served(&mut node, 200);
    assert!((60..160).contains(&leaving[0]) && leaving[0] < 190, "{leaving:?}");
    served(&mut node, 400);
    let away = served(&mut node, 200);
    assert_eq!(away[0], 0, "{away:?}");
    assert_eq!(away.iter().sum::<usize>(), 200, "all requests are served in other zones");
    node.handle(Event::ZoneOverrides(Vec::new()));
    let returning = served(&mut node, 200);
    assert!((1..60).contains(&returning[0]), "{returning:?}");
    served(&mut node, 3000);
    assert_eq!(served(&mut node, 200), [200, 0, 0], "all traffic has returned");
}

#[test]
fn a_starting_node_adopts_overrides_at_once_and_running_nodes_move_at_different_rates() {
    let mut started = node(1);
    started.handle(Event::ZoneOverrides(vec![zone_override(0, 0, 0.0)]));
    assert_eq!(served(&mut started, 100)[0], 0);
    let mut running: Vec<Node> = (0..20).map(node).collect();
    let mut home_counts = Vec::new();
    for node in &mut running {
        served(node, 20);
        node.handle(Event::ZoneOverrides(vec![zone_override(0, 0, 0.0)]));
        home_counts.push(served(node, 200)[0]);
    }
    home_counts.sort_unstable();
    assert!(
        home_counts[0] > 40 && home_counts[19] > home_counts[0],
        "nodes moved at once or in step: {home_counts:?}"
    );
}

/// Guards against a node that adopts an invalid share at its start, before the share is checked.
#[test]
fn a_starting_node_treats_an_invalid_share_as_no_override() {
    for invalid in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let mut started = node(1);
        started.handle(Event::ZoneOverrides(vec![zone_override(0, 0, invalid)]));
        assert_eq!(served(&mut started, 100), [100, 0, 0], "{invalid}");
    }
}

#[test]
fn a_closed_zone_takes_no_overflow_and_a_partial_share_is_kept() {
    let reports = |backend: BackendId| util(if backend.0 < 2 { 0.9 } else { 0.3 });
    let zones = |node: &mut Node, count| {
        let mut zones = [0; 3];
        node.serve(count, reports).iter().for_each(|to| zones[to.0 as usize / 2] += 1);
        zones
    };
    let mut closed = node(1);
    closed.handle(Event::ZoneOverrides(vec![zone_override(1, 0, 0.0)]));
    let spilled = zones(&mut closed, 400);
    assert!(spilled[1] == 0 && spilled[2] > 100, "{spilled:?}");
    let mut half = node(1);
    half.handle(Event::ZoneOverrides(vec![zone_override(0, 0, 0.5)]));
    let split = served(&mut half, 400);
    assert!((140..260).contains(&split[0]), "{split:?}");
}

#[test]
fn overflow_stays_in_the_home_region_while_a_zone_there_qualifies() {
    // Zone 2 has more headroom, zone 1 is in the home region.
    let reports = |backend: BackendId| util([0.9, 0.6, 0.1][backend.0 as usize / 2]);
    let spill = |overrides: Vec<ZoneOverride>| {
        let mut node = node(5);
        node.handle(Event::ZoneOverrides(overrides));
        // Both other zones report first; then requests are sent one at a time, so that no backend is full.
        node.serve(400, reports);
        let mut zones = [0; 3];
        for _ in 0..50 {
            node.serve(1, reports).iter().for_each(|to| zones[to.0 as usize / 2] += 1);
        }
        zones
    };
    let one_region = spill(Vec::new());
    assert!(one_region[2] > 10 * one_region[1].max(1), "{one_region:?}");
    let two_regions =
        spill(vec![zone_override(0, 1, 1.0), zone_override(1, 1, 1.0), zone_override(2, 2, 1.0)]);
    assert!(two_regions[1] > 10 * two_regions[2].max(1), "{two_regions:?}");
}

#[test]
fn requests_are_rejected_while_all_zones_are_closed() {
    let mut node = node(1);
    node.handle(Event::ZoneOverrides((0..3).map(|zone| zone_override(zone, 0, 0.0)).collect()));
    let (request, mut actions) = node.request(SECOND);
    actions.extend(node.advance(2 * SECOND));
    assert_eq!(sends(&actions), []);
    let is_rejection =
        |action: &Action| matches!(action, Action::Reject { request: other, .. } if *other == request);
    assert_eq!(actions.iter().filter(|action| is_rejection(action)).count(), 1, "{actions:?}");
    // An invalid share counts as no override, and a negative one as 0.
    node.handle(Event::ZoneOverrides(vec![
        zone_override(0, 0, f64::NAN),
        zone_override(9, 0, 0.0),
        zone_override(1, 0, -3.0),
    ]));
    node.advance(60 * SECOND);
    assert_eq!(served(&mut node, 50)[0], 50);
}
