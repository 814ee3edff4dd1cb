//! Callers' connections and the requests on them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use log::{info, warn};
use ntex::SharedCfg;
use ntex::http::body::Body;
use ntex::http::error::HttpError;
use ntex::http::h1::ProtocolError;
use ntex::http::h1::control::{Control, ControlAck, Reason};
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::{Filter, IoConfig};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::dispatch::DispatchProgress;
use super::log_fields::or_none;
use super::relay::BrokenStream;
use super::response::{build_refusal, build_response};
use super::state::SharedRef;
use super::{caller_request, dispatch};

/// Timeouts of the HTTP server, deliberately long: this module closes idle connections itself,
/// after the idle timeout of the active configuration.
const SERVER_TIMEOUT: Seconds = Seconds(120);

/// Interval at which the idle time of a connection is checked.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which unacknowledged bytes or unanswered keepalive probes end a caller's connection.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between keepalive probes of a silent caller.
const CALLER_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed during a planned stop: the last response must have
/// been sent by then.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Activity of one connection.
#[derive(Debug)]
struct ConnectionState {
    busy: Cell<bool>,
    idle_since: Cell<Instant>,
}

/// Guard that increments a count and decrements it when dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Guard of a request whose response has not been completely passed to the server; marks its
/// connection as busy.
pub(super) struct OpenRequest {
    connection: Rc<ConnectionState>,
    shared: SharedRef,
}

impl OpenRequest {
    fn new(connection: Rc<ConnectionState>, shared: SharedRef) -> OpenRequest {
        connection.busy.set(true);
        shared.open_requests.set(shared.open_requests.get() + 1);
        OpenRequest { connection, shared }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.busy.set(false);
        self.connection.idle_since.set(self.shared.clock.now());
        self.shared.open_requests.set(self.shared.open_requests.get().saturating_sub(1));
    }
}

/// Accepts callers' connections until the process ends.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    let configuration = server_configuration();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (shared, configuration) = (shared.clone(), configuration.clone());
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(shared, configuration, stream).await {
                        warn!("caller.connection error={error:#}");
                    }
                });
            }
            Err(error) => {
                warn!("caller.accept error={error}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Configuration of the HTTP server. It is the same one for all connections: ntex keeps what belongs
/// to a configuration, such as the buffers for reading, until the process ends.
fn server_configuration() -> SharedCfg {
    SharedCfg::new("callers")
        .add(IoConfig::new())
        .add(
            HttpServiceConfig::new()
                .set_keepalive(KeepAlive::Timeout(SERVER_TIMEOUT))
                .set_headers_read_rate(SERVER_TIMEOUT, SERVER_TIMEOUT, 1),
        )
        .into()
}

async fn serve_connection(
    shared: SharedRef,
    configuration: SharedCfg,
    stream: TcpStream,
) -> Result<()> {
    let _count_guard = CountGuard::new(&shared.open_connections);
    set_socket_options(&stream);
    let connection = Rc::new(ConnectionState {
        busy: Cell::new(false),
        idle_since: Cell::new(shared.clock.now()),
    });
    let service = fn_service({
        let (shared, connection) = (shared.clone(), connection.clone());
        move |request: Request| {
            let (shared, connection) = (shared.clone(), connection.clone());
            async move { Ok::<_, HttpError>(handle_request(shared, connection, request).await) }
        }
    });
    let handler = HttpService::h1(service)
        .control(fn_service(close_broken_stream))
        .create(configuration.clone())
        .await
        .map_err(|()| anyhow::anyhow!("cannot create the HTTP service for the connection"))?;
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration)?;
    let pipeline = Pipeline::new(handler);
    tokio::select! {
        served = pipeline.call(io) => {
            if let Err(error) = served {
                log::debug!("caller.connection error={error}");
            }
        }
        () = wait_until_idle_timeout(&shared, &connection) => {}
    }
    Ok(())
}

/// Closes the connection if a stream ended early; the server would write an error response into the
/// stream otherwise.
async fn close_broken_stream<F: Filter>(
    control: Control<F, HttpError>,
) -> Result<ControlAck<F>, BrokenStream> {
    match &control {
        Control::Disconnect(Reason::ProtocolError(error))
            if matches!(error.err(), ProtocolError::ResponsePayload(_)) =>
        {
            Err(BrokenStream)
        }
        _ => Ok(control.ack()),
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

/// Completes when the connection has been idle for longer than the limit, which is shorter during a
/// planned stop.
async fn wait_until_idle_timeout(shared: &SharedRef, connection: &ConnectionState) {
    loop {
        let idle = shared.clock.now().saturating_duration_since(connection.idle_since.get());
        let closing = shared.closing_idle_callers.get();
        let idle_limit =
            if closing { STOP_IDLE_TIMEOUT } else { shared.caller_limits().idle_timeout };
        if !connection.busy.get() && idle > idle_limit {
            return;
        }
        let poll_interval = if closing { STOP_IDLE_TIMEOUT } else { IDLE_POLL_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(poll_interval) => {}
            () = shared.close_idle_notify.notified() => {}
        }
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
    connection: Rc<ConnectionState>,
    request: Request,
) -> Response<Body> {
    let open_request = OpenRequest::new(connection, shared.clone());
    let arrived = shared.clock.now();
    let limits = shared.caller_limits();
    let incoming =
        match caller_request::read_request(request, limits, shared.byte_budget.admit_request())
            .await
        {
            Ok(incoming) => incoming,
            Err(refusal) => {
                info!(
                    "request.refused code={} reason={:?}",
                    refusal.code.number(),
                    refusal.message
                );
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
