//! The operator's hand on zones, and regions, on the core.

mod common;

use brookfield::*;
use common::*;

/// Two servers in each of three zones; home is the first.
fn node(seed: u64) -> Node {
    let members = (0..6).map(|backend| member(backend, backend / 2)).collect();
    Node::with_seed(seed, settings(Idempotency::Idempotent), members)
}

fn order(zone: u32, region: u32, share: f64) -> ZoneOverride {
    ZoneOverride { zone: ZoneId(zone), region, traffic_share: share }
}

/// How many of so many requests each zone was sent.
fn served(node: &mut Node, count: usize) -> [usize; 3] {
    let mut zones = [0; 3];
    for to in node.serve(count, |_| util(0.3)) {
        zones[to.0 as usize / 2] += 1;
    }
    zones
}

#[test]
fn an_empty_set_of_overrides_changes_nothing() {
    let (mut plain, mut ordered) = (node(3), node(3));
    ordered.handle(Event::ZoneOverrides(Vec::new()));
    assert_eq!(plain.serve(200, |_| util(0.9)), ordered.serve(200, |_| util(0.9)));
}

#[test]
fn a_drained_home_zone_is_left_gradually_and_returned_to_more_slowly() {
    let mut node = node(1);
    assert_eq!(served(&mut node, 200), [200, 0, 0]);
    node.handle(Event::ZoneOverrides(vec![order(0, 0, 0.0)]));
    // 2 s in, about half of them have left; after 6 s all have.
    let leaving = served(&mut node, 200);
    assert!((60..160).contains(&leaving[0]) && leaving[0] < 190, "{leaving:?}");
    served(&mut node, 400);
    let away = served(&mut node, 200);
    assert_eq!(away[0], 0, "{away:?}");
    assert_eq!(away.iter().sum::<usize>(), 200, "all were served elsewhere");
    node.handle(Event::ZoneOverrides(Vec::new()));
    let returning = served(&mut node, 200);
    assert!((1..60).contains(&returning[0]), "{returning:?}");
    served(&mut node, 3000);
    assert_eq!(served(&mut node, 200), [200, 0, 0], "and all are back in the end");
}

#[test]
fn a_starting_node_adopts_overrides_at_once_and_running_nodes_move_at_different_rates() {
    let mut fresh = node(1);
    fresh.handle(Event::ZoneOverrides(vec![order(0, 0, 0.0)]));
    assert_eq!(served(&mut fresh, 100)[0], 0);
    let mut running: Vec<Node> = (0..20).map(node).collect();
    let mut left = Vec::new();
    for node in &mut running {
        served(node, 20);
        node.handle(Event::ZoneOverrides(vec![order(0, 0, 0.0)]));
        left.push(served(node, 200)[0]);
    }
    left.sort_unstable();
    assert!(left[0] > 40 && left[19] > left[0], "all at once, or in step: {left:?}");
}

#[test]
fn a_closed_zone_takes_no_overflow_and_a_partial_share_is_kept() {
    let over = |backend: BackendId| util(if backend.0 < 2 { 0.9 } else { 0.3 });
    let zones = |node: &mut Node, count| {
        let mut zones = [0; 3];
        node.serve(count, over).iter().for_each(|to| zones[to.0 as usize / 2] += 1);
        zones
    };
    let mut held = node(1);
    held.handle(Event::ZoneOverrides(vec![order(1, 0, 0.0)]));
    let spilled = zones(&mut held, 400);
    assert!(spilled[1] == 0 && spilled[2] > 100, "{spilled:?}");
    let mut half = node(1);
    half.handle(Event::ZoneOverrides(vec![order(0, 0, 0.5)]));
    let split = served(&mut half, 400);
    assert!((140..260).contains(&split[0]), "{split:?}");
}

#[test]
fn overflow_stays_in_the_home_region_while_a_zone_there_qualifies() {
    // Zone 2 is nearer by its figures, zone 1 by its region.
    let figures = |backend: BackendId| util([0.9, 0.6, 0.1][backend.0 as usize / 2]);
    let spill = |orders: Vec<ZoneOverride>| {
        let mut node = node(5);
        node.handle(Event::ZoneOverrides(orders));
        // One after the other, so that nothing is full; both other zones are seen first.
        node.serve(400, figures);
        let mut zones = [0; 3];
        for _ in 0..50 {
            node.serve(1, figures).iter().for_each(|to| zones[to.0 as usize / 2] += 1);
        }
        zones
    };
    let one_region = spill(Vec::new());
    assert!(one_region[2] > 10 * one_region[1].max(1), "{one_region:?}");
    let two = spill(vec![order(0, 1, 1.0), order(1, 1, 1.0), order(2, 2, 1.0)]);
    assert!(two[1] > 10 * two[2].max(1), "{two:?}");
}

#[test]
fn requests_are_rejected_while_all_zones_are_closed() {
    let mut node = node(1);
    node.handle(Event::ZoneOverrides((0..3).map(|zone| order(zone, 0, 0.0)).collect()));
    let (request, mut actions) = node.request(SECOND);
    actions.extend(node.advance(2 * SECOND));
    assert_eq!(sends(&actions), []);
    let refused = |action: &Action| matches!(action, Action::Reject { request: of, .. } if *of == request);
    assert_eq!(actions.iter().filter(|action| refused(action)).count(), 1, "{actions:?}");
    // What can't be a share is none.
    node.handle(Event::ZoneOverrides(vec![order(0, 0, f64::NAN), order(9, 0, 0.0), order(1, 0, -3.0)]));
    node.advance(60 * SECOND);
    assert_eq!(served(&mut node, 50)[0], 50);
}
