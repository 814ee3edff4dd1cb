//! The active configuration of a process. Its version never decreases.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use identity::{ConfigVersion, CustomerId};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::layout::{Delta, Parts, RETAINED_DELTAS};
use crate::patch::apply_unvalidated;
use crate::{Document, PatchError};

/// A configuration document at one version, with the data derived from it.
#[derive(Debug)]
pub struct Snapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The configuration document.
    pub document: Document,
    /// The most recent deltas up to this version, newest last. They are served to peers that are
    /// a few versions behind.
    pub deltas: Vec<Arc<Delta>>,
    customers_by_key_hash: HashMap<[u8; 32], CustomerId>,
}

/// Outcome of [`ActiveConfiguration::install_if_newer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The offered configuration was newer and is now active.
    Installed,
    /// The active configuration is the same or newer.
    NotNewer,
}

/// Holds the active snapshot. Reads take no lock.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    current: ArcSwapOption<Snapshot>,
}

impl Snapshot {
    /// Creates a snapshot without deltas and indexes the customers by the hashes of their keys.
    pub fn new(version: ConfigVersion, document: Document) -> Snapshot {
        let mut customers_by_key_hash = HashMap::new();
        for (name, customer) in &document.customers {
            for key in &customer.key_sha256 {
                let mut hash = [0_u8; 32];
                if hex::decode_to_slice(key, &mut hash).is_ok() {
                    customers_by_key_hash.insert(hash, name.clone());
                }
            }
        }
        Snapshot { version, document, deltas: Vec::new(), customers_by_key_hash }
    }

    /// Applies deltas of consecutive versions, which start at the version after this one.
    ///
    /// Returns an error if a version or a patch is missing, or if the digest of the result differs
    /// from the one in the last delta.
    pub fn apply_deltas(&self, deltas: Vec<Arc<Delta>>) -> Result<Snapshot, PatchError> {
        let mut version = self.version;
        let mut value = serde_json::to_value(&self.document)?;
        for delta in &deltas {
            version = ConfigVersion(version.0 + 1);
            let patch = delta.patch.as_ref().ok_or(PatchError::NotRetained)?;
            if delta.version != version {
                return Err(PatchError::VersionGap { expected: version, found: delta.version });
            }
            value = apply_unvalidated(value, patch)?;
        }
        let document: Document = serde_json::from_value(value)?;
        let expected = deltas.last().map(|delta| delta.document_sha256.as_str());
        if Parts::split(&document)?.digest() != expected.unwrap_or_default() {
            return Err(PatchError::DigestMismatch);
        }
        let mut all_deltas = self.deltas.clone();
        all_deltas.extend(deltas);
        Ok(Snapshot::new(version, document).with_deltas(all_deltas))
    }

    /// Sets the deltas up to this version and keeps the newest [`RETAINED_DELTAS`] of them.
    pub fn with_deltas(mut self, mut deltas: Vec<Arc<Delta>>) -> Snapshot {
        let surplus = deltas.len().saturating_sub(RETAINED_DELTAS);
        self.deltas = deltas.split_off(surplus);
        self
    }

    /// Returns the deltas that bring a peer from the version it holds to this one.
    ///
    /// Returns `None` if the peer is too far behind, is ahead, or if one of the patches was too
    /// large to be retained.
    pub fn deltas_after(&self, held_version: ConfigVersion) -> Option<&[Arc<Delta>]> {
        let missing = usize::try_from(self.version.0.checked_sub(held_version.0)?).ok()?;
        let start = self.deltas.len().checked_sub(missing)?;
        let deltas = self.deltas.get(start..)?;
        deltas.iter().all(|delta| delta.patch.is_some()).then_some(deltas)
    }

    /// Finds the customer that a bearer key belongs to.
    ///
    /// The lookup uses the hash of the key, so that its duration reveals nothing about the key. The
    /// hash that was found is compared in constant time as an additional safeguard.
    pub fn find_customer_by_key(&self, key: &str) -> Option<&CustomerId> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let (stored_hash, customer) = self.customers_by_key_hash.get_key_value(&hash)?;
        bool::from(stored_hash.ct_eq(&hash)).then_some(customer)
    }
}

impl ActiveConfiguration {
    /// Creates a holder without a snapshot.
    pub fn new() -> ActiveConfiguration {
        ActiveConfiguration::default()
    }

    /// Returns the active snapshot.
    pub fn load(&self) -> Option<Arc<Snapshot>> {
        self.current.load_full()
    }

    /// Returns the active version, or 0 if there is none yet.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().as_ref().map_or(ConfigVersion(0), |snapshot| snapshot.version)
    }

    /// Makes a snapshot active if it is newer than the current one.
    pub fn install_if_newer(&self, snapshot: Snapshot) -> InstallOutcome {
        let offered = Arc::new(snapshot);
        let previous = self.current.rcu(|current| match current {
            Some(current) if current.version >= offered.version => Some(current.clone()),
            _ => Some(offered.clone()),
        });
        match previous {
            Some(previous) if previous.version >= offered.version => InstallOutcome::NotNewer,
            _ => InstallOutcome::Installed,
        }
    }
}
