//! What every run checks, whatever is played: the book of all requests, from what clients, nodes and servers saw.
//!
//! It is told facts and remembers broken rules with the request's id. It knows nothing of how the facts came about,
//! so the same book serves virtual time and real sockets.

use std::collections::HashMap;

use brookfield::Nanos;
use serde::{Deserialize, Serialize};

use crate::scenario::Idempotency;

/// Broken ones that are kept with their details, for each rule; the count goes on.
const MAX_VIOLATIONS: usize = 50;

/// The rules that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets one final outcome within its time.
    OneOutcome,
    /// What must run once never runs twice, and is not refused once it may have run.
    RunsOnce,
    /// A keyed repeat goes to the group and in the window of the first only.
    KeyedInGroup,
    /// No two attempts of one request are out together.
    NeverTwoOut,
    /// Nothing new goes to a draining server after the grace.
    DrainKept,
    /// No cold server is pushed over.
    ColdSpared,
    /// A server gets only what a client asked for.
    KnownOnly,
    /// Memory and descriptors of each process stay within their bounds.
    ProcessBounds,
    /// Every process that was started has ended, and none ended by itself.
    ProcessesEnded,
    /// What the registry acknowledged is there in the end.
    RegistryKeeps,
    /// No client of the registry is told an older version than it has seen.
    RegistryForward,
    /// Every client of the registry has the committed list in the end.
    RegistrySame,
    /// Nobody who renews is told of as gone.
    RegistryBelieves,
}

/// All rules, in the order of a report.
pub const RULES: [Rule; 13] = [
    Rule::OneOutcome,
    Rule::RunsOnce,
    Rule::KeyedInGroup,
    Rule::NeverTwoOut,
    Rule::DrainKept,
    Rule::ColdSpared,
    Rule::KnownOnly,
    Rule::ProcessBounds,
    Rule::ProcessesEnded,
    Rule::RegistryKeeps,
    Rule::RegistryForward,
    Rule::RegistrySame,
    Rule::RegistryBelieves,
];

impl Rule {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::OneOutcome => "one_outcome",
            Self::RunsOnce => "runs_once",
            Self::KeyedInGroup => "keyed_in_group",
            Self::NeverTwoOut => "never_two_out",
            Self::DrainKept => "drain_kept",
            Self::ColdSpared => "cold_spared",
            Self::KnownOnly => "known_only",
            Self::ProcessBounds => "process_bounds",
            Self::ProcessesEnded => "processes_ended",
            Self::RegistryKeeps => "registry_keeps",
            Self::RegistryForward => "registry_forward",
            Self::RegistrySame => "registry_same",
            Self::RegistryBelieves => "registry_believes",
        }
    }
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The request's id as it stands in the logs, or the name of what else is concerned.
    pub id: String,
    /// When, in milliseconds from the start of the load.
    pub at_ms: f64,
    /// What was seen.
    #[serde(rename = "what")]
    pub detail: String,
}

/// How often a rule was checked, and what broke it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleReport {
    /// The rule.
    pub name: String,
    /// Times that it was checked.
    pub checked: u64,
    /// Times that it was broken.
    #[serde(rename = "broken")]
    pub violated: u64,
    /// The first broken ones.
    #[serde(rename = "breaches", default, skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<Violation>,
}

/// How a request ended, by what its client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served.
    Served,
    /// Refused: trying again does no harm.
    Rejected,
    /// Failed, with no promise.
    Failed,
}

/// The time limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long past a request's time an answer is still one.
    pub answer_slack: Nanos,
    /// How long past its word a node may send to a draining server.
    pub drain_grace: Nanos,
    /// By how much the times of two observers may differ.
    pub clock_skew: Nanos,
}

struct Attempt {
    server: u32,
    cell: u64,
    started_at: Nanos,
    ended_at: Option<Nanos>,
    may_have_run: bool,
}

struct Record {
    effect: Idempotency,
    window: Nanos,
    not_after: Nanos,
    excused: bool,
    answered: Option<(FinalAnswer, Nanos)>,
    attempts: Vec<Attempt>,
    last_activity: Nanos,
}

/// The book.
pub struct InvariantChecker {
    limits: Tolerances,
    start: Nanos,
    requests: HashMap<u64, Record>,
    reports: Vec<RuleReport>,
}

/// A request's id as it stands in the logs and on the wire.
pub fn wire_id(id: u64) -> String {
    format!("{id:016x}")
}

impl InvariantChecker {
    /// An empty book; times in breaches count from `start`.
    pub fn new(limits: Tolerances, start: Nanos) -> Self {
        let named = |rule: &Rule| RuleReport { name: rule.name().to_owned(), ..RuleReport::default() };
        Self { limits, start, requests: HashMap::new(), reports: RULES.iter().map(named).collect() }
    }

    /// Counts a check of a rule.
    pub fn record_check(&mut self, rule: Rule) {
        self.reports[rule as usize].checked += 1;
    }

    /// Notes a broken rule.
    pub fn record_violation(&mut self, rule: Rule, id: String, at: Nanos, detail: String) {
        let report = &mut self.reports[rule as usize];
        report.violated += 1;
        if report.violations.len() < MAX_VIOLATIONS {
            let at_ms = at.saturating_sub(self.start) as f64 / 1e6;
            report.violations.push(Violation { id, at_ms, detail });
        }
    }

    /// A client has sent a request.
    pub fn request_sent(
        &mut self,
        id: u64,
        effect: Idempotency,
        window: Nanos,
        not_after: Nanos,
        now: Nanos,
    ) {
        let record = Record {
            effect,
            window,
            not_after,
            excused: false,
            answered: None,
            attempts: Vec::new(),
            last_activity: now,
        };
        self.requests.insert(id, record);
    }

    /// A request's node was killed, paused or cut off from its client: no answer is owed in time.
    pub fn excuse(&mut self, id: u64) {
        self.requests.get_mut(&id).into_iter().for_each(|record| record.excused = true);
    }

    /// A request has reached a server, whose node had been told at `drains` that it drains. The attempt's number.
    pub fn attempt_arrived(
        &mut self,
        id: u64,
        server: u32,
        cell: u64,
        drain_notified_at: Option<Nanos>,
        now: Nanos,
    ) -> Option<usize> {
        self.record_check(Rule::KnownOnly);
        let (limits, start) = (self.limits, self.start);
        let Some(record) = self.requests.get_mut(&id) else {
            self.record_violation(
                Rule::KnownOnly,
                wire_id(id),
                now,
                format!("server {server} got an id that nobody sent"),
            );
            return None;
        };
        record.last_activity = now;
        let since = |at: Nanos| at.saturating_sub(start) as f64 / 1e6;
        let mut violations: Vec<(Rule, String)> = Vec::new();
        let mut checked = Vec::new();
        if let Some(first) = record.attempts.iter().find(|attempt| attempt.may_have_run) {
            match record.effect {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    checked.push(Rule::RunsOnce);
                    violations.push((
                        Rule::RunsOnce,
                        format!("server {server} got it after server {} may have run it", first.server),
                    ));
                }
                Idempotency::Keyed => {
                    checked.push(Rule::KeyedInGroup);
                    let age = now.saturating_sub(first.started_at);
                    if first.cell != cell {
                        violations
                            .push((Rule::KeyedInGroup, format!("group {cell} after group {}", first.cell)));
                    } else if age > record.window + limits.clock_skew {
                        let (age, window) = (age / 1_000_000, record.window / 1_000_000);
                        violations.push((
                            Rule::KeyedInGroup,
                            format!("{age} ms after the first, past {window} ms"),
                        ));
                    }
                }
            }
        }
        checked.push(Rule::DrainKept);
        if let Some(notified_at) =
            drain_notified_at.filter(|notified_at| now > notified_at + limits.drain_grace + limits.clock_skew)
        {
            violations.push((
                Rule::DrainKept,
                format!("server {server} drains, as its node was told at {:.0} ms", since(notified_at)),
            ));
        }
        record.attempts.push(Attempt { server, cell, started_at: now, ended_at: None, may_have_run: true });
        let index = record.attempts.len() - 1;
        checked.into_iter().for_each(|rule| self.record_check(rule));
        for (rule, detail) in violations {
            self.record_violation(rule, wire_id(id), now, detail);
        }
        Some(index)
    }

    /// An attempt is no longer out. `ran` is false where it surely never ran.
    pub fn attempt_ended(&mut self, id: u64, attempt: usize, ran: bool, now: Nanos) {
        let limits = self.limits;
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.last_activity = record.last_activity.max(now);
        let Some(current) = record.attempts.get_mut(attempt).filter(|attempt| attempt.ended_at.is_none())
        else {
            return;
        };
        current.ended_at = Some(now);
        current.may_have_run &= ran;
        // Out together with the next one, by more than two observers' clocks can tell.
        let overlap =
            record.attempts.get(attempt + 1).filter(|next| now > next.started_at + limits.clock_skew);
        let overlap = overlap.map(|next| (next.server, (now - next.started_at) / 1_000_000));
        self.record_check(Rule::NeverTwoOut);
        if let Some((server, ms)) = overlap {
            self.record_violation(
                Rule::NeverTwoOut,
                wire_id(id),
                now,
                format!("out for {ms} ms beside one at {server}"),
            );
        }
    }

    /// A client was told how its request ended.
    pub fn request_answered(&mut self, id: u64, answer: FinalAnswer, now: Nanos) {
        let limits = self.limits;
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.last_activity = record.last_activity.max(now);
        let mut violations: Vec<(Rule, String)> = Vec::new();
        if record.answered.is_some() {
            violations.push((Rule::OneOutcome, "a second answer".to_owned()));
        } else if !record.excused && now > record.not_after + limits.answer_slack {
            let late = (now - record.not_after) / 1_000_000;
            violations.push((Rule::OneOutcome, format!("answered {late} ms after its time")));
        }
        let ran = record.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.server);
        if let (FinalAnswer::Rejected, Some(server), false) =
            (answer, ran, record.effect == Idempotency::Idempotent)
        {
            violations.push((Rule::RunsOnce, format!("refused though server {server} may have run it")));
        }
        record.answered = Some((answer, now));
        self.record_check(Rule::OneOutcome);
        self.record_check(Rule::RunsOnce);
        for (rule, detail) in violations {
            self.record_violation(rule, wire_id(id), now, detail);
        }
    }

    /// A request's time is over: its account is closed. Its attempts may still be out.
    pub fn request_expired(&mut self, id: u64, now: Nanos) {
        let Some(record) = self.requests.get(&id) else { return };
        let unanswered = record.answered.is_none() && !record.excused;
        if unanswered {
            self.record_check(Rule::OneOutcome);
            self.record_violation(Rule::OneOutcome, wire_id(id), now, "no answer within its time".to_owned());
        }
    }

    /// Drops a closed request that has nothing out.
    pub fn remove_if_done(&mut self, id: u64) {
        let done = |record: &Record| record.attempts.iter().all(|attempt| attempt.ended_at.is_some());
        if self.requests.get(&id).is_some_and(done) {
            self.requests.remove(&id);
        }
    }

    /// Drops what nothing was heard of since then.
    pub fn remove_idle_since(&mut self, then: Nanos) {
        self.requests.retain(|_, record| record.last_activity >= then);
    }

    /// A cold server fell over, by the work of those who had been told of its start or not: only they break the rule.
    pub fn server_crashed(&mut self, server: &str, informed: bool, now: Nanos) {
        self.record_check(Rule::ColdSpared);
        if informed {
            let detail = "pushed over while cold by nodes that had been told of its start";
            self.record_violation(Rule::ColdSpared, server.to_owned(), now, detail.to_owned());
        }
    }

    /// Requests that are still in the book.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The rules as checked so far.
    pub fn reports(&self) -> &[RuleReport] {
        &self.reports
    }

    /// Adds another book's checks to this one's.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in self.reports.iter_mut().zip(&other.reports) {
            own.checked += other.checked;
            own.violated += other.violated;
            let remaining = MAX_VIOLATIONS.saturating_sub(own.violations.len());
            own.violations.extend(other.violations.iter().take(remaining).cloned());
        }
    }
}
