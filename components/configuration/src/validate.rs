//! Validation of a configuration document: references, unique values and ranges.

use std::collections::BTreeMap;

use identity::{TIER_COUNT, Tier};

use crate::{Document, UpstreamKind};

/// Number of hexadecimal digits of a SHA-256 digest.
const KEY_HASH_DIGITS: usize = 64;

/// Returns a message for each error. It contains the path of the key, the given value and, where
/// one applies, the allowed range.
pub fn validate_document(document: &Document) -> Vec<String> {
    let mut errors = Vec::new();
    check_upstreams(document, &mut errors);
    check_customers(document, &mut errors);
    check_services(document, &mut errors);
    check_models(document, &mut errors);
    errors
}

fn check_upstreams(document: &Document, errors: &mut Vec<String>) {
    let mut upstreams_by_agent = BTreeMap::new();
    for (name, upstream) in &document.upstreams {
        let path = format!("upstreams.{name}");
        if document.region_of(&upstream.zone).is_none() {
            errors.push(format!("{path}.zone: given {}, not in any region", upstream.zone));
        }
        if let Some(other) = upstreams_by_agent.insert(upstream.agent, name) {
            errors.push(format!("{path}.agent: given {}, already used by {other}", upstream.agent));
        }
        let slots = match &upstream.kind {
            UpstreamKind::Engine { models, slots, .. } => {
                for model in models.iter().filter(|model| !document.models.contains_key(model)) {
                    errors.push(format!("{path}.kind.engine.models: given {model}, unknown"));
                }
                *slots
            }
            UpstreamKind::Service { service, slots } => {
                if !document.services.contains_key(service) {
                    errors.push(format!("{path}.kind.service.service: given {service}, unknown"));
                }
                *slots
            }
        };
        if slots == 0 {
            errors.push(format!("{path}.kind: slots given 0, allowed 1 or more"));
        }
    }
}

fn check_customers(document: &Document, errors: &mut Vec<String>) {
    let mut customers_by_key = BTreeMap::new();
    for (name, customer) in &document.customers {
        let path = format!("customers.{name}");
        if !document.regions.contains_key(&customer.region) {
            errors.push(format!("{path}.region: given {}, unknown", customer.region));
        }
        for key in &customer.key_sha256 {
            if hex::decode(key).is_err() || key.len() != KEY_HASH_DIGITS {
                errors.push(format!("{path}.key_sha256: given {key:?}, allowed 64 hex digits"));
            }
            if let Some(other) = customers_by_key.insert(key.to_ascii_lowercase(), name) {
                errors.push(format!("{path}.key_sha256: already used by {other}"));
            }
        }
        for (model, grant) in &customer.models {
            if !document.models.contains_key(model) {
                errors.push(format!("{path}.models: given {model}, unknown"));
            }
            check_tier(&format!("{path}.models.{model}.tier"), grant.tier, errors);
        }
        for service in customer.services.iter().filter(|s| !document.services.contains_key(s)) {
            errors.push(format!("{path}.services: given {service}, unknown"));
        }
        if customer.requests_per_s == 0 {
            errors.push(format!("{path}.requests_per_s: given 0, allowed 1 or more"));
        }
    }
}

fn check_services(document: &Document, errors: &mut Vec<String>) {
    for (name, service) in &document.services {
        for (index, rule) in service.calls.iter().enumerate() {
            check_tier(&format!("services.{name}.calls[{index}].tier"), rule.tier, errors);
        }
    }
}

fn check_models(document: &Document, errors: &mut Vec<String>) {
    for (name, model) in &document.models {
        if model.max_tokens == 0 || model.max_tokens > model.context_tokens {
            errors.push(format!(
                "models.{name}.max_tokens: given {}, allowed 1 to {}",
                model.max_tokens, model.context_tokens
            ));
        }
    }
}

fn check_tier(path: &str, tier: Tier, errors: &mut Vec<String>) {
    if usize::from(tier.0) >= TIER_COUNT {
        errors.push(format!("{path}: given {tier}, allowed 0 to {}", TIER_COUNT - 1));
    }
}
