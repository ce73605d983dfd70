#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Code shared by the processes of a fleet.
//!
//! - [`mod@file`] reads the fleet file, which names the registry's replicas and limits the share of each zone.
//! - [`watch`] is a client that watches the registry's instance list, written as a state machine without sockets or
//!   a clock.
//! - [`call`] sends HTTP requests over a persistent connection, bounded in time and size.
//! - [`clock`] is the monotonic clock of a process.
//! - [`parent_process`] ends a process when its parent has exited.

pub mod call;
pub mod clock;
pub mod file;
pub mod parent_process;
pub mod watch;
