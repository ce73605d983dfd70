//! Invariants checked in every run, from what clients, nodes and servers observed.
//!
//! The checker is given observations and records violations with the id of the request. It does not depend on
//! the source of the observations, so it serves both virtual time and real sockets.

use std::collections::HashMap;

use brookfield::Nanos;
use serde::{Deserialize, Serialize};

use crate::scenario::Idempotency;

/// Violations kept with details for each rule; further ones are only counted.
const MAX_VIOLATIONS: usize = 50;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets exactly one final response, in time.
    OneOutcome,
    /// A non-repeatable request never runs twice, and is not rejected once it may have run.
    RunsOnce,
    /// A repeat of a keyed request goes to the same group, within the deduplication window.
    KeyedInGroup,
    /// Attempts of one request do not overlap.
    NeverTwoOut,
    /// No new attempt goes to a draining server after the grace period.
    DrainKept,
    /// No cold server is overloaded.
    ColdSpared,
    /// Servers receive only requests that a client sent.
    KnownOnly,
    /// Memory and descriptors of each process stay within their limits.
    ProcessBounds,
    /// Every process that was started has ended, and none ended unexpectedly.
    ProcessesEnded,
    /// Registrations acknowledged by the registry are present at the end.
    RegistryKeeps,
    /// No client of the registry sees the list's revision go backwards.
    RegistryForward,
    /// Every client of the registry has the committed list at the end.
    RegistrySame,
    /// No instance that renews its lease is reported as gone.
    RegistryBelieves,
}

/// All rules, in the order of reports.
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
    /// Name in results.
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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Id of the request as it appears in logs, or the name of the process concerned.
    pub id: String,
    /// Time in milliseconds since the start of the load.
    pub at_ms: f64,
    /// What was observed.
    #[serde(rename = "what")]
    pub detail: String,
}

/// How often a rule was checked and violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleReport {
    /// Name of the rule.
    pub name: String,
    /// Number of checks.
    pub checked: u64,
    /// Number of violations.
    #[serde(rename = "broken")]
    pub violated: u64,
    /// The first violations.
    #[serde(rename = "breaches", default, skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<Violation>,
}

/// Final response to a request, as sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Served.
    Served,
    /// Rejected: safe to retry.
    Rejected,
    /// Failed; it may have run.
    Failed,
}

/// Tolerances of the checks.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after its deadline a request may still get its response.
    pub answer_slack: Nanos,
    /// How long after being notified of a drain a node may still send to the server.
    pub drain_grace: Nanos,
    /// Maximum difference between the clocks of two observers.
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
    idempotency: Idempotency,
    dedup_window: Nanos,
    not_after: Nanos,
    excused: bool,
    response: Option<(FinalResponse, Nanos)>,
    attempts: Vec<Attempt>,
    last_activity: Nanos,
}

/// Checks the rules and counts checks and violations.
pub struct InvariantChecker {
    tolerances: Tolerances,
    start: Nanos,
    requests: HashMap<u64, Record>,
    reports: Vec<RuleReport>,
}

/// Id of a request as it appears in logs and on the wire.
pub fn wire_id(id: u64) -> String {
    format!("{id:016x}")
}

impl InvariantChecker {
    /// Creates a checker; times of violations are relative to `start`.
    pub fn new(tolerances: Tolerances, start: Nanos) -> Self {
        let report = |rule: &Rule| RuleReport { name: rule.name().to_owned(), ..RuleReport::default() };
        Self { tolerances, start, requests: HashMap::new(), reports: RULES.iter().map(report).collect() }
    }

    /// Counts a check of a rule.
    pub fn record_check(&mut self, rule: Rule) {
        self.reports[rule as usize].checked += 1;
    }

    /// Records a violation.
    pub fn record_violation(&mut self, rule: Rule, id: String, at: Nanos, detail: String) {
        let report = &mut self.reports[rule as usize];
        report.violated += 1;
        if report.violations.len() < MAX_VIOLATIONS {
            let at_ms = at.saturating_sub(self.start) as f64 / 1e6;
            report.violations.push(Violation { id, at_ms, detail });
        }
    }

    /// A client sent a request to a node.
    pub fn request_sent(
        &mut self,
        id: u64,
        idempotency: Idempotency,
        dedup_window: Nanos,
        not_after: Nanos,
        now: Nanos,
    ) {
        let record = Record {
            idempotency,
            dedup_window,
            not_after,
            excused: false,
            response: None,
            attempts: Vec::new(),
            last_activity: now,
        };
        self.requests.insert(id, record);
    }

    /// The node of a request was killed, paused or disconnected from the client, so no response is owed.
    pub fn excuse(&mut self, id: u64) {
        self.requests.get_mut(&id).into_iter().for_each(|record| record.excused = true);
    }

    /// An attempt arrived at a server. `drain_notified_at` is when the node was notified that the server drains.
    /// Returns the index of the attempt.
    pub fn attempt_arrived(
        &mut self,
        id: u64,
        server: u32,
        cell: u64,
        drain_notified_at: Option<Nanos>,
        now: Nanos,
    ) -> Option<usize> {
        self.record_check(Rule::KnownOnly);
        let (tolerances, start) = (self.tolerances, self.start);
        let Some(record) = self.requests.get_mut(&id) else {
            self.record_violation(
                Rule::KnownOnly,
                wire_id(id),
                now,
                format!("server {server} received an unknown request id"),
            );
            return None;
        };
        record.last_activity = now;
        let since_start_ms = |at: Nanos| at.saturating_sub(start) as f64 / 1e6;
        let mut violations: Vec<(Rule, String)> = Vec::new();
        let mut checked_rules = Vec::new();
        if let Some(first) = record.attempts.iter().find(|attempt| attempt.may_have_run) {
            match record.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    checked_rules.push(Rule::RunsOnce);
                    violations.push((
                        Rule::RunsOnce,
                        format!("attempt at server {server} after server {} may have run it", first.server),
                    ));
                }
                Idempotency::Keyed => {
                    checked_rules.push(Rule::KeyedInGroup);
                    let age = now.saturating_sub(first.started_at);
                    if first.cell != cell {
                        violations.push((
                            Rule::KeyedInGroup,
                            format!("repeated in group {cell} after an attempt in group {}", first.cell),
                        ));
                    } else if age > record.dedup_window + tolerances.clock_skew {
                        let (age_ms, window_ms) = (age / 1_000_000, record.dedup_window / 1_000_000);
                        violations.push((
                            Rule::KeyedInGroup,
                            format!(
                                "repeated {age_ms} ms after the first attempt, outside the window of {window_ms} ms"
                            ),
                        ));
                    }
                }
            }
        }
        checked_rules.push(Rule::DrainKept);
        if let Some(notified_at) = drain_notified_at
            .filter(|notified_at| now > notified_at + tolerances.drain_grace + tolerances.clock_skew)
        {
            violations.push((
                Rule::DrainKept,
                format!(
                    "server {server} is draining, its node was notified at {:.0} ms",
                    since_start_ms(notified_at)
                ),
            ));
        }
        record.attempts.push(Attempt { server, cell, started_at: now, ended_at: None, may_have_run: true });
        let index = record.attempts.len() - 1;
        checked_rules.into_iter().for_each(|rule| self.record_check(rule));
        for (rule, detail) in violations {
            self.record_violation(rule, wire_id(id), now, detail);
        }
        Some(index)
    }

    /// An attempt ended. `ran` is false if it certainly never ran.
    pub fn attempt_ended(&mut self, id: u64, attempt: usize, ran: bool, now: Nanos) {
        let tolerances = self.tolerances;
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.last_activity = record.last_activity.max(now);
        let Some(current) = record.attempts.get_mut(attempt).filter(|attempt| attempt.ended_at.is_none())
        else {
            return;
        };
        current.ended_at = Some(now);
        current.may_have_run &= ran;
        // Overlap with the next attempt beyond the clock tolerance.
        let overlap =
            record.attempts.get(attempt + 1).filter(|next| now > next.started_at + tolerances.clock_skew);
        let overlap = overlap.map(|next| (next.server, (now - next.started_at) / 1_000_000));
        self.record_check(Rule::NeverTwoOut);
        if let Some((server, ms)) = overlap {
            self.record_violation(
                Rule::NeverTwoOut,
                wire_id(id),
                now,
                format!("overlapped for {ms} ms with an attempt at server {server}"),
            );
        }
    }

    /// A client received the final response to a request.
    pub fn response_received(&mut self, id: u64, response: FinalResponse, now: Nanos) {
        let tolerances = self.tolerances;
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.last_activity = record.last_activity.max(now);
        let mut violations: Vec<(Rule, String)> = Vec::new();
        if record.response.is_some() {
            violations.push((Rule::OneOutcome, "two responses".to_owned()));
        } else if !record.excused && now > record.not_after + tolerances.answer_slack {
            let late_ms = (now - record.not_after) / 1_000_000;
            violations.push((Rule::OneOutcome, format!("response {late_ms} ms after the deadline")));
        }
        let ran = record.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.server);
        if let (FinalResponse::Rejected, Some(server), false) =
            (response, ran, record.idempotency == Idempotency::Idempotent)
        {
            violations.push((Rule::RunsOnce, format!("rejected although server {server} may have run it")));
        }
        record.response = Some((response, now));
        self.record_check(Rule::OneOutcome);
        self.record_check(Rule::RunsOnce);
        for (rule, detail) in violations {
            self.record_violation(rule, wire_id(id), now, detail);
        }
    }

    /// The time of a request is up; attempts may still be in flight.
    pub fn request_expired(&mut self, id: u64, now: Nanos) {
        let Some(record) = self.requests.get(&id) else { return };
        let response_missing = record.response.is_none() && !record.excused;
        if response_missing {
            self.record_check(Rule::OneOutcome);
            self.record_violation(
                Rule::OneOutcome,
                wire_id(id),
                now,
                "no response by the deadline".to_owned(),
            );
        }
    }

    /// Removes a request that has no attempts in flight.
    pub fn remove_if_done(&mut self, id: u64) {
        let is_done = |record: &Record| record.attempts.iter().all(|attempt| attempt.ended_at.is_some());
        if self.requests.get(&id).is_some_and(is_done) {
            self.requests.remove(&id);
        }
    }

    /// Removes requests without activity since `then`.
    pub fn remove_idle_since(&mut self, then: Nanos) {
        self.requests.retain(|_, record| record.last_activity >= then);
    }

    /// A cold server crashed. It is a violation only if it was overloaded by nodes that knew of its start
    /// (`informed`).
    pub fn server_crashed(&mut self, server: &str, informed: bool, now: Nanos) {
        self.record_check(Rule::ColdSpared);
        if informed {
            let detail = "overloaded while cold by nodes that knew of its start";
            self.record_violation(Rule::ColdSpared, server.to_owned(), now, detail.to_owned());
        }
    }

    /// Number of tracked requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the results by rule.
    pub fn reports(&self) -> &[RuleReport] {
        &self.reports
    }

    /// Adds the results of another checker.
    pub fn merge(&mut self, other: &Self) {
        for (report, other) in self.reports.iter_mut().zip(&other.reports) {
            report.checked += other.checked;
            report.violated += other.violated;
            let remaining = MAX_VIOLATIONS.saturating_sub(report.violations.len());
            report.violations.extend(other.violations.iter().take(remaining).cloned());
        }
    }
}
