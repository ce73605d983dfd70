//! Nodes that break the rules are found out: each of these decides as this build does, but for one bent action.

use brookfield::{Action, BackendId, Event, Member, Nanos, Stage};
use flaxdale_model::balancers::{BalancerSet, LocalBalancers};
use flaxdale_model::scenario::{Fault, FaultKind, Range, Scenario};
use flaxdale_model::simulation::{SimulationOptions, simulate_with};
use flaxdale_model::world::SECOND;
use serde_json::Value;

/// Bends what a node wants, after what it has heard.
type Bend = fn(&mut Wayward, usize, &mut Vec<(usize, Action)>);

/// This build's decisions, bent.
struct Wayward {
    own: LocalBalancers,
    bend: Bend,
    cold: Option<BackendId>,
    draining: Option<BackendId>,
}

impl BalancerSet for Wayward {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String> {
        self.own.open(node, settings, seed, now)
    }

    fn close(&mut self, node: usize) {
        self.own.close(node);
    }

    fn handle(&mut self, node: usize, now: Nanos, event: Event, actions: &mut Vec<(usize, Action)>) {
        if let Event::BackendList { members, .. } = &event {
            let of =
                |fits: fn(&Member) -> bool| members.iter().find(|member| fits(member)).map(|one| one.backend);
            let cold = |member: &Member| member.stage == Stage::InService && member.online_since.is_some();
            self.cold = of(cold).or(self.cold);
            self.draining = of(|member| member.stage == Stage::Draining).or(self.draining);
        }
        let mut wanted = Vec::new();
        self.own.handle(node, now, event, &mut wanted);
        (self.bend)(self, node, &mut wanted);
        actions.append(&mut wanted);
    }

    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        self.own.flush(now, actions)
    }
}

fn send_all_to(to: Option<BackendId>, wanted: &mut [(usize, Action)]) {
    for (_, action) in wanted {
        if let (Action::Send { backend, .. }, Some(to)) = (action, to) {
            *backend = to;
        }
    }
}

/// The rules that nodes break which are bent in this way.
fn broken(bend: Bend) -> Vec<String> {
    let replaced =
        Fault { target: Some("s0".to_owned()), ..Fault::new(FaultKind::ReplaceServer, Range::fixed(3.0)) };
    let mut plan = Scenario { faults: vec![replaced], ..Scenario::default() };
    plan.fleet.zones.truncate(1);
    plan.validate().expect("a plan that makes sense");
    let options = SimulationOptions { load_duration: 10 * SECOND, tick: 0, threads: 1 };
    let wayward = move |_| {
        let module: Box<dyn BalancerSet> =
            Box::new(Wayward { own: LocalBalancers::default(), bend, cold: None, draining: None });
        Ok(module)
    };
    let played = simulate_with(&plan, 1, options, wayward).expect("played");
    let rules = played.invariants.reports().iter().filter(|rule| rule.violated > 0);
    rules.map(|rule| rule.name.clone()).collect()
}

#[test]
fn nodes_that_keep_the_rules_break_none() {
    assert_eq!(broken(|_, _, _| {}), Vec::<String>::new());
}

#[test]
fn all_nodes_on_one_cold_server_push_it_over() {
    let rules = broken(|node, _, wanted| send_all_to(node.cold, wanted));
    assert!(rules.iter().any(|rule| rule == "cold_spared"), "{rules:?}");
}

#[test]
fn what_goes_to_a_draining_server_is_seen() {
    let rules = broken(|node, _, wanted| send_all_to(node.draining, wanted));
    assert!(rules.iter().any(|rule| rule == "drain_kept"), "{rules:?}");
}

#[test]
fn a_second_copy_beside_the_first_is_seen() {
    let rules = broken(|_, _, wanted| {
        let sends = wanted.iter().filter(|(_, action)| matches!(action, Action::Send { .. })).cloned();
        let copies: Vec<_> = sends.collect();
        wanted.extend(copies);
    });
    for rule in ["never_two_out", "runs_once"] {
        assert!(rules.iter().any(|broken| broken == rule), "{rule}: {rules:?}");
    }
}
