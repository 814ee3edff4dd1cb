//! Memory and time that the active configuration takes, by number of customers.

use std::collections::BTreeMap;
use std::time::Instant;

use anyhow::Result;
use configuration::{Customer, Document, Grant, Snapshot};
use identity::{ConfigVersion, CustomerId, ModelId, RegionId, Tier};
use sha2::{Digest, Sha256};

use crate::process::resident_bytes;

const MODELS_PER_CUSTOMER: u32 = 3;
const MODEL_COUNT: u32 = 38;

/// Measures one size per process, because memory that an earlier size freed would distort the
/// result.
pub(crate) fn measure(customers: u32) -> Result<()> {
    let document_json = serde_json::to_vec(&build_document(customers))?;
    let resident_before = resident_bytes()?;
    let start = Instant::now();
    let document: Document = serde_json::from_slice(&document_json)?;
    let parse_time = start.elapsed();
    let start = Instant::now();
    let snapshot = Snapshot::new(ConfigVersion(1), document);
    let derive_time = start.elapsed();
    let resident_growth = resident_bytes()?.saturating_sub(resident_before);
    println!(
        "customers={customers} document_bytes={} parse_ms={:.2} derive_ms={:.2} resident_bytes={resident_growth} version={}",
        document_json.len(),
        parse_time.as_secs_f64() * 1e3,
        derive_time.as_secs_f64() * 1e3,
        snapshot.version
    );
    Ok(())
}

fn build_document(customers: u32) -> Document {
    let customers = (0..customers).map(|number| {
        let models: BTreeMap<ModelId, Grant> = (0..MODELS_PER_CUSTOMER)
            .map(|offset| {
                (ModelId::new(format!("model-{}", (number + offset) % MODEL_COUNT)), offset)
            })
            .map(|(model, tier)| (model, Grant { tier: Tier(tier as u8) }))
            .collect();
        let customer = Customer {
            key_sha256: vec![hex::encode(Sha256::digest(number.to_be_bytes()))],
            region: RegionId::new("riga"),
            models,
            services: Vec::new(),
            requests_per_s: 10,
        };
        (CustomerId::new(format!("customer-{number}")), customer)
    });
    Document { customers: customers.collect(), ..Document::default() }
}
