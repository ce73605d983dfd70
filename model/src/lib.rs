#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A model of what flaxdale's nodes serve: app servers, clients, links and their troubles, without sockets or clocks.
//!
//! [`plan`] is what a person writes, [`world`] the same with every figure drawn from a seed, [`timeline`] what is known
//! of it beforehand. [`server`] is one app server, [`keys`] what a group of them has seen, [`clients`] what is asked for and again, [`ledger`] the rules that
//! every run checks, [`measure`] what it comes to. These serve two drivers: real processes on sockets, in the rig, and
//! [`run`], which plays the decision module itself in virtual time.

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
