//! A whole fleet in virtual time, on this build's own decisions.

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::scenario::{Fault, FaultKind, Idempotency, Range, Scenario};
use flaxdale_model::simulation::{SimulationOptions, SimulationResult, simulate};
use flaxdale_model::world::{MS, SECOND, World};

const SPAN: u64 = 20 * SECOND;

fn options() -> SimulationOptions {
    SimulationOptions { load_duration: SPAN, tick: 0, threads: 1 }
}

fn fault(what: FaultKind) -> Fault {
    Fault { duration_s: Some(Range::fixed(6.0)), ..Fault::new(what, Range::fixed(5.0)) }
}

fn plan(faults: Vec<Fault>) -> Scenario {
    let mut plan = Scenario { faults, ..Scenario::default() };
    plan.fleet.zones = ["a", "b", "c"].map(str::to_owned).to_vec();
    (plan.fleet.nodes, plan.fleet.servers) = (9, 24);
    plan.validate().expect("a plan that makes sense");
    plan
}

fn run(plan: &Scenario, seed: u64) -> SimulationResult {
    simulate(plan, seed, options()).expect("played")
}

fn broken(played: &SimulationResult) -> Vec<&RuleReport> {
    played.invariants.reports().iter().filter(|rule| rule.violated > 0).collect()
}

#[test]
fn a_calm_fleet_serves_nearly_all_in_time_and_breaks_no_rule() {
    let played = run(&plan(Vec::new()), 1);
    let figures = played.measures();
    assert_eq!(broken(&played), Vec::<&RuleReport>::new());
    assert!(figures["served_in_time_share"] > 0.99, "{figures:?}");
    assert!(figures["asked"] > 2000.0, "{figures:?}");
    assert_eq!(played.invariants.open_requests(), 0, "every account is closed");
}

#[test]
fn the_same_seed_plays_the_same_on_any_number_of_threads_and_another_one_does_not() {
    let plan = plan(vec![Fault { target: Some("b".into()), cold: true, ..fault(FaultKind::LoseZone) }]);
    let print = |seed, threads| {
        simulate(&plan, seed, SimulationOptions { threads, ..options() }).expect("played").fingerprint()
    };
    let first = print(7, 1);
    for threads in [1, 2, 3] {
        assert_eq!(print(7, threads), first, "{threads} threads");
    }
    assert_ne!(print(8, 1), first);
}

#[test]
fn every_trouble_is_lived_through_with_the_rules_kept() {
    let servers = |what, factor: Option<f64>| Fault {
        share: Some(Range::fixed(0.2)),
        factor: factor.map(Range::fixed),
        ..fault(what)
    };
    let link = |what, factor: Option<f64>| Fault {
        from: Some("a".into()),
        to: Some("b".into()),
        factor: factor.map(Range::fixed),
        ..fault(what)
    };
    let nodes = |what| Fault { count: Some(2), ..fault(what) };
    let zone = |cold| Fault { target: Some("a".into()), cold, ..fault(FaultKind::LoseZone) };
    let troubles = [
        vec![servers(FaultKind::SlowServer, Some(5.0))],
        vec![servers(FaultKind::HangServer, None)],
        vec![servers(FaultKind::FailServer, Some(0.7))],
        vec![servers(FaultKind::BusyServer, Some(0.6))],
        vec![servers(FaultKind::KillServer, None)],
        vec![servers(FaultKind::ReplaceServer, None)],
        vec![nodes(FaultKind::KillNode)],
        vec![nodes(FaultKind::PauseNode)],
        vec![nodes(FaultKind::RestartNode)],
        vec![nodes(FaultKind::LateNode)],
        vec![zone(false)],
        vec![zone(true)],
        vec![link(FaultKind::CutLink, None)],
        vec![Fault { one_way: true, ..link(FaultKind::CutLink, None) }],
        vec![link(FaultKind::DelayLink, Some(40.0))],
        vec![link(FaultKind::ThrottleLink, Some(10.0))],
        vec![link(FaultKind::ResetLink, Some(0.9))],
        vec![
            Fault { factor: Some(Range::fixed(0.8)), ..fault(FaultKind::BusyDiscovery) },
            servers(FaultKind::ReplaceServer, None),
        ],
        vec![fault(FaultKind::SilentDiscovery), servers(FaultKind::ReplaceServer, None)],
        vec![Fault { factor: Some(Range::fixed(1.8)), ..fault(FaultKind::Burst) }],
    ];
    for faults in troubles {
        let named = format!("{:?}", faults[0].kind);
        let played = run(&plan(faults), 3);
        assert_eq!(broken(&played), Vec::<&RuleReport>::new(), "{named}");
        // The troubles concern a third of the run at most, and a part of the fleet.
        let served = played.measures()["served_in_time_share"];
        assert!(served > 0.5, "{named}: {served}");
    }
}

#[test]
fn a_lost_zone_shows_in_its_seconds_and_not_before() {
    let lost = run(&plan(vec![Fault { target: Some("a".into()), ..fault(FaultKind::LoseZone) }]), 5);
    let calm = run(&plan(Vec::new()), 5);
    let earned = |played: &SimulationResult, from: usize, to: usize| -> f64 {
        played.stats.per_second[from..to].iter().map(|second| second.earned_value).sum()
    };
    assert_eq!(earned(&lost, 0, 4), earned(&calm, 0, 4), "the same up to the fault");
    assert!(earned(&lost, 5, 11) < 0.95 * earned(&calm, 5, 11));
}

#[test]
fn nodes_that_handle_what_came_once_a_tick_answer_later() {
    let plan = plan(Vec::new());
    let ticked = simulate(&plan, 1, SimulationOptions { tick: 5 * MS, ..options() }).expect("played");
    assert_eq!(broken(&ticked), Vec::<&RuleReport>::new());
    let (at_once, ticked) = (run(&plan, 1).measures(), ticked.measures());
    assert!(ticked["latency_p50_ms"] > at_once["latency_p50_ms"], "{at_once:?} {ticked:?}");
}

#[test]
fn a_world_is_drawn_by_its_seed_and_a_further_fault_moves_no_server() {
    let calm = World::sample(&plan(Vec::new()), 9);
    let troubled = World::sample(&plan(vec![Fault { count: Some(2), ..fault(FaultKind::KillNode) }]), 9);
    let sizes = |world: &World| world.servers.iter().map(|s| (s.spec.zone, s.spec.speed)).collect::<Vec<_>>();
    assert_eq!(sizes(&calm), sizes(&troubled));
    assert_ne!(sizes(&calm), sizes(&World::sample(&plan(Vec::new()), 10)));
    assert_eq!(troubled.faults.len(), 2);
    let all: f64 = calm.load.zone_shares.iter().sum();
    assert!((all - 1.0).abs() < 1e-9);
}

#[test]
fn a_plan_that_makes_no_sense_is_told_by_its_key() {
    let told = |change: &dyn Fn(&mut Scenario)| {
        let mut plan = Scenario::default();
        change(&mut plan);
        plan.validate().expect_err("no sense").key
    };
    assert_eq!(told(&|plan| plan.fleet.zones.clear()), "fleet.zones");
    assert_eq!(told(&|plan| plan.fleet.nodes = 0), "fleet.nodes");
    assert_eq!(told(&|plan| plan.fleet.zone_weights = vec![1.0]), "fleet.sizes");
    assert_eq!(told(&|plan| plan.load.utilisation = f64::MAX), "load.utilisation");
    assert_eq!(told(&|plan| plan.faults = vec![fault(FaultKind::KillNode)]), "fault[0].who");
    assert_eq!(told(&|plan| plan.faults = vec![fault(FaultKind::CutLink)]), "fault[0].from");
    let unknown = Fault { target: Some("n9".into()), ..fault(FaultKind::KillNode) };
    assert_eq!(told(&|plan| plan.faults = vec![unknown.clone()]), "fault[0].who");
    let strong = Fault { count: Some(1), factor: Some(Range::fixed(7.0)), ..fault(FaultKind::FailServer) };
    assert_eq!(told(&|plan| plan.faults = vec![strong.clone()]), "fault[0].factor");
}

/// Nodes that are cut from the list service go on sending to servers that have gone.
#[test]
fn a_cut_from_the_list_service_has_its_price() {
    let replaced = Fault { share: Some(Range::fixed(0.5)), ..fault(FaultKind::ReplaceServer) };
    let (at_s, for_s) = (Range::fixed(1.0), None);
    let (from, to) = (Some("*".into()), Some("discovery".into()));
    let cut = Fault { at_s, duration_s: for_s, from, to, ..fault(FaultKind::CutLink) };
    let attempts = |faults| run(&plan(faults), 2).measures()["attempts_per_request"];
    let (told, untold) = (attempts(vec![replaced.clone()]), attempts(vec![replaced, cut]));
    assert!(untold > told + 0.01, "{told} attempts a request, {untold} when nobody is told");
}

fn between_all(what: FaultKind, factor: f64) -> Scenario {
    let mut plan = plan(vec![Fault {
        from: Some("*".into()),
        to: Some("*".into()),
        factor: Some(Range::fixed(factor)),
        ..fault(what)
    }]);
    plan.fleet.zones.truncate(1);
    plan
}

#[test]
fn a_throttled_link_takes_longer_and_a_reset_one_breaks_attempts() {
    let calm = run(&between_all(FaultKind::DelayLink, 0.0), 4).measures();
    // 300 bytes there and 300 back, at 10 kB a second: 60 ms more for nearly a third of the run.
    let throttled = run(&between_all(FaultKind::ThrottleLink, 10.0), 4).measures();
    let longer = throttled["latency_p99_ms"] - calm["latency_p99_ms"];
    assert!(longer > 30.0, "{longer} ms longer");
    let reset = run(&between_all(FaultKind::ResetLink, 0.9), 4);
    assert_eq!(broken(&reset), Vec::<&RuleReport>::new());
    let failed = |figures: &std::collections::BTreeMap<String, f64>| figures["served_in_time_share"];
    assert!(failed(&reset.measures()) < failed(&calm) - 0.005, "{calm:?} {:?}", reset.measures());
}

#[test]
fn a_keyed_repeat_in_its_window_costs_its_group_nothing() {
    // Connections break while work goes on: its repeat, in the group and the window, finds it known.
    let with = |class: fn(&mut flaxdale_model::scenario::Class)| {
        let mut plan = between_all(FaultKind::ResetLink, 0.9).with_defaults();
        plan.classes.iter_mut().for_each(class);
        let played = run(&plan, 6);
        assert_eq!(broken(&played), Vec::<&RuleReport>::new());
        played.measures()["repeats_dropped"]
    };
    assert!(with(|_| {}) > 0.0, "some repeats are known");
    assert_eq!(with(|class| class.idempotency = Idempotency::Idempotent), 0.0, "and only keyed ones");
    assert_eq!(with(|class| class.dedup_window_ms = 0.0), 0.0, "and in their window only");
}
