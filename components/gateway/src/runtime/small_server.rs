//! HTTP server for small requests that are answered at once: readiness checks, metrics, and reads of
//! other gateways.

use std::rc::Rc;
use std::time::Duration;

use intake::byte_budget::ByteBudget;
use intake::connection_table::WaitLimits;
use intake::{Connection, Intake, IntakeLimits};
use log::warn;
use ntex::SharedCfg;
use ntex::http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use super::state::SharedRef;
use crate::settings::ConnectionLimits;

/// Largest names and values of a request's head; such requests have few headers.
const HEADER_LIMIT_BYTES: usize = 4 << 10;

/// Room for the heads of requests that are being received.
const HELD_LIMIT_BYTES: usize = 2 << 20;

/// Longest times that a connection may wait for its client. Other gateways keep connections for less.
const WAIT_LIMITS: WaitLimits = WaitLimits {
    idle: Duration::from_secs(5),
    head: Duration::from_secs(1),
    body: Duration::from_secs(1),
};

/// Interval at which the limits are applied.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Serves HTTP requests with a handler that does not wait; bodies of requests are not read. `limit_of`
/// selects the listener's limit on connections.
pub(super) async fn serve(
    shared: SharedRef,
    listener: TcpListener,
    limit_of: fn(&ConnectionLimits) -> usize,
    handler: impl Fn(Request) -> Response + Clone + 'static,
) {
    let limits = || IntakeLimits {
        connections: limit_of(&shared.settings.borrow().connection_limits),
        header_bytes: HEADER_LIMIT_BYTES,
        waits: WAIT_LIMITS,
    };
    let budget = ByteBudget::<()>::new(HELD_LIMIT_BYTES);
    let intake = Intake::new(limits(), budget, shared.clock.clone());
    let configuration = intake::configure_server("small");
    let accepting = intake::accept_connections(&intake, &listener, |connection, stream| {
        let served = serve_connection(connection, stream, configuration.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = served.await {
                warn!("internal_server.connection error={error:#}");
            }
        });
    });
    let expiring = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            intake.set_limits(limits());
            intake.close_expired();
        }
    };
    tokio::join!(accepting, expiring);
}

async fn serve_connection(
    connection: Rc<Connection<()>>,
    stream: TcpStream,
    configuration: SharedCfg,
    handler: impl Fn(Request) -> Response + Clone + 'static,
) -> anyhow::Result<()> {
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration.clone())?;
    let handler = {
        let connection = connection.clone();
        move |request| {
            let _guard = connection.begin_request();
            std::future::ready(handler(request))
        }
    };
    intake::serve_connection(connection, io, configuration, handler).await
}
