//! Who holds which key.

use std::collections::HashMap;
use std::rc::Rc;

use sha2::{Digest, Sha256};

use crate::model::Customer;

type KeyHash = [u8; 32];

/// Customers by the hash of their keys, so that a look-up takes no longer for a nearly right key.
#[derive(Debug, Default)]
pub struct CustomerKeys {
    by_hash: HashMap<KeyHash, Rc<Customer>>,
}

impl CustomerKeys {
    /// Hashes every key.
    pub fn new(customers: &[Customer]) -> CustomerKeys {
        let mut by_hash = HashMap::new();
        for customer in customers {
            let customer = Rc::new(customer.clone());
            for key in &customer.keys {
                by_hash.insert(hash(key), customer.clone());
            }
        }
        CustomerKeys { by_hash }
    }

    /// The customer that holds a key.
    pub fn find(&self, key: &str) -> Option<Rc<Customer>> {
        self.by_hash.get(&hash(key)).cloned()
    }
}

fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
