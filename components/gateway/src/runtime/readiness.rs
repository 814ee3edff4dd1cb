//! Readiness check of the balancer, and the HTTP server for it and for the metrics.

use log::warn;
use ntex::SharedCfg;
use ntex::http::error::HttpError;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response, StatusCode};
use ntex::io::IoConfig;
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use tokio::net::{TcpListener, TcpStream};

use super::state::SharedRef;

/// Answers every request on the readiness address with status 200 if ready and 503 otherwise.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    serve_sync(listener, move |_| {
        let status =
            if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::new(status)
    })
    .await;
}

/// Serves HTTP requests with a handler that does not wait.
pub(super) async fn serve_sync(
    listener: TcpListener,
    handler: impl Fn(Request) -> Response + Clone + 'static,
) {
    // One for all connections: ntex keeps what belongs to a configuration until the process ends.
    let configuration: SharedCfg =
        SharedCfg::new("small").add(IoConfig::new()).add(HttpServiceConfig::new()).into();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (handler, configuration) = (handler.clone(), configuration.clone());
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(stream, configuration, handler).await {
                        warn!("internal_server.connection error={error:#}");
                    }
                });
            }
            Err(error) => {
                warn!("internal_server.accept error={error}");
                tokio::time::sleep(super::STOP_POLL_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    configuration: SharedCfg,
    handler: impl Fn(Request) -> Response + Clone + 'static,
) -> anyhow::Result<()> {
    let service = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, HttpError>(response) }
    });
    let http_service = HttpService::h1(service)
        .create(configuration.clone())
        .await
        .map_err(|()| anyhow::anyhow!("cannot create the HTTP service for the connection"))?;
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration)?;
    if let Err(error) = Pipeline::new(http_service).call(io).await {
        log::debug!("internal_server.connection error={error}");
    }
    Ok(())
}
