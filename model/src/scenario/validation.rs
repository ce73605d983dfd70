//! Validation of a scenario: each error names the key of the value.

use std::fmt;

use super::*;

/// An invalid value in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// Path of the key, such as `fault[2].zone`.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

impl std::error::Error for ValidationError {}

impl Scenario {
    /// Checks all values and returns the first error.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let error = |key: String, message: String| Err(ValidationError { key, message });
        let fleet = &self.fleet;
        if fleet.zones.is_empty() || fleet.zones.len() > MAX_ZONES {
            return error("fleet.zones".into(), format!("must have 1 to {MAX_ZONES} names"));
        }
        for (index, zone) in fleet.zones.iter().enumerate() {
            if zone.is_empty() || fleet.zones[..index].contains(zone) {
                return error("fleet.zones".into(), format!("{zone:?} is empty or duplicated"));
            }
        }
        for (key, value, max) in
            [("fleet.nodes", fleet.nodes, MAX_NODES), ("fleet.servers", fleet.servers, MAX_SERVERS)]
        {
            if value == 0 || value > max {
                return error(key.into(), format!("must be between 1 and {max}, not {value}"));
            }
        }
        if (fleet.servers as usize) < fleet.zones.len() {
            return error("fleet.servers".into(), "must be at least the number of zones".into());
        }
        if !fleet.zone_weights.is_empty() && fleet.zone_weights.len() != fleet.zones.len() {
            return error(
                "fleet.sizes".into(),
                format!("must have {} values, one per zone", fleet.zones.len()),
            );
        }
        if !fleet.zone_weights.iter().all(|weight| *weight > 0.0 && weight.is_finite()) {
            return error("fleet.sizes".into(), "must be above 0".into());
        }
        let check_range = |key: &str, range: Range, min: f64, max: f64| {
            if range.min() < min || range.max() > max {
                return error(key.to_owned(), format!("must be between {min} and {max}"));
            }
            Ok(())
        };
        check_range("fleet.group", fleet.group_size, 1.0, 10_000.0)?;
        let load = &self.load;
        if let Some(rps) = load.rps {
            check_range("load.rps", Range::fixed(rps), 0.1, MAX_RPS)?;
        }
        check_range("load.utilisation", Range::fixed(load.utilisation), 0.01, 10.0)?;
        check_range("load.swing", load.wave_amplitude, 0.0, 0.9)?;
        check_range("load.wave_s", load.wave_period_s, 0.5, MAX_RUN_SECONDS)?;
        check_range("load.zone_skew", load.zone_skew, 0.0, 0.9)?;
        check_range("load.retries", Range::fixed(load.max_retries.into()), 0.0, 10.0)?;
        check_range("load.backoff_ms", load.backoff_ms, 1.0, 60_000.0)?;
        check_range("load.heeds", load.retry_after_share, 0.0, 1.0)?;
        check_range("load.try_share", load.try_timeout_share, 0.05, 1.0)?;
        check_range("network.same_ms", self.network.intra_zone_ms, 0.01, 1000.0)?;
        check_range("network.cross_ms", self.network.cross_zone_ms, 0.01, 1000.0)?;
        check_range("network.jitter", self.network.jitter, 0.0, 0.9)?;
        check_range("discovery.notice_s", self.discovery.propagation_s, 0.0, 60.0)?;
        check_range("discovery.silent_s", self.discovery.failure_detection_s, 0.0, 600.0)?;
        check_range("rules.drain_grace_ms", Range::fixed(self.rules.drain_grace_ms), 1.0, 60_000.0)?;
        check_range("rules.fall_multiple", Range::fixed(self.rules.overload_factor), 1.0, 100.0)?;
        check_range("rules.fall_ms", Range::fixed(self.rules.overload_window_ms), 10.0, 60_000.0)?;
        check_range("rules.retry_after_ms", Range::fixed(self.rules.max_retry_after_ms), 0.0, 60_000.0)?;
        check_range("rules.attempts", Range::fixed(self.rules.max_attempts.into()), 1.0, 10.0)?;
        for (n, kind) in self.kinds.iter().enumerate() {
            let key = |field: &str| format!("kind[{n}].{field}");
            check_range(&key("share"), Range::fixed(kind.share), 1e-6, 1e6)?;
            check_range(&key("cores"), Range::fixed(kind.cores.into()), 1.0, 1024.0)?;
            check_range(&key("speed"), kind.speed, 0.01, 100.0)?;
            check_range(&key("slots"), kind.concurrency, 1.0, 10_000.0)?;
            check_range(&key("room"), kind.queue_capacity, 0.0, 100_000.0)?;
            check_range(&key("thrash"), kind.thrash, 0.0, 10.0)?;
            check_range(&key("thrash_at"), kind.thrash_at, 1.0, 10_000.0)?;
            check_range(&key("cold_from"), kind.initial_capacity, 0.01, 1.0)?;
            check_range(&key("cold_s"), kind.slow_start_s, 0.0, 600.0)?;
            check_range(&key("error_rate"), Range::fixed(kind.error_rate), 0.0, 1.0)?;
        }
        for (n, class) in self.classes.iter().enumerate() {
            let key = |field: &str| format!("class[{n}].{field}");
            if class.name.is_empty() || self.classes[..n].iter().any(|other| other.name == class.name) {
                return error(key("name"), "is empty or duplicated".into());
            }
            check_range(&key("share"), Range::fixed(class.share), 1e-6, 1e6)?;
            check_range(&key("work_ms"), class.work_ms, 0.01, 60_000.0)?;
            check_range(&key("wait_ms"), class.io_wait_ms, 0.0, 60_000.0)?;
            check_range(&key("cv"), class.cv, 0.0, 5.0)?;
            check_range(&key("aim_ms"), Range::fixed(class.latency_target_ms), 1.0, 60_000.0)?;
            check_range(
                &key("deadline_ms"),
                Range::fixed(class.deadline_ms),
                class.latency_target_ms,
                60_000.0,
            )?;
            check_range(&key("worth"), Range::fixed(class.value), 0.0, 1e6)?;
            check_range(&key("late_worth"), Range::fixed(class.late_value_share), 0.0, 1.0)?;
            if class.idempotency == Idempotency::Keyed {
                check_range(&key("window_ms"), Range::fixed(class.dedup_window_ms), 1.0, 600_000.0)?;
            }
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            let key = |field: &str| format!("tenant[{n}].{field}");
            if tenant.name.is_empty() || self.tenants[..n].iter().any(|other| other.name == tenant.name) {
                return error(key("name"), "is empty or duplicated".into());
            }
            check_range(&key("share"), Range::fixed(tenant.share), 0.0, 1.0)?;
            check_range(&key("usage"), tenant.usage, 0.0, 100.0)?;
        }
        let registry = &self.registry;
        if registry.replicas > MAX_REPLICAS || registry.replicas.is_multiple_of(2) && registry.replicas > 0 {
            return error("registry.replicas".into(), format!("must be 0, 1, 3, 5, 7 or {MAX_REPLICAS}"));
        }
        check_range("registry.lease_ms", Range::fixed(registry.lease_ms), 500.0, 600_000.0)?;
        check_range("registry.renew_ms", Range::fixed(registry.renew_ms), 50.0, registry.lease_ms / 2.0)?;
        check_range("registry.snapshot_every", Range::fixed(registry.snapshot_every.into()), 10.0, 1e6)?;
        check_range("registry.instances", Range::fixed(registry.instances.into()), 0.0, 10_000.0)?;
        check_range("registry.writes_per_s", Range::fixed(registry.writes_per_s), 0.0, 1000.0)?;
        check_range("registry.watchers", Range::fixed(registry.watchers.into()), 0.0, 1000.0)?;
        for watchers in &registry.watcher_steps {
            check_range("registry.crowd", Range::fixed((*watchers).into()), 1.0, 15_000.0)?;
        }
        if self.faults.len() > MAX_FAULTS {
            return error(
                "fault".into(),
                format!("must have at most {MAX_FAULTS} entries, not {}", self.faults.len()),
            );
        }
        self.faults.iter().enumerate().try_for_each(|(n, fault)| self.validate_fault(n, fault))
    }

    fn validate_fault(&self, n: usize, fault: &Fault) -> Result<(), ValidationError> {
        let error = |field: &str, message: String| {
            Err(ValidationError { key: format!("fault[{n}].{field}"), message })
        };
        let target_kind = fault.kind.target_kind();
        if fault.at_s.min() < 0.0 || fault.at_s.max() > MAX_RUN_SECONDS {
            return error("at_s", format!("must be between 0 and {MAX_RUN_SECONDS}"));
        }
        for (field, range) in [("for_s", fault.duration_s), ("step_s", fault.interval_s)] {
            if range.is_some_and(|range| range.min() < 0.0) {
                return error(field, "must not be negative".into());
            }
        }
        let is_zone = |zone: &String| self.fleet.zones.contains(zone);
        let zones = self.fleet.zones.join(", ");
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !is_zone(zone)) {
            return error("zone", format!("{zone:?} is not one of {zones}"));
        }
        match (fault.kind.factor_bounds(), fault.factor) {
            (Some((unit, ..)), None) => return error("factor", format!("is required: {unit}")),
            (None, Some(_)) => return error("factor", "does not apply to this kind of fault".into()),
            (Some((unit, min, max)), Some(range)) if range.min() < min || range.max() > max => {
                return error("factor", format!("must be {unit}"));
            }
            _ => {}
        }
        let selectors = [fault.target.is_some(), fault.count.is_some(), fault.share.is_some()];
        let selector_count = selectors.iter().filter(|is_set| **is_set).count();
        match target_kind {
            TargetKind::Nodes | TargetKind::Servers | TargetKind::Replicas => {
                if selector_count != 1 {
                    return error("who", "exactly one of who, count and share is required".into());
                }
                if fault.share.is_some_and(|share| share.min() < 0.0 || share.max() > 1.0) {
                    return error("share", "must be between 0 and 1".into());
                }
                let (prefix, max) = match target_kind {
                    TargetKind::Nodes => ("n", self.fleet.nodes),
                    TargetKind::Servers => ("s", self.fleet.servers),
                    _ => ("r", self.registry.replicas),
                };
                if target_kind == TargetKind::Replicas && max == 0 {
                    return error("what", "requires a registry: set registry.replicas".into());
                }
                let is_leader =
                    target_kind == TargetKind::Replicas && fault.target.as_deref() == Some(LEADER);
                if let Some(target) = fault.target.as_ref().filter(|_| !is_leader) {
                    let number = target.strip_prefix(prefix).and_then(|number| number.parse::<u32>().ok());
                    if number.is_none_or(|number| number >= max) {
                        return error(
                            "who",
                            format!("{target:?} is not one of {prefix}0 to {prefix}{}", max - 1),
                        );
                    }
                }
            }
            TargetKind::Zone => match &fault.target {
                Some(zone) if is_zone(zone) => {}
                Some(zone) => return error("who", format!("{zone:?} is not one of {zones}")),
                None => return error("who", format!("must be a zone, one of {zones}")),
            },
            TargetKind::Tenant => {
                let names: Vec<&str> = self.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
                if !fault.target.as_deref().is_some_and(|target| names.contains(&target)) {
                    return error("who", format!("must be a tenant, one of: {}", names.join(", ")));
                }
            }
            TargetKind::Link => {
                for (field, end) in [("from", &fault.from), ("to", &fault.to)] {
                    let Some(end) = end else {
                        return error(field, "is required: a node, a server, a zone, discovery or *".into());
                    };
                    if !self.is_link_end(end) {
                        return error(field, format!("{end:?} is not a node, server, zone, discovery or *"));
                    }
                }
            }
            TargetKind::Global if selector_count > 0 => {
                return error("who", "does not apply to this kind of fault".into());
            }
            TargetKind::Global => {}
        }
        if target_kind != TargetKind::Link && (fault.from.is_some() || fault.to.is_some() || fault.one_way) {
            return error("from", "applies to links only".into());
        }
        if fault.kind != FaultKind::LoseZone && fault.cold {
            return error("cold", "applies to lose-zone only".into());
        }
        Ok(())
    }

    fn is_link_end(&self, name: &str) -> bool {
        let index = |prefix: &str| name.strip_prefix(prefix).and_then(|index| index.parse::<u32>().ok());
        matches!(name, "*" | "discovery")
            || self.fleet.zones.iter().any(|zone| zone == name)
            || index("n").is_some_and(|index| index < self.fleet.nodes)
            || index("s").is_some_and(|index| index < self.fleet.servers)
            || index("r").is_some_and(|index| index < self.registry.replicas)
    }
}
