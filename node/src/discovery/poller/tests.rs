use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

/// The drain rule's grace: the only slack that there is.
const GRACE: Duration = ms(500);
const STEP: Duration = ms(10);
const SPAN: Duration = ms(60_000);
const NEVER: Duration = Duration::MAX;

/// What whoever tells the list does for a while.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Answers,
    Refuses,
    /// Says nothing. What was asked meanwhile is answered at the return, or never.
    Silent {
        keeps: bool,
    },
}

struct Call {
    ask: Ask,
    opened: Duration,
    /// When its connection is up.
    up: Duration,
    /// Since when it will never be answered.
    silent: Option<Duration>,
}

/// One play: discovery with drawn outages, changes and calls that fall silent, against a poller. When each change
/// counted as told, and when the node had it.
fn play(pushed: bool, timeouts: Timeouts, seed: u64) -> Vec<(Duration, Duration)> {
    let mut luck = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut spans = vec![(Duration::ZERO, Does::Answers)];
    let mut at = Duration::ZERO;
    while at < SPAN {
        at += ms(luck.random_range(3_000..20_000));
        let keeps = luck.random();
        spans.push((at, if luck.random() { Does::Silent { keeps } } else { Does::Refuses }));
        at += ms(luck.random_range(500..9_000));
        spans.push((at, Does::Answers));
    }
    let does = |now: Duration| spans.iter().rev().find(|(from, _)| *from <= now).expect("the first").1;
    // Discovery learns nothing while it is away, and all of it at its return.
    let learns = |at: Duration| {
        if does(at) == Does::Answers {
            at
        } else {
            spans.iter().find(|(from, _)| *from > at).expect("back").0
        }
    };
    let mut changes: Vec<Duration> = (0..12).map(|_| learns(ms(luck.random_range(0..50_000)))).collect();
    changes.sort_unstable();
    let mut told = vec![NEVER; changes.len()];
    let mut had = vec![NEVER; changes.len()];
    let mut poller = Poller::new(timeouts, Some(0));
    let mut calls: Vec<Call> = Vec::new();
    let (mut linked, mut wish, mut failures, mut stuck) = (false, NEVER, 0u32, false);
    // Whether a call has failed since a watch was last answered.
    let mut failed = false;
    let mut now = Duration::ZERO;
    while now < SPAN {
        let state = does(now);
        let known = changes.iter().filter(|at| **at <= now).count() as u64;
        // A watch may fall silent by itself, with discovery well.
        for call in &mut calls {
            let falls = call.ask.hold > Duration::ZERO && luck.random_bool(0.0005);
            let lost = state == Does::Silent { keeps: false };
            if (falls || lost) && call.silent.is_none() {
                call.silent = Some(now);
            }
        }
        // What is news now, and by when it counts.
        for (change, at) in changes.iter().enumerate().filter(|(_, at)| **at <= now) {
            if told[change] != NEVER {
                continue;
            }
            let silent = calls.iter().filter_map(|call| Some((call, call.silent?))).next();
            let waiting = calls.iter().find(|call| call.ask.hold > Duration::ZERO);
            told[change] = match (silent, waiting) {
                (Some((call, since)), _) => {
                    (since + ms(6000)).max(call.opened + call.ask.hold + ms(2000)).max(*at)
                }
                _ if pushed => *at,
                (None, Some(call)) => (*at + ms(6000)).max(call.opened + call.ask.hold + ms(2000)),
                (None, None) => *at + ms(6000),
            };
            // Whatever else is allowed.
            if failed && !pushed {
                told[change] = told[change].min(*at + ms(6000));
            }
            // Nobody can be told by whoever is away: what an agent has counts at its return, what a service has
            // 6 s later.
            let away = spans.windows(2).filter(|span| span[0].1 != Does::Answers);
            for (from, back) in away.map(|span| (span[0].0, span[1].0)) {
                if from <= told[change] && back > *at {
                    told[change] = told[change].max(if pushed { back } else { back + ms(6000) });
                }
            }
        }
        let mut ended: Vec<(u64, Option<u64>)> = Vec::new();
        for call in &calls {
            let reached = call.up <= now && call.silent.is_none();
            let news = call.ask.from != Some(known);
            if reached && state == Does::Refuses {
                ended.push((call.ask.call, None));
            } else if reached && state == Does::Answers && (news || now >= call.opened + call.ask.hold) {
                ended.push((call.ask.call, Some(known)));
            } else if now >= call.opened + call.ask.limit {
                ended.push((call.ask.call, None));
            }
        }
        ended.sort_by_key(|(_, answer)| answer.is_none());
        for (call, answer) in ended {
            if !calls.iter().any(|out| out.ask.call == call) {
                continue;
            }
            let watch = calls.iter().any(|out| out.ask.call == call && out.ask.hold > Duration::ZERO);
            calls.retain(|out| out.ask.call != call);
            failed = answer.is_none() || (failed && !watch);
            match answer {
                Some(rev) => {
                    calls.clear();
                    assert!(poller.answered(now, call, rev, true));
                    (linked, wish, failures) = (true, NEVER, 0);
                    let taken = had.iter_mut().take(rev as usize).filter(|had| **had == NEVER);
                    taken.for_each(|had| *had = now);
                }
                None => {
                    poller.failed(now, call);
                    linked = false;
                    // As the module does: 300 ms, doubled up to three times, a quarter more or less.
                    wish = now + ms(300 << failures.min(3)).mul_f64(luck.random_range(0.75..1.25));
                    failures += 1;
                }
            }
        }
        if !pushed && now >= wish {
            wish = NEVER;
            poller.wanted(now);
        }
        if let Some(ask) = poller.call(now, false, linked) {
            // A connection in ten comes up late, if the one before did not.
            stuck = !linked && !stuck && luck.random_bool(0.1);
            let up = now + if stuck { ms(luck.random_range(500..1500)) } else { ms(10) };
            calls.push(Call { ask, opened: now, up, silent: None });
            linked = false;
            assert!(calls.len() <= timeouts.most, "{} calls are out", calls.len());
        }
        now += STEP;
    }
    told.into_iter().zip(had).filter(|(told, _)| *told + GRACE < SPAN).collect()
}

fn latest(pushed: bool, timeouts: Timeouts) -> Duration {
    let past = |(told, had): (Duration, Duration)| had.saturating_sub(told);
    (0..150).flat_map(|seed| play(pushed, timeouts, seed)).map(past).max().expect("changes")
}

/// A silent call once held its place until the next one could no longer come in time, and a pause of up to 0.8 s
/// after an outage outlasted the grace of a drain.
#[test]
fn what_an_agent_tells_is_had_within_the_grace_of_a_drain() {
    let latest = latest(true, Timeouts::PUSHED);
    assert!(latest <= GRACE, "{latest:?}");
}

#[test]
fn what_a_service_tells_is_had_within_the_grace_of_a_drain() {
    let latest = latest(false, Timeouts::ASKED);
    assert!(latest <= GRACE, "{latest:?}");
}

/// The plays are hard enough to find out timeouts that are too long: the former one, and each part of it alone.
#[test]
fn timeouts_that_are_too_long_are_found_out() {
    let former = Timeouts {
        hold: (ms(5000), ms(5000)),
        grace: ms(1000),
        answer: (ms(6000), ms(6000)),
        ..Timeouts::PUSHED
    };
    let alone = Timeouts { most: 1, ..Timeouts::PUSHED };
    let slow = Timeouts { overdue: ms(1000), again: (ms(50), ms(800)), ..Timeouts::PUSHED };
    let asked =
        Timeouts { again: (ms(5000), ms(10_000)), answer: (ms(21_000), ms(21_000)), ..Timeouts::ASKED };
    // After a failure a watch of the usual length holds up what counts 6 s after it was there to be told.
    let trusting = Timeouts { hold: (ms(20_000), ms(20_000)), ..Timeouts::ASKED };
    for (pushed, timeouts) in [(true, former), (true, alone), (true, slow), (false, asked), (false, trusting)]
    {
        assert!(latest(pushed, timeouts) > GRACE, "{timeouts:?}");
    }
}

#[test]
fn a_list_that_is_well_is_asked_for_by_one_call_at_a_time() {
    for timeouts in [Timeouts::PUSHED, Timeouts::ASKED] {
        let mut poller = Poller::new(timeouts, None);
        let first = poller.call(ms(0), false, false).expect("at once");
        assert_eq!((first.from, first.hold), (None, ms(0)));
        assert!(poller.answered(ms(10), first.call, 7, true));
        let watch = poller.call(ms(10), false, true).expect("at once");
        assert_eq!((watch.from, watch.hold), (Some(7), timeouts.hold.0));
        assert_eq!(poller.call(ms(10) + timeouts.hold.0, false, true), None);
        assert!(poller.answered(ms(10) + timeouts.hold.0, watch.call, 7, false));
        assert_eq!(poller.call(ms(10) + timeouts.hold.0, true, true).map(|ask| ask.from), Some(None));
    }
}

#[test]
fn at_another_address_the_whole_list_comes_first() {
    let mut poller = Poller::new(Timeouts::PUSHED, Some(7));
    poller.call(ms(0), false, false).expect("a call");
    poller.moved(ms(100));
    let ask = poller.call(ms(100), false, false).expect("at once");
    assert_eq!((ask.call, ask.from, ask.hold), (1, None, ms(0)));
}

/// Each answer of an agent that ends its connections was followed at once by a call that did not wait.
#[test]
fn an_agent_that_ends_each_connection_is_not_asked_without_end() {
    let mut poller = Poller::new(Timeouts::PUSHED, Some(7));
    let mut now = ms(0);
    for _ in 0..10 {
        let ask = poller.call(now, false, false).expect("at once");
        now += ask.hold + ms(1);
        assert!(poller.answered(now, ask.call, 7, false));
    }
    assert!(now >= 5 * Timeouts::PUSHED.hold.0, "10 calls in {now:?}");
}

/// Discovery that began anew counts from the start, and would bring changes to a list that the node does not have.
#[test]
fn after_a_version_that_goes_back_the_whole_list_is_asked_for() {
    for timeouts in [Timeouts::PUSHED, Timeouts::ASKED] {
        let mut poller = Poller::new(timeouts, Some(41));
        let ask = poller.call(ms(0), false, true).expect("at once");
        assert!(!poller.answered(ms(10), ask.call, 3, false));
        let ask = poller.call(ms(10), false, true).expect("at once");
        assert_eq!((ask.from, ask.hold), (None, ms(0)));
        assert!(poller.answered(ms(20), ask.call, 3, true), "a whole list is taken at any version");
        assert_eq!(poller.call(ms(20), false, true).and_then(|ask| ask.from), Some(3));
    }
}

/// Until a watch has been answered again, one that falls silent has to leave time within the 6 s.
#[test]
fn the_first_watch_of_a_service_after_a_failure_is_short() {
    let Timeouts { hold, again, .. } = Timeouts::ASKED;
    let mut poller = Poller::new(Timeouts::ASKED, Some(7));
    let watch = poller.call(ms(0), false, false).expect("at once");
    assert_eq!(watch.hold, hold.0);
    poller.failed(watch.limit, watch.call);
    let mut now = watch.limit + again.0;
    for wanted in [ms(0), hold.1, hold.0] {
        let ask = poller.call(now, false, true).expect("at once");
        assert_eq!(ask.hold, wanted);
        now += ask.hold + ms(10);
        assert!(poller.answered(now, ask.call, 7, false));
    }
}
