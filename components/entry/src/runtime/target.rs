//! The agent that a request is handed to.

use std::net::SocketAddr;
use std::sync::Arc;

use identity::{ProcessId, UpstreamId};
use registry::PlacementRecord;
use wire::LoadDigest;

use super::Shared;
use super::agents::Connection;
use crate::controllers::membership::Event;

/// One process of an agent, and the connection to it.
pub(super) struct Target {
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    /// The process that the request was handed to; another one knows nothing of it.
    pub(super) process: ProcessId,
    pub(super) connection: Connection,
}

/// Counts a request as outstanding until it is dropped.
pub(super) struct Outstanding {
    shared: Arc<Shared>,
    upstream: UpstreamId,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.shared.update_upstream_status(&self.upstream, |status| status.own_outstanding -= 1);
    }
}

impl Target {
    /// Connects to the agent beside an upstream; an error means that nothing was sent.
    pub(super) async fn connect(
        shared: &Shared,
        upstream: &UpstreamId,
    ) -> Result<Target, tonic::Status> {
        let snapshot = shared.active_configuration.load();
        let address = snapshot
            .and_then(|snapshot| snapshot.document.upstreams.get(upstream).map(|found| found.agent))
            .ok_or_else(|| tonic::Status::not_found("the upstream is not configured"))?;
        shared.learn(upstream, Event::RequestAttempted);
        let connection = connect(shared, upstream, address).await?;
        let process = connection.process.clone();
        Ok(Target { upstream: upstream.clone(), address, process, connection })
    }

    /// Connects to where a request was placed before.
    pub(super) async fn join(
        shared: &Shared,
        placement: &PlacementRecord,
    ) -> Result<Target, tonic::Status> {
        let target = Target::connect(shared, &placement.upstream).await?;
        Ok(Target { process: placement.process.clone(), ..target })
    }

    /// The same agent, meant as a given process of it.
    pub(super) fn meant_for(self, process: &str) -> Target {
        Target { process: ProcessId::new(process), ..self }
    }

    /// Replaces the connection. The address stays, whatever the configuration says by now.
    pub(super) async fn reconnect(&mut self, shared: &Shared) -> Result<(), tonic::Status> {
        shared.agents.replace(self.address, &self.connection);
        self.connection = connect(shared, &self.upstream, self.address).await?;
        Ok(())
    }

    /// Takes what the agent says of its load.
    pub(super) fn hear(&self, shared: &Shared, load: LoadDigest) {
        let now = shared.clock.now();
        shared.update_upstream_status(&self.upstream, |status| {
            status.load = load;
            status.reported_at = now;
            status.member.on_event(Event::AgentReported { leaving: load.leaving }, now);
        });
    }

    pub(super) fn count_outstanding(&self, shared: &Arc<Shared>) -> Outstanding {
        shared.update_upstream_status(&self.upstream, |status| status.own_outstanding += 1);
        Outstanding { shared: shared.clone(), upstream: self.upstream.clone() }
    }
}

async fn connect(
    shared: &Shared,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Result<Connection, tonic::Status> {
    let connected = shared.agents.connect(address).await;
    if connected.is_err() {
        shared.learn(upstream, Event::AgentUnreachable);
    }
    connected
}
