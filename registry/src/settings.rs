//! A replica's settings: a TOML file, checked whole, with usual values for all of it. A single replica needs no file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flaxdale_fleet::file::{FileError, MAX_REPLICAS, ValidationError, read};
use serde::{Deserialize, Serialize};

use crate::leases::LeasePolicy;
use crate::list::MAX_NAME_BYTES;
use crate::raft::Place;

/// What a replica is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The fleet's name: replicas of another one are not talked to, and its store is not opened.
    pub fleet: String,
    /// Where clients and operators find it.
    pub listen: SocketAddr,
    /// Where the other replicas find it.
    pub peer_listen: SocketAddr,
    /// How clients reach it, where that differs from `listen`.
    pub address: Option<SocketAddr>,
    /// How the other replicas reach it, where that differs from `peer_listen`.
    pub peer_address: Option<SocketAddr>,
    /// All replicas' peer addresses, this one's too; none for a single replica.
    pub replicas: Vec<SocketAddr>,
    /// Peers that are reached at another address than their own, as behind a proxy.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The folder of its store.
    pub data: PathBuf,
    /// A lease lasts so long from its last renewal.
    pub lease_ms: u64,
    /// When more than this share of a zone lapses within a lease, it is held as suspect.
    pub believed_share: f64,
    /// Lapses of a zone that are believed whatever their share.
    pub believed_count: usize,
    /// Suspects are held for so long at most.
    pub hold_s: u64,
    /// The leader is heard from so often. A replica's answer to it has to come in this time too.
    pub heartbeat_ms: u64,
    /// A leader that was not heard from for up to three times this is replaced.
    pub election_ms: u64,
    /// Entries after which the log is compacted into a snapshot.
    pub snapshot_every: u64,
    /// The store takes no writes beyond this size.
    pub most_store_mb: u64,
    /// Client connections at most.
    pub most_connections: usize,
    /// Watches that wait at a time.
    pub most_watches: usize,
    /// A replica that can't vouch for its list to be younger is not ready.
    pub ready_age_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let usual = LeasePolicy::default();
        Self {
            fleet: "fleet".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 7200)),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 7300)),
            address: None,
            peer_address: None,
            replicas: Vec::new(),
            via: BTreeMap::new(),
            data: PathBuf::from("registry-data"),
            lease_ms: usual.lease / 1_000_000,
            believed_share: usual.believed_share,
            believed_count: usual.believed_count,
            hold_s: usual.hold / 1_000_000_000,
            // A lead that moves costs up to 1 s: the last leader's lease of twice `election_ms`, once to twice that
            // until somebody stands, and a look at the clock once in one and a half heartbeats.
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
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        read(file, Self::check)
    }

    /// What makes no sense in them, with the key.
    pub fn check(&self) -> Result<(), ValidationError> {
        let wanted = |fits: bool, key: &'static str, text: String| {
            if fits { Ok(()) } else { Err(ValidationError { key: key.to_owned(), text }) }
        };
        let named = !self.fleet.is_empty() && self.fleet.len() <= MAX_NAME_BYTES && self.fleet.is_ascii();
        wanted(named, "fleet", format!("1 to {MAX_NAME_BYTES} ASCII characters are wanted"))?;
        let own = self.place();
        let replicas = &self.replicas;
        let (odd, few) = (replicas.len() % 2 == 1, replicas.len() <= MAX_REPLICAS);
        wanted(
            replicas.is_empty() || (odd && few),
            "replicas",
            format!("1, 3, 5, 7 or {MAX_REPLICAS} are wanted"),
        )?;
        let listed = replicas.is_empty() || replicas.contains(&own.peer);
        wanted(
            listed,
            "replicas",
            format!("this replica's own peer address, {}, is not among them", own.peer),
        )?;
        let twice = replicas.iter().enumerate().any(|(at, one)| replicas[..at].contains(one));
        wanted(!twice, "replicas", "an address stands there twice".to_owned())?;
        let reached = |at: SocketAddr| !at.ip().is_unspecified();
        wanted(
            reached(own.client),
            "address",
            "clients can't reach an unspecified address: name one".to_owned(),
        )?;
        wanted(
            reached(own.peer),
            "peer_address",
            "peers can't reach an unspecified address: name one".to_owned(),
        )?;
        let within = |value: u64, least: u64, most: u64| (least..=most).contains(&value);
        wanted(within(self.lease_ms, 500, 600_000), "lease_ms", "500 to 600000 is wanted".to_owned())?;
        let share = (0.0..=1.0).contains(&self.believed_share);
        wanted(share, "believed_share", "a share from 0 to 1 is wanted".to_owned())?;
        wanted(within(self.hold_s, 1, 86_400), "hold_s", "1 to 86400 is wanted".to_owned())?;
        wanted(within(self.heartbeat_ms, 10, 10_000), "heartbeat_ms", "10 to 10000 is wanted".to_owned())?;
        let after = self.election_ms > self.heartbeat_ms && self.election_ms <= 60_000;
        wanted(after, "election_ms", "more than heartbeat_ms is wanted, and 60000 at most".to_owned())?;
        wanted(
            within(self.snapshot_every, 10, 1_000_000),
            "snapshot_every",
            "10 to 1000000 is wanted".to_owned(),
        )?;
        wanted(within(self.most_store_mb, 4, 1 << 20), "most_store_mb", "4 to 1048576 is wanted".to_owned())?;
        let connections = (16..=1_000_000).contains(&self.most_connections);
        wanted(connections, "most_connections", "16 to 1000000 is wanted".to_owned())?;
        let watches = (1..=self.most_connections).contains(&self.most_watches);
        wanted(watches, "most_watches", "1 to most_connections is wanted".to_owned())?;
        wanted(within(self.ready_age_ms, 100, 600_000), "ready_age_ms", "100 to 600000 is wanted".to_owned())
    }

    /// Where the replica is, as the others and clients reach it.
    pub fn place(&self) -> Place {
        Place {
            peer: self.peer_address.unwrap_or(self.peer_listen),
            client: self.address.unwrap_or(self.listen),
        }
    }

    /// Which silences are believed.
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
