//! The configuration in force in one process; its number only grows.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use identity::{ConfigVersion, CustomerId};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::Document;

/// A numbered document with what is derived from it.
#[derive(Debug)]
pub struct Snapshot {
    /// The number.
    pub version: ConfigVersion,
    /// The document.
    pub document: Document,
    keys: HashMap<[u8; 32], CustomerId>,
}

/// What came of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is newer and now in force.
    Taken,
    /// The one held is the same or newer.
    NotNewer,
}

/// The snapshot in force; reads take no lock.
#[derive(Debug, Default)]
pub struct InForce {
    current: ArcSwapOption<Snapshot>,
}

impl Snapshot {
    /// Derives what requests need from a document.
    pub fn new(version: ConfigVersion, document: Document) -> Snapshot {
        let mut keys = HashMap::new();
        for (name, customer) in &document.customers {
            for key in &customer.key_sha256 {
                let mut hash = [0_u8; 32];
                if hex::decode_to_slice(key, &mut hash).is_ok() {
                    keys.insert(hash, name.clone());
                }
            }
        }
        Snapshot { version, document, keys }
    }

    /// The customer that a bearer key belongs to.
    ///
    /// Keys are found by hash, so that the time taken says nothing of a key; the hash found is
    /// compared in constant time all the same.
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerId> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let (known, customer) = self.keys.get_key_value(&hash)?;
        bool::from(known.ct_eq(&hash)).then_some(customer)
    }
}

impl InForce {
    /// Nothing in force yet.
    pub fn new() -> InForce {
        InForce::default()
    }

    /// The snapshot in force.
    pub fn load(&self) -> Option<Arc<Snapshot>> {
        self.current.load_full()
    }

    /// The number in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().as_ref().map_or(ConfigVersion(0), |snapshot| snapshot.version)
    }

    /// Puts a snapshot in force if it is newer than the one held.
    pub fn offer(&self, snapshot: Snapshot) -> Offer {
        let offered = Arc::new(snapshot);
        let before = self.current.rcu(|held| match held {
            Some(held) if held.version >= offered.version => Some(held.clone()),
            _ => Some(offered.clone()),
        });
        match before {
            Some(held) if held.version >= offered.version => Offer::NotNewer,
            _ => Offer::Taken,
        }
    }
}
