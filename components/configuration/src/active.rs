//! The configuration in force in one process; its number only grows.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use identity::{ConfigVersion, CustomerId};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::layout::{Delta, Parts, RETAINED_DELTAS};
use crate::patch::apply_unchecked;
use crate::{Document, PatchError};

/// A numbered document with what is derived from it.
#[derive(Debug)]
pub struct Snapshot {
    /// The number.
    pub version: ConfigVersion,
    /// The document.
    pub document: Document,
    /// The newest deltas that led here, for peers that are a little behind; the newest last.
    pub deltas: Vec<Arc<Delta>>,
    keys: HashMap<[u8; 32], CustomerId>,
}

/// Outcome of offering a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The offered configuration was newer and is now active.
    Installed,
    /// The active configuration is the same or newer.
    NotNewer,
}

/// The snapshot in force; reads take no lock.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
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
        Snapshot { version, document, deltas: Vec::new(), keys }
    }

    /// The snapshot that deltas lead to from this one; each must follow on the one before.
    ///
    /// An error says that the deltas do not lead to the document that they were made for.
    pub fn apply_deltas(&self, deltas: Vec<Arc<Delta>>) -> Result<Snapshot, PatchError> {
        let mut version = self.version;
        let mut value = serde_json::to_value(&self.document)?;
        for delta in &deltas {
            version = ConfigVersion(version.0 + 1);
            let patch = delta.patch.as_ref().ok_or(PatchError::NotRetained)?;
            if delta.version != version {
                return Err(PatchError::VersionGap { expected: version, found: delta.version });
            }
            value = apply_unchecked(value, patch)?;
        }
        let document: Document = serde_json::from_value(value)?;
        let expected = deltas.last().map(|delta| delta.document_sha256.as_str());
        if Parts::split(&document)?.digest() != expected.unwrap_or_default() {
            return Err(PatchError::DigestMismatch);
        }
        let mut held = self.deltas.clone();
        held.extend(deltas);
        Ok(Snapshot::new(version, document).with_deltas(held))
    }

    /// Adds the deltas that led here, of which the newest are kept.
    pub fn with_deltas(mut self, mut deltas: Vec<Arc<Delta>>) -> Snapshot {
        let surplus = deltas.len().saturating_sub(RETAINED_DELTAS);
        self.deltas = deltas.split_off(surplus);
        self
    }

    /// Deltas that lead a peer here from the version it holds, if they reach back so far.
    pub fn deltas_after(&self, held: ConfigVersion) -> Option<&[Arc<Delta>]> {
        let missing = usize::try_from(self.version.0.checked_sub(held.0)?).ok()?;
        let start = self.deltas.len().checked_sub(missing)?;
        let deltas = self.deltas.get(start..)?;
        deltas.iter().all(|delta| delta.patch.is_some()).then_some(deltas)
    }

    /// The customer that a bearer key belongs to.
    ///
    /// Keys are found by hash, so that the time taken says nothing of a key; the hash found is
    /// compared in constant time all the same.
    pub fn find_customer_by_key(&self, key: &str) -> Option<&CustomerId> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let (known, customer) = self.keys.get_key_value(&hash)?;
        bool::from(known.ct_eq(&hash)).then_some(customer)
    }
}

impl ActiveConfiguration {
    /// Nothing in force yet.
    pub fn new() -> ActiveConfiguration {
        ActiveConfiguration::default()
    }

    /// The snapshot in force.
    pub fn load(&self) -> Option<Arc<Snapshot>> {
        self.current.load_full()
    }

    /// The number in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().as_ref().map_or(ConfigVersion(0), |snapshot| snapshot.version)
    }

    /// Makes a snapshot active if it is newer than the current one.
    pub fn install_if_newer(&self, snapshot: Snapshot) -> InstallOutcome {
        let offered = Arc::new(snapshot);
        let before = self.current.rcu(|held| match held {
            Some(held) if held.version >= offered.version => Some(held.clone()),
            _ => Some(offered.clone()),
        });
        match before {
            Some(held) if held.version >= offered.version => InstallOutcome::NotNewer,
            _ => InstallOutcome::Installed,
        }
    }
}
