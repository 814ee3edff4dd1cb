//! Checks whether upstreams whose answers broke off have ended.
//!
//! Load pattern: upstreams that end within an answer, beside channels that are reset and upstreams
//! that break off some of their answers but live on. Only an upstream that has ended refuses a new
//! connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use link::LinkError;
use log::info;

use super::attempt::DEFAULT_IDLE_TIMEOUT;
use super::state::{SharedRef, UPSTREAM_TIMEOUTS};
use crate::crash_quarantine::Cause;
use crate::model::{Upstream, UpstreamId};

/// Time between the end of an answer and the check, in which the upstream's port is closed and its
/// other answers break off as well.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// It broke off.
    Broken,
    /// Its connection was closed, which is the only sign of its end.
    Unframed,
}

/// An answer that ended with its connection.
#[derive(Debug)]
struct EndedAnswer {
    causes: Vec<Cause>,
    end: AnswerEnd,
    at: Instant,
}

/// Ended answers of upstreams that are being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks(RefCell<HashMap<UpstreamId, Vec<EndedAnswer>>>);

/// Checks whether the upstream of an answer has ended, and records what this says of `causes`.
pub(super) fn check_for_crash(
    shared: &SharedRef,
    causes: impl Iterator<Item = Cause>,
    upstream: &Upstream,
    end: AnswerEnd,
) {
    let answer = EndedAnswer { causes: causes.collect(), end, at: shared.clock.now() };
    let mut pending = shared.crash_checks.0.borrow_mut();
    let answers = pending.entry(upstream.id()).or_default();
    answers.push(answer);
    if answers.len() == 1 {
        tokio::task::spawn_local(run_check(shared.clone(), upstream.clone()));
    }
}

async fn run_check(shared: SharedRef, upstream: Upstream) {
    tokio::time::sleep(CHECK_DELAY).await;
    let answers = shared.crash_checks.0.borrow_mut().remove(&upstream.id()).unwrap_or_default();
    let instance = &upstream.instance;
    shared.metrics.upstream_connections.inc();
    match link::connect(upstream.address, UPSTREAM_TIMEOUTS).await {
        Ok(connection) => {
            let now = shared.clock.now();
            shared.pool.put(upstream.address, connection, now, DEFAULT_IDLE_TIMEOUT);
            for answer in answers.iter().filter(|answer| answer.end == AnswerEnd::Unframed) {
                shared.record_sound(answer.causes.iter().copied());
            }
            info!("upstream.survived instance={instance} answers={}", answers.len());
        }
        Err(LinkError::Refused(_)) if shared.is_serving(&upstream) => {
            info!("upstream.crashed instance={instance} answers={}", answers.len());
            for answer in answers {
                shared.record_crash(answer.causes, upstream.id(), answer.at);
            }
        }
        Err(error) => info!("upstream.unchecked instance={instance} reason={error}"),
    }
}
