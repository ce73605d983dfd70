#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Parses the settings object of a node, for every program that embeds brookfield.

mod fields;

use std::collections::HashMap;

use brookfield::{
    ClassSettings, DedupGroup, DiscoveryMode, Idempotency, Limits, Nanos, RuleParameters, Settings,
    WeightKind, ZoneId,
};
use serde_json::Value;

pub use fields::Fields;

/// Ids of the names used in the settings.
pub struct NameTable {
    zones: Vec<String>,
    classes: HashMap<String, u32>,
    kinds: Vec<String>,
    tenants: Vec<String>,
}

impl NameTable {
    /// Id of a zone; unknown zones are appended to those of the settings.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(index_or_insert(&mut self.zones, name))
    }

    /// Name of a zone, for logs.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(zone.0 as usize).map_or("-", String::as_str)
    }

    /// Id of a machine kind; unknown kinds are appended.
    pub fn kind(&mut self, name: &str) -> u32 {
        index_or_insert(&mut self.kinds, name)
    }

    /// Id of a tenant, or `None` if it is absent or not in the settings.
    pub fn tenant(&self, name: Option<&str>) -> Option<u32> {
        let index = name.and_then(|name| self.tenants.iter().position(|known| known == name));
        index.map(|index| index as u32)
    }

    /// Id of a class, or `None` if it is not in the settings.
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.get(name).copied()
    }
}

fn index_or_insert(names: &mut Vec<String>, name: &str) -> u32 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u32
}

fn string_list(fields: &Fields, field: &str) -> Result<Vec<String>, String> {
    let string = |value: &Value| value.as_str().map(str::to_owned).ok_or_else(|| fields.invalid(field));
    fields.array(field)?.iter().map(string).collect()
}

fn parse_class(value: &Value) -> Result<(String, ClassSettings), String> {
    let map = value.as_object().ok_or("settings: classes: expected objects")?;
    let fields = Fields { tag: "settings: classes", map };
    let idempotency = match fields.string("effect")? {
        "repeatable" => Idempotency::Idempotent,
        "once" => Idempotency::NonIdempotent,
        "by_key" => {
            let group = match fields.string("key-scope")? {
                "all" => DedupGroup::All,
                "zone" => DedupGroup::Zone,
                "cell" => DedupGroup::Cell,
                _ => return Err(fields.invalid("key-scope")),
            };
            Idempotency::Keyed { group, window: fields.unsigned("window-ns")? }
        }
        _ => return Err(fields.invalid("effect")),
    };
    let settings = ClassSettings {
        latency_target: fields.unsigned("on-time-ns")?,
        deadline: fields.unsigned("deadline-ns")?,
        value: fields.number_or("importance", 1.0)?,
        late_value_share: fields.number_or("late-share", 0.0)?,
        idempotency,
    };
    Ok((fields.string("name")?.to_owned(), settings))
}

/// Connection settings, used only by nodes on real sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Backends close a connection that has been idle for this long, or sooner.
    pub idle_timeout: Nanos,
    /// Connecting fails after this time.
    pub connect_timeout: Nanos,
}

/// Parsed settings object.
pub struct ParsedSettings {
    /// Settings of the load balancer.
    pub settings: Settings,
    /// Ids of the names in the settings.
    pub names: NameTable,
    /// Connection settings.
    pub connections: ConnectionSettings,
}

/// Parses a settings object. Errors name the field.
pub fn parse(value: &Value) -> Result<ParsedSettings, String> {
    let map = value.as_object().ok_or("settings: expected an object")?;
    let fields = Fields { tag: "settings", map };
    let zones = string_list(&fields, "zones")?;
    let home_zone = fields.string("az")?;
    let home_zone = zones.iter().position(|zone| zone == home_zone).ok_or_else(|| fields.invalid("az"))?;
    let classes = fields.array("classes")?.iter().map(parse_class).collect::<Result<Vec<_>, _>>()?;
    let (class_names, classes): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
    let projects = if map.contains_key("projects") { fields.array("projects")?.as_slice() } else { &[] };
    let tenant = |value: &Value| {
        let map = value.as_object().ok_or("settings: projects: expected objects")?;
        let fields = Fields { tag: "settings: projects", map };
        Ok::<_, String>((fields.string("name")?.to_owned(), fields.number("quota-rps")?))
    };
    let (tenant_names, tenant_quotas): (Vec<_>, Vec<_>) =
        projects.iter().map(tenant).collect::<Result<Vec<_>, _>>()?.into_iter().unzip();
    let limits = fields.object("policy-limits")?;
    let rules = fields.object("rules")?;
    let goal = fields.object("goal")?;
    let flag = |name: &str| limits.map.get(name).and_then(Value::as_bool).unwrap_or(false);
    let settings = Settings {
        home_zone: ZoneId(home_zone as u32),
        zone_count: zones.len() as u32,
        node_count: u32::try_from(fields.unsigned_or("n-instances", 1)?).unwrap_or(u32::MAX),
        classes,
        tenant_quotas,
        over_quota_value: fields.number_or("over-share-worth", 1.0)?,
        discovery: match fields.string("discovery")? {
            "pushed" => DiscoveryMode::Push,
            "on_request" => DiscoveryMode::OnRequest,
            _ => return Err(fields.invalid("discovery")),
        },
        weight_kind: match map.get("weights").and_then(Value::as_str) {
            Some("live") => WeightKind::Live,
            _ => WeightKind::Static,
        },
        limits: Limits {
            max_attempts: u32::try_from(limits.unsigned("attempts-cap")?).unwrap_or(u32::MAX),
            concurrent_attempts: flag("second-copies"),
            probes: flag("probes"),
            cancel: flag("may-cancel"),
            // Sent even if the settings say that clients ignore it, as some of them honor it.
            max_retry_after: limits.unsigned_or("max-retry-after-ns", 0)?,
        },
        rules: RuleParameters {
            answer_slack: rules.unsigned("answer-slack-ns")?,
            max_poll_interval: rules.unsigned_or("ask-within-ns", u64::MAX)?,
            drain_grace: rules.unsigned("drain-grace-ns")?,
            initial_capacity: rules.number("start-capacity")?,
            slow_start_window: rules.unsigned("warm-after-ns")?,
            overload_factor: rules.number("tip-multiple")?,
            overload_window: rules.unsigned("fall-ns")?,
        },
        worst_class_weight: goal.number_or("worst-class", 0.0)?,
        retries_marked: map
            .get("callers")
            .and_then(|callers| callers.get("marks-retry"))
            .and_then(Value::as_bool)
            .unwrap_or(false),
        value_per_work: map.get("worth-by").and_then(Value::as_str) == Some("work"),
        quantum: fields.unsigned_or("quantum-ns", 1_000_000)?,
    };
    let classes = class_names.into_iter().zip(0..).collect();
    let kinds = if map.contains_key("kinds") { string_list(&fields, "kinds")? } else { Vec::new() };
    let connections = ConnectionSettings {
        idle_timeout: limits.unsigned_or("conn-idle-ns", 15_000_000_000)?,
        connect_timeout: limits.unsigned_or("connect-timeout-ns", 250_000_000)?,
    };
    Ok(ParsedSettings {
        settings,
        names: NameTable { zones, classes, kinds, tenants: tenant_names },
        connections,
    })
}
