#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Model of a fleet and its surroundings: app servers, clients, links and faults, without sockets or clocks.
//!
//! A [`scenario`] is written by the user, [`world`] draws its random values, and [`timeline`] computes the
//! effects of its faults. [`server`] models one app server, [`dedup`] the keys shared by a group of servers,
//! and [`clients`] the load. [`invariants`] are checked in every run, [`stats`] summarizes it. These are used
//! with real processes on sockets by the rig, and by [`simulation`], which runs load balancers in virtual
//! time.

pub mod balancers;
pub mod clients;
pub mod dedup;
pub mod invariants;
mod ordered;
pub mod scenario;
pub mod server;
mod shard;
pub mod simulation;
mod slab;
pub mod stats;
pub mod timeline;
pub mod world;
