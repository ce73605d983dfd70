#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The registry: who is in service, kept by several processes as one.
//!
//! The core has neither sockets, clocks nor files. [`list`] is what the replicated log carries: commands in, one
//! version for the whole list that only rises, and the changes since any version that the history still reaches.
//! [`leases`] is what the leader alone keeps: who has renewed when, and which silences are believed. Renewals never go
//! through the log; only what they change does.
//!
//! Around it: [`raft`] names what the consensus library is given, [`store`] keeps its log on disk, [`state_machine`] applies
//! it, [`peers`] carries its messages. [`replica`] puts these together with the leader's office. [`response_cache`] makes the answers
//! to watchers, [`http`] is what may be called and [`client`] calls it, [`wire`] its forms, [`serve`] the doors, [`settings`] the configuration, and
//! [`metrics`] what can be read off.

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
