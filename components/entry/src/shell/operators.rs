//! Operators' HTTP: health, metrics, configuration and upstreams.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use errors::{Refusal, ResultCode};
use log::info;
use serde::Serialize;
use tokio::runtime;
use web::{Handler, Request, Response};

use super::Shared;
use super::callers::refuse;
use super::claims::new_writer;
use crate::controllers::claims::{Settlement, list_unsettled, settle_claim};
use crate::controllers::configuration::{Submission, read_current, submit_patch};

pub(crate) struct Operators {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
}

#[derive(Debug, Serialize)]
struct UpstreamRow {
    upstream: String,
    zone: String,
    queued: u32,
    running: u32,
    own_outstanding: u32,
    leaving: bool,
}

impl Operators {
    pub(crate) fn new(shared: Arc<Shared>, runtime: runtime::Handle) -> Operators {
        Operators { shared, runtime }
    }
}

#[async_trait]
impl Handler for Operators {
    async fn handle(&self, request: Request) -> Response {
        let shared = self.shared.clone();
        let answered = self.runtime.spawn(async move { route(&shared, request).await });
        match answered.await {
            Ok(response) => response,
            Err(_) => refuse(&Refusal::not_run(ResultCode::Internal), ""),
        }
    }
}

async fn route(shared: &Shared, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => Response::whole(200, "text/plain", "alive\n"),
        ("GET", "/readyz") => ready(shared),
        ("GET", "/metrics") => Response::whole(200, "text/plain", shared.metrics.render()),
        ("GET", "/configuration") => configuration(shared).await,
        ("POST", "/configuration/patches") => patch(shared, &request).await,
        ("GET", "/claims/unsettled") => unsettled(shared).await,
        ("POST", "/claims/settlements") => settle(shared, &request).await,
        ("GET", "/upstreams") => Response::json(200, &upstreams(shared)),
        _ => refuse(&Refusal::not_run(ResultCode::NotFound), ""),
    }
}

fn ready(shared: &Shared) -> Response {
    if shared.draining.load(Ordering::SeqCst) {
        return Response::whole(503, "text/plain", "draining\n");
    }
    if shared.in_force.load().is_none() {
        return Response::whole(503, "text/plain", "no configuration\n");
    }
    Response::whole(200, "text/plain", "ready\n")
}

async fn configuration(shared: &Shared) -> Response {
    match read_current(&*shared.store).await {
        Ok(Some((_, stored))) => Response::json(200, &stored),
        Ok(None) => refuse(&Refusal::not_run(ResultCode::ConfigurationMissing), ""),
        Err(error) => {
            let refusal = Refusal::not_run(ResultCode::StoreUnavailable);
            refuse(&refusal.with_message(error.to_string()), "")
        }
    }
}

async fn patch(shared: &Shared, request: &Request) -> Response {
    let submission: Submission = match serde_json::from_slice(&request.body) {
        Ok(submission) => submission,
        Err(error) => {
            let refusal = Refusal::not_run(ResultCode::MalformedJson);
            return refuse(&refusal.with_message(error.to_string()), "");
        }
    };
    match submit_patch(&*shared.store, &submission, shared.clock.wall()).await {
        Ok(stored) => {
            info!("configuration version={} by {}", stored.version, stored.author);
            Response::json(200, &serde_json::json!({ "version": stored.version }))
        }
        Err(refusal) => refuse(&refusal, ""),
    }
}

async fn unsettled(shared: &Shared) -> Response {
    match list_unsettled(&*shared.store, shared.clock.wall()).await {
        Ok(rows) => Response::json(200, &rows),
        Err(error) => {
            let refusal = Refusal::not_run(ResultCode::StoreUnavailable);
            refuse(&refusal.with_message(error.to_string()), "")
        }
    }
}

async fn settle(shared: &Shared, request: &Request) -> Response {
    let settlement: Settlement = match serde_json::from_slice(&request.body) {
        Ok(settlement) => settlement,
        Err(error) => {
            let refusal = Refusal::not_run(ResultCode::MalformedJson);
            return refuse(&refusal.with_message(error.to_string()), "");
        }
    };
    let writer = new_writer(&shared.process);
    match settle_claim(&*shared.store, &settlement, writer, shared.clock.wall()).await {
        Ok(claim) => {
            info!(
                "claim customer={} key={} settled as {} by {}: {}",
                settlement.customer,
                settlement.idempotency_key,
                settlement.outcome.name(),
                settlement.author,
                settlement.reason
            );
            Response::json(200, &claim)
        }
        Err(refusal) => refuse(&refusal, ""),
    }
}

fn upstreams(shared: &Shared) -> Vec<UpstreamRow> {
    let Some(snapshot) = shared.in_force.load() else { return Vec::new() };
    let heard = shared.heard().clone();
    let rows = snapshot.document.upstreams.iter().map(|(name, upstream)| {
        let seen = heard.get(name);
        let load = seen.map(|heard| heard.load).unwrap_or_default();
        UpstreamRow {
            upstream: name.to_string(),
            zone: upstream.zone.to_string(),
            queued: load.queued,
            running: load.running,
            own_outstanding: seen.map_or(0, |heard| heard.own_outstanding),
            leaving: seen.is_some_and(|heard| heard.leaving) || load.leaving,
        }
    });
    rows.collect()
}
