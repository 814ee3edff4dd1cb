//! Registers the placement of a request with the index owner before the request is dispatched, and
//! completes the placement index of an owner whose index is incomplete.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use configuration::{Snapshot, UpstreamKind};
use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use identity::{ConfigVersion, ProcessId, RegionId, UpstreamId};
use log::{info, warn};
use registry::{IndexOwners, PlacementRecord, RegistrationRequest, from_held_entry, to_held_entry};
use wire::{Registration, RequestKey, v1};

use super::Shared;
use super::agents::Connection;

/// Longest time for an agent to reply to a registration or to store a replica.
const REGISTER_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for an agent to list the placements that it knows, or for an index owner to accept
/// such lists.
const LIST_CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Most agents that are queried for their placements at the same time.
const MAX_CONCURRENT_LISTS: usize = 64;

/// Attempts to store one replica of a placement record.
const REPLICA_ATTEMPTS: u32 = 2;

/// Pause before agents that did not reply with their placements are queried once more.
/// Registrations that an older index issued have expired by then.
const LIST_RETRY_PAUSE: Duration = REGISTRATION_LIFETIME;

/// Time for which a request may be dispatched after its placement was registered, counted from when
/// the registration was sent.
pub(super) const REGISTRATION_LIFETIME: Duration = Duration::from_secs(2);

/// Pause before a failed registration is retried.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a failed registration is retried.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(8);

/// Cache of the index owners of each region for the active configuration.
#[derive(Debug, Default)]
pub(crate) struct OwnersCache {
    cached: ArcSwapOption<OwnersByRegion>,
}

#[derive(Debug)]
struct OwnersByRegion {
    version: ConfigVersion,
    regions: HashMap<RegionId, Arc<IndexOwners>>,
}

/// Result of a registration.
pub(super) enum RegistrationResult {
    /// The placement is recorded. The request may be dispatched until the registration expires.
    Recorded { placement: PlacementRecord, registration: Registration, expires_at: Instant },
    /// The request is already placed, as this record says.
    AlreadyPlaced(PlacementRecord),
    /// It could not be determined whether the request is already placed.
    Undetermined,
}

impl OwnersCache {
    /// Returns the index owners for requests of customers in a region.
    fn owners(&self, snapshot: &Snapshot, region: &RegionId) -> Arc<IndexOwners> {
        if let Some(cached) = &*self.cached.load()
            && cached.version == snapshot.version
            && let Some(owners) = cached.regions.get(region)
        {
            return owners.clone();
        }
        let regions: HashMap<RegionId, Arc<IndexOwners>> = snapshot
            .document
            .regions
            .keys()
            .map(|region| (region.clone(), Arc::new(owners_in(snapshot, region))))
            .collect();
        let owners = regions.get(region).cloned();
        self.cached.store(Some(Arc::new(OwnersByRegion { version: snapshot.version, regions })));
        owners.unwrap_or_else(|| Arc::new(owners_in(snapshot, region)))
    }
}

/// Selects the index owners for a region: the agents of its engines, or of all engines if it has
/// none.
fn owners_in(snapshot: &Snapshot, region: &RegionId) -> IndexOwners {
    let document = &snapshot.document;
    let engines = || {
        let all = document.upstreams.iter();
        all.filter(|(_, upstream)| matches!(upstream.kind, UpstreamKind::Engine { .. }))
    };
    let in_region: Vec<UpstreamId> = engines()
        .filter(|(_, upstream)| document.region_of(&upstream.zone) == Some(region))
        .map(|(name, _)| name.clone())
        .collect();
    if in_region.is_empty() {
        return IndexOwners::new(snapshot.version, engines().map(|(name, _)| name.clone()));
    }
    IndexOwners::new(snapshot.version, in_region)
}

/// Registers a placement with the index owner of its request, and retries while the owner cannot
/// reply.
pub(super) async fn register(shared: &Shared, request: &RegistrationRequest) -> RegistrationResult {
    let started_at = shared.clock.now();
    loop {
        match try_register(shared, request).await {
            Some(result) => return result,
            None if shared.clock.now().saturating_duration_since(started_at)
                > REGISTRATION_TIMEOUT =>
            {
                return RegistrationResult::Undetermined;
            }
            None => tokio::time::sleep(REGISTER_RETRY_PAUSE).await,
        }
    }
}

/// Makes one attempt to register; `None` if it failed and may be retried.
async fn try_register(
    shared: &Shared,
    request: &RegistrationRequest,
) -> Option<RegistrationResult> {
    let snapshot = shared.active_configuration.load()?;
    let customer = snapshot.document.customers.get(&request.key.customer)?;
    let owners = shared.index_owners.owners(&snapshot, &customer.region);
    let owner = owners.owner_of(&request.key)?;
    let sent_at = shared.clock.now();
    let mut connection = connect(shared, &snapshot, owner).await?;
    let call = connection.index.register(build_register_request(request, &owners));
    let reply = match tokio::time::timeout(REGISTER_CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        failed => {
            warn!(
                "request={} index_owner={owner} registration failed: {failed:?}",
                request.key.request_id
            );
            drop_connection(shared, &snapshot, owner, &connection);
            return None;
        }
    };
    let state = reply.state();
    let placement =
        reply.placed.map(from_held_entry).and_then(Result::ok).map(|(_, placement)| placement);
    match (state, placement) {
        (v1::RegisterState::Recorded, Some(placement)) => {
            replicate(shared, &snapshot, &owners, &request.key, &placement).await;
            let registration = Registration {
                index_owner: owner.clone(),
                process: ProcessId::new(reply.process),
                config_version: snapshot.version,
            };
            Some(RegistrationResult::Recorded {
                placement,
                registration,
                expires_at: sent_at + REGISTRATION_LIFETIME,
            })
        }
        (v1::RegisterState::Held, Some(placement)) => {
            Some(RegistrationResult::AlreadyPlaced(placement))
        }
        (v1::RegisterState::Fill, _) => {
            fill_index(shared, &snapshot, &owners, owner, &mut connection, &reply.process).await;
            None
        }
        _ => None,
    }
}

fn build_register_request(
    request: &RegistrationRequest,
    owners: &IndexOwners,
) -> v1::RegisterRequest {
    v1::RegisterRequest {
        key: Some((&request.key).into()),
        upstream: request.upstream.to_string(),
        upstream_process: request.process.to_string(),
        superseded: request
            .superseded
            .as_ref()
            .map(|placement| to_held_entry(&request.key, placement)),
        configuration_version: owners.set_id().version.0,
        homes_digest: owners.set_id().digest,
    }
}

/// Stores replicas of a placement record, so that three agents know the placement before the
/// request is dispatched.
async fn replicate(
    shared: &Shared,
    snapshot: &Snapshot,
    owners: &IndexOwners,
    key: &RequestKey,
    placement: &PlacementRecord,
) {
    let holders = owners.replica_holders(key, &placement.upstream);
    let writes = holders.into_iter().map(|holder| async move {
        for _ in 0..REPLICA_ATTEMPTS {
            if store_replica(shared, snapshot, holder, to_held_entry(key, placement)).await {
                return;
            }
        }
        warn!("request={} no replica stored at upstream={holder}", key.request_id);
    });
    join_all(writes).await;
}

async fn store_replica(
    shared: &Shared,
    snapshot: &Snapshot,
    holder: &UpstreamId,
    entry: v1::HeldEntry,
) -> bool {
    let Some(mut connection) = connect(shared, snapshot, holder).await else { return false };
    let request = v1::FillIndexRequest {
        process: connection.process.to_string(),
        held: vec![entry],
        copies: true,
        ..v1::FillIndexRequest::default()
    };
    let call = connection.index.fill_index(request);
    let stored = matches!(tokio::time::timeout(REGISTER_CALL_TIMEOUT, call).await, Ok(Ok(_)));
    if !stored {
        drop_connection(shared, snapshot, holder, &connection);
    }
    stored
}

/// Completes the index of an owner from the placements that the agents of all engines know. The
/// query for them also tells each agent to reject dispatches that an older index of this owner
/// allowed.
async fn fill_index(
    shared: &Shared,
    snapshot: &Snapshot,
    owners: &IndexOwners,
    owner: &UpstreamId,
    connection: &mut Connection,
    process: &str,
) {
    let set = owners.set_id();
    let request = v1::ListHeldRequest {
        home: owner.to_string(),
        process: process.to_owned(),
        configuration_version: set.version.0,
        homes: owners.members().map(UpstreamId::to_string).collect(),
    };
    let engines: Vec<UpstreamId> = snapshot
        .document
        .upstreams
        .iter()
        .filter(|(_, upstream)| matches!(upstream.kind, UpstreamKind::Engine { .. }))
        .map(|(name, _)| name.clone())
        .collect();
    let mut held = Vec::new();
    let mut missing = list_placements(shared, snapshot, &request, engines, &mut held).await;
    if !missing.is_empty() {
        tokio::time::sleep(LIST_RETRY_PAUSE).await;
        missing = list_placements(shared, snapshot, &request, missing, &mut held).await;
    }
    info!(
        "index_owner={owner} index filled with {} placements; no reply from: {missing:?}",
        held.len()
    );
    let request = v1::FillIndexRequest {
        process: process.to_owned(),
        configuration_version: set.version.0,
        homes_digest: set.digest,
        held,
        copies: false,
    };
    let call = connection.index.fill_index(request);
    if !matches!(tokio::time::timeout(LIST_CALL_TIMEOUT, call).await, Ok(Ok(_))) {
        warn!("index_owner={owner} index not filled");
    }
}

/// Queries agents for the placements that they know, and returns the agents that did not reply.
async fn list_placements(
    shared: &Shared,
    snapshot: &Snapshot,
    request: &v1::ListHeldRequest,
    agents: Vec<UpstreamId>,
    held: &mut Vec<v1::HeldEntry>,
) -> Vec<UpstreamId> {
    let queries = agents.into_iter().map(|agent| async move {
        let mut connection = connect(shared, snapshot, &agent).await.ok_or(agent.clone())?;
        let call = connection.index.list_held(request.clone());
        match tokio::time::timeout(LIST_CALL_TIMEOUT, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner().held),
            _ => {
                drop_connection(shared, snapshot, &agent, &connection);
                Err(agent)
            }
        }
    });
    let mut missing = Vec::new();
    let mut replies = stream::iter(queries).buffer_unordered(MAX_CONCURRENT_LISTS);
    while let Some(reply) = replies.next().await {
        match reply {
            Ok(listed) => held.extend(listed),
            Err(agent) => missing.push(agent),
        }
    }
    missing
}

/// Drops a connection on which a call failed.
fn drop_connection(
    shared: &Shared,
    snapshot: &Snapshot,
    agent: &UpstreamId,
    connection: &Connection,
) {
    if let Some(upstream) = snapshot.document.upstreams.get(agent) {
        shared.agents.replace(upstream.agent, connection);
    }
}

async fn connect(shared: &Shared, snapshot: &Snapshot, agent: &UpstreamId) -> Option<Connection> {
    let address = snapshot.document.upstreams.get(agent)?.agent;
    shared.agents.connect(address).await.ok()
}
