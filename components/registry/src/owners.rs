//! Which agent holds the index of a request: rendezvous hashing over the agents of a region.

use identity::{ConfigVersion, UpstreamId};
use wire::RequestKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The agents that hold the index, each a part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IndexOwners {
    version: ConfigVersion,
    members: Vec<(UpstreamId, u64)>,
    digest: u64,
}

/// Identifies a set of index owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSetId {
    /// The configuration that it follows from.
    pub version: ConfigVersion,
    /// Equal for equal members.
    pub digest: u64,
}

impl IndexOwners {
    /// The index owners of a configuration.
    pub fn new(
        version: ConfigVersion,
        members: impl IntoIterator<Item = UpstreamId>,
    ) -> IndexOwners {
        let hash = |name: &UpstreamId| xxh3_64_with_seed(name.as_str().as_bytes(), 0);
        let mut members: Vec<_> = members
            .into_iter()
            .map(|name| {
                let hash = hash(&name);
                (name, hash)
            })
            .collect();
        members.sort();
        let digest = members
            .iter()
            .fold(0, |digest, (name, _)| xxh3_64_with_seed(name.as_str().as_bytes(), digest));
        IndexOwners { version, members, digest }
    }

    /// The identifier of the set.
    pub fn set_id(&self) -> OwnerSetId {
        OwnerSetId { version: self.version, digest: self.digest }
    }

    /// Every index owner.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.members.iter().map(|(name, _)| name)
    }

    /// The index owner of a request.
    pub fn owner_of(&self, key: &RequestKey) -> Option<&UpstreamId> {
        self.best(key, &[])
    }

    /// Agents that keep replicas of a request's placement record. Together with the index owner and
    /// the upstream's own agent three agents know the placement, so that it survives the loss of
    /// any two.
    pub fn replica_holders(&self, key: &RequestKey, upstream: &UpstreamId) -> Vec<&UpstreamId> {
        let Some(owner) = self.owner_of(key) else { return Vec::new() };
        let Some(first) = self.best(key, &[owner, upstream]) else { return Vec::new() };
        if owner != upstream {
            return vec![first];
        }
        std::iter::once(first).chain(self.best(key, &[owner, first])).collect()
    }

    fn best(&self, key: &RequestKey, passed_over: &[&UpstreamId]) -> Option<&UpstreamId> {
        let customer = xxh3_64_with_seed(key.customer.as_str().as_bytes(), 0);
        let key = xxh3_64_with_seed(key.request_id.as_str().as_bytes(), customer);
        let open = self.members.iter().filter(|(name, _)| !passed_over.contains(&name));
        let best = open.max_by_key(|(_, hash)| xxh3_64_with_seed(&hash.to_le_bytes(), key));
        best.map(|(name, _)| name)
    }
}
