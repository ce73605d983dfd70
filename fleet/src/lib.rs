#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! What the processes of a fleet share.
//!
//! [`mod@file`] is the fleet file, by which a process knows of the others. [`watch`] is a client of the registry as a state
//! machine: which replica to ask for what, and when; it has neither sockets nor a clock. [`call`] carries such a call
//! over a connection that is kept, bounded in time and size; [`clock`] is a process's one clock, and [`parent_process`] ends a process
//! with whoever started it.

pub mod call;
pub mod clock;
pub mod file;
pub mod parent_process;
pub mod watch;
