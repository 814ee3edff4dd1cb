//! The entry in front of upstreams that callers reach without an agent between.
//!
//! Decisions (`routes`, `customers`, `allowance`, `budget`, `scheduler`, `broker`, `contact`,
//! `roster`, `reading`, `outcome`, `freshness`) do no I/O: facts and the time come in, decisions come out. `shell` carries them out
//! on one thread. The adapter of a platform implements `Dialect` and feeds `Directory`.

pub mod allowance;
pub mod broker;
pub mod budget;
pub mod contact;
pub mod customers;
pub mod dialect;
pub mod events;
pub mod freshness;
pub mod model;
pub mod outcome;
pub mod peers;
pub mod reading;
pub mod roster;
pub mod routes;
pub mod scheduler;
mod settings;
mod shell;

pub use settings::Settings;
pub use shell::{BoundAddresses, Directory, Gateway, GatewayHandle};
