//! Zone selection: the home zone under the spill threshold, else the best other zone, else home again.

mod common;
use brookfield::*;
use common::*;

fn zones() -> Vec<Member> {
    (0..6).map(|backend| member(backend, backend / 2)).collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

/// A node that has load reports of every zone; each zone is listed alone until it has reported.
fn with_reports(utilisations: [f64; 3]) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    for remote in [1, 2, 0] {
        let only = zones().into_iter().filter(|member| member.zone == ZoneId(remote)).collect();
        node.update_list(ListScope::Full, only);
        node.update_list(ListScope::Full, zones().into_iter().filter(|m| m.zone == ZoneId(remote)).collect());
        node.serve(10, |to| util(utilisations[zone(to) as usize]));
    }
    node
}

#[test]
fn the_home_zone_serves_under_the_spill_threshold() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |_| util(0.5));
    // Until the first reports arrive, sends count as load in full.
    assert!(used[25..].iter().all(|&to| zone(to) == 0), "{used:?}");
}

#[test]
fn a_zone_without_reports_gets_the_first_overflow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |to| util(if zone(to) == 0 { 0.95 } else { 0.3 }));
    assert!(used.iter().any(|&to| zone(to) != 0));
}

#[test]
fn overflow_goes_to_the_zone_with_the_most_headroom() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let load = [0.95, 0.7, 0.2];
    let used = node.serve(200, |to| util(load[zone(to) as usize]));
    let late = &used[50..];
    let count = |z| late.iter().filter(|&&to| zone(to) == z).count();
    assert!(count(2) > 3 * count(1).max(1), "{} to zone 1, {} to zone 2", count(1), count(2));
}

#[test]
fn the_home_zone_serves_when_no_zone_qualifies() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(200, |_| util(0.95));
    let home = used[50..].iter().filter(|&&to| zone(to) == 0).count();
    assert!(home > 100, "{home} of 150 stayed in the home zone");
}

#[test]
fn a_home_zone_without_available_backends_is_left() {
    let mut node = with_reports([0.1, 0.2, 0.3]);
    node.update_list(ListScope::Full, zones().into_iter().filter(|m| m.zone != ZoneId(0)).collect());
    assert!(first_send(&node.request(SECOND).1).is_some_and(|to| zone(to) != 0));
}

#[test]
fn sends_since_the_last_report_count_towards_utilisation() {
    let mut node = with_reports([0.6, 0.1, 0.1]);
    node.update_list(ListScope::Full, zones());
    node.serve(20, |to| util(if zone(to) == 0 { 0.6 } else { 0.1 }));
    let used: Vec<u32> = (0..12).filter_map(|_| first_send(&node.request(SECOND).1)).map(zone).collect();
    assert_eq!(used[0], 0);
    assert!(used.iter().any(|&z| z != 0), "a burst stayed in the home zone on a stale report: {used:?}");
}

#[test]
fn invalid_load_reports_are_ignored() {
    for utilisation in [f64::NAN, f64::INFINITY, -1.0] {
        let mut node = Node::new(settings(Idempotency::Idempotent), zones());
        let used = node.serve(30, |_| util(utilisation));
        assert!(used.len() >= 30, "{utilisation}: {}", used.len());
    }
}
