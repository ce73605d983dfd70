//! A replica's figures, in the text form that Prometheus reads.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Level = Gauge<f64, AtomicU64>;

/// What is counted as it happens.
#[derive(Clone, Default)]
pub struct Figures {
    /// Commands that were carried out through the log.
    pub commands: Counter,
    /// Entries of the log that they took.
    pub entries: Counter,
    /// Lives that renewed their leases.
    pub renewals: Counter,
    /// Rounds in which the lead was confirmed.
    pub rounds: Counter,
    /// Terms in which this replica led.
    pub terms: Counter,
    /// Commands that the leader itself issued for lapsed leases.
    pub lapses: Counter,
    /// Lists that were answered.
    pub answers: Counter,
    /// Calls that were turned away or failed.
    pub refusals: Counter,
    /// Connections that were closed because their peer read nothing.
    pub slow: Counter,
}

/// What is read when somebody asks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Levels {
    /// The list's version.
    pub rev: u64,
    /// Instances on the list.
    pub instances: usize,
    /// Of these, suspects.
    pub suspects: usize,
    /// Watches that wait.
    pub watches: usize,
    /// Client connections.
    pub connections: usize,
    /// Whether it leads.
    pub leads: bool,
    /// The consensus' term.
    pub term: u64,
    /// The last entry that was applied.
    pub applied: u64,
    /// How old the list may be at most; none if it can't be told.
    pub age_s: Option<f64>,
    /// Bytes of the store.
    pub store: u64,
}

impl Figures {
    /// All of them as text.
    pub fn text(&self, levels: &Levels) -> String {
        let mut all = Registry::with_prefix("flaxdale_registry");
        let counters = [
            ("commands", "Commands carried out through the log", &self.commands),
            ("log_entries", "Entries of the log that they took", &self.entries),
            ("renewals", "Lives that renewed their leases", &self.renewals),
            ("confirmations", "Rounds in which the lead was confirmed", &self.rounds),
            ("terms_led", "Terms in which this replica led", &self.terms),
            ("lapses", "Commands issued for lapsed leases", &self.lapses),
            ("lists_answered", "Lists answered", &self.answers),
            ("calls_refused", "Calls turned away or failed", &self.refusals),
            ("peers_too_slow", "Connections closed because their peer read nothing", &self.slow),
        ];
        for (name, help, counter) in counters {
            all.register(name, help, counter.clone());
        }
        let level = |value: f64| {
            let gauge = Level::default();
            gauge.set(value);
            gauge
        };
        let levels = [
            ("changes", "Changes of the list in this incarnation", (levels.rev & 0xffff_ffff) as f64),
            ("instances", "Instances on the list", levels.instances as f64),
            ("suspects", "Instances held as suspects", levels.suspects as f64),
            ("watches", "Watches that wait", levels.watches as f64),
            ("connections", "Client connections", levels.connections as f64),
            ("leads", "1 if this replica leads", f64::from(u8::from(levels.leads))),
            ("term", "Term of the consensus", levels.term as f64),
            ("applied_index", "Last entry of the log that was applied", levels.applied as f64),
            (
                "list_age_seconds",
                "Greatest age of the list; +Inf if unknown",
                levels.age_s.unwrap_or(f64::INFINITY),
            ),
            ("store_bytes", "Bytes of the store's file", levels.store as f64),
        ];
        for (name, help, value) in levels {
            all.register(name, help, level(value));
        }
        let mut text = String::new();
        // Writing to a string fails only if a figure's own code does.
        let _ = encode(&mut text, &all);
        text
    }
}

#[cfg(test)]
mod tests;
