//! Callers' connections and the requests on them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use clock::Clock;
use intake::byte_budget::ByteBudget;
use intake::connection_table::WaitLimits;
use intake::{Connection, Intake, IntakeLimits, RequestGuard, build_refusal};
use log::{info, warn};
use ntex::SharedCfg;
use ntex::http::body::Body;
use ntex::http::{Request, Response};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::dispatch::DispatchProgress;
use super::log_fields::or_none;
use super::response::build_response;
use super::state::{Shared, SharedRef};
use super::{caller_request, dispatch};
use crate::Settings;
use crate::model::{CallerLimits, UpstreamId};

/// Time after which unacknowledged bytes or unanswered keepalive probes end a caller's connection.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between keepalive probes of a silent caller.
const CALLER_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed during a planned stop: the last response must have
/// been sent by then.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Guard of a request whose response has not been completely passed to the server.
pub(super) struct OpenRequest {
    shared: SharedRef,
    _guard: RequestGuard<UpstreamId>,
}

impl OpenRequest {
    fn new(connection: &Rc<Connection<UpstreamId>>, shared: SharedRef) -> OpenRequest {
        shared.open_requests.set(shared.open_requests.get() + 1);
        OpenRequest { _guard: connection.begin_request(), shared }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open_requests.set(self.shared.open_requests.get().saturating_sub(1));
    }
}

/// Accepts callers' connections until the process ends.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    let configuration = intake::configure_server("callers");
    intake::accept_connections(&shared.intake, &listener, |connection, stream| {
        let served = serve_connection(shared.clone(), configuration.clone(), connection, stream);
        tokio::task::spawn_local(async move {
            if let Err(error) = served.await {
                warn!("caller.connection error={error:#}");
            }
        });
    })
    .await;
}

async fn serve_connection(
    shared: SharedRef,
    configuration: SharedCfg,
    connection: Rc<Connection<UpstreamId>>,
    stream: TcpStream,
) -> Result<()> {
    set_socket_options(&stream);
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration.clone())?;
    let handler = {
        let connection = connection.clone();
        move |request| handle_request(shared.clone(), connection.clone(), request)
    };
    intake::serve_connection(connection, io, configuration, handler).await
}

/// Creates the intake of callers' connections, with the limits until the first configuration is received.
pub(super) fn open_intake(
    settings: &Settings,
    byte_budget: Rc<ByteBudget<UpstreamId>>,
    clock: Arc<dyn Clock>,
) -> Rc<Intake<UpstreamId>> {
    Intake::new(intake_limits(settings, CallerLimits::default()), byte_budget, clock)
}

/// Limits on callers' connections, in the form of their intake.
fn intake_limits(settings: &Settings, limits: CallerLimits) -> IntakeLimits {
    IntakeLimits {
        connections: settings.connection_limits.callers,
        header_bytes: limits.header_bytes,
        waits: WaitLimits {
            idle: limits.idle_timeout,
            head: limits.header_timeout,
            body: limits.idle_timeout,
        },
    }
}

impl Shared {
    /// Closes the connections whose callers have taken too long.
    pub(super) fn close_expired_callers(&self) {
        self.intake.set_limits(self.intake_limits());
        self.intake.close_expired();
    }

    /// Limits on callers' connections: those of the configuration, and shorter ones at the end of a
    /// planned stop.
    fn intake_limits(&self) -> IntakeLimits {
        let mut limits = intake_limits(&self.settings.borrow(), self.caller_limits());
        if self.closing_idle_callers.get() {
            limits.waits.idle = limits.waits.idle.min(STOP_IDLE_TIMEOUT);
            limits.waits.head = limits.waits.head.min(STOP_IDLE_TIMEOUT);
        }
        limits
    }
}

fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(CALLER_PROBE_INTERVAL).with_interval(CALLER_PROBE_INTERVAL);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(CALLER_UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = result {
        warn!("caller.options error={error}");
    }
}

/// Guard of a request without a response: if it is dropped before the response, the caller has
/// closed the connection, and the request is logged and counted as abandoned.
struct AbandonmentGuard {
    shared: SharedRef,
    id: String,
    arrived: Instant,
    has_response: bool,
}

impl Drop for AbandonmentGuard {
    fn drop(&mut self) {
        if !self.has_response {
            let elapsed = self.shared.clock.now().saturating_duration_since(self.arrived);
            self.shared.metrics.count_response(None, "abandoned", elapsed);
            info!("request.abandoned id={} after_ms={}", self.id, elapsed.as_millis());
        }
    }
}

async fn handle_request(
    shared: SharedRef,
    connection: Rc<Connection<UpstreamId>>,
    request: Request,
) -> Response<Body> {
    let open_request = OpenRequest::new(&connection, shared.clone());
    let arrived = shared.clock.now();
    let limits = shared.caller_limits();
    let incoming = match caller_request::read_request(&connection, request, limits).await {
        Ok(incoming) => incoming,
        Err(refusal) => {
            info!("request.refused code={} reason={:?}", refusal.code.number(), refusal.message);
            return build_refusal(&refusal, true);
        }
    };
    let id = shared.header_codec.attempt_id(&incoming.headers);
    let mut abandonment_guard =
        AbandonmentGuard { shared: shared.clone(), id, arrived, has_response: false };
    let progress = DispatchProgress::default();
    let served = async {
        match shared.admit(incoming, arrived).await {
            Ok(admitted) => {
                let tier = admitted.priority.route_tier;
                (Some(tier), dispatch::serve_request(&shared, admitted, &progress).await)
            }
            Err(refusal) => (None, Err(refusal)),
        }
    };
    let (tier, result) = tokio::select! {
        served = served => served,
        () = shared.last_answer_notify.notified() => (None, Err(shared.stop_refusal(&progress))),
    };
    abandonment_guard.has_response = true;
    let elapsed = shared.clock.now().saturating_duration_since(arrived);
    let close = shared.is_stopping() || shared.lags_behind_peers();
    match result {
        Ok(response) => {
            shared.metrics.count_response(tier, "delivered", elapsed);
            build_response(response, close, open_request)
        }
        Err(refusal) => {
            shared.metrics.count_response(tier, refusal.code.name(), elapsed);
            let version = shared.configuration().map_or(0, |configuration| configuration.version);
            info!(
                "request.refused id={} code={} name={} outcome={} retry_after_ms={} after_ms={} configuration={version} confirmation_age_ms={}",
                abandonment_guard.id,
                refusal.code.number(),
                refusal.code.name(),
                refusal.outcome.name(),
                or_none(refusal.retry_after.map(|retry_after| retry_after.as_millis())),
                elapsed.as_millis(),
                shared.confirmation_age_ms(),
            );
            build_refusal(&refusal, close)
        }
    }
}
