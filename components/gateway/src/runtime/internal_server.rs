//! HTTP server for other gateways and for readers of the metrics.

use ntex::http::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::peer_reads;
use super::small_server;
use super::state::{Shared, SharedRef};

/// Serves what other gateways of the zone ask for, and the metrics on any other path.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    let answer = {
        let shared = shared.clone();
        move |request: Request| {
            if request.path() == peer_reads::PATH {
                shared.answer_peer_read(request.uri().query().unwrap_or_default())
            } else {
                shared.answer_metrics()
            }
        }
    };
    small_server::serve(shared, listener, |limits| limits.internal, answer).await;
}

impl Shared {
    fn answer_metrics(&self) -> Response {
        let (open_requests, connections) = self.open_counts();
        let waiting_requests = self.pending_slot_requests.borrow().len();
        let gateways = self.peers.borrow().gateway_count();
        self.metrics.set_load(open_requests, waiting_requests, gateways);
        self.metrics.set_connections(connections, self.intake.displaced_count());
        let (parts, requests) = self.crash_quarantine.borrow().quarantined_counts();
        self.metrics.set_quarantined(parts, requests);
        self.metrics.set_leaving_upstreams(self.upstream_notices.borrow().leaving_count());
        self.metrics.set_held_bytes(self.byte_budget.held_bytes());
        self.metrics.set_limited_upstreams(self.upstream_limits.borrow().limits().count());
        Response::build(StatusCode::OK)
            .content_type("text/plain; version=0.0.4")
            .body(self.metrics.render())
    }
}
