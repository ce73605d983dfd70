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

/// One play: discovery with drawn outages, changes and calls that fall silent, against an asker. When each change
/// counted as told, and when the node had it.
fn play(pushed: bool, patience: Patience, seed: u64) -> Vec<(Duration, Duration)> {
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
    let mut asker = Asker::new(patience, Some(0));
    let mut calls: Vec<Call> = Vec::new();
    let (mut linked, mut wish, mut failures, mut stuck) = (false, NEVER, 0u32, false);
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
            calls.retain(|out| out.ask.call != call);
            match answer {
                Some(rev) => {
                    calls.clear();
                    asker.answered(now, rev);
                    (linked, wish, failures) = (true, NEVER, 0);
                    let taken = had.iter_mut().take(rev as usize).filter(|had| **had == NEVER);
                    taken.for_each(|had| *had = now);
                }
                None => {
                    asker.failed(now, call);
                    linked = false;
                    // As the module does: 300 ms, doubled up to three times, a quarter more or less.
                    wish = now + ms(300 << failures.min(3)).mul_f64(luck.random_range(0.75..1.25));
                    failures += 1;
                }
            }
        }
        if !pushed && now >= wish {
            wish = NEVER;
            asker.wanted(now);
        }
        if let Some(ask) = asker.call(now, false, linked) {
            // A connection in ten comes up late, if the one before did not.
            stuck = !linked && !stuck && luck.random_bool(0.1);
            let up = now + if stuck { ms(1000) } else { ms(10) };
            calls.push(Call { ask, opened: now, up, silent: None });
            linked = false;
            assert!(calls.len() <= patience.most, "{} calls are out", calls.len());
        }
        now += STEP;
    }
    told.into_iter().zip(had).filter(|(told, _)| *told + GRACE < SPAN).collect()
}

fn latest(pushed: bool, patience: Patience) -> Duration {
    let past = |(told, had): (Duration, Duration)| had.saturating_sub(told);
    (0..150).flat_map(|seed| play(pushed, patience, seed)).map(past).max().expect("changes")
}

/// A silent call once held its place until the next one could no longer come in time, and a pause of up to 0.8 s
/// after an outage outlasted the grace of a drain.
#[test]
fn what_an_agent_tells_is_had_within_the_grace_of_a_drain() {
    let latest = latest(true, Patience::PUSHED);
    assert!(latest <= GRACE, "{latest:?}");
}

#[test]
fn what_a_service_tells_is_had_within_the_grace_of_a_drain() {
    let latest = latest(false, Patience::ASKED);
    assert!(latest <= GRACE, "{latest:?}");
}

/// The plays are hard enough to find out a patience that is not enough: the former one, and each part of it alone.
#[test]
fn too_much_patience_is_found_out() {
    let former =
        Patience { hold: ms(5000), grace: ms(1000), answer: (ms(6000), ms(6000)), ..Patience::PUSHED };
    let alone = Patience { most: 1, ..Patience::PUSHED };
    let slow = Patience { overdue: ms(1000), again: (ms(50), ms(800)), ..Patience::PUSHED };
    let asked =
        Patience { again: (ms(5000), ms(10_000)), answer: (ms(21_000), ms(21_000)), ..Patience::ASKED };
    for (pushed, patience) in [(true, former), (true, alone), (true, slow), (false, asked)] {
        assert!(latest(pushed, patience) > GRACE, "{patience:?}");
    }
}

#[test]
fn a_list_that_is_well_is_asked_for_by_one_call_at_a_time() {
    for patience in [Patience::PUSHED, Patience::ASKED] {
        let mut asker = Asker::new(patience, None);
        let first = asker.call(ms(0), false, false).expect("at once");
        assert_eq!((first.from, first.hold), (None, ms(0)));
        asker.answered(ms(10), 7);
        let watch = asker.call(ms(10), false, true).expect("at once");
        assert_eq!((watch.from, watch.hold), (Some(7), patience.hold));
        assert_eq!(asker.call(ms(10) + patience.hold, false, true), None);
        asker.answered(ms(10) + patience.hold, 7);
        assert_eq!(asker.call(ms(10) + patience.hold, true, true).map(|ask| ask.from), Some(None));
    }
}

#[test]
fn at_another_address_the_whole_list_comes_first() {
    let mut asker = Asker::new(Patience::PUSHED, Some(7));
    asker.call(ms(0), false, false).expect("a call");
    asker.moved(ms(100));
    let ask = asker.call(ms(100), false, false).expect("at once");
    assert_eq!((ask.call, ask.from, ask.hold), (1, None, ms(0)));
}
