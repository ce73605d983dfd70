//! Decoding of protocol lines.

use brookfield::{LoadReport, Nanos, Outcome, Stage};
use brookfield_settings::Fields;
use serde_json::Value;

/// An input line: an object with a single key, the tag of the message.
pub struct Line<'a> {
    pub line_number: u64,
    pub fields: Fields<'a>,
}

impl<'a> Line<'a> {
    pub fn new(line_number: u64, value: &'a Value) -> Result<Self, String> {
        let malformed = || format!("line {line_number}: not an object with a single key");
        let object = value.as_object().filter(|object| object.len() == 1).ok_or_else(malformed)?;
        let (tag, body) = object.iter().next().ok_or_else(malformed)?;
        let map = body.as_object().ok_or_else(|| format!("line {line_number}: {tag}: not an object"))?;
        Ok(Self { line_number, fields: Fields { tag, map } })
    }
}

/// Decodes the outcome of an attempt.
pub fn decode_outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.string("disposition")? {
        "S" => Outcome::Served,
        "E" => Outcome::Error,
        "F" => Outcome::Full,
        "T" => Outcome::TimedOut,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::Moot,
        _ => return Err(fields.invalid("disposition")),
    })
}

/// Decodes the load report, if there is one.
pub fn decode_load_report(fields: &Fields) -> Result<LoadReport, String> {
    let Some(usage) = fields.map.get("usage").filter(|usage| !usage.is_null()) else {
        return Ok(LoadReport::default());
    };
    let usage = usage.as_object().ok_or_else(|| fields.invalid("usage"))?;
    let number = |name: &str| usage.get(name).and_then(Value::as_f64);
    Ok(LoadReport { util: number("load_share"), rate: number("tps"), in_flight: number("concurrent") })
}

/// An entry of a backend list, with names not yet mapped to ids.
pub struct ListEntry {
    pub backend: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub stage: Stage,
    pub weight: f64,
    pub online_since: Option<Nanos>,
}

pub fn decode_list(fields: &Fields) -> Result<Vec<ListEntry>, String> {
    let list = fields.array("members-list")?;
    list.iter()
        .map(|value| {
            let map = value.as_object().ok_or_else(|| fields.invalid("members-list"))?;
            let entry = Fields { tag: "MANIFEST", map };
            Ok(ListEntry {
                backend: entry.string("backend")?.to_owned(),
                zone: entry.string("hall")?.to_owned(),
                kind: entry.string("type")?.to_owned(),
                cell: entry.unsigned_or("pod", 0)?,
                stage: match entry.string("stage-state")? {
                    "in_service" => Stage::InService,
                    "terminating" => Stage::Draining,
                    "terminated" => Stage::Gone,
                    _ => return Err(entry.invalid("stage-state")),
                },
                weight: entry.number_or("power-hint", 1.0)?,
                online_since: Some(entry.unsigned_or("online-since-ns", 0)?).filter(|&at| at > 0),
            })
        })
        .collect()
}
