//! The list and its versions, case by case and under any sequence of commands.

use std::collections::BTreeMap;

use flaxdale_registry::list::*;
use proptest::prelude::*;

fn instance(uid: &str, boot_ms: u64) -> Instance {
    Instance {
        uid: uid.to_owned(),
        endpoint: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".to_owned(),
        kind: "k".to_owned(),
        group: 0,
        capacity: 1.0,
        boot_ms,
    }
}

fn register(uid: &str, boot_ms: u64) -> Command {
    Command::Register(instance(uid, boot_ms))
}

fn named(uid: &str, boot_ms: u64) -> (String, u64) {
    (uid.to_owned(), boot_ms)
}

fn drain(uid: &str, boot_ms: u64) -> Command {
    Command::Drain { uid: uid.to_owned(), boot_ms }
}

fn leave(uid: &str, boot_ms: u64) -> Command {
    Command::Leave { uid: uid.to_owned(), boot_ms }
}

#[test]
fn an_instance_comes_drains_and_leaves_and_each_change_is_one_version() {
    let mut list = List::default();
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(1)));
    assert_eq!(list.apply(&register("s0", 5)), Ok(None), "its answer was lost, so it came twice");
    assert_eq!(list.apply(&drain("s0", 5)), Ok(Some(2)));
    assert_eq!(list.apply(&drain("s0", 5)), Ok(None));
    assert_eq!(list.apply(&register("s0", 5)), Ok(None), "it goes on draining");
    assert_eq!(list.line("s0").map(|line| line.state), Some(State::Terminating));
    assert_eq!(list.apply(&leave("s0", 5)), Ok(Some(3)));
    assert_eq!(list.apply(&leave("s0", 5)), Err(Refused::Unknown { uid: "s0".into() }));
    let told = list.since(2).expect("news");
    assert_eq!((told.rev, told.all, told.lines[0].state), (3, false, State::Gone));
    assert_eq!(list.since(3), None);
    assert!(list.whole().lines.is_empty());
}

#[test]
fn an_earlier_life_changes_nothing_and_a_later_one_starts_anew() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("taken");
    list.apply(&drain("s0", 5)).expect("taken");
    assert_eq!(list.apply(&register("s0", 9)), Ok(Some(3)));
    assert_eq!(list.line("s0").map(|line| line.state), Some(State::Ready));
    let outlived = Err(Refused::Outlived { uid: "s0".into(), boot_ms: 9 });
    assert_eq!(list.apply(&register("s0", 5)), outlived);
    assert_eq!(list.apply(&leave("s0", 5)), outlived);
    assert_eq!(list.rev(), 3);
}

#[test]
fn two_processes_of_one_name_are_told_so_and_the_first_stays() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("taken");
    let other = Instance { endpoint: "127.0.0.1:9001".parse().expect("an address"), ..instance("s0", 5) };
    let refused = list.apply(&Command::Register(other));
    assert_eq!(refused, Err(Refused::Twice { uid: "s0".into(), field: "endpoint" }));
    assert_eq!(list.line("s0").map(|line| line.instance.endpoint.port()), Some(9000));
}

#[test]
fn rubbish_is_refused_with_its_reason_and_changes_nothing() {
    let mut list = List::default();
    let good = instance("s0", 5);
    for (bad, field) in [
        (Instance { uid: String::new(), ..good.clone() }, "uid"),
        (Instance { zone: "z".repeat(MOST_NAME + 1), ..good.clone() }, "zone"),
        (Instance { kind: "a\nb".into(), ..good.clone() }, "kind"),
        (Instance { capacity: f64::NAN, ..good.clone() }, "capacity"),
        (Instance { capacity: 0.0, ..good.clone() }, "capacity"),
    ] {
        let refused = list.apply(&Command::Register(bad)).expect_err(field).to_string();
        assert!(refused.starts_with(field), "{refused}");
    }
    assert_eq!(list, List::default());
}

#[test]
fn the_list_has_an_end() {
    let mut list = List::default();
    for number in 0..MOST_INSTANCES {
        list.apply(&register(&format!("s{number}"), 1)).expect("room");
    }
    assert_eq!(list.apply(&register("one more", 1)), Err(Refused::Full));
    assert!(list.apply(&register("s0", 2)).is_ok(), "those on it may start again");
}

#[test]
fn who_is_too_far_behind_gets_the_whole_list() {
    let mut list = List::default();
    for boot_ms in 1..=HISTORY as u64 + 10 {
        list.apply(&register("s0", boot_ms)).expect("taken");
    }
    let newest = list.rev();
    assert!(list.since(5).expect("news").all, "the history has forgotten");
    assert!(!list.since(newest - HISTORY as u64).expect("news").all, "the oldest that it reaches");
    assert!(list.since(newest + 1).expect("news").all, "never told by this list");
}

#[test]
fn a_restore_goes_past_what_clients_have_seen() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("taken");
    let backup = list.clone();
    for boot_ms in 6..20 {
        list.apply(&register("s0", boot_ms)).expect("taken");
    }
    let restored = backup.clone().restored(list.rev());
    assert!(restored.rev() > list.rev() && restored.incarnation() > list.incarnation());
    let told = restored.since(list.rev()).expect("news");
    assert!(told.all && told.lines.len() == 1, "{told:?}");
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let life = || (0..6u8, 1..4u64).prop_map(|(number, boot_ms)| (format!("s{number}"), boot_ms));
    let one = prop_oneof![
        4 => life().prop_map(|(uid, boot_ms)| register(&uid, boot_ms)),
        2 => life().prop_map(|(uid, boot_ms)| drain(&uid, boot_ms)),
        2 => life().prop_map(|(uid, boot_ms)| leave(&uid, boot_ms)),
        1 => proptest::collection::vec(life(), 0..4).prop_map(Command::Suspect),
        1 => proptest::collection::vec(life(), 0..4).prop_map(Command::Clear),
    ];
    proptest::collection::vec(one, 0..60)
}

proptest! {
    /// A watcher that looks now and then has, each time, the list that the registry has.
    #[test]
    fn whoever_follows_the_changes_has_the_list(commands in commands(), looks in proptest::collection::vec(any::<bool>(), 60)) {
        let mut list = List::default();
        let (mut seen, mut own): (Rev, BTreeMap<String, Line>) = (0, BTreeMap::new());
        for (command, looks) in commands.iter().zip(looks) {
            let before = list.rev();
            let applied = list.apply(command);
            prop_assert!(list.rev() >= before);
            prop_assert_eq!(matches!(applied, Ok(Some(_))), list.rev() > before, "a version is a change");
            if !looks {
                continue;
            }
            if let Some(told) = list.since(seen) {
                prop_assert!(told.rev > seen);
                seen = told.rev;
                for line in told.lines {
                    if line.state == State::Gone {
                        own.remove(&line.instance.uid);
                    } else {
                        own.insert(line.instance.uid.clone(), line);
                    }
                }
            }
            prop_assert_eq!(seen, list.rev());
            prop_assert!(own.values().eq(list.lines()));
        }
    }

    /// A life that has been followed by another never changes the list again.
    #[test]
    fn starts_only_rise(commands in commands()) {
        let mut list = List::default();
        for command in &commands {
            let before: BTreeMap<String, u64> =
                list.lines().map(|line| (line.instance.uid.clone(), line.instance.boot_ms)).collect();
            let _ = list.apply(command);
            for line in list.lines() {
                let earlier = before.get(&line.instance.uid);
                prop_assert!(earlier.is_none_or(|earlier| *earlier <= line.instance.boot_ms));
            }
        }
    }

    /// Two replicas that carry out the same commands are the same, refusals too.
    #[test]
    fn replicas_are_alike(commands in commands()) {
        let (mut one, mut other) = (List::default(), List::default());
        for command in &commands {
            prop_assert_eq!(one.apply(command), other.apply(command));
        }
        prop_assert_eq!(one, other);
    }
}

#[test]
fn a_suspect_stays_on_the_list_and_clears_by_its_own_word() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("taken");
    list.apply(&register("s1", 5)).expect("taken");
    let both = vec![named("s0", 5), named("s1", 4), named("s2", 1)];
    assert_eq!(list.apply(&Command::Suspect(both)), Ok(Some(3)), "only the life that the list has");
    assert_eq!(list.line("s0").map(|line| (line.suspect, line.state)), Some((true, State::Ready)));
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(4)));
    assert_eq!(list.line("s0").map(|line| line.suspect), Some(false));
}

fn line(uid: &str) -> Line {
    Line { instance: instance(uid, 1), state: State::Ready, suspect: true, rev: 3 }
}

fn part(part: u32, parts: u32, lines: Vec<Line>) -> Command {
    Command::Restore { part, parts, lines, past: past_all_before(1000) }
}

#[test]
fn a_new_registry_begins_past_all_that_an_earlier_one_may_have_told_and_only_once() {
    let mut list = List::default();
    let past = past_all_before(1000);
    assert_eq!(list.apply(&Command::Begin { past }), Ok(Some(past + 1)));
    assert_eq!(list.incarnation(), 1000);
    assert_eq!(list.apply(&Command::Begin { past: past_all_before(2000) }), Ok(None), "it has begun");
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(past + 2)));
    assert!(list.since(41).is_some_and(|told| told.all), "whoever knew an earlier one gets the whole list");
}

#[test]
fn a_backup_comes_back_in_parts_and_counts_only_once_it_is_whole() {
    let mut list = List::default();
    list.apply(&register("now", 5)).expect("taken");
    assert_eq!(list.apply(&part(0, 2, vec![line("a")])), Ok(None));
    assert_eq!(list.lines().count(), 1, "nothing yet");
    let wrong = Refused::Part { part: 2, parts: 3, lines: 0 };
    assert_eq!(list.apply(&part(2, 3, Vec::new())), Err(wrong), "not the next one");
    let rev = list.apply(&part(1, 2, vec![line("b")])).expect("taken").expect("a version");
    assert!(rev > past_all_before(1000));
    let names: Vec<&str> = list.lines().map(|line| line.instance.uid.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
    assert!(list.lines().all(|line| !line.suspect), "all get a full lease");
    // Once more, from the start: another incarnation, though the same second.
    let before = list.incarnation();
    list.apply(&part(0, 1, vec![line("c")])).expect("taken");
    assert!(list.incarnation() > before && list.rev() > rev);
    // A bad line spoils nothing that stands.
    let bad = Line { instance: instance("", 1), ..line("d") };
    assert!(matches!(list.apply(&part(0, 1, vec![bad])), Err(Refused::Name { .. })));
    let many = vec![line("e"); MAX_PART_LINES + 1];
    assert!(matches!(list.apply(&part(0, 1, many)), Err(Refused::Part { .. })));
    assert_eq!(list.lines().count(), 1);
}
