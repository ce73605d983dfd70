//! Tests of leases on a simulated clock.

use flaxdale_registry::leases::*;
use flaxdale_registry::list::*;

const SECOND: Nanos = 1_000_000_000;

fn policy() -> LeasePolicy {
    LeasePolicy { lease: 6 * SECOND, believed_share: 0.3, believed_count: 1, hold: 60 * SECOND }
}

fn list(zones: &[(&str, usize)]) -> List {
    let mut list = List::default();
    for (zone, count) in zones {
        for number in 0..*count {
            let instance = Instance {
                uid: format!("{zone}{number}"),
                endpoint: "127.0.0.1:9000".parse().expect("valid address"),
                zone: (*zone).to_owned(),
                kind: "k".to_owned(),
                group: 0,
                capacity: 1.0,
                boot_ms: 1,
            };
            list.apply(&Command::Register(instance)).expect("command is applied");
        }
    }
    list
}

/// Simulates time in steps of a second, in which the instances selected by `renews` renew. Returns the commands to be
/// replicated, with their times in seconds.
fn simulate(
    list: &mut List,
    leases: &mut Leases,
    from: u64,
    to: u64,
    renews: impl Fn(&str) -> bool,
) -> Vec<(u64, Command)> {
    let mut commands = Vec::new();
    for second in from..to {
        let now = second * SECOND;
        let uids: Vec<String> = list.lines().map(|line| line.instance.uid.clone()).collect();
        let mut due = Vec::new();
        for uid in uids.iter().filter(|uid| renews(uid)) {
            due.extend(leases.renew(uid, 1, now).expect("instance has a lease"));
        }
        due.extend(leases.expire(list, now));
        for command in due {
            list.apply(&command).expect("command is applied");
            commands.push((second, command));
        }
        leases.sync(list, now);
    }
    commands
}

fn names(list: &List) -> Vec<&str> {
    list.lines().map(|line| line.instance.uid.as_str()).collect()
}

#[test]
fn renewals_are_not_replicated() {
    let mut list = list(&[("a", 1000)]);
    let mut leases = Leases::new(policy(), &list, 0);
    assert!(simulate(&mut list, &mut leases, 0, 60, |_| true).is_empty());
    assert_eq!((list.rev(), leases.len()), (1000, 1000));
}

#[test]
fn an_instance_is_removed_exactly_when_its_lease_expires() {
    let mut list = list(&[("a", 10)]);
    let mut leases = Leases::new(policy(), &list, 0);
    let commands = simulate(&mut list, &mut leases, 0, 20, |uid| uid != "a3");
    assert_eq!(commands, [(6, Command::Leave { uid: "a3".into(), boot_ms: 1 })]);
    assert!(!names(&list).contains(&"a3"));
    assert_eq!(leases.len(), 9, "its lease is dropped");
    assert_eq!(leases.renew("a3", 1, 21 * SECOND), Err(RenewError::Unknown), "it must register again");
}

#[test]
fn many_expiries_in_a_zone_make_suspects_which_are_cleared_by_renewals() {
    let mut list = list(&[("a", 10), ("b", 10)]);
    let mut leases = Leases::new(policy(), &list, 0);
    let commands = simulate(&mut list, &mut leases, 0, 30, |uid| !uid.starts_with('a'));
    assert_eq!(commands.len(), 1, "{commands:?}");
    assert!(matches!(&commands[0], (6, Command::Suspect(keys)) if keys.len() == 10));
    assert_eq!(names(&list).len(), 20, "no instance is removed");
    let commands = simulate(&mut list, &mut leases, 30, 40, |_| true);
    assert_eq!(commands.len(), 10);
    assert!(list.lines().all(|line| !line.suspect));
}

#[test]
fn suspects_are_removed_after_the_hold_time() {
    let mut list = list(&[("a", 10), ("b", 10)]);
    let mut leases = Leases::new(policy(), &list, 0);
    let commands = simulate(&mut list, &mut leases, 0, 80, |uid| !uid.starts_with('a'));
    let removal_times: Vec<u64> =
        commands.iter().filter(|(_, c)| matches!(c, Command::Leave { .. })).map(|(at, _)| *at).collect();
    assert_eq!(removal_times, [66; 10], "suspects from 6 s on, held for 60 s");
    assert!(names(&list).iter().all(|uid| uid.starts_with('b')));
}

/// Guards against treating expiries that occur one per second as independent failures.
#[test]
fn successive_expiries_within_a_lease_are_counted_together() {
    let mut list = list(&[("a", 20)]);
    let mut leases = Leases::new(policy(), &list, 0);
    let fails_at = |uid: &str| uid[1..].parse::<u64>().expect("a number");
    let mut commands = Vec::new();
    for second in 0..26 {
        commands.extend(simulate(&mut list, &mut leases, second, second + 1, |uid| fails_at(uid) > second));
    }
    let removed = commands.iter().filter(|(_, command)| matches!(command, Command::Leave { .. })).count();
    assert!((5..=7).contains(&removed), "{removed} of 20 were removed: {commands:?}");
    assert!(list.lines().filter(|line| line.suspect).count() >= 10);
}

#[test]
fn a_single_expiry_in_a_small_zone_removes_the_instance() {
    let mut list = list(&[("a", 2)]);
    let mut leases = Leases::new(policy(), &list, 0);
    let commands = simulate(&mut list, &mut leases, 0, 10, |uid| uid == "a0");
    assert_eq!(commands, [(6, Command::Leave { uid: "a1".into(), boot_ms: 1 })]);
}

#[test]
fn a_new_leader_and_a_leader_that_was_paused_grant_full_leases() {
    let mut list = list(&[("a", 10)]);
    // The leader is elected at 100 s; no instance has renewed for a long time.
    let mut leases = Leases::new(policy(), &list, 100 * SECOND);
    assert!(simulate(&mut list, &mut leases, 100, 106, |_| false).is_empty());
    let mut leases = Leases::new(policy(), &list, 0);
    assert!(simulate(&mut list, &mut leases, 0, 3, |_| true).is_empty());
    // After a pause of 40 s all leases would have expired.
    assert!(leases.expire(&list, 43 * SECOND).is_empty());
    assert!(
        simulate(&mut list, &mut leases, 44, 49, |_| false).is_empty(),
        "all leases have their full duration again"
    );
    assert_eq!(simulate(&mut list, &mut leases, 49, 50, |_| false).len(), 1);
}

/// Guards against marks of suspects that differ between the leader and the list after a command was lost.
#[test]
fn a_suspect_mark_that_was_not_replicated_is_set_or_cleared_again() {
    let mut list = list(&[("a", 10)]);
    let mut leases = Leases::new(policy(), &list, 0);
    leases.check(2 * SECOND);
    leases.check(4 * SECOND);
    let is_suspect = |commands: &[Command]| matches!(commands, [Command::Suspect(keys)] if keys.len() == 10);
    assert!(is_suspect(&leases.expire(&list, 6 * SECOND)));
    leases.sync(&list, 7 * SECOND);
    let again = leases.expire(&list, 7 * SECOND);
    assert!(is_suspect(&again), "{again:?}");
    list.apply(&again[0]).expect("command is applied");
    leases.sync(&list, 8 * SECOND);
    let cleared = leases.renew("a0", 1, 8 * SECOND).expect("instance has a lease");
    assert!(cleared.is_some());
    leases.sync(&list, 9 * SECOND);
    assert_eq!(leases.renew("a0", 1, 9 * SECOND), Ok(cleared), "the list still has the mark");
}

/// Guards against a leader that removes instances whose renewals could not reach it.
#[test]
fn leases_are_extended_after_a_gap_in_which_no_quorum_confirmed_the_leader() {
    let mut list = list(&[("a", 10)]);
    let mut leases = Leases::new(policy(), &list, 0);
    for tenth in 0..50 {
        leases.confirm_quorum(tenth * SECOND / 10);
        leases.check(tenth * SECOND / 10);
    }
    assert!(leases.check(6 * SECOND), "without a gap the leases run out at 6 s");
    leases.confirm_quorum(61 * SECOND / 10);
    assert!(!leases.check(62 * SECOND / 10), "the gap from 5 s to 6.1 s has extended all leases");
    assert!(leases.expire(&list, 62 * SECOND / 10).is_empty());
    assert!(simulate(&mut list, &mut leases, 7, 12, |_| false).is_empty());
    assert_eq!(simulate(&mut list, &mut leases, 13, 14, |_| false).len(), 1);
}

#[test]
fn an_operator_can_declare_suspects_alive_or_gone() {
    for (alive, remaining) in [(true, 10), (false, 0)] {
        let mut list = list(&[("a", 10)]);
        let mut leases = Leases::new(policy(), &list, 0);
        simulate(&mut list, &mut leases, 0, 8, |_| false);
        assert!(leases.resolve_suspects(&list, "b", alive, 8 * SECOND).is_empty(), "another zone");
        for command in leases.resolve_suspects(&list, "a", alive, 8 * SECOND) {
            list.apply(&command).expect("command is applied");
        }
        leases.sync(&list, 8 * SECOND);
        assert_eq!(names(&list).len(), remaining);
        assert!(list.lines().all(|line| !line.suspect));
        assert!(
            leases.expire(&list, 9 * SECOND).is_empty(),
            "instances that are alive have a full lease again"
        );
    }
}
