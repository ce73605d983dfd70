//! Whole fleets in virtual time with the load balancers of this build.

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::scenario::{Fault, FaultKind, Idempotency, Range, Scenario};
use flaxdale_model::simulation::{SimulationOptions, SimulationResult, simulate};
use flaxdale_model::world::{MS, SECOND, World};

const DURATION: u64 = 20 * SECOND;

fn options() -> SimulationOptions {
    SimulationOptions { load_duration: DURATION, tick: 0, threads: 1 }
}

fn fault(kind: FaultKind) -> Fault {
    Fault { duration_s: Some(Range::fixed(6.0)), ..Fault::new(kind, Range::fixed(5.0)) }
}

fn scenario(faults: Vec<Fault>) -> Scenario {
    let mut scenario = Scenario { faults, ..Scenario::default() };
    scenario.fleet.zones = ["a", "b", "c"].map(str::to_owned).to_vec();
    (scenario.fleet.nodes, scenario.fleet.servers) = (9, 24);
    scenario.validate().expect("valid scenario");
    scenario
}

fn run(scenario: &Scenario, seed: u64) -> SimulationResult {
    simulate(scenario, seed, options()).expect("simulation failed")
}

fn violated(result: &SimulationResult) -> Vec<&RuleReport> {
    result.invariants.reports().iter().filter(|rule| rule.violated > 0).collect()
}

#[test]
fn fleet_without_faults_serves_in_time_and_violates_no_rule() {
    let result = run(&scenario(Vec::new()), 1);
    let measures = result.measures();
    assert_eq!(violated(&result), Vec::<&RuleReport>::new());
    assert!(measures["served_in_time_share"] > 0.99, "{measures:?}");
    assert!(measures["asked"] > 2000.0, "{measures:?}");
    assert_eq!(result.invariants.open_requests(), 0, "requests are still tracked");
}

#[test]
fn result_depends_on_the_seed_and_not_on_the_number_of_threads() {
    let scenario =
        scenario(vec![Fault { target: Some("b".into()), cold: true, ..fault(FaultKind::LoseZone) }]);
    let fingerprint = |seed, threads| {
        simulate(&scenario, seed, SimulationOptions { threads, ..options() })
            .expect("simulation failed")
            .fingerprint()
    };
    let first = fingerprint(7, 1);
    for threads in [1, 2, 3] {
        assert_eq!(fingerprint(7, threads), first, "{threads} threads");
    }
    assert_ne!(fingerprint(8, 1), first);
}

#[test]
fn no_rule_is_violated_under_any_fault() {
    let servers = |kind, factor: Option<f64>| Fault {
        share: Some(Range::fixed(0.2)),
        factor: factor.map(Range::fixed),
        ..fault(kind)
    };
    let link = |kind, factor: Option<f64>| Fault {
        from: Some("a".into()),
        to: Some("b".into()),
        factor: factor.map(Range::fixed),
        ..fault(kind)
    };
    let nodes = |kind| Fault { count: Some(2), ..fault(kind) };
    let zone = |cold| Fault { target: Some("a".into()), cold, ..fault(FaultKind::LoseZone) };
    let cases = [
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
    for faults in cases {
        let kind = format!("{:?}", faults[0].kind);
        let result = run(&scenario(faults), 3);
        assert_eq!(violated(&result), Vec::<&RuleReport>::new(), "{kind}");
        // A fault lasts for at most a third of the run and affects a part of the fleet.
        let served = result.measures()["served_in_time_share"];
        assert!(served > 0.5, "{kind}: {served}");
    }
}

#[test]
fn lost_zone_reduces_value_only_during_the_fault() {
    let lost = run(&scenario(vec![Fault { target: Some("a".into()), ..fault(FaultKind::LoseZone) }]), 5);
    let without_fault = run(&scenario(Vec::new()), 5);
    let earned = |result: &SimulationResult, from: usize, to: usize| -> f64 {
        result.stats.per_second[from..to].iter().map(|second| second.earned_value).sum()
    };
    assert_eq!(earned(&lost, 0, 4), earned(&without_fault, 0, 4), "results differ before the fault");
    assert!(earned(&lost, 5, 11) < 0.95 * earned(&without_fault, 5, 11));
}

#[test]
fn batched_event_handling_adds_latency() {
    let scenario = scenario(Vec::new());
    let batched =
        simulate(&scenario, 1, SimulationOptions { tick: 5 * MS, ..options() }).expect("simulation failed");
    assert_eq!(violated(&batched), Vec::<&RuleReport>::new());
    let (immediate, batched) = (run(&scenario, 1).measures(), batched.measures());
    assert!(batched["latency_p50_ms"] > immediate["latency_p50_ms"], "{immediate:?} {batched:?}");
}

#[test]
fn world_depends_on_the_seed_and_faults_do_not_change_servers() {
    let without_fault = World::sample(&scenario(Vec::new()), 9);
    let with_fault =
        World::sample(&scenario(vec![Fault { count: Some(2), ..fault(FaultKind::KillNode) }]), 9);
    let sizes = |world: &World| world.servers.iter().map(|s| (s.spec.zone, s.spec.speed)).collect::<Vec<_>>();
    assert_eq!(sizes(&without_fault), sizes(&with_fault));
    assert_ne!(sizes(&without_fault), sizes(&World::sample(&scenario(Vec::new()), 10)));
    assert_eq!(with_fault.faults.len(), 2);
    let total_share: f64 = without_fault.load.zone_shares.iter().sum();
    assert!((total_share - 1.0).abs() < 1e-9);
}

#[test]
fn invalid_scenario_is_reported_with_its_key() {
    let error_key = |change: &dyn Fn(&mut Scenario)| {
        let mut scenario = Scenario::default();
        change(&mut scenario);
        scenario.validate().expect_err("scenario should be invalid").key
    };
    assert_eq!(error_key(&|scenario| scenario.fleet.zones.clear()), "fleet.zones");
    assert_eq!(error_key(&|scenario| scenario.fleet.nodes = 0), "fleet.nodes");
    assert_eq!(error_key(&|scenario| scenario.fleet.zone_weights = vec![1.0]), "fleet.sizes");
    assert_eq!(error_key(&|scenario| scenario.load.utilisation = f64::MAX), "load.utilisation");
    assert_eq!(error_key(&|scenario| scenario.faults = vec![fault(FaultKind::KillNode)]), "fault[0].who");
    assert_eq!(error_key(&|scenario| scenario.faults = vec![fault(FaultKind::CutLink)]), "fault[0].from");
    let unknown = Fault { target: Some("n9".into()), ..fault(FaultKind::KillNode) };
    assert_eq!(error_key(&|scenario| scenario.faults = vec![unknown.clone()]), "fault[0].who");
    let excessive = Fault { count: Some(1), factor: Some(Range::fixed(7.0)), ..fault(FaultKind::FailServer) };
    assert_eq!(error_key(&|scenario| scenario.faults = vec![excessive.clone()]), "fault[0].factor");
    let negative = Some(Range::fixed(-1.0));
    let lasting = Fault { count: Some(1), duration_s: negative, ..fault(FaultKind::KillNode) };
    assert_eq!(error_key(&|scenario| scenario.faults = vec![lasting.clone()]), "fault[0].for_s");
    let stepping = Fault { count: Some(1), interval_s: negative, ..fault(FaultKind::KillNode) };
    assert_eq!(error_key(&|scenario| scenario.faults = vec![stepping.clone()]), "fault[0].step_s");
}

/// Nodes without discovery keep sending to servers that are gone.
#[test]
fn nodes_without_discovery_make_more_attempts() {
    let replaced = Fault { share: Some(Range::fixed(0.5)), ..fault(FaultKind::ReplaceServer) };
    let (at_s, duration_s) = (Range::fixed(1.0), None);
    let (from, to) = (Some("*".into()), Some("discovery".into()));
    let cut = Fault { at_s, duration_s, from, to, ..fault(FaultKind::CutLink) };
    let attempts = |faults| run(&scenario(faults), 2).measures()["attempts_per_request"];
    let (connected, disconnected) = (attempts(vec![replaced.clone()]), attempts(vec![replaced, cut]));
    assert!(
        disconnected > connected + 0.01,
        "{connected} attempts per request, {disconnected} without discovery"
    );
}

fn scenario_with_fault_on_all_links(kind: FaultKind, factor: f64) -> Scenario {
    let mut scenario = scenario(vec![Fault {
        from: Some("*".into()),
        to: Some("*".into()),
        factor: Some(Range::fixed(factor)),
        ..fault(kind)
    }]);
    scenario.fleet.zones.truncate(1);
    scenario
}

#[test]
fn throttled_links_add_latency_and_resets_fail_requests() {
    let baseline = run(&scenario_with_fault_on_all_links(FaultKind::DelayLink, 0.0), 4).measures();
    // 300 bytes each way at 10 kB/s add 60 ms, for nearly a third of the run.
    let throttled = run(&scenario_with_fault_on_all_links(FaultKind::ThrottleLink, 10.0), 4).measures();
    let added_ms = throttled["latency_p99_ms"] - baseline["latency_p99_ms"];
    assert!(added_ms > 30.0, "{added_ms} ms added");
    let reset = run(&scenario_with_fault_on_all_links(FaultKind::ResetLink, 0.9), 4);
    assert_eq!(violated(&reset), Vec::<&RuleReport>::new());
    let served_in_time =
        |measures: &std::collections::BTreeMap<String, f64>| measures["served_in_time_share"];
    assert!(
        served_in_time(&reset.measures()) < served_in_time(&baseline) - 0.005,
        "{baseline:?} {:?}",
        reset.measures()
    );
}

#[test]
fn only_keyed_repeats_within_the_window_are_deduplicated() {
    // Connections are reset while work continues; repeats within the group and the window are deduplicated.
    let duplicates_with = |class: fn(&mut flaxdale_model::scenario::Class)| {
        let mut scenario = scenario_with_fault_on_all_links(FaultKind::ResetLink, 0.9).with_defaults();
        scenario.classes.iter_mut().for_each(class);
        let result = run(&scenario, 6);
        assert_eq!(violated(&result), Vec::<&RuleReport>::new());
        result.measures()["repeats_dropped"]
    };
    assert!(duplicates_with(|_| {}) > 0.0, "no repeat was deduplicated");
    assert_eq!(
        duplicates_with(|class| class.idempotency = Idempotency::Idempotent),
        0.0,
        "repeats of requests without a key were deduplicated"
    );
    assert_eq!(
        duplicates_with(|class| class.dedup_window_ms = 0.0),
        0.0,
        "repeats outside the window were deduplicated"
    );
}
