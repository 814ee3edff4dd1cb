//! API keys of customers.

use std::collections::HashMap;
use std::rc::Rc;

use sha2::{Digest, Sha256};

use crate::model::Customer;

type KeyHash = [u8; 32];

/// Customers by the hashes of their API keys. Look-ups compare hashes, so their duration does not
/// reveal how much of a guessed key is right.
#[derive(Debug, Default)]
pub struct CustomerKeys {
    by_hash: HashMap<KeyHash, Rc<Customer>>,
}

impl CustomerKeys {
    /// Builds the table from the keys of all customers.
    pub fn new(customers: &[Customer]) -> CustomerKeys {
        let mut by_hash = HashMap::new();
        for customer in customers {
            let customer = Rc::new(customer.clone());
            for key in &customer.keys {
                by_hash.insert(hash_key(key), customer.clone());
            }
        }
        CustomerKeys { by_hash }
    }

    /// Finds the customer that owns an API key.
    pub fn find(&self, key: &str) -> Option<Rc<Customer>> {
        self.by_hash.get(&hash_key(key)).cloned()
    }
}

fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
