#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The rig: plays load and faults against several real processes of the node, or against the decision module in
//! virtual time, and reports what they came to.
//!
//! [`experiment`] reads what is to be played, [`runner`] plays it and writes the results, [`compare`] holds two results
//! against each other. On sockets [`sockets`] runs the parties: [`servers`] (emulated app servers), [`discovery`] (the list
//! service), [`relay`] (links that can be cut), [`load_generator`] (clients) and [`nodes`] (the real processes, each a
//! [`process`], with its [`fleet_file`]), which [`cleanup`] ends if the rig can't. Where a fleet has its
//! own registry, [`registry`] plays it: [`replicas`] are its processes, [`registrar`] who registers there, and
//! [`watchers`] clients that keep account of what it tells.

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
