//! Serves the requests of a connection with the HTTP server of ntex.

use std::error::Error;
use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, anyhow};
use errors::{Refusal, ResultCode};
use log::info;
use ntex::SharedCfg;
use ntex::http::body::Body;
use ntex::http::error::HttpError;
use ntex::http::h1::ProtocolError;
use ntex::http::h1::control::{Control, ControlAck, Reason};
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::{Filter, Io, IoConfig};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;

use crate::byte_budget::UpstreamKey;
use crate::connection::Connection;
use crate::head_filter::HeadFilter;
use crate::refusal::{build_refusal, write_refusal};

/// Time for which a refused client may read its response before its connection is closed.
const REFUSAL_LINGER: Duration = Duration::from_millis(500);

/// Error of a response body that has broken off; the connection closes without further bytes.
#[derive(Debug)]
struct ResponseBroken;

impl fmt::Display for ResponseBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response has broken off")
    }
}

impl Error for ResponseBroken {}

/// Configuration of the HTTP server for connections of a listener. It is the same one for all of them: ntex
/// keeps what belongs to a configuration, such as the buffers for reading, until the process ends. The
/// limits on heads, and on the time of clients, are those of the listener.
pub fn configure_server(tag: &'static str) -> SharedCfg {
    SharedCfg::new(tag)
        .add(IoConfig::new())
        .add(
            HttpServiceConfig::new()
                .set_keepalive(KeepAlive::Os)
                .set_client_timeout(Seconds::ZERO)
                .set_max_headers(usize::MAX)
                .set_max_buf_size(usize::MAX),
        )
        .into()
}

/// Serves the requests of a connection until it ends. `handler` keeps the guard of
/// [`Connection::begin_request`] until it has passed the complete response to the server.
pub async fn serve_connection<K, H, R>(
    connection: Rc<Connection<K>>,
    io: Io,
    configuration: SharedCfg,
    handler: H,
) -> Result<()>
where
    K: UpstreamKey,
    H: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<Body>>,
{
    let service = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, HttpError>(response.await) }
    });
    let service = HttpService::h1(service)
        .control(fn_service(control_connection))
        .create(configuration)
        .await
        .map_err(|()| anyhow!("cannot create the HTTP service for the connection"))?;
    let io = io.add_filter(HeadFilter::new(connection.clone()));
    let stream = io.get_ref();
    let _stream_guard = connection.attach(stream.clone());
    let pipeline = Pipeline::new(service);
    let mut serving = pin!(pipeline.call(io));
    let refusal = tokio::select! {
        served = &mut serving => {
            if let Err(error) = served {
                log::debug!("connection.ended error={error}");
            }
            return Ok(());
        }
        refusal = connection.closed() => refusal,
    };
    if let Some(refusal) = refusal {
        log_refusal(&refusal);
        write_refusal(&stream, &refusal);
        // A client that has read the response closes the connection. One that is closed while bytes of
        // the client are unread is reset, and the response may be lost.
        let is_crowded = connection.intake.table.borrow().is_crowded();
        let linger = if is_crowded { Duration::ZERO } else { REFUSAL_LINGER };
        let _ = tokio::time::timeout(linger, serving).await;
    }
    Ok(())
}

/// Logs the refusal of a request that has not been received.
fn log_refusal(refusal: &Refusal) {
    info!("request.refused code={} reason={:?}", refusal.code.number(), refusal.message);
}

/// Answers a request that cannot be read like any other refusal: it has not run. Closes the connection
/// if a response broke off; the server would write an error response into it otherwise.
async fn control_connection<F: Filter>(
    control: Control<F, HttpError>,
) -> Result<ControlAck<F>, ResponseBroken> {
    let error = match control {
        Control::Disconnect(Reason::ProtocolError(error)) => error,
        other => return Ok(other.ack()),
    };
    let refusal = match error.err() {
        ProtocolError::ResponsePayload(_) => return Err(ResponseBroken),
        ProtocolError::Decode(reason) => {
            Refusal::not_run(ResultCode::MalformedRequest).with_message(reason.to_string())
        }
        _ => return Ok(error.ack()),
    };
    log_refusal(&refusal);
    Ok(error.fail_with(build_refusal(&refusal, true)))
}
