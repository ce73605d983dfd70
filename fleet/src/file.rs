//! The fleet file, in TOML. It is validated as a whole before any of it is used. Errors name the file, line and key.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};

const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Maximum number of zones.
pub const MAX_ZONES: usize = 64;
/// Maximum length of the name of a zone or region.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of replicas of a registry.
pub const MAX_REPLICAS: usize = 9;

/// The fleet file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The registry, if the fleet has one.
    pub registry: Option<Registry>,
    /// Overrides for zones, by name; all other zones receive their full share.
    pub zones: BTreeMap<String, Zone>,
}

/// Overrides for a zone.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zone {
    /// The zone's region. Zones of the same region are close to each other.
    pub region: String,
    /// Fraction, from 0 to 1, of the requests that the zone would otherwise receive.
    pub share: f64,
}

impl Default for Zone {
    fn default() -> Self {
        Self { region: String::new(), share: 1.0 }
    }
}

/// Location of the registry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Client addresses of the replicas, in any order.
    pub addresses: Vec<SocketAddr>,
}

/// Why a file was rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct FileError {
    /// The file.
    pub file: PathBuf,
    /// Line number of the error, from 1, if it is known.
    pub line: Option<usize>,
    /// Description of the error.
    pub text: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file.display(), self.text),
            None => write!(f, "{}: {}", self.file.display(), self.text),
        }
    }
}

impl std::error::Error for FileError {}

/// An invalid value in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// Dotted path of the key, such as `registry.addresses`.
    pub key: String,
    /// Description of the valid values.
    pub text: String,
}

/// Reads a TOML file of any type and validates it with `check`.
pub fn read<T: DeserializeOwned>(
    file: &Path,
    check: impl FnOnce(&T) -> Result<(), ValidationError>,
) -> Result<T, FileError> {
    let fail = |line: Option<usize>, text: String| FileError { file: file.to_owned(), line, text };
    let size = std::fs::metadata(file).map_err(|error| fail(None, error.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(fail(None, format!("file has {size} bytes, the limit is {MAX_FILE_BYTES}")));
    }
    let text = std::fs::read_to_string(file).map_err(|error| fail(None, error.to_string()))?;
    let line_of =
        |offset: usize| text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count() + 1;
    let parsed: T = toml::from_str(&text)
        .map_err(|error| fail(error.span().map(|span| line_of(span.start)), error.message().to_owned()))?;
    check(&parsed).map_err(|invalid| {
        let line = offset_of(&text, &invalid.key).map(line_of);
        fail(line, format!("{}: {}", invalid.key, invalid.text))
    })?;
    Ok(parsed)
}

/// Returns the byte offset of a key such as `fault[2].zone`, or that of its innermost parent that is present.
fn offset_of(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut offset = None;
    let mut value: Option<&DeValue> = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let nested = match value {
            None => table.get_ref(),
            Some(DeValue::Table(nested)) => nested,
            Some(_) => return offset,
        };
        let Some((key, nested_value)) = nested.iter().find(|(key, _)| key.get_ref().as_ref() == name) else {
            return offset;
        };
        offset = Some(key.span().start);
        value = Some(nested_value.get_ref());
        if let Some(index) = index {
            let Some(DeValue::Array(items)) = value else { return offset };
            let Some(item) = items.get(index) else { return offset };
            offset = Some(item.span().start);
            value = Some(item.get_ref());
        }
    }
    offset
}

impl Fleet {
    /// Reads and validates a fleet file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        read(file, Self::check)
    }

    /// Validates the values.
    pub fn check(&self) -> Result<(), ValidationError> {
        let invalid = |key: &str, text: String| Err(ValidationError { key: key.to_owned(), text });
        if self.zones.len() > MAX_ZONES {
            return invalid("zones", format!("must have at most {MAX_ZONES} zones"));
        }
        for (name, zone) in &self.zones {
            if name.len().max(zone.region.len()) > MAX_NAME_BYTES {
                return invalid(
                    "zones",
                    format!("names of zones and regions must have at most {MAX_NAME_BYTES} bytes"),
                );
            }
            if !(0.0..=1.0).contains(&zone.share) {
                return invalid(&format!("zones.{name}.share"), "must be between 0 and 1".to_owned());
            }
        }
        let Some(registry) = &self.registry else { return Ok(()) };
        let invalid_addresses = |text: String| invalid("registry.addresses", text);
        let addresses = &registry.addresses;
        if addresses.is_empty() || addresses.len() > MAX_REPLICAS {
            return invalid_addresses(format!("must have 1 to {MAX_REPLICAS} addresses"));
        }
        let duplicate =
            addresses.iter().enumerate().find(|(index, address)| addresses[..*index].contains(address));
        duplicate.map_or(Ok(()), |(_, address)| invalid_addresses(format!("duplicate address {address}")))
    }
}

#[cfg(test)]
mod tests;
