#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The registry's core: the list of app servers as a state machine, without sockets, clocks or files.
//!
//! [`list`] is what a replicated log carries: commands in, one version for the whole list that only rises, and the
//! changes since any version that the history still reaches. [`leases`] is what the leader alone keeps: who has renewed when,
//! and which silences are believed. Renewals never go through the log; only what they change does.

pub mod leases;
pub mod list;
