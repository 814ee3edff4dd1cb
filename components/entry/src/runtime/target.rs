//! Agent process that a request is dispatched to.

use std::net::SocketAddr;
use std::sync::Arc;

use identity::{ProcessId, UpstreamId};
use registry::PlacementRecord;
use wire::LoadDigest;

use super::Shared;
use super::agents::Connection;
use crate::controllers::membership::Event;

/// Agent process that a request is dispatched to, and the connection to the agent.
pub(super) struct Target {
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    /// The process that the request is dispatched to. A later process of the same agent does not
    /// know the request.
    pub(super) process: ProcessId,
    pub(super) connection: Connection,
}

/// Counts a request as outstanding at an upstream until the guard is dropped.
pub(super) struct OutstandingGuard {
    shared: Arc<Shared>,
    upstream: UpstreamId,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.shared.update_upstream_status(&self.upstream, |status| status.own_outstanding -= 1);
    }
}

impl Target {
    /// Connects to the agent of an upstream. An error means that nothing was sent.
    pub(super) async fn connect(
        shared: &Shared,
        upstream: &UpstreamId,
    ) -> Result<Target, tonic::Status> {
        let snapshot = shared.active_configuration.load();
        let address = snapshot
            .and_then(|snapshot| snapshot.document.upstreams.get(upstream).map(|found| found.agent))
            .ok_or_else(|| tonic::Status::not_found("the upstream is not configured"))?;
        shared.update_availability(upstream, Event::RequestAttempted);
        let connection = connect(shared, upstream, address).await?;
        let process = connection.process.clone();
        Ok(Target { upstream: upstream.clone(), address, process, connection })
    }

    /// Connects to the agent of an earlier placement. The target process is the one recorded with
    /// the placement.
    pub(super) async fn connect_to_placement(
        shared: &Shared,
        placement: &PlacementRecord,
    ) -> Result<Target, tonic::Status> {
        let target = Target::connect(shared, &placement.upstream).await?;
        Ok(Target { process: placement.process.clone(), ..target })
    }

    /// Sets the process that the request is dispatched to.
    pub(super) fn with_process(self, process: &str) -> Target {
        Target { process: ProcessId::new(process), ..self }
    }

    /// Replaces the connection. The address stays the same, even if the configuration has changed
    /// since.
    pub(super) async fn reconnect(&mut self, shared: &Shared) -> Result<(), tonic::Status> {
        shared.agents.replace(self.address, &self.connection);
        self.connection = connect(shared, &self.upstream, self.address).await?;
        Ok(())
    }

    /// Records the load that the agent reported.
    pub(super) fn record_load(&self, shared: &Shared, load: LoadDigest) {
        let now = shared.clock.now();
        shared.update_upstream_status(&self.upstream, |status| {
            status.load = load;
            status.reported_at = now;
            status.availability_state.on_event(Event::AgentReported { leaving: load.leaving }, now);
        });
    }

    /// Counts a request as outstanding at the upstream while the returned guard lives.
    pub(super) fn count_outstanding(&self, shared: &Arc<Shared>) -> OutstandingGuard {
        shared.update_upstream_status(&self.upstream, |status| status.own_outstanding += 1);
        OutstandingGuard { shared: shared.clone(), upstream: self.upstream.clone() }
    }
}

async fn connect(
    shared: &Shared,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Result<Connection, tonic::Status> {
    let result = shared.agents.connect(address).await;
    if result.is_err() {
        shared.update_availability(upstream, Event::AgentUnreachable);
    }
    result
}
