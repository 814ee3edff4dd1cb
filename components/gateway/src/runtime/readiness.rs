//! Readiness check of the balancer.

use ntex::http::{Response, StatusCode};
use tokio::net::TcpListener;

use super::small_server;
use super::state::SharedRef;

/// Answers every request on the readiness address with status 200 if ready and 503 otherwise.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    let answer = {
        let shared = shared.clone();
        move |_| {
            let status =
                if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            Response::new(status)
        }
    };
    small_server::serve(shared, listener, |limits| limits.readiness, answer).await;
}
