#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

mod admission;
pub mod api;
mod backend_view;
mod concurrency;
mod discovery;
mod events;
mod health;
mod pick;
mod requests;
mod retries;
mod slow_start;
mod state;
mod subsetting;
mod zone_choice;
mod zone_overrides;

pub use api::*;
pub use state::Balancer;
