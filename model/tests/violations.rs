//! Violations are detected: each test alters one kind of action of the load balancers.

use brookfield::{Action, BackendId, Event, Member, Nanos, Stage};
use flaxdale_model::balancers::{BalancerSet, LocalBalancers};
use flaxdale_model::scenario::{Fault, FaultKind, Range, Scenario};
use flaxdale_model::simulation::{SimulationOptions, simulate_with};
use flaxdale_model::world::SECOND;
use serde_json::Value;

/// Alters the actions of a node after an event.
type Alter = fn(&mut AlteredBalancers, usize, &mut Vec<(usize, Action)>);

/// The load balancers of this build with altered actions.
struct AlteredBalancers {
    inner: LocalBalancers,
    alter: Alter,
    cold: Option<BackendId>,
    draining: Option<BackendId>,
}

impl BalancerSet for AlteredBalancers {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String> {
        self.inner.open(node, settings, seed, now)
    }

    fn close(&mut self, node: usize) {
        self.inner.close(node);
    }

    fn handle(&mut self, node: usize, now: Nanos, event: Event, actions: &mut Vec<(usize, Action)>) {
        if let Event::BackendList { members, .. } = &event {
            let find_backend = |matches: fn(&Member) -> bool| {
                members.iter().find(|member| matches(member)).map(|member| member.backend)
            };
            let cold = |member: &Member| member.stage == Stage::InService && member.online_since.is_some();
            self.cold = find_backend(cold).or(self.cold);
            self.draining = find_backend(|member| member.stage == Stage::Draining).or(self.draining);
        }
        let mut altered = Vec::new();
        self.inner.handle(node, now, event, &mut altered);
        (self.alter)(self, node, &mut altered);
        actions.append(&mut altered);
    }

    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        self.inner.flush(now, actions)
    }
}

fn redirect_all_to(to: Option<BackendId>, actions: &mut [(usize, Action)]) {
    for (_, action) in actions {
        if let (Action::Send { backend, .. }, Some(to)) = (action, to) {
            *backend = to;
        }
    }
}

/// Rules violated by nodes whose actions are altered by `alter`.
fn violated_rules(alter: Alter) -> Vec<String> {
    let replaced =
        Fault { target: Some("s0".to_owned()), ..Fault::new(FaultKind::ReplaceServer, Range::fixed(3.0)) };
    let mut scenario = Scenario { faults: vec![replaced], ..Scenario::default() };
    scenario.fleet.zones.truncate(1);
    scenario.validate().expect("valid scenario");
    let options = SimulationOptions { load_duration: 10 * SECOND, tick: 0, threads: 1 };
    let balancers = move |_| {
        let set: Box<dyn BalancerSet> = Box::new(AlteredBalancers {
            inner: LocalBalancers::default(),
            alter,
            cold: None,
            draining: None,
        });
        Ok(set)
    };
    let result = simulate_with(&scenario, 1, options, balancers).expect("simulation failed");
    let rules = result.invariants.reports().iter().filter(|rule| rule.violated > 0);
    rules.map(|rule| rule.name.clone()).collect()
}

#[test]
fn unaltered_balancers_violate_no_rule() {
    assert_eq!(violated_rules(|_, _, _| {}), Vec::<String>::new());
}

#[test]
fn overloading_a_cold_server_is_detected() {
    let rules = violated_rules(|node, _, actions| redirect_all_to(node.cold, actions));
    assert!(rules.iter().any(|rule| rule == "cold_spared"), "{rules:?}");
}

#[test]
fn sending_to_a_draining_server_is_detected() {
    let rules = violated_rules(|node, _, actions| redirect_all_to(node.draining, actions));
    assert!(rules.iter().any(|rule| rule == "drain_kept"), "{rules:?}");
}

#[test]
fn overlapping_attempts_are_detected() {
    let rules = violated_rules(|_, _, actions| {
        let sends = actions.iter().filter(|(_, action)| matches!(action, Action::Send { .. })).cloned();
        let copies: Vec<_> = sends.collect();
        actions.extend(copies);
    });
    for rule in ["never_two_out", "runs_once"] {
        assert!(rules.iter().any(|violated| violated == rule), "{rule}: {rules:?}");
    }
}
