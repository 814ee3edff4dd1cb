//! Records at a request's home where it is placed, before it is handed over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use configuration::{Snapshot, UpstreamKind};
use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use identity::{ConfigVersion, ProcessId, RegionId, UpstreamId};
use log::{info, warn};
use registry::{Homes, Placed, Wish, from_entry, to_entry};
use wire::{Registration, RequestKey, v1};

use super::Shared;
use super::agents::Connection;

/// How long a home may take to answer.
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

/// Pause before a home that has nothing to say yet is asked again.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// How long a home may have nothing to say.
const PATIENCE: Duration = Duration::from_secs(8);

/// The homes of each region, for one configuration.
#[derive(Debug, Default)]
pub(crate) struct HomesCache {
    held: ArcSwapOption<HomesByRegion>,
}

#[derive(Debug)]
struct HomesByRegion {
    version: ConfigVersion,
    regions: HashMap<RegionId, Arc<Homes>>,
}

/// What the home said.
pub(super) enum Located {
    /// Recorded; it may be handed over until the registration ends.
    Recorded { placed: Placed, registration: Registration, until: Instant },
    /// Placed before.
    Held(Placed),
    /// Nobody can say whether it was placed before.
    Unclear,
}

impl HomesCache {
    /// The homes of a region's requests.
    fn homes(&self, snapshot: &Snapshot, region: &RegionId) -> Arc<Homes> {
        if let Some(held) = &*self.held.load()
            && held.version == snapshot.version
            && let Some(homes) = held.regions.get(region)
        {
            return homes.clone();
        }
        let regions: HashMap<RegionId, Arc<Homes>> = snapshot
            .document
            .regions
            .keys()
            .map(|region| (region.clone(), Arc::new(homes_of(snapshot, region))))
            .collect();
        let homes = regions.get(region).cloned();
        self.held.store(Some(Arc::new(HomesByRegion { version: snapshot.version, regions })));
        homes.unwrap_or_else(|| Arc::new(homes_of(snapshot, region)))
    }
}

/// The engines of a region, or all where it has none.
fn homes_of(snapshot: &Snapshot, region: &RegionId) -> Homes {
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
        return Homes::new(snapshot.version, engines().map(|(name, _)| name.clone()));
    }
    Homes::new(snapshot.version, near)
}

/// Records a wish at the home of its request.
pub(super) async fn register(shared: &Shared, wish: &Wish) -> Located {
    let started = shared.clock.now();
    loop {
        match try_register(shared, wish).await {
            Some(located) => return located,
            None if shared.clock.now().saturating_duration_since(started) > PATIENCE => {
                return Located::Unclear;
            }
            None => tokio::time::sleep(WAIT_PAUSE).await,
        }
    }
}

/// One attempt; nothing where the home has nothing to say yet.
async fn try_register(shared: &Shared, wish: &Wish) -> Option<Located> {
    let snapshot = shared.in_force.load()?;
    let customer = snapshot.document.customers.get(&wish.key.customer)?;
    let homes = shared.homes.homes(&snapshot, &customer.region);
    let home = homes.of(&wish.key)?;
    let sent_at = shared.clock.now();
    let mut connection = connect(shared, &snapshot, home).await?;
    let call = connection.index.register(register_request(wish, &homes));
    let reply = match tokio::time::timeout(REGISTER_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        failed => {
            warn!("request={} home={home} does not answer: {failed:?}", wish.key.request_id);
            give_up(shared, &snapshot, home, &connection);
            return None;
        }
    };
    let state = reply.state();
    let placed = reply.placed.map(from_entry).and_then(Result::ok).map(|(_, placed)| placed);
    match (state, placed) {
        (v1::RegisterState::Recorded, Some(placed)) => {
            copy(shared, &snapshot, &homes, &wish.key, &placed).await;
            let registration = Registration {
                home: home.clone(),
                process: ProcessId::new(reply.process),
                config_version: snapshot.version,
            };
            Some(Located::Recorded { placed, registration, until: sent_at + REGISTRATION_LIFETIME })
        }
        (v1::RegisterState::Held, Some(placed)) => Some(Located::Held(placed)),
        (v1::RegisterState::Fill, _) => {
            fill(shared, &snapshot, &homes, home, &mut connection, &reply.process).await;
            None
        }
        _ => None,
    }
}

fn register_request(wish: &Wish, homes: &Homes) -> v1::RegisterRequest {
    v1::RegisterRequest {
        key: Some((&wish.key).into()),
        upstream: wish.upstream.to_string(),
        upstream_process: wish.process.to_string(),
        superseded: wish.superseded.as_ref().map(|placed| to_entry(&wish.key, placed)),
        configuration_version: homes.set().version.0,
        homes_digest: homes.set().digest,
    }
}

/// Leaves copies, so that three agents know of the request before it is handed over.
async fn copy(
    shared: &Shared,
    snapshot: &Snapshot,
    homes: &Homes,
    key: &RequestKey,
    placed: &Placed,
) {
    let holders = homes.copies_of(key, &placed.upstream);
    let copies = holders.into_iter().map(|holder| async move {
        for _ in 0..COPY_ATTEMPTS {
            if copy_to(shared, snapshot, holder, to_entry(key, placed)).await {
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

/// Completes the index of a home from what every agent holds and knows.
async fn fill(
    shared: &Shared,
    snapshot: &Snapshot,
    homes: &Homes,
    home: &UpstreamId,
    connection: &mut Connection,
    process: &str,
) {
    let set = homes.set();
    let request = v1::ListHeldRequest {
        home: home.to_string(),
        process: process.to_owned(),
        configuration_version: set.version.0,
        homes: homes.members().map(UpstreamId::to_string).collect(),
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
    info!("home={home} filled with {} placements; silent: {missing:?}", held.len());
    let request = v1::FillIndexRequest {
        process: process.to_owned(),
        configuration_version: set.version.0,
        homes_digest: set.digest,
        held,
        copies: false,
    };
    let call = connection.index.fill_index(request);
    if !matches!(tokio::time::timeout(LIST_TIMEOUT, call).await, Ok(Ok(_))) {
        warn!("home={home} not filled");
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
