//! Which silences are believed, on a clock that is fed by hand.

use flaxdale_registry::leases::*;
use flaxdale_registry::list::*;

const SECOND: Nanos = 1_000_000_000;

fn rules() -> Rules {
    Rules { lease: 6 * SECOND, believed_share: 0.3, believed_count: 1, hold: 60 * SECOND }
}

fn list(zones: &[(&str, usize)]) -> List {
    let mut list = List::default();
    for (zone, count) in zones {
        for number in 0..*count {
            let instance = Instance {
                uid: format!("{zone}{number}"),
                endpoint: "127.0.0.1:9000".parse().expect("an address"),
                zone: (*zone).to_owned(),
                kind: "k".to_owned(),
                group: 0,
                capacity: 1.0,
                boot_ms: 1,
            };
            list.apply(&Command::Register(instance)).expect("taken");
        }
    }
    list
}

/// Lets time pass in steps of a second, in which those renew that `lives` names; what went to the log.
fn pass(
    list: &mut List,
    leases: &mut Leases,
    from: u64,
    to: u64,
    lives: impl Fn(&str) -> bool,
) -> Vec<(u64, Command)> {
    let mut log = Vec::new();
    for second in from..to {
        let now = second * SECOND;
        let uids: Vec<String> = list.lines().map(|line| line.instance.uid.clone()).collect();
        let mut commands = Vec::new();
        for uid in uids.iter().filter(|uid| lives(uid)) {
            commands.extend(leases.renew(uid, 1, now).expect("known"));
        }
        commands.extend(leases.look(list, now));
        for command in commands {
            list.apply(&command).expect("carried out");
            log.push((second, command));
        }
        leases.follow(list, now);
    }
    log
}

fn names(list: &List) -> Vec<&str> {
    list.lines().map(|line| line.instance.uid.as_str()).collect()
}

#[test]
fn renewals_go_to_no_log() {
    let mut list = list(&[("a", 1000)]);
    let mut leases = Leases::new(rules(), &list, 0);
    assert!(pass(&mut list, &mut leases, 0, 60, |_| true).is_empty());
    assert_eq!((list.rev(), leases.len()), (1000, 1000));
}

#[test]
fn one_that_falls_silent_has_left_when_its_lease_is_over_and_not_before() {
    let mut list = list(&[("a", 10)]);
    let mut leases = Leases::new(rules(), &list, 0);
    let log = pass(&mut list, &mut leases, 0, 20, |uid| uid != "a3");
    assert_eq!(log, [(6, Command::Leave { uid: "a3".into(), boot_ms: 1 })]);
    assert!(!names(&list).contains(&"a3"));
    assert_eq!(leases.len(), 9, "its lease goes with it");
    assert_eq!(leases.renew("a3", 1, 21 * SECOND), Err(NotRenewed::Unknown), "it has to register again");
}

#[test]
fn many_of_a_zone_at_once_are_held_and_come_back_by_renewing() {
    let mut list = list(&[("a", 10), ("b", 10)]);
    let mut leases = Leases::new(rules(), &list, 0);
    let log = pass(&mut list, &mut leases, 0, 30, |uid| !uid.starts_with('a'));
    assert_eq!(log.len(), 1, "{log:?}");
    assert!(matches!(&log[0], (6, Command::Suspect(lives)) if lives.len() == 10));
    assert_eq!(names(&list).len(), 20, "nobody is swept away");
    let log = pass(&mut list, &mut leases, 30, 40, |_| true);
    assert_eq!(log.len(), 10);
    assert!(list.lines().all(|line| !line.suspect));
}

#[test]
fn those_held_have_left_after_all_once_the_time_for_it_is_over() {
    let mut list = list(&[("a", 10), ("b", 10)]);
    let mut leases = Leases::new(rules(), &list, 0);
    let log = pass(&mut list, &mut leases, 0, 80, |uid| !uid.starts_with('a'));
    let left: Vec<u64> =
        log.iter().filter(|(_, c)| matches!(c, Command::Leave { .. })).map(|(at, _)| *at).collect();
    assert_eq!(left, [66; 10], "held from 6 s on, for 60 s");
    assert!(names(&list).iter().all(|uid| uid.starts_with('b')));
}

/// One each second looks like single deaths; together within a lease it is no such thing.
#[test]
fn many_within_a_lease_are_no_single_deaths_though_each_comes_alone() {
    let mut list = list(&[("a", 20)]);
    let mut leases = Leases::new(rules(), &list, 0);
    let dies = |uid: &str| uid[1..].parse::<u64>().expect("a number");
    let mut log = Vec::new();
    for second in 0..26 {
        log.extend(pass(&mut list, &mut leases, second, second + 1, |uid| dies(uid) > second));
    }
    let left = log.iter().filter(|(_, command)| matches!(command, Command::Leave { .. })).count();
    assert!((5..=7).contains(&left), "{left} of 20 were believed: {log:?}");
    assert!(list.lines().filter(|line| line.suspect).count() >= 10);
}

#[test]
fn the_last_one_of_a_small_zone_may_be_believed() {
    let mut list = list(&[("a", 2)]);
    let mut leases = Leases::new(rules(), &list, 0);
    let log = pass(&mut list, &mut leases, 0, 10, |uid| uid == "a0");
    assert_eq!(log, [(6, Command::Leave { uid: "a1".into(), boot_ms: 1 })]);
}

#[test]
fn a_new_leader_and_one_that_was_paused_believe_nothing_that_they_missed() {
    let mut list = list(&[("a", 10)]);
    // In office since 100 s, with nobody having renewed for long.
    let mut leases = Leases::new(rules(), &list, 100 * SECOND);
    assert!(pass(&mut list, &mut leases, 100, 106, |_| false).is_empty());
    let mut leases = Leases::new(rules(), &list, 0);
    assert!(pass(&mut list, &mut leases, 0, 3, |_| true).is_empty());
    // Paused for 40 s: all leases would be over.
    assert!(leases.look(&list, 43 * SECOND).is_empty());
    assert!(pass(&mut list, &mut leases, 44, 49, |_| false).is_empty(), "their full time again");
    assert_eq!(pass(&mut list, &mut leases, 49, 50, |_| false).len(), 1);
}

#[test]
fn a_person_can_say_that_suspects_live_or_that_they_have_gone() {
    for (alive, left) in [(true, 10), (false, 0)] {
        let mut list = list(&[("a", 10)]);
        let mut leases = Leases::new(rules(), &list, 0);
        pass(&mut list, &mut leases, 0, 8, |_| false);
        assert!(leases.decide(&list, "b", alive, 8 * SECOND).is_empty(), "another zone");
        for command in leases.decide(&list, "a", alive, 8 * SECOND) {
            list.apply(&command).expect("carried out");
        }
        leases.follow(&list, 8 * SECOND);
        assert_eq!(names(&list).len(), left);
        assert!(list.lines().all(|line| !line.suspect));
        assert!(leases.look(&list, 9 * SECOND).is_empty(), "those that live have a full lease again");
    }
}
