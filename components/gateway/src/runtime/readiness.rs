//! Tells the balancer whether the process takes work.

use log::warn;
use ntex::SharedCfg;
use ntex::http::error::HttpError;
use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use tokio::net::{TcpListener, TcpStream};

use super::attempt::SharedRef;

/// Answers every request on the readiness address.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    serve_small(listener, move |_| {
        let status =
            if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::new(status)
    })
    .await;
}

/// Serves requests that are answered without waiting.
pub(super) async fn serve_small(
    listener: TcpListener,
    answer: impl Fn(Request) -> Response + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(stream, answer).await {
                        warn!("small_server.connection error={error:#}");
                    }
                });
            }
            Err(error) => {
                warn!("small_server.accept error={error}");
                tokio::time::sleep(super::STOP_POLL).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    answer: impl Fn(Request) -> Response + Clone + 'static,
) -> anyhow::Result<()> {
    let service = fn_service(move |request: Request| {
        let response = answer(request);
        async move { Ok::<_, HttpError>(response) }
    });
    let configuration: SharedCfg = SharedCfg::new("small").into();
    let handler = HttpService::h1(service)
        .create(configuration.clone())
        .await
        .map_err(|()| anyhow::anyhow!("no server for the connection"))?;
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration)?;
    if let Err(error) = Pipeline::new(handler).call(io).await {
        log::debug!("small_server.connection error={error}");
    }
    Ok(())
}
