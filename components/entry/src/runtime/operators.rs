//! HTTP handler for operators' requests: health, metrics, configuration, audit, claims, hosts,
//! upstreams and placement decisions.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use configuration::Snapshot;
use configuration::repository::{
    RepositoryError, Submission, check_patch, read_audit, read_index, read_log, read_newer,
};
use errors::{Refusal, ResultCode};
use identity::ConfigVersion;
use log::info;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use store::HostState;
use tokio::runtime;
use web::{Handler, Request, Response};

use super::Shared;
use super::callers::refusal_response;
use super::claims::new_writer;
use crate::controllers::claims::{OperatorSettlement, list_unsettled, settle_claim};
use crate::controllers::configuration::submit_audited_patch;
use crate::controllers::membership::Availability;

/// Records returned if the query has no limit.
const DEFAULT_RECORD_LIMIT: usize = 20;

/// Largest limit that a query may have.
const MAX_RECORD_LIMIT: usize = 10_000;

/// HTTP handler for operators' requests.
pub(crate) struct OperatorHandler {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
}

/// An upstream in the response to `GET /upstreams`.
#[derive(Debug, Serialize)]
struct UpstreamRow {
    upstream: String,
    host: String,
    zone: String,
    agent: String,
    queued: u32,
    running: u32,
    own_outstanding: u32,
    leaving: bool,
    draining: bool,
    unreachable: bool,
}

/// A host in the response to `GET /hosts`.
#[derive(Debug, Serialize)]
struct HostRow {
    host: String,
    state: String,
    zones: Vec<String>,
    upstreams: Vec<String>,
}

impl OperatorHandler {
    pub(crate) fn new(shared: Arc<Shared>, runtime: runtime::Handle) -> OperatorHandler {
        OperatorHandler { shared, runtime }
    }
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, request: Request) -> Response {
        let shared = self.shared.clone();
        let task = self.runtime.spawn(async move { route(&shared, request).await });
        match task.await {
            Ok(Ok(response)) => response,
            Ok(Err(refusal)) => refusal_response(&refusal, ""),
            Err(_) => refusal_response(&Refusal::not_run(ResultCode::Internal), ""),
        }
    }
}

async fn route(shared: &Shared, request: Request) -> Result<Response, Refusal> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => Ok(Response::buffered(200, "text/plain", "alive\n")),
        ("GET", "/readyz") => Ok(get_readiness(shared)),
        ("GET", "/metrics") => Ok(get_metrics(shared)),
        ("GET", "/configuration") => get_configuration(shared).await,
        ("POST", "/configuration/patches") => post_patch(shared, &request).await,
        ("GET", "/claims/unsettled") => get_unsettled_claims(shared).await,
        ("POST", "/claims/settlements") => post_settlement(shared, &request).await,
        ("POST", "/configuration/checks") => post_check(shared, &request).await,
        ("GET", "/configuration/history") => get_history(shared, &request).await,
        ("GET", "/audit") => get_audit(shared, &request).await,
        ("GET", "/hosts") => get_hosts(shared).await,
        ("GET", "/upstreams") => Ok(Response::json(200, &list_upstreams(shared))),
        ("GET", path) => get_decisions(shared, path),
        _ => Err(Refusal::not_run(ResultCode::NotFound)),
    }
}

fn get_metrics(shared: &Shared) -> Response {
    let (version, waiting) = (shared.active_configuration.version(), shared.pending_audit.len());
    shared.metrics.update_gauges(version, waiting);
    Response::buffered(200, "text/plain", shared.metrics.render())
}

fn get_readiness(shared: &Shared) -> Response {
    if shared.draining.load(Ordering::SeqCst) {
        return Response::buffered(503, "text/plain", "draining\n");
    }
    if shared.active_configuration.load().is_none() {
        return Response::buffered(503, "text/plain", "no configuration\n");
    }
    Response::buffered(200, "text/plain", "ready\n")
}

/// Returns the newest configuration in the store, or the active one if the store does not respond.
async fn get_configuration(shared: &Shared) -> Result<Response, Refusal> {
    let active = shared.active_configuration.load();
    let (newer, source) = match read_newer(&*shared.store, active.as_deref()).await {
        Ok(newer) => (newer, "store"),
        Err(_) => (None, "in_force"),
    };
    let snapshot = newer.map(Arc::new).or(active);
    let snapshot = snapshot.ok_or_else(|| Refusal::not_run(ResultCode::ConfigurationMissing))?;
    let version = snapshot.version;
    let body = json!({ "version": version, "source": source, "document": snapshot.document });
    Ok(Response::json(200, &body))
}

async fn post_patch(shared: &Shared, request: &Request) -> Result<Response, Refusal> {
    let submission: Submission = read_body(request)?;
    let active = shared.active_configuration.load();
    let wall = shared.clock.wall_time();
    let accepted = submit_audited_patch(
        &*shared.store,
        active.as_deref(),
        &submission,
        wall,
        &shared.pending_audit,
    )
    .await?;
    info!("configuration version={} submitted by {}", accepted.version, submission.author);
    if let Some(snapshot) = accepted.snapshot {
        shared.active_configuration.install_if_newer(snapshot);
        shared.peers.announce_version(accepted.version).await;
    }
    Ok(Response::json(200, &json!({ "version": accepted.version })))
}

/// Checks whether a patch would be accepted now, without writing anything.
async fn post_check(shared: &Shared, request: &Request) -> Result<Response, Refusal> {
    let submission: Submission = read_body(request)?;
    let active = shared.active_configuration.load();
    let newer = read_newer(&*shared.store, active.as_deref()).await.map_err(store_unavailable)?;
    let newest = newer.map(Arc::new).or(active);
    let newest =
        newest.unwrap_or_else(|| Arc::new(Snapshot::new(ConfigVersion(0), Default::default())));
    check_patch(&newest.document, &submission.patch)?;
    Ok(Response::json(200, &json!({ "against_version": newest.version })))
}

fn read_body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|error| {
        Refusal::not_run(ResultCode::MalformedJson).with_message(error.to_string())
    })
}

async fn get_history(shared: &Shared, request: &Request) -> Result<Response, Refusal> {
    let Some((_, index)) = read_index(&*shared.store).await.map_err(store_unavailable)? else {
        return Err(Refusal::not_run(ResultCode::ConfigurationMissing));
    };
    let log = read_log(&*shared.store, &index).await.map_err(store_unavailable)?;
    let newest: Vec<_> = log.0.iter().rev().take(read_limit(request)?).collect();
    Ok(Response::json(200, &newest))
}

async fn get_audit(shared: &Shared, request: &Request) -> Result<Response, Refusal> {
    let limit = read_limit(request)?;
    let records = read_audit(&*shared.store, limit).await.map_err(store_unavailable)?;
    Ok(Response::json(200, &records))
}

fn read_limit(request: &Request) -> Result<usize, Refusal> {
    let Some(given) = request.query_value("limit") else { return Ok(DEFAULT_RECORD_LIMIT) };
    let limit = given.parse().ok().filter(|limit| (1..=MAX_RECORD_LIMIT).contains(limit));
    limit.ok_or_else(|| {
        let message = format!("limit: given {given}, allowed 1 to {MAX_RECORD_LIMIT}");
        Refusal::not_run(ResultCode::FieldOutOfRange).with_message(message)
    })
}

async fn get_hosts(shared: &Shared) -> Result<Response, Refusal> {
    let listed = shared.host_list.read().await.map_err(|error| {
        Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
    })?;
    let snapshot = shared.active_configuration.load();
    let row = |(host, state): (&identity::HostId, &HostState)| {
        let on_host = snapshot.iter().flat_map(|snapshot| snapshot.document.upstreams.iter());
        let on_host: Vec<_> = on_host.filter(|(_, upstream)| upstream.host == *host).collect();
        let mut zones: Vec<_> = on_host.iter().map(|(_, found)| found.zone.to_string()).collect();
        zones.dedup();
        HostRow {
            host: host.to_string(),
            state: match state {
                HostState::Live => "live".to_owned(),
                HostState::Leaving => "leaving".to_owned(),
            },
            zones,
            upstreams: on_host.iter().map(|(name, _)| name.to_string()).collect(),
        }
    };
    let rows: Vec<HostRow> = listed.iter().map(row).collect();
    Ok(Response::json(200, &rows))
}

async fn get_unsettled_claims(shared: &Shared) -> Result<Response, Refusal> {
    let rows = list_unsettled(&*shared.store, shared.clock.wall_time())
        .await
        .map_err(store_unavailable)?;
    Ok(Response::json(200, &rows))
}

async fn post_settlement(shared: &Shared, request: &Request) -> Result<Response, Refusal> {
    let settlement: OperatorSettlement = read_body(request)?;
    let writer = new_writer(&shared.process);
    let wall = shared.clock.wall_time();
    let claim = settle_claim(&*shared.store, &settlement, writer, wall).await?;
    info!(
        "claim customer={} key={} settled as {} by {}: {}",
        settlement.customer,
        settlement.idempotency_key,
        settlement.outcome.name(),
        settlement.author,
        settlement.reason
    );
    Ok(Response::json(200, &claim))
}

fn list_upstreams(shared: &Shared) -> Vec<UpstreamRow> {
    let Some(snapshot) = shared.active_configuration.load() else { return Vec::new() };
    let statuses = shared.upstream_statuses();
    let now = shared.clock.now();
    let rows = snapshot.document.upstreams.iter().map(|(name, upstream)| {
        let status = statuses.get(name);
        let load = status.map(|status| status.load).unwrap_or_default();
        let availability = status
            .map_or(Availability::Available, |status| status.availability_state.availability(now));
        UpstreamRow {
            upstream: name.to_string(),
            host: upstream.host.to_string(),
            zone: upstream.zone.to_string(),
            agent: upstream.agent.to_string(),
            queued: load.queued,
            running: load.running,
            own_outstanding: status.map_or(0, |status| status.own_outstanding),
            leaving: availability == Availability::Leaving,
            draining: upstream.draining,
            unreachable: availability == Availability::Unreachable,
        }
    });
    rows.collect()
}

fn get_decisions(shared: &Shared, path: &str) -> Result<Response, Refusal> {
    let id = path.strip_prefix("/requests/");
    let decisions = id.map(|id| shared.decisions.find(id)).unwrap_or_default();
    if decisions.is_empty() {
        return Err(Refusal::not_run(ResultCode::NotFound));
    }
    Ok(Response::json(200, &decisions))
}

fn store_unavailable(error: impl Into<RepositoryError>) -> Refusal {
    let error = error.into();
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}
