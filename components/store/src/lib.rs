//! Traits for the platform's key-value service and host list, with adapters over HTTP.
//!
//! Callers use trait objects; the settings decide which adapter is behind them.

mod host_list;
mod http_host_list;
mod http_store;
mod store;

pub use host_list::{HostList, HostListError, HostState};
pub use http_host_list::HttpHostList;
pub use http_store::HttpStore;
pub use store::{
    Change, KeyValueStore, LeaseId, Revision, StoreError, SwapResult, VersionedValue, WatchReply,
};
