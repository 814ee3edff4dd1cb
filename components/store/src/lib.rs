//! What the platform gives, behind traits: key-value service and host list.
//!
//! Everything above holds trait objects; settings choose the adapter.

mod host_list;
mod http_host_list;
mod http_store;
mod store;

pub use host_list::{HostList, HostListError, HostState};
pub use http_host_list::HttpHostList;
pub use http_store::HttpStore;
pub use store::{
    Change, KeyValueStore, LeaseId, Revision, StoreError, SwapResult, Versioned, WatchReply,
};
