#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A test rig that runs experiments with load and faults, either on real node processes or on the balancing policy in
//! virtual time, and reports the results.
//!
//! [`experiment`] reads experiment files, [`runner`] runs them and writes the results, [`compare`] compares two
//! results. On sockets, [`sockets`] runs the components: [`servers`] (emulated app servers), [`discovery`] (the
//! discovery service), [`relay`] (links that faults can affect), [`load_generator`] (clients) and [`nodes`] (node
//! processes, each a [`process`], with their fleet files in [`fleet_file`]). [`cleanup`] ends the processes if the rig
//! itself is killed. If the fleet has its own registry, [`registry`] runs it: [`replicas`] are its processes,
//! [`registrar`] registers instances and [`watchers`] are clients that check what it returns. [`rank`] compares builds
//! of the policy, which run behind an [`adapter`].

pub mod adapter;
pub mod cleanup;
pub mod compare;
pub mod discovery;
pub mod experiment;
pub mod fleet_file;
pub mod listener;
pub mod load_generator;
pub mod nodes;
pub mod process;
pub mod rank;
pub mod registrar;
pub mod registry;
pub mod relay;
pub mod replicas;
pub mod report;
pub mod result;
pub mod runner;
pub mod servers;
pub mod shared;
pub mod sockets;
pub mod watchers;
