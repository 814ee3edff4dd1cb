//! Streams that callers take up: the service and version at which they go on.
//!
//! Load pattern: a gateway is cut off or stands still while a service gets a second version. Streams
//! that began at it through other gateways break off, and are taken up here. A read of the records
//! that is begun after a stream arrived knows of its version. Without one, what this gateway knows
//! may be old; it counts only if each other gateway has told since that it knows the same. All of
//! them do while the store is away for all.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use log::{info, warn};
use rand::Rng;
use tokio::time::timeout;

use super::super::admission::clamp_retry_after;
use super::super::log_fields::or_none;
use super::super::state::Shared;
use crate::model::{RequestMetadata, Route, RouteKind, ServiceId, VersionId};
use crate::routes::pick_target;
use crate::stream_versions::{Origin, RecordedStreams, StreamId};

/// Longest time that a stream waits for a read of the records.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after the arrival of a stream from which digests were sent after it as well. It covers their
/// time in transit, and the digests that a process finds in its socket after it has stood still.
const DIGEST_DELAY: Duration = Duration::from_millis(150);

/// Time after the arrival of a stream in which each gateway has sent a digest to all zones.
const AGREEMENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which is checked whether the other gateways agree.
const AGREEMENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Retry delay given where the version that began a stream is not known or not in service: records
/// and upstreams may be back soon.
const TAKE_UP_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Service of a request, and what is known of its stream.
pub(in crate::runtime) struct StreamTarget {
    pub(in crate::runtime) service: String,
    /// The stream, if it may be resumed.
    pub(in crate::runtime) stream: Option<StreamId>,
    /// Version at which the stream has to go on; `None` if it begins.
    pub(in crate::runtime) version: Option<VersionId>,
    /// Whether the stream is known to have begun and broken off. A caller may claim that of any
    /// request, so its word alone gives no precedence.
    pub(in crate::runtime) resumes: bool,
}

impl Shared {
    /// Chooses the service of a request. A stream that its caller takes up goes to the service and
    /// the version that began it, or is refused.
    pub(in crate::runtime) async fn choose_target(
        &self,
        route: &Route,
        metadata: &RequestMetadata,
        customer: Option<&str>,
        arrived: Instant,
        time_left: Duration,
    ) -> Result<StreamTarget, Refusal> {
        let is_resumable = route.kind == RouteKind::Stream { resumable: true };
        let is_taken_up = is_resumable && metadata.resume_after.is_some();
        let first_attempt = if is_taken_up {
            metadata.resumes.as_deref()
        } else {
            Some(metadata.attempt_id.as_str()).filter(|id| is_resumable && !id.is_empty())
        };
        let stream = first_attempt.map(|id| StreamId::of(customer, id));
        let sample = stream.map_or_else(|| rand::rng().random(), StreamId::sample);
        let chosen = pick_target(&route.targets, sample)
            .ok_or_else(|| Refusal::not_run(ResultCode::NoUpstream))?;
        if !is_taken_up {
            let service = chosen.to_owned();
            return Ok(StreamTarget { service, stream, version: None, resumes: false });
        }
        let origin = self.find_origin(stream, ServiceId::of(chosen), arrived).await;
        let target =
            self.stream_versions.services.borrow().target_at(origin, chosen, &route.targets);
        info!(
            "stream.take_up id={} resumes={} after={} origin={origin:?} service={}",
            metadata.attempt_id,
            or_none(metadata.resumes.as_deref()),
            or_none(metadata.resume_after),
            or_none(target.as_ref().ok().map(|(service, _)| *service)),
        );
        let (service, version) = target.map_err(|code| {
            self.not_run_refusal(code, clamp_retry_after(TAKE_UP_RETRY_AFTER, time_left))
        })?;
        Ok(StreamTarget {
            service: service.to_owned(),
            stream,
            version: Some(version),
            resumes: matches!(origin, Origin::Recorded(_)),
        })
    }

    /// Finds the version that began a stream, from the streams of this gateway or a read of the
    /// records that is begun after the request arrived.
    async fn find_origin(
        &self,
        stream: Option<StreamId>,
        service: ServiceId,
        arrived: Instant,
    ) -> Origin {
        let logged = stream.and_then(|id| self.stream_versions.log.borrow().version_of(id));
        if let Some(version) = logged {
            return version.map_or(Origin::Unknown, Origin::Recorded);
        }
        match timeout(LOOKUP_TIMEOUT, self.look_up(arrived)).await.ok().flatten() {
            Some(recorded) => recorded.origin(stream, service),
            None => self.find_origin_without_lookup(service, arrived).await,
        }
    }

    /// The origin of an unrecorded stream as this gateway knows it, if that holds for all others.
    async fn find_origin_without_lookup(&self, service: ServiceId, arrived: Instant) -> Origin {
        let origin = || {
            let services = self.stream_versions.services.borrow();
            services.origin_without_lookup(service, self.store_era())
        };
        let since = arrived + DIGEST_DELAY;
        loop {
            let now = self.clock.now();
            if origin() == Origin::Unknown {
                return Origin::Unknown;
            }
            if self.peers.borrow().agree_since(self.fingerprint(), since, now) {
                return origin();
            }
            if now >= arrived + AGREEMENT_TIMEOUT {
                info!("stream.unconfirmed service={service:?}");
                return Origin::Unknown;
            }
            tokio::time::sleep(AGREEMENT_POLL_INTERVAL).await;
        }
    }

    /// Reads markers and records, or returns a read that was begun after `arrived`.
    async fn look_up(&self, arrived: Instant) -> Option<Rc<RecordedStreams>> {
        let store = self.stream_versions.store.borrow().clone()?;
        let mut newest = self.stream_versions.lookup.lock().await;
        if let Some((begun_at, recorded)) = &*newest
            && *begun_at >= arrived
        {
            return Some(recorded.clone());
        }
        let begun_at = self.clock.now();
        match store.read().await {
            Ok(recorded) => {
                let recorded = Rc::new(recorded);
                *newest = Some((begun_at, recorded.clone()));
                Some(recorded)
            }
            Err(error) => {
                warn!("stream_records.unread reason={error}");
                None
            }
        }
    }
}
