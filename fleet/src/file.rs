//! The fleet file: TOML, checked whole before anything is taken from it. A problem is told with its file, line and key.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};

/// A file larger than this is none.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Zones, and bytes of a name, at most.
pub const MAX_ZONES: usize = 64;
/// See [`MAX_ZONES`].
pub const MAX_NAME_BYTES: usize = 128;
/// Replicas of one registry at most.
pub const MAX_REPLICAS: usize = 9;

/// What a process is told of its fleet.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The registry, if it has one.
    pub registry: Option<Registry>,
    /// What is ordered of zones, by their names; the others are open.
    pub zones: BTreeMap<String, Zone>,
}

/// What is ordered of a zone.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zone {
    /// The region that it lies in: zones of one name are near to each other.
    pub region: String,
    /// Part of the requests that would go there which it may be given, 0 to 1.
    pub share: f64,
}

impl Default for Zone {
    fn default() -> Self {
        Self { region: String::new(), share: 1.0 }
    }
}

/// Where the registry is.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Its replicas' addresses for clients, in any order.
    pub addresses: Vec<SocketAddr>,
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq)]
pub struct FileError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1, where one is at fault.
    pub line: Option<usize>,
    /// What is wrong, with the key, and what would be right.
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

/// What makes no sense in a file, by its key.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// The key, as `registry.addresses`.
    pub key: String,
    /// What would be right.
    pub text: String,
}

/// Reads a TOML file of any type, and checks what it holds.
pub fn read<T: DeserializeOwned>(
    file: &Path,
    check: impl FnOnce(&T) -> Result<(), ValidationError>,
) -> Result<T, FileError> {
    let fail = |line: Option<usize>, text: String| FileError { file: file.to_owned(), line, text };
    let size = std::fs::metadata(file).map_err(|error| fail(None, error.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(fail(None, format!("{size} bytes are too many; {MAX_FILE_BYTES} at most")));
    }
    let text = std::fs::read_to_string(file).map_err(|error| fail(None, error.to_string()))?;
    let line_of = |at: usize| text.as_bytes().iter().take(at).filter(|byte| **byte == b'\n').count() + 1;
    let parsed: T = toml::from_str(&text)
        .map_err(|error| fail(error.span().map(|span| line_of(span.start)), error.message().to_owned()))?;
    check(&parsed).map_err(|problem| {
        let line = find(&text, &problem.key).map(line_of);
        fail(line, format!("{}: {}", problem.key, problem.text))
    })?;
    Ok(parsed)
}

/// Where a key such as `fault[2].zone` stands, or its nearest table that does.
fn find(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut at = None;
    let mut value: Option<&DeValue> = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let inside = match value {
            None => table.get_ref(),
            Some(DeValue::Table(inside)) => inside,
            Some(_) => return at,
        };
        let Some((key, found)) = inside.iter().find(|(key, _)| key.get_ref().as_ref() == name) else {
            return at;
        };
        at = Some(key.span().start);
        value = Some(found.get_ref());
        if let Some(index) = index {
            let Some(DeValue::Array(items)) = value else { return at };
            let Some(item) = items.get(index) else { return at };
            at = Some(item.span().start);
            value = Some(item.get_ref());
        }
    }
    at
}

impl Fleet {
    /// Reads and checks a fleet file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        read(file, Self::check)
    }

    /// Whether it makes sense.
    pub fn check(&self) -> Result<(), ValidationError> {
        let wrong = |key: &str, text: String| Err(ValidationError { key: key.to_owned(), text });
        if self.zones.len() > MAX_ZONES {
            return wrong("zones", format!("{MAX_ZONES} at most"));
        }
        for (name, zone) in &self.zones {
            if name.len().max(zone.region.len()) > MAX_NAME_BYTES {
                return wrong("zones", format!("names have {MAX_NAME_BYTES} bytes at most"));
            }
            if !(0.0..=1.0).contains(&zone.share) {
                return wrong(&format!("zones.{name}.share"), "a share from 0 to 1 is wanted".to_owned());
            }
        }
        let Some(registry) = &self.registry else { return Ok(()) };
        let problem = |text: String| wrong("registry.addresses", text);
        let addresses = &registry.addresses;
        if addresses.is_empty() || addresses.len() > MAX_REPLICAS {
            return problem(format!("1 to {MAX_REPLICAS} addresses are wanted"));
        }
        let twice = addresses.iter().enumerate().find(|(at, one)| addresses[..*at].contains(one));
        twice.map_or(Ok(()), |(_, one)| problem(format!("{one} stands there twice")))
    }
}

#[cfg(test)]
mod tests;
