//! Hash that tells whether two requests ask for the same.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a request asks for. Headers such as the id of the caller's attempt are not part of it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the customer, on routes that require a key.
    pub customer: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Hash of a request's content, equal on all gateways. It is cryptographic, so that a caller cannot
/// construct a request with the hash of another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHash(pub u128);

impl RequestHash {
    /// Computes the hash of a request's content.
    pub fn of(content: RequestContent<'_>) -> RequestHash {
        let RequestContent { method, host, target, customer, body } = content;
        let mut hash = Sha256::new();
        let mut add = |field: &[u8]| {
            // With its length, a field cannot run over into the next one.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        };
        add(method.as_bytes());
        add(host.as_bytes());
        add(target.as_bytes());
        add(&[u8::from(customer.is_some())]);
        add(customer.unwrap_or_default().as_bytes());
        add(body);
        let digest = hash.finalize();
        let (half, _) = digest.split_at(size_of::<u128>());
        RequestHash(half.iter().fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }
}

impl fmt::Debug for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestHash({self})")
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
