//! Distributed rate limiting: customers' allowances, enforced over all gateways.
//!
//! Each customer's token bucket is owned by one gateway, which all gateways elect alike from the
//! member list. Gateways acquire credit from the owner as their callers need it. Acquired credit
//! has already been deducted from the bucket, so lost or late messages never cause it to be granted
//! twice. The next gateway in the ranking holds a replica and acts as standby for an owner that has
//! fallen silent; an owner that another gateway outranks hands its buckets over. A gateway that
//! reaches neither grants from its even share and reports that to the owner later.

mod bucket;
mod bucket_owner;
mod local_credit;
mod window_usage;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::model::{AllowanceUnit, RequestMetadata};

pub use bucket::BucketTerms;
pub use bucket_owner::{BucketOwner, BucketRole};
pub use local_credit::{Acquisition, LocalCredit};

/// Identifies a customer between gateways, in four bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CustomerId(u32);

impl CustomerId {
    /// Id of the customer with this name.
    pub fn of(name: &str) -> CustomerId {
        CustomerId(xxh3_64(name.as_bytes()) as u32)
    }

    pub(crate) fn number(self) -> u32 {
        self.0
    }
}

/// Request for credit from the owner of a customer's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Customer.
    pub customer: CustomerId,
    /// Identifies the request at the gateway that sent it.
    pub number: u32,
    /// Units that a request needs now.
    pub needed: f64,
    /// Units that further requests are expected to need soon.
    pub prefetch: f64,
    /// Units that the gateway has recently granted from its even share while it had no contact to
    /// the owner.
    pub unreported: f64,
}

/// Owner's reply to a credit request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CreditReply {
    /// Units that the gateway may grant.
    Granted(f64),
    /// The bucket is empty until this time has passed.
    Exhausted(Duration),
    /// This gateway does not own the customer's bucket, or not yet.
    NotOwner,
}

/// Level of a customer's bucket, and what was granted from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BucketLevel {
    /// Customer.
    pub customer: CustomerId,
    /// Units in the bucket.
    pub units: f64,
    /// Units granted in the operators' window, in slices with their age in milliseconds.
    pub granted_by_age_ms: Vec<(u32, f32)>,
}

/// Tolerance within which an allowance has to be enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Units above the allowance that are tolerated in a window.
    pub slack: f64,
}

/// Cost of a request in units of an allowance.
pub fn request_cost(unit: AllowanceUnit, metadata: &RequestMetadata) -> f64 {
    match unit {
        AllowanceUnit::Requests => 1.0,
        AllowanceUnit::Tokens { plain_tokens } => {
            metadata.prompt_tokens.map_or(f64::from(plain_tokens), |prompt| {
                f64::from(prompt) + f64::from(metadata.max_output_tokens)
            })
        }
    }
}
