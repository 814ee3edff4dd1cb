//! Callers' connections.

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
use ntex::io::Filter;
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::answer::{build, build_refusal};
use super::attempt::SharedRef;
use super::fields::or_none;
use super::relay::BrokenStream;
use super::{dispatch, request_head};

/// The server's own time limits are wide; idle connections are closed here, by the limit of the
/// configuration in force.
const SERVER_TIMEOUT: Seconds = Seconds(120);

/// How often an idle connection looks at the limit in force.
const IDLE_POLL: Duration = Duration::from_millis(500);

/// Unanswered bytes and probes end a caller's connection after this time.
const CALLER_UNACKNOWLEDGED: Duration = Duration::from_secs(5);

/// Between probes of a silent caller.
const CALLER_PROBE: Duration = Duration::from_secs(2);

/// At a planned stop, a connection is closed when it has been idle for this long: the last answer
/// must have left before.
const IDLE_AT_STOP: Duration = Duration::from_millis(300);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What is known of one connection.
#[derive(Debug)]
struct Connected {
    busy: Cell<bool>,
    idle_since: Cell<Instant>,
}

/// Counts something for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A request whose answer is not yet with the server as a whole; marks its connection busy.
pub(super) struct OpenRequest {
    connected: Rc<Connected>,
    shared: SharedRef,
}

impl OpenRequest {
    fn new(connected: Rc<Connected>, shared: SharedRef) -> OpenRequest {
        connected.busy.set(true);
        shared.open_requests.set(shared.open_requests.get() + 1);
        OpenRequest { connected, shared }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connected.busy.set(false);
        self.connected.idle_since.set(self.shared.clock.now());
        self.shared.open_requests.set(self.shared.open_requests.get().saturating_sub(1));
    }
}

/// Accepts callers until the process ends.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(shared, stream).await {
                        warn!("caller.connection error={error:#}");
                    }
                });
            }
            Err(error) => {
                warn!("caller.accept error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(shared: SharedRef, stream: TcpStream) -> Result<()> {
    let _counted = Counted::new(&shared.open_connections);
    set_options(&stream);
    let connected =
        Rc::new(Connected { busy: Cell::new(false), idle_since: Cell::new(shared.clock.now()) });
    let service = fn_service({
        let (shared, connected) = (shared.clone(), connected.clone());
        move |request: Request| {
            let (shared, connected) = (shared.clone(), connected.clone());
            async move { Ok::<_, HttpError>(answer(shared, connected, request).await) }
        }
    });
    let configuration: SharedCfg = SharedCfg::new("callers")
        .add(
            HttpServiceConfig::new()
                .set_keepalive(KeepAlive::Timeout(SERVER_TIMEOUT))
                .set_headers_read_rate(SERVER_TIMEOUT, SERVER_TIMEOUT, 1),
        )
        .into();
    let handler = HttpService::h1(service)
        .control(fn_service(end_broken_stream))
        .create(configuration)
        .await
        .map_err(|()| anyhow::anyhow!("no server for the connection"))?;
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration_of_io())?;
    let pipeline = Pipeline::new(handler);
    tokio::select! {
        served = pipeline.call(io) => {
            if let Err(error) = served {
                log::debug!("caller.connection error={error}");
            }
        }
        () = idle_too_long(&shared, &connected) => {}
    }
    Ok(())
}

/// Ends the connection where a stream broke off; the server would write an error answer into the
/// stream otherwise.
async fn end_broken_stream<F: Filter>(
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

fn configuration_of_io() -> SharedCfg {
    SharedCfg::new("callers").into()
}

fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(CALLER_PROBE).with_interval(CALLER_PROBE);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(CALLER_UNACKNOWLEDGED)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        warn!("caller.options error={error}");
    }
}

/// Ends when the connection has been idle for longer than callers may be, or at a planned stop.
async fn idle_too_long(shared: &SharedRef, connected: &Connected) {
    loop {
        let idle = shared.clock.now().saturating_duration_since(connected.idle_since.get());
        let closing = shared.callers_closing.get();
        let longest = if closing { IDLE_AT_STOP } else { shared.caller_limits().idle_timeout };
        if !connected.busy.get() && idle > longest {
            return;
        }
        let pause = if closing { IDLE_AT_STOP } else { IDLE_POLL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.callers_close.notified() => {}
        }
    }
}

/// A request that has no answer yet. Dropped before it has one, its caller has left.
struct Followed {
    shared: SharedRef,
    id: String,
    arrived: Instant,
    answered: bool,
}

impl Drop for Followed {
    fn drop(&mut self) {
        if !self.answered {
            let elapsed = self.shared.clock.now().saturating_duration_since(self.arrived);
            self.shared.metrics.count(None, "abandoned", elapsed);
            info!("request.abandoned id={} after_ms={}", self.id, elapsed.as_millis());
        }
    }
}

async fn answer(shared: SharedRef, connected: Rc<Connected>, request: Request) -> Response<Body> {
    let open = OpenRequest::new(connected, shared.clone());
    let arrived = shared.clock.now();
    let limits = shared.caller_limits();
    let incoming = match request_head::read(request, limits.header_bytes, limits.body_bytes).await {
        Ok(incoming) => incoming,
        Err(refusal) => {
            info!("request.refused code={} reason={:?}", refusal.code.number(), refusal.message);
            return build_refusal(&refusal, true);
        }
    };
    let id = shared.header_codec.attempt_id(&incoming.headers);
    let mut followed = Followed { shared: shared.clone(), id, arrived, answered: false };
    let (tier, served) = match shared.admit(incoming, arrived).await {
        Ok(admitted) => {
            (Some(admitted.priority.route_tier), dispatch::serve(&shared, admitted).await)
        }
        Err(refusal) => (None, Err(refusal)),
    };
    followed.answered = true;
    let elapsed = shared.clock.now().saturating_duration_since(arrived);
    let close = shared.is_stopping() || shared.is_behind();
    match served {
        Ok(delivery) => {
            shared.metrics.count(tier, "delivered", elapsed);
            build(delivery, close, open)
        }
        Err(refusal) => {
            shared.metrics.count(tier, refusal.code.name(), elapsed);
            let version = shared.configuration().map_or(0, |known| known.version);
            info!(
                "request.refused id={} code={} name={} outcome={} retry_after_ms={} after_ms={} configuration={version} confirmation_age_ms={}",
                followed.id,
                refusal.code.number(),
                refusal.code.name(),
                refusal.outcome.name(),
                or_none(refusal.retry_after.map(|wait| wait.as_millis())),
                elapsed.as_millis(),
                shared.confirmation_age_ms(),
            );
            build_refusal(&refusal, close)
        }
    }
}
