//! Stand-ins (test doubles) for the services that the platform and its users provide: key-value
//! store, host list, weight store, model engine and plain service.
//!
//! Tests, the demo and `dragonflyfront-standin` use them; production code does not depend on them.

pub mod engine;
pub mod hosts;
pub mod memory_store;
pub mod service;
pub mod store;
pub mod weights;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one that is poisoned by a panic in another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
