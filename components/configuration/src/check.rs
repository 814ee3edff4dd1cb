//! Checks that a document makes sense as a whole.

use std::collections::BTreeMap;

use identity::{TIER_COUNT, Tier};

use crate::{Document, UpstreamKind};

/// Hexadecimal digits of a SHA-256.
const KEY_HASH_DIGITS: usize = 64;

/// Lists each fault as the path of the key, what was given and what is allowed.
pub fn find_faults(document: &Document) -> Vec<String> {
    let mut faults = Vec::new();
    check_upstreams(document, &mut faults);
    check_customers(document, &mut faults);
    check_services(document, &mut faults);
    check_models(document, &mut faults);
    faults
}

fn check_upstreams(document: &Document, faults: &mut Vec<String>) {
    let mut agents = BTreeMap::new();
    for (name, upstream) in &document.upstreams {
        let path = format!("upstreams.{name}");
        if document.region_of(&upstream.zone).is_none() {
            faults.push(format!("{path}.zone: given {}, in no region", upstream.zone));
        }
        if let Some(other) = agents.insert(upstream.agent, name) {
            faults.push(format!("{path}.agent: given {}, taken by {other}", upstream.agent));
        }
        let slots = match &upstream.kind {
            UpstreamKind::Engine { models, slots, .. } => {
                for model in models.iter().filter(|model| !document.models.contains_key(model)) {
                    faults.push(format!("{path}.kind.engine.models: given {model}, unknown"));
                }
                *slots
            }
            UpstreamKind::Service { service, slots } => {
                if !document.services.contains_key(service) {
                    faults.push(format!("{path}.kind.service.service: given {service}, unknown"));
                }
                *slots
            }
        };
        if slots == 0 {
            faults.push(format!("{path}.kind: slots given 0, allowed 1 or more"));
        }
    }
}

fn check_customers(document: &Document, faults: &mut Vec<String>) {
    let mut keys = BTreeMap::new();
    for (name, customer) in &document.customers {
        let path = format!("customers.{name}");
        if !document.regions.contains_key(&customer.region) {
            faults.push(format!("{path}.region: given {}, unknown", customer.region));
        }
        for key in &customer.key_sha256 {
            if hex::decode(key).is_err() || key.len() != KEY_HASH_DIGITS {
                faults.push(format!("{path}.key_sha256: given {key:?}, allowed 64 hex digits"));
            }
            if let Some(other) = keys.insert(key.to_ascii_lowercase(), name) {
                faults.push(format!("{path}.key_sha256: taken by {other}"));
            }
        }
        for (model, grant) in &customer.models {
            if !document.models.contains_key(model) {
                faults.push(format!("{path}.models: given {model}, unknown"));
            }
            check_tier(&format!("{path}.models.{model}.tier"), grant.tier, faults);
        }
        for service in customer.services.iter().filter(|s| !document.services.contains_key(s)) {
            faults.push(format!("{path}.services: given {service}, unknown"));
        }
        if customer.requests_per_s == 0 {
            faults.push(format!("{path}.requests_per_s: given 0, allowed 1 or more"));
        }
    }
}

fn check_services(document: &Document, faults: &mut Vec<String>) {
    for (name, service) in &document.services {
        for (index, rule) in service.calls.iter().enumerate() {
            check_tier(&format!("services.{name}.calls[{index}].tier"), rule.tier, faults);
        }
    }
}

fn check_models(document: &Document, faults: &mut Vec<String>) {
    for (name, model) in &document.models {
        if model.max_tokens == 0 || model.max_tokens > model.context_tokens {
            faults.push(format!(
                "models.{name}.max_tokens: given {}, allowed 1 to {}",
                model.max_tokens, model.context_tokens
            ));
        }
    }
}

fn check_tier(path: &str, tier: Tier, faults: &mut Vec<String>) {
    if usize::from(tier.0) >= TIER_COUNT {
        faults.push(format!("{path}: given {tier}, allowed 0 to {}", TIER_COUNT - 1));
    }
}
