//! Assignment of requests to index owners by rendezvous hashing over the agents of a region.

use identity::{ConfigVersion, UpstreamId};
use wire::RequestKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The set of agents over which the index is sharded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IndexOwners {
    version: ConfigVersion,
    members: Vec<(UpstreamId, u64)>,
    digest: u64,
}

/// Identifier of a set of index owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSetId {
    /// Version of the configuration that the set is derived from.
    pub version: ConfigVersion,
    /// Hash of the members; equal for equal members.
    pub digest: u64,
}

impl IndexOwners {
    /// Builds the set of index owners of a configuration.
    pub fn new(
        version: ConfigVersion,
        members: impl IntoIterator<Item = UpstreamId>,
    ) -> IndexOwners {
        let hash_name = |name: &UpstreamId| xxh3_64_with_seed(name.as_str().as_bytes(), 0);
        let mut members: Vec<_> = members
            .into_iter()
            .map(|name| {
                let hash = hash_name(&name);
                (name, hash)
            })
            .collect();
        members.sort();
        let digest = members
            .iter()
            .fold(0, |digest, (name, _)| xxh3_64_with_seed(name.as_str().as_bytes(), digest));
        IndexOwners { version, members, digest }
    }

    /// Returns the identifier of the set.
    pub fn set_id(&self) -> OwnerSetId {
        OwnerSetId { version: self.version, digest: self.digest }
    }

    /// Iterates over the index owners.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.members.iter().map(|(name, _)| name)
    }

    /// Returns the index owner of a request; `None` if the set is empty.
    pub fn owner_of(&self, key: &RequestKey) -> Option<&UpstreamId> {
        self.highest_ranked(key, &[])
    }

    /// Returns the agents that hold replicas of a request's placement record. Together with the
    /// index owner and the upstream's own agent, three agents know the placement, so that it
    /// survives the loss of any two of them.
    pub fn replica_holders(&self, key: &RequestKey, upstream: &UpstreamId) -> Vec<&UpstreamId> {
        let Some(owner) = self.owner_of(key) else { return Vec::new() };
        let Some(first) = self.highest_ranked(key, &[owner, upstream]) else { return Vec::new() };
        if owner != upstream {
            return vec![first];
        }
        std::iter::once(first).chain(self.highest_ranked(key, &[owner, first])).collect()
    }

    /// Returns the agent with the highest rendezvous hash for a request, without those in
    /// `excluded`.
    fn highest_ranked(&self, key: &RequestKey, excluded: &[&UpstreamId]) -> Option<&UpstreamId> {
        let customer_hash = xxh3_64_with_seed(key.customer.as_str().as_bytes(), 0);
        let key_hash = xxh3_64_with_seed(key.request_id.as_str().as_bytes(), customer_hash);
        let eligible = self.members.iter().filter(|(name, _)| !excluded.contains(&name));
        let highest =
            eligible.max_by_key(|(_, hash)| xxh3_64_with_seed(&hash.to_le_bytes(), key_hash));
        highest.map(|(name, _)| name)
    }
}
