//! Metrics of a replica in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type FloatGauge = Gauge<f64, AtomicU64>;

/// Counters, which are incremented as events occur.
#[derive(Clone, Default)]
pub struct Metrics {
    /// Commands submitted to the log.
    pub commands: Counter,
    /// Log entries submitted, each with a batch of commands.
    pub log_entries: Counter,
    /// Leases that were renewed.
    pub renewals: Counter,
    /// Rounds of leadership confirmation.
    pub confirmations: Counter,
    /// Terms in which this replica was the leader.
    pub terms_led: Counter,
    /// Commands that the leader issued for expired leases.
    pub lapses: Counter,
    /// Responses to list requests.
    pub lists_answered: Counter,
    /// Calls that were rejected or failed, and connections over the limit.
    pub calls_refused: Counter,
    /// Connections that were closed because the peer did not read.
    pub peers_too_slow: Counter,
}

/// Gauges, which are read for each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Revision of the list.
    pub rev: u64,
    /// Instances on the list.
    pub instances: usize,
    /// Suspects on the list.
    pub suspects: usize,
    /// Watches that are waiting for a change.
    pub watches: usize,
    /// Open client connections.
    pub connections: usize,
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// Current Raft term.
    pub term: u64,
    /// Index of the last applied log entry.
    pub applied_index: u64,
    /// Upper bound of the age of the list; `None` if it is unknown.
    pub list_age_s: Option<f64>,
    /// Size of the store file.
    pub store_bytes: u64,
}

impl Metrics {
    /// Returns all metrics in the text format.
    pub fn text(&self, gauges: &Gauges) -> String {
        let mut registry = Registry::with_prefix("flaxdale_registry");
        let counters = [
            ("commands", "Commands carried out through the log", &self.commands),
            ("log_entries", "Entries of the log that they took", &self.log_entries),
            ("renewals", "Lives that renewed their leases", &self.renewals),
            ("confirmations", "Rounds in which the lead was confirmed", &self.confirmations),
            ("terms_led", "Terms in which this replica led", &self.terms_led),
            ("lapses", "Commands issued for lapsed leases", &self.lapses),
            ("lists_answered", "Lists answered", &self.lists_answered),
            ("calls_refused", "Calls turned away or failed", &self.calls_refused),
            ("peers_too_slow", "Connections closed because their peer read nothing", &self.peers_too_slow),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let float_gauge = |value: f64| {
            let gauge = FloatGauge::default();
            gauge.set(value);
            gauge
        };
        let gauges = [
            ("changes", "Changes of the list in this incarnation", (gauges.rev & 0xffff_ffff) as f64),
            ("instances", "Instances on the list", gauges.instances as f64),
            ("suspects", "Instances held as suspects", gauges.suspects as f64),
            ("watches", "Watches that wait", gauges.watches as f64),
            ("connections", "Client connections", gauges.connections as f64),
            ("leads", "1 if this replica leads", f64::from(u8::from(gauges.is_leader))),
            ("term", "Term of the consensus", gauges.term as f64),
            ("applied_index", "Last entry of the log that was applied", gauges.applied_index as f64),
            (
                "list_age_seconds",
                "Greatest age of the list; +Inf if unknown",
                gauges.list_age_s.unwrap_or(f64::INFINITY),
            ),
            ("store_bytes", "Bytes of the store's file", gauges.store_bytes as f64),
        ];
        for (name, help, value) in gauges {
            registry.register(name, help, float_gauge(value));
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

#[cfg(test)]
mod tests;
