//! Tests of the instance list: single cases, and properties that hold for any sequence of commands.

use std::collections::BTreeMap;

use flaxdale_registry::list::*;
use proptest::prelude::*;

fn instance(uid: &str, boot_ms: u64) -> Instance {
    Instance {
        uid: uid.to_owned(),
        endpoint: "127.0.0.1:9000".parse().expect("valid address"),
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

fn key(uid: &str, boot_ms: u64) -> (String, u64) {
    (uid.to_owned(), boot_ms)
}

fn drain(uid: &str, boot_ms: u64) -> Command {
    Command::Drain { uid: uid.to_owned(), boot_ms }
}

fn leave(uid: &str, boot_ms: u64) -> Command {
    Command::Leave { uid: uid.to_owned(), boot_ms }
}

#[test]
fn each_change_of_an_instance_increments_the_revision_by_one() {
    let mut list = List::default();
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(1)));
    assert_eq!(list.apply(&register("s0", 5)), Ok(None), "a retried registration changes nothing");
    assert_eq!(list.apply(&drain("s0", 5)), Ok(Some(2)));
    assert_eq!(list.apply(&drain("s0", 5)), Ok(None));
    assert_eq!(list.apply(&register("s0", 5)), Ok(None), "the instance stays draining");
    assert_eq!(list.line("s0").map(|line| line.state), Some(State::Terminating));
    assert_eq!(list.apply(&leave("s0", 5)), Ok(Some(3)));
    assert_eq!(list.apply(&leave("s0", 5)), Err(ListError::NotFound { uid: "s0".into() }));
    let update = list.changes_since(2).expect("an update");
    assert_eq!((update.rev, update.all, update.lines[0].state), (3, false, State::Gone));
    assert_eq!(list.changes_since(3), None);
    assert!(list.full().lines.is_empty());
}

#[test]
fn commands_of_an_earlier_process_are_rejected_and_a_later_process_replaces_it() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("command is applied");
    list.apply(&drain("s0", 5)).expect("command is applied");
    assert_eq!(list.apply(&register("s0", 9)), Ok(Some(3)));
    assert_eq!(list.line("s0").map(|line| line.state), Some(State::Ready));
    let mismatch = Err(ListError::StartTimeMismatch { uid: "s0".into(), boot_ms: 9 });
    assert_eq!(list.apply(&register("s0", 5)), mismatch);
    assert_eq!(list.apply(&leave("s0", 5)), mismatch);
    assert_eq!(list.rev(), 3);
}

#[test]
fn a_second_process_of_the_same_name_is_rejected_and_the_first_is_kept() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("command is applied");
    let other = Instance { endpoint: "127.0.0.1:9001".parse().expect("valid address"), ..instance("s0", 5) };
    let error = list.apply(&Command::Register(other));
    assert_eq!(error, Err(ListError::DuplicateName { uid: "s0".into(), field: "endpoint" }));
    assert_eq!(list.line("s0").map(|line| line.instance.endpoint.port()), Some(9000));
}

#[test]
fn an_invalid_registration_is_rejected_with_the_field_name_and_changes_nothing() {
    let mut list = List::default();
    let valid = instance("s0", 5);
    for (invalid, field) in [
        (Instance { uid: String::new(), ..valid.clone() }, "uid"),
        (Instance { zone: "z".repeat(MAX_NAME_BYTES + 1), ..valid.clone() }, "zone"),
        (Instance { kind: "a\nb".into(), ..valid.clone() }, "kind"),
        (Instance { capacity: f64::NAN, ..valid.clone() }, "capacity"),
        (Instance { capacity: 0.0, ..valid.clone() }, "capacity"),
    ] {
        let error = list.apply(&Command::Register(invalid)).expect_err(field).to_string();
        assert!(error.starts_with(field), "{error}");
    }
    assert_eq!(list, List::default());
}

#[test]
fn a_full_list_rejects_new_instances() {
    let mut list = List::default();
    for number in 0..MAX_INSTANCES {
        list.apply(&register(&format!("s{number}"), 1)).expect("list is not full");
    }
    assert_eq!(list.apply(&register("one more", 1)), Err(ListError::Full));
    assert!(list.apply(&register("s0", 2)).is_ok(), "a listed instance can restart");
}

#[test]
fn a_watcher_behind_the_history_gets_the_full_list() {
    let mut list = List::default();
    for boot_ms in 1..=MAX_HISTORY as u64 + 10 {
        list.apply(&register("s0", boot_ms)).expect("command is applied");
    }
    let newest = list.rev();
    assert!(list.changes_since(5).expect("an update").all, "older than the history");
    assert!(
        !list.changes_since(newest - MAX_HISTORY as u64).expect("an update").all,
        "the oldest revision of the history"
    );
    assert!(list.changes_since(newest + 1).expect("an update").all, "unknown to this list");
}

#[test]
fn a_restored_list_has_a_greater_revision_than_clients_have_seen() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("command is applied");
    let backup = list.clone();
    for boot_ms in 6..20 {
        list.apply(&register("s0", boot_ms)).expect("command is applied");
    }
    let restored = backup.clone().restored(list.rev());
    assert!(restored.rev() > list.rev() && restored.incarnation() > list.incarnation());
    let update = restored.changes_since(list.rev()).expect("an update");
    assert!(update.all && update.lines.len() == 1, "{update:?}");
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let key = || (0..6u8, 1..4u64).prop_map(|(number, boot_ms)| (format!("s{number}"), boot_ms));
    let command = prop_oneof![
        4 => key().prop_map(|(uid, boot_ms)| register(&uid, boot_ms)),
        2 => key().prop_map(|(uid, boot_ms)| drain(&uid, boot_ms)),
        2 => key().prop_map(|(uid, boot_ms)| leave(&uid, boot_ms)),
        1 => proptest::collection::vec(key(), 0..4).prop_map(Command::Suspect),
        1 => proptest::collection::vec(key(), 0..4).prop_map(Command::Clear),
    ];
    proptest::collection::vec(command, 0..60)
}

proptest! {
    /// A watcher that applies all changes has the same list as the registry.
    #[test]
    fn applying_all_changes_reproduces_the_list(commands in commands(), reads in proptest::collection::vec(any::<bool>(), 60)) {
        let mut list = List::default();
        let (mut seen, mut copy): (Rev, BTreeMap<String, Line>) = (0, BTreeMap::new());
        for (command, reads) in commands.iter().zip(reads) {
            let before = list.rev();
            let applied = list.apply(command);
            prop_assert!(list.rev() >= before);
            prop_assert_eq!(matches!(applied, Ok(Some(_))), list.rev() > before, "the revision increases exactly if the list changed");
            if !reads {
                continue;
            }
            if let Some(update) = list.changes_since(seen) {
                prop_assert!(update.rev > seen);
                seen = update.rev;
                for line in update.lines {
                    if line.state == State::Gone {
                        copy.remove(&line.instance.uid);
                    } else {
                        copy.insert(line.instance.uid.clone(), line);
                    }
                }
            }
            prop_assert_eq!(seen, list.rev());
            prop_assert!(copy.values().eq(list.lines()));
        }
    }

    /// The start time of an instance never decreases.
    #[test]
    fn start_times_never_decrease(commands in commands()) {
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

    /// Two replicas that apply the same commands are identical, including their errors.
    #[test]
    fn applying_commands_is_deterministic(commands in commands()) {
        let (mut first, mut second) = (List::default(), List::default());
        for command in &commands {
            prop_assert_eq!(first.apply(command), second.apply(command));
        }
        prop_assert_eq!(first, second);
    }
}

#[test]
fn a_suspect_stays_on_the_list_and_is_cleared_by_a_registration() {
    let mut list = List::default();
    list.apply(&register("s0", 5)).expect("command is applied");
    list.apply(&register("s1", 5)).expect("command is applied");
    let both = vec![key("s0", 5), key("s1", 4), key("s2", 1)];
    assert_eq!(list.apply(&Command::Suspect(both)), Ok(Some(3)), "only the process that is on the list");
    assert_eq!(list.line("s0").map(|line| (line.suspect, line.state)), Some((true, State::Ready)));
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(4)));
    assert_eq!(list.line("s0").map(|line| line.suspect), Some(false));
}

fn line(uid: &str) -> Line {
    Line { instance: instance(uid, 1), state: State::Ready, suspect: true, rev: 3 }
}

fn part(part: u32, parts: u32, lines: Vec<Line>) -> Command {
    Command::Restore { restore_id: None, part, parts, lines, past: revision_floor(1000) }
}

#[test]
fn a_new_registry_begins_above_the_revision_floor_and_only_once() {
    let mut list = List::default();
    let past = revision_floor(1000);
    assert_eq!(list.apply(&Command::Begin { past }), Ok(Some(past + 1)));
    assert_eq!(list.incarnation(), 1000);
    assert_eq!(list.apply(&Command::Begin { past: revision_floor(2000) }), Ok(None), "it has already begun");
    assert_eq!(list.apply(&register("s0", 5)), Ok(Some(past + 2)));
    assert!(
        list.changes_since(41).is_some_and(|update| update.all),
        "clients of an earlier registry get the full list"
    );
}

#[test]
fn a_backup_is_restored_in_parts_and_takes_effect_with_the_last_one() {
    let mut list = List::default();
    list.apply(&register("now", 5)).expect("command is applied");
    assert_eq!(list.apply(&part(0, 2, vec![line("a")])), Ok(None));
    assert_eq!(list.lines().count(), 1, "the list is unchanged until the last part");
    let out_of_order = ListError::UnexpectedPart { part: 2, parts: 3, lines: 0 };
    assert_eq!(list.apply(&part(2, 3, Vec::new())), Err(out_of_order), "out of order");
    let rev = list.apply(&part(1, 2, vec![line("b")])).expect("command is applied").expect("a revision");
    assert!(rev > revision_floor(1000));
    let names: Vec<&str> = list.lines().map(|line| line.instance.uid.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
    assert!(list.lines().all(|line| !line.suspect), "suspect marks are dropped");
    // A second restore within the same second gets another incarnation.
    let before = list.incarnation();
    list.apply(&part(0, 1, vec![line("c")])).expect("command is applied");
    assert!(list.incarnation() > before && list.rev() > rev);
    // An invalid line does not affect the current list.
    let invalid = Line { instance: instance("", 1), ..line("d") };
    assert!(matches!(list.apply(&part(0, 1, vec![invalid])), Err(ListError::InvalidName { .. })));
    let oversized = vec![line("e"); MAX_PART_LINES + 1];
    assert!(matches!(list.apply(&part(0, 1, oversized)), Err(ListError::UnexpectedPart { .. })));
    assert_eq!(list.lines().count(), 1);
}

fn part_of(restore_id: u64, part: u32, parts: u32, lines: Vec<Line>) -> Command {
    Command::Restore { restore_id: Some(restore_id), part, parts, lines, past: revision_floor(1000) }
}

/// Guards against a list made of parts of two backups, and against a restore that fails because a response was lost.
#[test]
fn concurrent_restores_are_not_mixed_and_a_repeated_part_changes_nothing() {
    let mut list = List::default();
    list.apply(&part_of(1, 0, 2, vec![line("a")])).expect("command is applied");
    list.apply(&part_of(2, 0, 2, vec![line("b")])).expect("command is applied");
    let mixed = ListError::UnexpectedPart { part: 1, parts: 2, lines: 1 };
    assert_eq!(list.apply(&part_of(1, 1, 2, vec![line("c")])), Err(mixed));
    assert_eq!(list.apply(&part_of(2, 0, 2, vec![line("b")])), Ok(None), "already staged");
    let rev = list.apply(&part_of(2, 1, 2, vec![line("d")])).expect("command is applied");
    assert!(rev.is_some());
    let names: Vec<&str> = list.lines().map(|line| line.instance.uid.as_str()).collect();
    assert_eq!(names, ["b", "d"]);
    assert_eq!(list.apply(&part_of(2, 1, 2, vec![line("d")])), Ok(None), "already restored");
    assert_eq!(list.apply(&part_of(2, 0, 2, vec![line("b")])), Ok(None), "already restored");
    assert_eq!(Some(list.rev()), rev);
}
