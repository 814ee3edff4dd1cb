//! Gateway in front of upstreams that are reached without an agent in between.
//!
//! The decision modules (`routes`, `customers`, `allowance`, `retry_budget`, `scheduler`, `broker`,
//! `crash_quarantine`, `event_sequence`, `peers`, `shared_read`, `store_copy`, `store_lag`,
//! `stream_versions`, `response_match`, `reachability`,
//! `upstream_limits`, `upstream_notices`, `upstream_table`, `read_schedule`, `retry`, `freshness`,
//! `key_confirmation`) do no I/O: they take facts and the current time and return decisions.
//! `runtime` carries the decisions out on one thread. A platform adapter implements `HeaderCodec`
//! and feeds `Directory`.

pub mod allowance;
pub mod broker;
pub mod crash_quarantine;
pub mod customers;
pub mod event_sequence;
pub mod events;
pub mod freshness;
pub mod header_codec;
pub mod key_confirmation;
pub mod model;
pub mod peers;
pub mod planned_stop;
pub mod reachability;
pub mod read_schedule;
pub mod response_match;
pub mod retry;
pub mod retry_budget;
pub mod routes;
mod runtime;
pub mod scheduler;
pub mod served_times;
mod settings;
pub mod shared_read;
pub mod store_copy;
pub mod store_lag;
pub mod stream_versions;
pub mod upstream_limits;
pub mod upstream_notices;
pub mod upstream_table;

pub use runtime::{BoundAddresses, Directory, Gateway, GatewayHandle};
pub use settings::{ConnectionLimits, Settings};
