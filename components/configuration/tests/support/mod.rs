//! Helpers to submit patches, and patches that create documents of any size.

use std::time::SystemTime;

use configuration::Snapshot;
use configuration::repository::{AcceptedPatch, Submission, submit_patch};
use errors::Refusal;
use identity::ConfigVersion;
use serde_json::{Value, json};
use standin::memory_store::MemoryStore;

pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().expect("set-up").block_on(future)
}

pub(crate) async fn submit(
    store: &MemoryStore,
    local: Option<&Snapshot>,
    against: u64,
    patch_id: &str,
    patch: Value,
) -> Result<AcceptedPatch, Refusal> {
    let submission = Submission {
        against_version: ConfigVersion(against),
        author: "anna".to_owned(),
        patch_id: patch_id.to_owned(),
        patch,
    };
    submit_patch(store, local, &submission, SystemTime::UNIX_EPOCH).await
}

/// Returns a patch that creates a document with this number of customers.
pub(crate) fn patch_with_customers(customers: usize) -> Value {
    let customer = |number: usize| {
        let key = format!("{number:064x}");
        let value = json!({ "key_sha256": [key], "region": "riga", "requests_per_s": 10,
            "models": { "listing-7b": { "tier": 2 }, "listing-70b": { "tier": 1 } },
            "services": ["desk"] });
        (format!("customer-{number:05}"), value)
    };
    let customers: serde_json::Map<String, Value> = (0..customers).map(customer).collect();
    json!({
        "regions": { "riga": { "zones": ["riga-a"] } },
        "models": { "listing-7b": { "context_tokens": 32768, "max_tokens": 2048 },
            "listing-70b": { "context_tokens": 32768, "max_tokens": 2048 } },
        "services": { "desk": { "calls": [] } },
        "customers": customers,
    })
}

/// Returns a patch that changes the rate limit of one customer.
pub(crate) fn patch_with_rate(customer: usize, requests_per_s: u64) -> Value {
    let name = format!("customer-{customer:05}");
    json!({ "customers": { name: { "requests_per_s": requests_per_s } } })
}
