//! What customers may ask for, over all entries.
//!
//! Each customer's bucket is kept by one entry, its keeper, which every entry works out alike from
//! the list of members. Entries draw credit from the keeper as their callers ask; credit that is out
//! has left the bucket, so whatever is lost or late, the bucket is never granted twice. The entry
//! that is next in the ranking has a copy and stands in for a keeper that fell silent; a keeper that
//! others outrank hands its buckets over. An entry that hears of neither grants its even share, and
//! tells the keeper of it later.

mod bucket_owner;
mod local_credit;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::model::{AllowanceUnit, RequestMetadata};

pub use bucket_owner::{BucketOwner, BucketRole, BucketTerms};
pub use local_credit::{Acquisition, LocalCredit};

/// Names a customer between entries, in four bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CustomerId(u32);

impl CustomerId {
    /// The id of a customer.
    pub fn of(name: &str) -> CustomerId {
        CustomerId(xxh3_64(name.as_bytes()) as u32)
    }

    pub(crate) fn number(self) -> u32 {
        self.0
    }
}

/// An entry asks a customer's keeper for credit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Names the question at its entry.
    pub number: u32,
    /// Units that a request needs now.
    pub needed: f64,
    /// Units that further requests may need soon.
    pub prefetch: f64,
    /// Units that the entry has lately granted of its even share, while it heard nothing of the keeper.
    pub unreported: f64,
}

/// What a keeper says to that.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CreditReply {
    /// Units that the entry may grant.
    Granted(f64),
    /// The bucket is empty until this time has passed.
    Exhausted(Duration),
    /// This entry does not keep the customer's bucket, or not yet.
    NotOwner,
}

/// What a bucket holds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BucketLevel {
    /// The customer.
    pub customer: CustomerId,
    /// Units.
    pub units: f64,
}

/// How exactly an allowance has to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The span over which use is counted.
    pub window: Duration,
    /// Units over the allowance that are tolerated in a window.
    pub slack: f64,
}

/// What an allowance counts a request as.
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
