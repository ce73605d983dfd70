//! The settings of a replica: a TOML file in which every key is optional. A single replica runs without a file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flaxdale_fleet::file::{FileError, MAX_REPLICAS, ValidationError, read};
use serde::{Deserialize, Serialize};

use crate::leases::LeasePolicy;
use crate::list::MAX_NAME_BYTES;
use crate::raft::Place;

/// The settings of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The name of the fleet. Calls from other fleets are rejected, and a store of another fleet is not opened.
    pub fleet: String,
    /// Listen address for clients and operators.
    pub listen: SocketAddr,
    /// Listen address for other replicas.
    pub peer_listen: SocketAddr,
    /// Advertised client address, if it differs from `listen`.
    pub address: Option<SocketAddr>,
    /// Advertised peer address, if it differs from `peer_listen`.
    pub peer_address: Option<SocketAddr>,
    /// Peer addresses of all replicas including this one; empty for a single replica.
    pub replicas: Vec<SocketAddr>,
    /// Addresses to connect to instead of a peer's own address, as with a proxy.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// Directory of the store.
    pub data: PathBuf,
    /// Duration of a lease since its last renewal.
    pub lease_ms: u64,
    /// When more than this share of a zone's leases expire within the duration of a lease, the instances become
    /// suspects.
    pub believed_share: f64,
    /// Number of expired leases in a zone up to which the instances are removed regardless of the share.
    pub believed_count: usize,
    /// Time after which suspects that have not renewed are removed.
    pub hold_s: u64,
    /// Interval of the leader's heartbeats, and the timeout for a replica's response to one.
    pub heartbeat_ms: u64,
    /// Minimum election timeout. Failover may take up to three times as long.
    pub election_ms: u64,
    /// Number of log entries after which a snapshot is taken and the log is compacted.
    pub snapshot_every: u64,
    /// Size of the store beyond which writes are rejected.
    pub most_store_mb: u64,
    /// Maximum number of client connections.
    pub most_connections: usize,
    /// Maximum number of waiting watches.
    pub most_watches: usize,
    /// Maximum age of the list for the replica to be ready.
    pub ready_age_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let policy = LeasePolicy::default();
        Self {
            fleet: "fleet".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 7200)),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 7300)),
            address: None,
            peer_address: None,
            replicas: Vec::new(),
            via: BTreeMap::new(),
            data: PathBuf::from("registry-data"),
            lease_ms: policy.lease / 1_000_000,
            believed_share: policy.believed_share,
            believed_count: policy.believed_count,
            hold_s: policy.hold / 1_000_000_000,
            // Failover takes up to 1 s: the lease of the former leader (twice `election_ms`), the election timeout
            // (once to twice `election_ms`) and the tick interval (1.5 heartbeats).
            heartbeat_ms: 100,
            election_ms: 250,
            snapshot_every: 2000,
            most_store_mb: 1024,
            most_connections: 12_000,
            most_watches: 11_000,
            ready_age_ms: 2000,
        }
    }
}

impl Settings {
    /// Reads and validates a file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        read(file, Self::check)
    }

    /// Validates the settings.
    pub fn check(&self) -> Result<(), ValidationError> {
        let require = |valid: bool, key: &'static str, text: String| {
            if valid { Ok(()) } else { Err(ValidationError { key: key.to_owned(), text }) }
        };
        let valid_fleet =
            !self.fleet.is_empty() && self.fleet.len() <= MAX_NAME_BYTES && self.fleet.is_ascii();
        require(valid_fleet, "fleet", format!("must have 1 to {MAX_NAME_BYTES} ASCII characters"))?;
        let place = self.place();
        let replicas = &self.replicas;
        let (odd_count, within_limit) = (replicas.len() % 2 == 1, replicas.len() <= MAX_REPLICAS);
        require(
            replicas.is_empty() || (odd_count && within_limit),
            "replicas",
            format!("must have 1, 3, 5, 7 or {MAX_REPLICAS} addresses"),
        )?;
        let includes_own = replicas.is_empty() || replicas.contains(&place.peer);
        require(
            includes_own,
            "replicas",
            format!("must include this replica's own peer address, {}", place.peer),
        )?;
        let duplicate =
            replicas.iter().enumerate().any(|(index, address)| replicas[..index].contains(address));
        require(!duplicate, "replicas", "contains a duplicate address".to_owned())?;
        let is_reachable = |address: SocketAddr| !address.ip().is_unspecified();
        require(
            is_reachable(place.client),
            "address",
            "the address advertised to clients must not be unspecified".to_owned(),
        )?;
        require(
            is_reachable(place.peer),
            "peer_address",
            "the address advertised to other replicas must not be unspecified".to_owned(),
        )?;
        let within = |value: u64, min: u64, max: u64| (min..=max).contains(&value);
        require(
            within(self.lease_ms, 500, 600_000),
            "lease_ms",
            "must be between 500 and 600000".to_owned(),
        )?;
        let valid_share = (0.0..=1.0).contains(&self.believed_share);
        require(valid_share, "believed_share", "must be between 0 and 1".to_owned())?;
        require(within(self.hold_s, 1, 86_400), "hold_s", "must be between 1 and 86400".to_owned())?;
        require(
            within(self.heartbeat_ms, 10, 10_000),
            "heartbeat_ms",
            "must be between 10 and 10000".to_owned(),
        )?;
        let valid_election = self.election_ms > self.heartbeat_ms && self.election_ms <= 60_000;
        require(
            valid_election,
            "election_ms",
            "must be greater than heartbeat_ms and at most 60000".to_owned(),
        )?;
        require(
            within(self.snapshot_every, 10, 1_000_000),
            "snapshot_every",
            "must be between 10 and 1000000".to_owned(),
        )?;
        require(
            within(self.most_store_mb, 4, 1 << 20),
            "most_store_mb",
            "must be between 4 and 1048576".to_owned(),
        )?;
        let valid_connections = (16..=1_000_000).contains(&self.most_connections);
        require(valid_connections, "most_connections", "must be between 16 and 1000000".to_owned())?;
        let valid_watches = (1..=self.most_connections).contains(&self.most_watches);
        require(valid_watches, "most_watches", "must be between 1 and most_connections".to_owned())?;
        require(
            within(self.ready_age_ms, 100, 600_000),
            "ready_age_ms",
            "must be between 100 and 600000".to_owned(),
        )
    }

    /// Returns the advertised addresses.
    pub fn place(&self) -> Place {
        Place {
            peer: self.peer_address.unwrap_or(self.peer_listen),
            client: self.address.unwrap_or(self.listen),
        }
    }

    /// Returns the lease policy.
    pub fn lease_policy(&self) -> LeasePolicy {
        LeasePolicy {
            lease: self.lease_ms * 1_000_000,
            believed_share: self.believed_share,
            believed_count: self.believed_count,
            hold: self.hold_s * 1_000_000_000,
        }
    }
}

#[cfg(test)]
mod tests;
