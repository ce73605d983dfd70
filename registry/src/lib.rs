#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The service registry: the list of instances in service, replicated with Raft.
//!
//! The core has no sockets, clocks or files. [`list`] is the deterministic state: commands change the list, and each
//! change has a revision. [`leases`] are kept by the leader alone and are not replicated; only the commands that result
//! from renewals and expired leases are.
//!
//! Replication is built on openraft: [`raft`] is its type configuration, [`store`] its log on disk, [`state_machine`]
//! the replicated state, and [`peers`] its network. [`replica`] combines them.
//!
//! [`http`] is the API, with the messages in [`wire`] and the responses to watchers from [`response_cache`]. [`client`]
//! calls it. [`serve`] runs a replica with its [`settings`], and [`metrics`] are its metrics.

pub mod client;
pub mod http;
pub mod leases;
pub mod list;
pub mod metrics;
pub mod peers;
pub mod raft;
pub mod replica;
pub mod response_cache;
pub mod serve;
pub mod settings;
pub mod state_machine;
pub mod store;
pub mod wire;
