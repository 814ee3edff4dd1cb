//! Records a request's placement at its index owner before the request is dispatched.

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

/// How long an index owner may take to answer.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an agent may take to list what it holds.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// Agents that are asked at once for what they hold.
const LIST_WIDTH: usize = 64;

/// How often a copy is sent.
const COPY_ATTEMPTS: u32 = 2;

/// Pause before agents that did not answer are asked once more; registrations that an older index
/// gave out are void by then.
const LIST_PAUSE: Duration = REGISTRATION_LIFETIME;

/// How long after a request was recorded it may be handed over.
pub(super) const REGISTRATION_LIFETIME: Duration = Duration::from_secs(2);

/// Pause before an index owner that cannot answer yet is asked again.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// How long an index owner may be unable to answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// The index owners of each region, for one configuration.
#[derive(Debug, Default)]
pub(crate) struct OwnersCache {
    held: ArcSwapOption<OwnersByRegion>,
}

#[derive(Debug)]
struct OwnersByRegion {
    version: ConfigVersion,
    regions: HashMap<RegionId, Arc<IndexOwners>>,
}

/// The index owner's answer.
pub(super) enum Located {
    /// Recorded; it may be handed over until the registration ends.
    Recorded { placement: PlacementRecord, registration: Registration, until: Instant },
    /// Placed before.
    Held(PlacementRecord),
    /// Nobody can say whether it was placed before.
    Unclear,
}

impl OwnersCache {
    /// The index owners of a region's requests.
    fn owners(&self, snapshot: &Snapshot, region: &RegionId) -> Arc<IndexOwners> {
        if let Some(held) = &*self.held.load()
            && held.version == snapshot.version
            && let Some(owners) = held.regions.get(region)
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
        self.held.store(Some(Arc::new(OwnersByRegion { version: snapshot.version, regions })));
        owners.unwrap_or_else(|| Arc::new(owners_in(snapshot, region)))
    }
}

/// The engines of a region, or all where it has none.
fn owners_in(snapshot: &Snapshot, region: &RegionId) -> IndexOwners {
    let document = &snapshot.document;
    let engines = || {
        let all = document.upstreams.iter();
        all.filter(|(_, upstream)| matches!(upstream.kind, UpstreamKind::Engine { .. }))
    };
    let near: Vec<UpstreamId> = engines()
        .filter(|(_, upstream)| document.region_of(&upstream.zone) == Some(region))
        .map(|(name, _)| name.clone())
        .collect();
    if near.is_empty() {
        return IndexOwners::new(snapshot.version, engines().map(|(name, _)| name.clone()));
    }
    IndexOwners::new(snapshot.version, near)
}

/// Registers a placement at the index owner of its request.
pub(super) async fn register(shared: &Shared, request: &RegistrationRequest) -> Located {
    let started = shared.clock.now();
    loop {
        match try_register(shared, request).await {
            Some(located) => return located,
            None if shared.clock.now().saturating_duration_since(started) > PATIENCE => {
                return Located::Unclear;
            }
            None => tokio::time::sleep(WAIT_PAUSE).await,
        }
    }
}

/// One attempt; `None` where the index owner cannot answer yet.
async fn try_register(shared: &Shared, request: &RegistrationRequest) -> Option<Located> {
    let snapshot = shared.active_configuration.load()?;
    let customer = snapshot.document.customers.get(&request.key.customer)?;
    let owners = shared.index_owners.owners(&snapshot, &customer.region);
    let owner = owners.owner_of(&request.key)?;
    let sent_at = shared.clock.now();
    let mut connection = connect(shared, &snapshot, owner).await?;
    let call = connection.index.register(register_request(request, &owners));
    let reply = match tokio::time::timeout(REGISTER_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        failed => {
            warn!("request={} home={owner} does not answer: {failed:?}", request.key.request_id);
            give_up(shared, &snapshot, owner, &connection);
            return None;
        }
    };
    let state = reply.state();
    let placement =
        reply.placed.map(from_held_entry).and_then(Result::ok).map(|(_, placement)| placement);
    match (state, placement) {
        (v1::RegisterState::Recorded, Some(placement)) => {
            copy(shared, &snapshot, &owners, &request.key, &placement).await;
            let registration = Registration {
                index_owner: owner.clone(),
                process: ProcessId::new(reply.process),
                config_version: snapshot.version,
            };
            Some(Located::Recorded {
                placement,
                registration,
                until: sent_at + REGISTRATION_LIFETIME,
            })
        }
        (v1::RegisterState::Held, Some(placement)) => Some(Located::Held(placement)),
        (v1::RegisterState::Fill, _) => {
            fill(shared, &snapshot, &owners, owner, &mut connection, &reply.process).await;
            None
        }
        _ => None,
    }
}

fn register_request(request: &RegistrationRequest, owners: &IndexOwners) -> v1::RegisterRequest {
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

/// Leaves copies, so that three agents know of the request before it is handed over.
async fn copy(
    shared: &Shared,
    snapshot: &Snapshot,
    owners: &IndexOwners,
    key: &RequestKey,
    placement: &PlacementRecord,
) {
    let holders = owners.replica_holders(key, &placement.upstream);
    let copies = holders.into_iter().map(|holder| async move {
        for _ in 0..COPY_ATTEMPTS {
            if copy_to(shared, snapshot, holder, to_held_entry(key, placement)).await {
                return;
            }
        }
        warn!("request={} no copy at {holder}", key.request_id);
    });
    join_all(copies).await;
}

async fn copy_to(
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
    let taken = matches!(tokio::time::timeout(REGISTER_TIMEOUT, call).await, Ok(Ok(_)));
    if !taken {
        give_up(shared, snapshot, holder, &connection);
    }
    taken
}

/// Completes the index of an owner from what every agent holds and knows.
async fn fill(
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
    let mut missing = list(shared, snapshot, &request, engines, &mut held).await;
    if !missing.is_empty() {
        tokio::time::sleep(LIST_PAUSE).await;
        missing = list(shared, snapshot, &request, missing, &mut held).await;
    }
    info!("home={owner} filled with {} placements; silent: {missing:?}", held.len());
    let request = v1::FillIndexRequest {
        process: process.to_owned(),
        configuration_version: set.version.0,
        homes_digest: set.digest,
        held,
        copies: false,
    };
    let call = connection.index.fill_index(request);
    if !matches!(tokio::time::timeout(LIST_TIMEOUT, call).await, Ok(Ok(_))) {
        warn!("home={owner} not filled");
    }
}

/// Asks agents for what they hold; gives those that did not answer.
async fn list(
    shared: &Shared,
    snapshot: &Snapshot,
    request: &v1::ListHeldRequest,
    agents: Vec<UpstreamId>,
    held: &mut Vec<v1::HeldEntry>,
) -> Vec<UpstreamId> {
    let asked = agents.into_iter().map(|agent| async move {
        let mut connection = connect(shared, snapshot, &agent).await.ok_or(agent.clone())?;
        let call = connection.index.list_held(request.clone());
        match tokio::time::timeout(LIST_TIMEOUT, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner().held),
            _ => {
                give_up(shared, snapshot, &agent, &connection);
                Err(agent)
            }
        }
    });
    let mut missing = Vec::new();
    let mut answers = stream::iter(asked).buffer_unordered(LIST_WIDTH);
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(listed) => held.extend(listed),
            Err(agent) => missing.push(agent),
        }
    }
    missing
}

/// Gives up a connection on which a call failed.
fn give_up(shared: &Shared, snapshot: &Snapshot, agent: &UpstreamId, connection: &Connection) {
    if let Some(upstream) = snapshot.document.upstreams.get(agent) {
        shared.agents.replace(upstream.agent, connection);
    }
}

async fn connect(shared: &Shared, snapshot: &Snapshot, agent: &UpstreamId) -> Option<Connection> {
    let address = snapshot.document.upstreams.get(agent)?.agent;
    shared.agents.connect(address).await.ok()
}
