//! Small stand-ins for what the platform and the users provide; the product does not need them.

pub mod engine;
pub mod hosts;
pub mod memory_store;
pub mod service;
pub mod store;
pub mod weights;

use std::sync::{Mutex, MutexGuard, PoisonError};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
